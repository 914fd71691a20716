package thbench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thdaemon"
	"github.com/turmerichaven/turmerichaven/thsettings"
)

// pollPeriod is the period of the plain baseline, in which each daemon polls
// the platform for itself.
const pollPeriod = time.Second

// pollers read the head of the configuration once a second each, at random
// phases, beside the fleet and on the same platform.
type pollers struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	mutex   sync.Mutex
	logs    []logTail
}

// startPollers starts one poller per daemon.
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

func (p *pollers) record(i int, version uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := &p.logs[i]
	if n := len(t.activations); n == 0 || t.activations[n-1].version < version {
		t.activations = append(t.activations, activation{version, clock.Now()})
	}
}

// stop ends the pollers and returns for each change the time until the last
// poller knew it. Changes that one of them has not seen are left out.
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
