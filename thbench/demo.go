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
	goalStopTime       = 3 * time.Second // from the first effect of a bad version's fault to the last call to that version
	goalHitFraction    = 0.02            // maximum fraction of the route's calls that a bad version's fault affects
	goalLatencyRatio   = 2.0             // maximum ratio of p99 during a zone move to the baseline p99
)

const (
	demoWork           = 2 * time.Millisecond
	demoMoveDeadline   = 10 * time.Second
	demoZoneDuration   = 4 * time.Second // after taking a zone out, and again after its return
	moveStatusInterval = 100 * time.Millisecond
	settleTime         = time.Second
)

// Demo runs the demo on both deployments, one after the other. The error joins
// all failures.
func (b *Bench) Demo(ctx context.Context) error {
	var errs error
	for _, d := range []*thfleet.Deployment{&thfleet.Ishikari, &thfleet.Ikaze} {
		if err := b.demoDeployment(ctx, d); err != nil {
			errs = errors.Join(errs, therror.Wrap(therror.Internal, err, "%s", d.Name))
		}
	}
	if errs == nil {
		b.note("nothing went wrong")
	}
	return errs
}

// demoDeployment runs the demo steps of a deployment under load and checks all calls.
func (b *Bench) demoDeployment(ctx context.Context, d *thfleet.Deployment) error {
	b.note("%s: starting the platform and %d upstreams in %d zones", d.Name, d.UpstreamCount(), len(d.Zones))
	s, err := b.deploy(ctx, d, demoWork)
	if err != nil {
		return err
	}
	defer s.kill()
	b.note("%s: all daemons ready, tables of %s in effect", d.Name, d.TablesFile)
	t := startTraffic(ctx, s.streamedCalls(150), s.keyedCalls(20))
	errs := s.runDemoSteps(ctx)
	calls, err := t.stop()
	errs = errors.Join(errs, err)
	records, err := s.records(ctx)
	errs = errors.Join(errs, err)
	c := tallyCalls(calls)
	b.note("%s: %s", d.Name, c.String())
	if c.good != c.calls {
		b.note("%s: not good: %s", d.Name, c.frequentFailures())
		errs = errors.Join(errs, therror.New(therror.Broken, "%d of %d calls were not answered well", c.calls-c.good, c.calls))
	}
	violations := thcheck.Check(calls, records)
	if len(violations) == 0 {
		b.note("%s: checker: no violation in %d calls and %d requests that backend servers recorded", d.Name, len(calls), len(records))
	}
	for _, v := range violations[:min(5, len(violations))] {
		b.note("%s: checker: %s", d.Name, v)
	}
	if len(violations) > 0 {
		errs = errors.Join(errs, therror.New(therror.Internal, "%d violations", len(violations)))
	}
	if err := s.stop(); err != nil {
		errs = errors.Join(errs, err)
	}
	b.note("%s: everything stopped", d.Name)
	return errs
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

// demoChange commits a route and waits until it is in effect on all daemons.
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

// demoMove starts backend servers of version 2 in addition to the old ones and
// moves the traffic of a route to them.
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
				return therror.New(therror.Internal, "move to a good version did not complete: %s %s", m.State, m.Reason)
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

// addVersion starts backend servers of another version of the read service, each
// with a daemon, and commits a pool for them.
func (s *system) addVersion(ctx context.Context, version string, work time.Duration) error {
	for _, v := range s.deployment.Services {
		if v.Name != s.routes.readService {
			continue
		}
		for _, u := range s.deployment.NewUpstreams(v, version, work) {
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

// demoZone takes a zone out and returns it.
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

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
