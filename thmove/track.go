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
	move      thconfig.Move
	step      atomic.Int32
	bad       atomic.Bool  // the fleet's verdict
	suspended atomic.Int64 // until when, in ns since 1970, on own evidence
	cells     sync.Map     // cellKey to *cell: what this daemon saw as ingress
	served    [2]cell      // what it saw as target, by pool: from, to

	stepSince     time.Time
	heldSince     time.Time // zero while another daemon holds the move
	reason        string
	reports       reports
	reported      [len(windows)]string // daemon that has a report that is not empty
	own           sample               // baseline of the own evidence
	fleet         sample               // baseline of the fleet's evidence
	finishing     bool
	finishAfter   time.Time
	finishBackoff time.Duration
}

type cellKey struct{ pool, server string }

func (t *track) cell(pool, server string) *cell {
	k := cellKey{pool, server}
	if c, found := t.cells.Load(k); found {
		return c.(*cell)
	}
	c, _ := t.cells.LoadOrStore(k, &cell{})
	return c.(*cell)
}

// share is the share of traffic that this daemon sends to the new version.
func (t *track) share(now time.Time) float64 {
	if t.bad.Load() || now.UnixNano() < t.suspended.Load() || now.Before(t.move.Start) {
		return 0
	}
	return shareOf(int(t.step.Load()))
}

// servedCell returns the cell of one of the two pools, nil for another pool.
func (t *track) servedCell(pool string) *cell {
	switch pool {
	case t.move.From:
		return &t.served[0]
	case t.move.To:
		return &t.served[1]
	}
	return nil
}

// servedCounts returns the evidence about the backend server beside this daemon.
func (t *track) servedCounts(now time.Time, window time.Duration, self string) []thwire.Count {
	var counts []thwire.Count
	for _, pool := range []string{t.move.From, t.move.To} {
		if n := t.servedCell(pool).count(now, window); n.Answers > 0 {
			n.Pool, n.Server = pool, self
			counts = append(counts, n)
		}
	}
	return counts
}

// counts returns the own evidence in a window, without the excluded servers.
func (t *track) counts(now time.Time, window time.Duration, excluded map[string]bool) []thwire.Count {
	var counts []thwire.Count
	t.cells.Range(func(k, v any) bool {
		key := k.(cellKey)
		if excluded[key.server] {
			return true
		}
		n := v.(*cell).count(now, window)
		if n.Answers > 0 {
			n.Pool, n.Server = key.pool, key.server
			counts = append(counts, n)
		}
		return true
	})
	return counts
}

// counted reports whether an outcome is evidence about the backend version,
// and whether it is a failure. Refusals that were not run and callers that
// went away say nothing about the version.
func counted(kind therror.Kind, status int) (counts, failed bool) {
	switch {
	case kind == therror.Cancelled:
		return false, false
	case kind != "":
		return !therror.ResponseTo(kind).NotRun, true
	}
	return true, status >= 500
}
