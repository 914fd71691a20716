package thbench

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// measureWork is the service time of the backend servers.
const measureWork = 2 * time.Millisecond

// deploymentResult holds the results of one deployment. Parts that could not be
// measured are empty and their error is in errs.
type deploymentResult struct {
	deployment  *thfleet.Deployment
	mutex       sync.Mutex    // guards checks and errs; parts run concurrently
	convergence []convergence // in the order of platformStates
	control     control
	moves       []moveResult
	zone        zoneMoveResult
	checks      checkResult
	errs        error
}

// checkResult sums up the results of the checker.
type checkResult struct {
	calls, records int
	violations     map[thcheck.Kind]int
	sample         []thcheck.Violation
}

// verify runs the checker on completed calls and adds the result to s.checks.
func (s *system) verify(calls []thload.Call, records []thbackend.Record) {
	c := &s.checks
	c.calls += len(calls)
	c.records = max(c.records, len(records))
	for _, v := range thcheck.Check(calls, records) {
		if c.violations == nil {
			c.violations = map[thcheck.Kind]int{}
		}
		c.violations[v.Kind]++
		if len(c.sample) < 5 {
			c.sample = append(c.sample, v)
		}
	}
}

// Measure measures both deployments and prints the report. Convergence, control
// bytes and moves of both run concurrently. The zone moves measure latency and run
// alone, one after the other.
func (b *Bench) Measure(ctx context.Context) error {
	all := []*deploymentResult{{deployment: &thfleet.Ishikari}, {deployment: &thfleet.Ikaze}}
	for _, m := range all {
		b.note("%s: zone", m.deployment.Name)
		b.measurePart(ctx, m, measureWork, func(s *system) (err error) { m.zone, err = s.measureZoneMove(ctx); return err })
	}
	var running sync.WaitGroup
	for _, m := range all {
		m.convergence = make([]convergence, len(platformStates()))
		running.Go(func() {
			b.measurePart(ctx, m, measureWork, func(s *system) (err error) {
				if m.control, err = s.measureControl(ctx); err != nil {
					return err
				}
				return s.measureStates(ctx, m, fleetQuick)
			})
		})
		for _, fleet := range []int{fleetSlow, fleetDown} {
			running.Go(func() {
				b.measurePart(ctx, m, measureWork, func(s *system) error { return s.measureStates(ctx, m, fleet) })
			})
		}
		running.Go(func() {
			b.measurePart(ctx, m, moveWork, func(s *system) (err error) { m.moves, err = s.measureMoves(ctx); return err })
		})
	}
	running.Wait()
	var errs error
	b.print("%s", reportIntro())
	for _, m := range all {
		b.print("%s", m.report())
		errs = errors.Join(errs, m.errs)
	}
	return errs
}

// measurePart runs f, one part of the measurements, on a fleet of its own.
func (b *Bench) measurePart(ctx context.Context, m *deploymentResult, work time.Duration, f func(*system) error) {
	s, err := b.deploy(ctx, m.deployment, work)
	if err != nil {
		m.addPart(b, nil, err)
		return
	}
	defer s.kill()
	err = f(s)
	m.addPart(b, &s.checks, errors.Join(err, s.stop()))
}

// addPart adds the checker's result and the error of a part; c may be nil.
func (m *deploymentResult) addPart(b *Bench, c *checkResult, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c != nil {
		m.checks.add(c)
	}
	if err != nil {
		b.note("%s: %v", m.deployment.Name, err)
		m.errs = errors.Join(m.errs, therror.Wrap(therror.Internal, err, "%s", m.deployment.Name))
	}
}

func (c *checkResult) add(o *checkResult) {
	c.calls, c.records = c.calls+o.calls, c.records+o.records
	for k, n := range o.violations {
		if c.violations == nil {
			c.violations = map[thcheck.Kind]int{}
		}
		c.violations[k] += n
	}
	c.sample = append(c.sample, o.sample...)
}

// measureStates measures the platform states that are assigned to the given fleet.
func (s *system) measureStates(ctx context.Context, m *deploymentResult, fleet int) error {
	for i, a := range platformStates() {
		if a.fleet != fleet {
			continue
		}
		s.bench.note("%s: convergence, platform %s", s.deployment.Name, a.name)
		r, err := s.measureState(ctx, a)
		m.convergence[i] = r // partial results are kept after an error
		if err != nil {
			return err
		}
	}
	return nil
}

// reportIntro returns the first paragraph of a report, with the date and the machine.
func reportIntro() string {
	return fmt.Sprintf("Measured %s on a shared machine with %d processor cores, all processes on loopback addresses of that machine. "+
		"Compare figures of one run with each other; absolute times vary with the machine's other load.\n\n",
		clock.Now().UTC().Format("2006-01-02 15:04 MST"), runtime.NumCPU())
}

// report renders all results of a deployment.
func (m *deploymentResult) report() string {
	var out strings.Builder
	fmt.Fprintf(&out, "## %s\n\n", m.deployment.Name)
	if m.errs != nil {
		fmt.Fprintf(&out, "**Not complete:** %v\n\n", m.errs)
	}
	fmt.Fprintf(&out, "### Convergence\n\n%s", reportConvergence(m.deployment.UpstreamCount(), m.convergence))
	fmt.Fprintf(&out, "### Control bytes\n\n%s", m.control.report())
	fmt.Fprintf(&out, "### Moves between versions\n\n%s", reportMoves(m.moves))
	fmt.Fprintf(&out, "### Planned zone move\n\n%s", m.zone.report())
	fmt.Fprintf(&out, "### Checker\n\n%s", m.checks.report())
	return out.String()
}

func (c *checkResult) report() string {
	t := newTable("violation", "found", "goal none")
	for _, k := range []struct {
		kind thcheck.Kind
		name string
	}{
		{thcheck.FalseNotRun, "false \"not run\""},
		{thcheck.RunTwice, "run twice"},
		{thcheck.ForeignContent, "mixed answer"},
		{thcheck.TruncatedAsComplete, "cut answer shown as whole"},
		{thcheck.NoRecord, "answer without a run"},
	} {
		t.row(k.name, c.violations[k.kind], goalResult(c.violations[k.kind] == 0))
	}
	text := t.String() + fmt.Sprintf("Over %d calls of all parts above.\n", c.calls)
	for _, v := range c.sample {
		text += "- " + v.String() + "\n"
	}
	return text + "\n"
}
