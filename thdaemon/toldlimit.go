package thdaemon

import (
	"math"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// greeting tells a daemon that connects the limit that the backend server beside it has
// stated: a daemon that restarts forgets it, and its own callers would exceed it until the
// first response.
func (d *Daemon) greeting(member string) (thwire.Type, thwire.Message) {
	instance, rate := d.balancer.StatedLimit(member)
	if instance == "" || rate == 0 {
		return 0, nil
	}
	return thwire.TypeServerLimit, &thwire.ServerLimit{Instance: instance, Rate: rate}
}

// handleToldLimit handles a neighbour's message about the limit of the local backend server.
func (l *localServer) handleToldLimit(from string, payload []byte) {
	var told thwire.ServerLimit
	if err := thwire.Decode(payload, &told); err != nil {
		l.Log.Warn("ignoring malformed limit of an instance", "from", from, "error", err)
		return
	}
	if told.Instance == "" || !(told.Rate > 0) || math.IsInf(told.Rate, 1) {
		l.Log.Warn("ignoring invalid limit of an instance", "from", from, "instance", told.Instance, "limit", told.Rate)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if told.Instance == l.toldLimit.Instance && told.Rate >= l.toldLimit.Rate {
		return
	}
	l.toldLimit = told
	l.adoptToldLimit()
	l.Log.Info("neighbour knows the limit of an instance", "from", from, "instance", told.Instance, "limit", told.Rate,
		"current", l.instance)
}

// adoptToldLimit applies the limit that neighbours have told if it is that of the current
// instance. The mutex is held.
func (l *localServer) adoptToldLimit() {
	if l.instance != "" && l.toldLimit.Instance == l.instance {
		l.scheduler.AdoptLimit(l.toldLimit.Rate)
	}
}
