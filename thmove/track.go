package thmove

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// coldGrace is how long after the start of a move slow answers of cold
	// servers are left out. At the first step's share a cold server is below
	// what it can bear, and a version that stays slow must lose its traffic
	// within 3 s.
	coldGrace = time.Second
	// suspension is how long a daemon stops sending to the new version on its
	// own evidence. By then the holder has judged the evidence of all daemons.
	suspension = 5 * time.Second
)

// track is a running move on this daemon. The request path reads the atomics
// and the cells; everything else belongs to the Mover's loop.
type track struct {
	move            thconfig.Move
	step            atomic.Int32
	bad             atomic.Bool       // the fleet's verdict
	suspendedUntil  atomic.Int64      // until when, in ns since 1970, on own evidence
	ingressCounters sync.Map          // counterKey to *cell: what this daemon saw as ingress
	targetCounters  [2]slidingCounter // what it saw as target, by pool: from, to

	stepSince        time.Time
	coordinatorSince time.Time // zero while another daemon holds the move
	reason           string
	reports          reportSet
	reportedTo       [len(windows)]string // daemon that has a report that is not empty
	localBaseline    sample               // baseline of the own evidence
	fleetBaseline    sample               // baseline of the fleet's evidence
	finishing        bool
	nextFinish       time.Time
	finishBackoff    time.Duration
}

type counterKey struct{ pool, server string }

func (t *track) ingressCounter(pool, server string) *slidingCounter {
	k := counterKey{pool, server}
	if c, found := t.ingressCounters.Load(k); found {
		return c.(*slidingCounter)
	}
	c, _ := t.ingressCounters.LoadOrStore(k, &slidingCounter{})
	return c.(*slidingCounter)
}

// share is the share of traffic that this daemon sends to the new version.
func (t *track) share(now time.Time) float64 {
	if t.bad.Load() || now.UnixNano() < t.suspendedUntil.Load() || now.Before(t.move.Start) {
		return 0
	}
	return stepShare(int(t.step.Load()))
}

// targetCounter returns the cell of one of the two pools, nil for another pool.
func (t *track) targetCounter(pool string) *slidingCounter {
	switch pool {
	case t.move.From:
		return &t.targetCounters[0]
	case t.move.To:
		return &t.targetCounters[1]
	}
	return nil
}

// targetCounts returns the evidence about the backend server beside this daemon.
func (t *track) targetCounts(now time.Time, window time.Duration, self string) []thwire.Count {
	var counts []thwire.Count
	for _, pool := range []string{t.move.From, t.move.To} {
		if n := t.targetCounter(pool).count(now, window); n.Answers > 0 {
			n.Pool, n.Server = pool, self
			counts = append(counts, n)
		}
	}
	return counts
}

// ingressCounts returns the own evidence in a window, without the excluded servers.
func (t *track) ingressCounts(now time.Time, window time.Duration, excluded map[string]bool) []thwire.Count {
	var counts []thwire.Count
	t.ingressCounters.Range(func(k, v any) bool {
		key := k.(counterKey)
		if excluded[key.server] {
			return true
		}
		n := v.(*slidingCounter).count(now, window)
		if n.Answers > 0 {
			n.Pool, n.Server = key.pool, key.server
			counts = append(counts, n)
		}
		return true
	})
	return counts
}

// classify reports whether an outcome is evidence about the backend version,
// and whether it is a failure. Refusals that were not run and callers that
// went away say nothing about the version.
func classify(kind therror.Kind, status int) (counts, failed bool) {
	switch {
	case kind == therror.Cancelled:
		return false, false
	case kind != "":
		return !therror.AnswerTo(kind).NotRun, true
	}
	return true, status >= 500
}
