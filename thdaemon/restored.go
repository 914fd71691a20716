package thdaemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thsync"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Limits of writing to a restored store.
const (
	restoreSpread     = 2 * time.Second // over which the daemons of the fleet spread their writes
	restoreRetries    = 8
	restoreRetryDelay = time.Second
	restoreTimeout    = 3 * time.Second // of one attempt
	// endWriters is the number of daemons that write the end of a rollout, each endWriterDelay
	// after the one before, which may have been lost together with the end. The store keeps
	// the first end.
	endWriters     = 3
	endWriterDelay = 3 * time.Second
)

// lostEnd is the end of a rollout that a restored store may lack.
type lostEnd struct {
	thconfig.Move // State is the state in which it ended

	delay time.Duration // until this daemon writes it
}

// restoredStore writes to a store that has come back from a copy what this daemon wrote to
// it before, as the copy may lack it: its announcement, the departure of its backend server,
// and the ends of rollouts that it coordinates or would coordinate next.
type restoredStore struct {
	*Daemon

	departures *departureRecorder
	ends       interface {
		CommitEnd(ctx context.Context, move thconfig.Move, state, reason string) (string, error)
	}

	generation uint64 // of the store; set by the first update
	known      bool   // generation is set
	stopped    chan struct{}
	work       sync.WaitGroup
}

// Start does nothing: update starts the writes.
func (r *restoredStore) Start(context.Context) error { return nil }

// Stop ends all writes and waits for them. No update may follow.
func (r *restoredStore) Stop() {
	close(r.stopped)
	r.work.Wait()
}

// update compares the generation of the store with that of the previous configuration.
func (r *restoredStore) update(s *thsync.Snapshot) {
	generation := thconfig.Generation(s.Tables.Version)
	restored := r.known && generation > r.generation
	r.generation, r.known = generation, true
	if !restored {
		return
	}
	r.Log.Warn("writing to the restored store again", "generation", generation, "version", thconfig.VersionText(s.Tables.Version))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-r.stopped
		cancel()
	}()
	for _, end := range r.lostEnds(&s.Tables) {
		r.work.Go(func() {
			if r.wait(ctx, end.delay) {
				r.commitEnd(ctx, end.Move)
			}
		})
	}
	r.work.Go(func() {
		if r.wait(ctx, rand.N(restoreSpread)) {
			r.announcer.renewNow()
			r.departures.storeAgain()
		}
	})
}

// lostEnds returns the ends of rollouts that this daemon writes.
func (r *restoredStore) lostEnds(t *thconfig.Tables) []lostEnd {
	ended := map[string]string{}
	for _, state := range r.node.MoveStates() {
		ended[state.Move] = state.End
	}
	self, live := r.node.Self().Name, membership{r.node}.Live()
	var ends []lostEnd
	for _, m := range t.Moves {
		if m.State == thconfig.MoveRunning {
			m.State = ended[m.Name]
		}
		writers := thmember.Rendezvous("move/"+m.Name, live, endWriters)
		rank := slices.IndexFunc(writers, func(w thwire.Member) bool { return w.Name == self })
		if m.Order > 0 && m.State != "" && rank >= 0 {
			ends = append(ends, lostEnd{Move: m, delay: time.Duration(rank) * endWriterDelay})
		}
	}
	return ends
}

// commitEnd writes the end of a rollout; the store keeps one that it has.
func (r *restoredStore) commitEnd(ctx context.Context, m thconfig.Move) {
	for range restoreRetries {
		attempt, cancel := context.WithTimeout(ctx, restoreTimeout)
		end, err := r.ends.CommitEnd(attempt, m, m.State, "")
		cancel()
		if err == nil {
			r.Log.Info("end of move committed again", "move", m.Name, "state", end)
			return
		}
		r.Log.Warn("end of move not committed again", "move", m.Name, "state", m.State, "error", err)
		if therror.Is(err, therror.Conflict) || !r.wait(ctx, restoreRetryDelay) {
			return // the order has been replaced, or the daemon stops
		}
	}
}

// wait waits for a time and returns false if the daemon stops meanwhile.
func (d *Daemon) wait(ctx context.Context, delay time.Duration) bool {
	t := d.Clock.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
