package thbench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/turmerichaven/turmerichaven/thfleet"
)

const (
	idleDuration   = 10 * time.Second
	churnDuration  = 15 * time.Second
	churnInterval  = time.Second
	changeCount    = 40 // changes in the period that measures bytes per change
	changeInterval = 200 * time.Millisecond
	metricsDelay   = 1100 * time.Millisecond // until the daemons' metrics include the bytes sent; they are updated each second
)

// Targets of docs/design.md for the control-plane cost of a daemon: bytes per
// second, fraction of a core, resident bytes, and platform reads per second.
const (
	targetBytes     = 18 << 10
	targetProcessor = 0.02
	targetMemory    = 256 << 20
	targetReads     = 200 // 10% of 2,000 per second
	targetDaemons   = 680
)

// control is the control-plane cost of a deployment.
type control struct {
	daemons           int
	idle, churn       periodStats
	perChange         float64 // control bytes in and out per daemon and change
	changes, replaced int
}

// measureControl measures control bytes in the idle fleet, per configuration change, and
// under churn.
func (s *system) measureControl(ctx context.Context) (control, error) {
	r := control{daemons: len(s.Upstreams)}
	idle, err := s.measurePeriod(ctx, s.Upstreams, func() error { pause(ctx, idleDuration); return nil })
	if err != nil {
		return r, err
	}
	r.idle = idle
	changing, err := s.measurePeriod(ctx, s.Upstreams, func() error {
		for i := range changeCount {
			if err := s.benchChange(ctx, i); err != nil {
				return err
			}
			pause(ctx, changeInterval)
		}
		return nil
	})
	if err != nil {
		return r, err
	}
	r.changes = changeCount
	r.perChange = (changing.controlIn + changing.controlOut - idle.controlIn - idle.controlOut) * changing.seconds / changeCount
	r.churn, r.replaced, err = s.measureChurn(ctx)
	return r, err
}

// benchChange commits the i-th change of the bench route. Each i gives another
// timeout, so that every commit changes the configuration.
func (s *system) benchChange(ctx context.Context, i int) error {
	_, err := s.commitWith(ctx, true, "route", "set", "bench", "--path", "/bench", "--pool", s.routes.readPool,
		"--repeat", "safe", "--timeout", fmt.Sprintf("%dms", 5000+i))
	return err
}

// measurePeriod runs f and returns the statistics of the upstreams' daemons for the
// time that f takes.
func (s *system) measurePeriod(ctx context.Context, all []*thfleet.Upstream, f func() error) (periodStats, error) {
	pause(ctx, metricsDelay)
	before, err := s.readCounters(ctx, all)
	if err != nil {
		return periodStats{}, err
	}
	if err := f(); err != nil {
		return periodStats{}, err
	}
	pause(ctx, metricsDelay)
	after, err := s.readCounters(ctx, all)
	if err != nil {
		return periodStats{}, err
	}
	return between(before, after), ctx.Err()
}

// measureChurn restarts one daemon (by SIGKILL) and commits one change per churnInterval.
// It restarts only the last third of the upstreams and measures the other two
// thirds. It returns the statistics and the number of restarts.
func (s *system) measureChurn(ctx context.Context) (periodStats, int, error) {
	stable := len(s.Upstreams) - len(s.Upstreams)/3
	churning := s.Upstreams[stable:]
	replaced := 0
	r, err := s.measurePeriod(ctx, s.Upstreams[:stable], func() error {
		ticker := clock.NewTicker(churnInterval)
		defer ticker.Stop()
		for end := clock.Now().Add(churnDuration); clock.Now().Before(end); replaced++ {
			u := churning[replaced%len(churning)]
			u.Daemon.Kill()
			if err := errors.Join(u.StartDaemon(), s.benchChange(ctx, 1000+replaced)); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.Chan():
			}
		}
		return nil
	})
	if err != nil {
		return r, replaced, err
	}
	return r, replaced, s.WaitReady(ctx)
}

// report renders the control-plane cost.
func (r *control) report() string {
	t := newTable("situation", "in", "out", "in and out", "daemon with most", "target 18 KB/s")
	for _, c := range []struct {
		name  string
		stats periodStats
	}{{"idle", r.idle}, {fmt.Sprintf("churn: one daemon killed and started again and one change each second, %d replaced", r.replaced), r.churn}} {
		t.row(c.name, formatRate(c.stats.controlIn), formatRate(c.stats.controlOut), formatRate(c.stats.controlIn+c.stats.controlOut), formatRate(c.stats.maxControl), goalResult(c.stats.maxControl < targetBytes))
	}
	return t.String() + fmt.Sprintf(
		"Per daemon, of %d daemons, over control connections (metric `control_bytes_total`); a byte counts once at its sender and once at its receiver. "+
			"A change costs %.0f bytes in and out per daemon beyond the idle rate (mean of %d changes).\n\n"+
			"Reads of the platform when idle: %.1f per second; every daemon polling each second reads %d per second (computed), %d at %d daemons.\n\n",
		r.daemons, r.perChange, r.changes, r.idle.reads, r.daemons, targetDaemons, targetDaemons)
}

func formatRate(bytes float64) string { return fmt.Sprintf("%.2f KB/s", bytes/1024) }
