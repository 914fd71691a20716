package thbench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thdaemon"
	"github.com/turmerichaven/turmerichaven/thsettings"
)

// pollPeriod is the poll interval of the baseline, in which each daemon polls
// the platform on its own.
const pollPeriod = time.Second

// pollers is the polling baseline: each poller reads the head of the
// configuration every pollPeriod at a random phase. It runs concurrently with the
// fleet and on the same platform.
type pollers struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	mutex   sync.Mutex
	logs    []logTail
}

// startPollers starts n pollers, one for each daemon of the fleet.
func (s *system) startPollers(ctx context.Context, n int) *pollers {
	p := &pollers{logs: make([]logTail, n)}
	ctx, p.cancel = context.WithCancel(ctx)
	url := "http://" + s.PlatformAddress()
	settings := thsettings.Settings{Platform: thsettings.PlatformSettings{
		Table: url, Object: url, Name: "turmerichaven", Bucket: "turmerichaven", Region: "local",
		Access: "local", Secret: "local", Timeout: 2 * time.Second,
	}}
	for i := range n {
		store := thdaemon.OpenStore(settings, nil, nil)
		p.running.Go(func() {
			pause(ctx, time.Duration(rand.Int64N(int64(pollPeriod))))
			ticker := clock.NewTicker(pollPeriod)
			defer ticker.Stop()
			for ctx.Err() == nil {
				if head, err := store.Head(ctx); err == nil {
					p.record(i, head.Version)
				}
				select {
				case <-ctx.Done():
				case <-ticker.Chan():
				}
			}
		})
	}
	return p
}

// record stores when poller i first read the version; lower versions are ignored.
func (p *pollers) record(i int, version uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := &p.logs[i]
	if n := len(t.activations); n == 0 || t.activations[n-1].version < version {
		t.activations = append(t.activations, activation{version, clock.Now()})
	}
}

// stop stops the pollers and returns, for each change, the time from the start of
// its command until the last poller read it. It omits changes that not every poller read.
func (p *pollers) stop(changes []change) []time.Duration {
	p.cancel()
	p.running.Wait()
	var all []time.Duration
	for _, c := range changes {
		var last time.Time
		complete := true
		for i := range p.logs {
			at, found := p.logs[i].at(c.version)
			complete = complete && found
			if at.After(last) {
				last = at
			}
		}
		if complete {
			all = append(all, last.Sub(c.started))
		}
	}
	return all
}
