package thbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thstandin"
)

// Changes per platform state. The state with an outage and without poke has fewer,
// because each of its changes waits for the end of the outage.
const (
	changesPerState = 110
	changesUnpoked  = 12
)

const (
	slowPlatformDelay   = 200 * time.Millisecond
	convergenceTimeout  = 6 * time.Second        // for a change to take effect on all daemons
	outageDuration      = 2 * time.Second        // of an outage; shorter if the change is in effect on all daemons before
	extraOutage         = 300 * time.Millisecond // added to each outage
	maxPhase            = 250 * time.Millisecond // upper limit of the random delay before a change, which varies its phase against the pollers
	breakerCloseTimeout = 2 * time.Second        // for the circuit breaker to close before the next change
)

// Fleets that measure convergence concurrently to save time.
const (
	fleetQuick = iota // control bytes and the quick platform states
	fleetSlow
	fleetDown
)

// platformState is one state of the platform in which convergence is measured.
type platformState struct {
	name    string
	changes int
	delay   time.Duration // added to each platform request
	outage  bool          // the platform fails right after the commit
	poke    bool          // the command notifies one daemon (--admin)
	fleet   int           // fleet that measures this state
}

// platformStates returns the measured states in the order of the report.
func platformStates() []platformState {
	return []platformState{
		{name: "healthy, command with --admin", changes: changesPerState, poke: true, fleet: fleetQuick},
		{name: "healthy, command without --admin", changes: changesPerState, fleet: fleetQuick},
		{name: "slow (200 ms a request), with --admin", changes: changesPerState, delay: slowPlatformDelay, poke: true, fleet: fleetSlow},
		{name: "down right after the commit, with --admin", changes: changesPerState, outage: true, poke: true, fleet: fleetDown},
		{name: "down for 2 s right after the commit, without --admin", changes: changesUnpoked, outage: true, fleet: fleetQuick},
	}
}

// convergence is the result for one platform state.
type convergence struct {
	platformState
	times        []time.Duration // from the start of the command until in effect on all daemons
	commands     []time.Duration // duration of the commands
	timedOut     int             // changes not in effect on all daemons within convergenceTimeout
	duringOutage int             // changes in effect on all daemons during the outage
	breakerOpen  int             // outages after which the notified daemon's circuit breaker was still open after breakerCloseTimeout
	baseline     []time.Duration // convergence times of the polling baseline
}

// measureState measures convergence in one platform state.
func (s *system) measureState(ctx context.Context, a platformState) (convergence, error) {
	r := convergence{platformState: a}
	if err := s.setPlatformFault(ctx, thstandin.Fault{Delay: a.delay.String()}); err != nil {
		return r, err
	}
	pollers := s.startPollers(ctx, len(s.Upstreams))
	changes := make([]change, 0, a.changes)
	for i := range a.changes {
		pause(ctx, time.Duration(rand.Int64N(int64(maxPhase))))
		c, err := s.commitWith(ctx, a.poke, "route", "set", "bench", "--path", "/bench", "--pool", s.routes.readPool,
			"--repeat", "safe", "--timeout", fmt.Sprintf("%dms", 1000+i))
		if err != nil {
			pollers.stop(nil)
			return r, err
		}
		changes = append(changes, c)
		r.commands = append(r.commands, c.ended.Sub(c.started))
		if err := s.awaitChange(ctx, &r, c); err != nil {
			pollers.stop(nil)
			return r, err
		}
	}
	pause(ctx, 2*pollPeriod)
	r.baseline = pollers.stop(changes)
	return r, s.setPlatformFault(ctx, thstandin.Fault{})
}

// awaitChange waits until a change is in effect on all daemons and adds the result
// to r. If the state has an outage, it starts and ends one first. A change that
// takes longer than convergenceTimeout counts as timed out and isn't an error.
func (s *system) awaitChange(ctx context.Context, r *convergence, c change) error {
	if r.outage {
		if err := s.setPlatformFault(ctx, thstandin.Fault{Fail: true}); err != nil {
			return err
		}
		times, lacking, err := s.activations.await(ctx, s.Upstreams, c.version, outageDuration)
		if err != nil {
			return err
		}
		if len(lacking) == 0 && len(times) > 0 {
			r.duringOutage++
		}
		pause(ctx, extraOutage)
		if err := s.setPlatformFault(ctx, thstandin.Fault{}); err != nil {
			return err
		}
	}
	took, err := s.awaitConvergence(ctx, c, convergenceTimeout)
	switch {
	case err != nil && therror.KindOf(err) != therror.Late:
		return err
	case err != nil:
		r.timedOut++
		r.times = append(r.times, convergenceTimeout)
	default:
		r.times = append(r.times, took)
	}
	if r.outage && !s.breakerClosed(ctx) {
		r.breakerOpen++
	}
	return nil
}

// breakerClosed waits up to breakerCloseTimeout for the circuit breaker of the daemon that
// commands notify, and reports whether it closed. A daemon that sends no platform
// request reports its breaker as open until the next one.
func (s *system) breakerClosed(ctx context.Context) bool {
	for end := clock.Now().Add(breakerCloseTimeout); ; pause(ctx, awaitInterval) {
		v, err := s.Upstreams[0].Status(ctx)
		if err == nil && !v.Platform.Open {
			return true
		}
		if clock.Now().After(end) || ctx.Err() != nil {
			return false
		}
	}
}

// reportConvergence renders the convergence of a deployment, one row for each platform
// state; all is in the order of platformStates.
func reportConvergence(daemons int, all []convergence) string {
	t := newTable("platform", "changes", "p50", "p99", "max", "p50 of the command itself", "in effect while down",
		"p99 under 1 s", "max under 3 s", "every daemon polling each second: p50", "p99", "max")
	for i, r := range all {
		if len(r.times) == 0 {
			t.row(platformStates()[i].name, "not measured")
			continue
		}
		p99, most := quantile(r.times, 0.99), quantile(r.times, 1)
		during := "-"
		if r.outage {
			during = fmt.Sprintf("%d of %d", r.duringOutage, len(r.times))
		}
		longest := millis(most)
		if r.timedOut > 0 {
			longest = fmt.Sprintf("%d not within %s", r.timedOut, convergenceTimeout)
		}
		t.row(r.name, len(r.times), millis(quantile(r.times, 0.5)), millis(p99), longest, millis(quantile(r.commands, 0.5)), during,
			goalResult(r.timedOut == 0 && p99 < goalConvergenceP99), goalResult(r.timedOut == 0 && most < goalConvergence),
			millis(quantile(r.baseline, 0.5)), millis(quantile(r.baseline, 0.99)), millis(quantile(r.baseline, 1)))
	}
	text := t.String()
	for _, r := range all {
		if r.breakerOpen > 0 {
			text += fmt.Sprintf("Platform %s: after %d outages the daemon that commands tell of changes still had its circuit breaker open %s later.\n\n", r.name, r.breakerOpen, breakerCloseTimeout)
		}
	}
	return text + fmt.Sprintf("From the start of the operator's command until the last of %d daemons has the version in effect, by the daemons' log lines (1 ms). "+
		"The baseline is measured in the same run with %d pollers beside the fleet, one per daemon; computed, it is %s at p50 and %s at p99 plus the command.\n\n",
		daemons, daemons, millis(pollBaseline(daemons, 0.5)), millis(pollBaseline(daemons, 0.99)))
}
