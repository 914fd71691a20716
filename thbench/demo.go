package thbench

import (
	"context"
	"errors"
	"time"

	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thfleet"
)

// Goals of docs/design.md.
const (
	goalConvergence    = 3 * time.Second // maximum
	goalConvergenceP99 = time.Second
	goalStopTime       = 3 * time.Second // a bad version, from showing to its last call
	goalHitFraction    = 0.02            // of the calls that go to a bad version before it is stopped
	goalLatencyRatio   = 2.0             // p99 through a zone move against its calm value
)

const (
	demoWork           = 2 * time.Millisecond
	demoMoveDeadline   = 10 * time.Second
	demoZoneDuration   = 4 * time.Second // how long a zone is out, and how long its return is watched
	moveStatusInterval = 100 * time.Millisecond
	settleTime         = time.Second
)

// Demo shows both deployments, one after the other. The error lists what went
// wrong.
func (b *Bench) Demo(ctx context.Context) error {
	var all error
	for _, d := range []*thfleet.Deployment{&thfleet.Ishikari, &thfleet.Ikaze} {
		if err := b.demoDeployment(ctx, d); err != nil {
			all = errors.Join(all, therror.Wrap(therror.Internal, err, "%s", d.Name))
		}
	}
	if all == nil {
		b.note("nothing went wrong")
	}
	return all
}

func (b *Bench) demoDeployment(ctx context.Context, d *thfleet.Deployment) error {
	b.note("%s: starting the platform and %d upstreams in %d zones", d.Name, d.Size(), len(d.Zones))
	s, err := b.deploy(ctx, d, demoWork)
	if err != nil {
		return err
	}
	defer s.kill()
	b.note("%s: all daemons ready, tables of %s in effect", d.Name, d.Tables)
	t := startTraffic(ctx, s.streamedCalls(150), s.keyedCalls(20))
	failed := s.runDemoSteps(ctx)
	calls, err := t.stop()
	failed = errors.Join(failed, err)
	records, err := s.records(ctx)
	failed = errors.Join(failed, err)
	c := tallyCalls(calls)
	b.note("%s: %s", d.Name, c.String())
	if c.good != c.calls {
		b.note("%s: not good: %s", d.Name, c.frequentFailures())
		failed = errors.Join(failed, therror.New(therror.Broken, "%d of %d calls were not answered well", c.calls-c.good, c.calls))
	}
	violations := thcheck.Check(calls, records)
	if len(violations) == 0 {
		b.note("%s: checker: no violation in %d calls and %d requests that backend servers recorded", d.Name, len(calls), len(records))
	}
	for _, v := range violations[:min(5, len(violations))] {
		b.note("%s: checker: %s", d.Name, v)
	}
	if len(violations) > 0 {
		failed = errors.Join(failed, therror.New(therror.Internal, "%d violations", len(violations)))
	}
	if err := s.stop(); err != nil {
		failed = errors.Join(failed, err)
	}
	b.note("%s: everything stopped", d.Name)
	return failed
}

func (s *system) runDemoSteps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{s.demoChange, s.demoMove, s.demoZone} {
		pause(ctx, settleTime)
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) demoChange(ctx context.Context) error {
	c, err := s.commit(ctx, "route", "set", "extra", "--path", "/extra", "--pool", s.routes.readPool, "--repeat", "safe", "--timeout", "3s")
	if err != nil {
		return err
	}
	took, err := s.awaitConvergence(ctx, c, goalConvergence)
	if err != nil {
		return err
	}
	s.bench.note("%s: version %d in effect on all %d daemons %s after its command started",
		s.deployment.Name, c.version, len(s.Upstreams), took)
	return nil
}

// demoMove starts backend servers of version 2 beside the old ones and moves
// the traffic of a route to them.
func (s *system) demoMove(ctx context.Context) error {
	name := s.deployment.Name
	if err := s.addVersion(ctx, newVersion, demoWork); err != nil {
		return err
	}
	s.bench.note("%s: backend servers of %s version 2 started", name, s.routes.readService)
	c, err := s.commit(ctx, "move", "start", s.routes.readRoute, s.routes.readPool+"-"+newVersion, "--deadline", demoMoveDeadline.String())
	if err != nil {
		return err
	}
	s.bench.note("%s: move of route %s started, deadline in %s", name, s.routes.readRoute, demoMoveDeadline)
	last := -1.0
	for clock.Since(c.started) < demoMoveDeadline+goalConvergence {
		m, err := s.move(ctx, s.Upstreams[0], moveName(s.routes.readRoute, c))
		if err == nil && m.State != thconfig.MoveRunning {
			s.bench.note("%s: move %s after %s %s", name, m.State, clock.Since(c.started).Round(time.Millisecond), m.Reason)
			if m.State != thconfig.MoveDone {
				return therror.New(therror.Internal, "a good version was not moved to: %s %s", m.State, m.Reason)
			}
			if late := clock.Since(c.started) - demoMoveDeadline; late > 0 {
				return therror.New(therror.Late, "the move ended %s after its deadline", late)
			}
			return nil
		}
		if err == nil && m.Share != last {
			last = m.Share
			s.bench.note("%s: share %.0f%% after %s", name, 100*m.Share, clock.Since(c.started).Round(time.Millisecond))
		}
		pause(ctx, moveStatusInterval)
	}
	return therror.New(therror.Late, "the move has not ended %s after its deadline", goalConvergence)
}

// addVersion starts backend servers of another version of the service that
// reads go to, each with a daemon, and commits their pool.
func (s *system) addVersion(ctx context.Context, version string, work time.Duration) error {
	for _, v := range s.deployment.Services {
		if v.Name != s.routes.readService {
			continue
		}
		for _, u := range s.deployment.Upstreams(v, version, work) {
			if err := s.Add(u); err != nil {
				return err
			}
		}
	}
	if err := s.WaitReady(ctx); err != nil {
		return err
	}
	_, err := s.commit(ctx, "pool", "set", s.routes.readPool+"-"+version, "--service", s.routes.readService, "--version", version, "--wait", "5s")
	return err
}

func (s *system) demoZone(ctx context.Context) error {
	zone := s.deployment.Zones[0]
	for _, direction := range []string{"out", "in"} {
		c, err := s.commit(ctx, "zone", direction, zone)
		if err != nil {
			return err
		}
		took, err := s.awaitConvergence(ctx, c, goalConvergence)
		if err != nil {
			return err
		}
		s.bench.note("%s: zone %s %s, in effect everywhere after %s", s.deployment.Name, zone, direction, took)
		pause(ctx, demoZoneDuration)
	}
	return nil
}

// pause waits; the end of the context shortens it.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
