package thdaemon

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thproxy"
)

// reportLogInterval is the minimum time between two log lines about the limit that the
// backend server states, which may change with each response.
const reportLogInterval = time.Second

// limitLog is the limit that the last log line named.
type limitLog struct {
	limited bool
	limit   float64
	at      time.Time
}

// handleReport evaluates what the backend server states in a response. Reports of an
// instance that is no longer the current one are ignored.
func (l *localServer) handleReport(r thproxy.ServerReport) {
	if !l.applyLimit(r) || !r.Leaving {
		return
	}
	// Not under the mutex, since the registry calls update.
	if e := l.registry.Current(); e != nil && e.Instance == r.Server.Instance && !e.Leaving {
		l.departures.markLeaving(e.Instance, e.StartTime)
	}
}

// applyLimit applies the limit that a response states, or its absence. It returns
// false for a report of an instance that is no longer the current one.
func (l *localServer) applyLimit(r thproxy.ServerReport) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if r.Server.Instance != l.instance || !l.startTime.IsZero() && r.Server.Born != l.startTime.UnixMilli() {
		return false
	}
	l.logLimit(r)
	if r.LimitErr == nil {
		l.scheduler.ObserveLimit(r.Sent, r.Limit, r.HasLimit)
	}
	return true
}

// logLimit logs a limit that has started, changed or ended, and malformed ones.
func (l *localServer) logLimit(r thproxy.ServerReport) {
	last, now := &l.limitLog, l.Clock.Now()
	changed := r.HasLimit != last.limited || r.Limit != last.limit
	if now.Sub(last.at) < reportLogInterval || (r.LimitErr == nil && !changed) {
		return
	}
	last.at = now
	if r.LimitErr != nil {
		l.Log.Warn("backend server states a malformed limit", "instance", l.instance, "error", r.LimitErr)
		return
	}
	last.limited, last.limit = r.HasLimit, r.Limit
	l.Log.Info("backend server states a limit", "instance", l.instance, "limited", r.HasLimit, "limit", r.Limit, "response_after", now.Sub(r.Sent))
}
