package thbench

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

const (
	moveWork     = 10 * time.Millisecond // of a request
	moveRate     = 400                   // calls per second on the route
	moveDeadline = 10 * time.Second
	moveLead     = 3 * time.Second // of traffic before the move, for the old version's evidence
	moveTail     = 1500 * time.Millisecond
	moveSlow     = 60  // ms added by a slow version
	moveLoaded   = 200 // ms added by a version that is bad under load
	moveAbove    = 1   // requests at once above which it is
	moveLate     = 5 * time.Second
	moveFails    = 0.5 // share of failed requests of a version that fails
	newVersion   = "2"
	otherPath    = "/other"
	otherRoute   = "other"
)

// kind is one kind of backend version.
type kind struct {
	name   string
	fault  thbackend.Fault
	rounds int
	good   bool
	second bool // a second route moves at the same time, on which the version is good
}

// kinds are the good version and the five kinds of bad ones.
func (s *stage) kinds() []kind {
	return []kind{
		{name: "good", rounds: 3, good: true},
		{name: "fails at once", rounds: 2, fault: thbackend.Fault{Share: moveFails}},
		{name: "slow at once", rounds: 2, fault: thbackend.Fault{Latency: moveSlow}},
		{name: "fails late", rounds: 2, fault: thbackend.Fault{Share: moveFails, After: int(moveLate / time.Millisecond)}},
		{name: "bad only under load", rounds: 2, fault: thbackend.Fault{Latency: moveLoaded, Above: moveAbove}},
		{name: "bad on one route only", rounds: 1, fault: thbackend.Fault{Share: moveFails, Path: s.paths.read}, second: true},
	}
}

// moved is the result of one move.
type moved struct {
	kind
	state    string
	reason   string
	took     time.Duration // from the command's start until one daemon knows the end
	other    *moved        // of the second route
	fresh    int           // calls to the new version before the last of them
	hit      int           // calls that its fault made fail or slow
	all      int           // calls of the route until the last call to the new version
	stopped  time.Duration // from showing to the last call to the new version
	window   int           // calls of the route from showing to that last call
	hitAfter int           // and those of them that the fault hit
	tally    tally
	control  span // of all daemons during the move
}

// moves runs all moves of a deployment.
func (s *stage) moves(ctx context.Context) ([]moved, error) {
	if err := s.addVersion(ctx, newVersion, moveWork); err != nil {
		return nil, err
	}
	_, err := s.commit(ctx, "route", "set", otherRoute, "--path", otherPath, "--pool", s.paths.readPool, "--repeat", "safe", "--timeout", "3s", "--wait", "5s")
	if err != nil {
		return nil, err
	}
	var all []moved
	for _, k := range s.kinds() {
		for range k.rounds {
			m, err := s.moveOnce(ctx, k)
			if err != nil {
				return all, therror.Wrap(therror.Internal, err, "move to a version that is %s", k.name)
			}
			s.bench.note("%s: move, %s: %s after %s %s", s.deployment.Name, k.name, m.state, m.took.Round(time.Millisecond), m.reason)
			if k.good && m.tally.good != m.tally.calls {
				s.bench.note("%s: not answered well: %s", s.deployment.Name, m.tally.sample())
			}
			all = append(all, m)
		}
	}
	return all, nil
}

func (s *stage) moveOnce(ctx context.Context, k kind) (moved, error) {
	m := moved{kind: k}
	routes := []string{s.paths.readRoute}
	paths := []string{s.paths.read}
	if k.second {
		routes, paths = append(routes, otherRoute), append(paths, otherPath)
	}
	if err := s.rewind(ctx, routes); err != nil {
		return m, err
	}
	loads := make([]*traffic, len(paths))
	for i, p := range paths {
		loads[i] = run(ctx, s.single(p))
		defer func() { _, _ = loads[i].end() }()
	}
	pause(ctx, moveLead)
	if err := s.newVersionFault(ctx, k.fault); err != nil {
		return m, err
	}
	before, err := s.read(ctx, s.Upstreams)
	if err != nil {
		return m, err
	}
	begun := clock.Now()
	var names []string
	for _, r := range routes {
		c, err := s.commit(ctx, "move", "start", r, s.paths.readPool+"-"+newVersion, "--deadline", moveDeadline.String())
		if err != nil {
			return m, err
		}
		names = append(names, moveName(r, c))
	}
	ends, err := s.awaitMoves(ctx, names, begun)
	if err != nil {
		return m, err
	}
	pause(ctx, moveTail)
	after, err := s.read(ctx, s.Upstreams)
	if err != nil {
		return m, err
	}
	m.control = between(before, after)
	return m, errors.Join(s.collect(ctx, &m, ends, loads, paths, begun), s.newVersionFault(ctx, thbackend.Fault{}))
}

// collect ends the load and works out the results of the moves.
func (s *stage) collect(ctx context.Context, m *moved, ends []ending, loads []*traffic, paths []string, begun time.Time) error {
	var all [][]thload.Call
	for _, t := range loads {
		calls, err := t.end()
		if err != nil {
			return err
		}
		all = append(all, calls)
	}
	records, err := s.records(ctx)
	if err != nil {
		return err
	}
	s.verify(slices.Concat(all...), records)
	m.take(ends[0], all[0], records, paths[0], begun)
	if m.second {
		m.other = &moved{kind: kind{name: "good, while the version is bad on another route", good: true}}
		m.other.control = m.control
		m.other.take(ends[1], all[1], records, paths[1], begun)
	}
	return nil
}

// single is a load of calls with one part.
func (s *stage) single(path string) *thload.Generator {
	return &thload.Generator{Targets: s.ingresses(), Path: path, Rate: moveRate, Concurrency: 64, Timeout: 3 * time.Second}
}

// rewind sends the routes' traffic back to the old version.
func (s *stage) rewind(ctx context.Context, routes []string) error {
	for _, r := range routes {
		if _, err := s.commit(ctx, "route", "set", r, "--pool", s.paths.readPool, "--wait", "5s"); err != nil {
			return err
		}
	}
	pause(ctx, settleTime)
	return nil
}

// newVersionFault makes all backend servers of the new version misbehave.
func (s *stage) newVersionFault(ctx context.Context, f thbackend.Fault) error {
	var errs error
	for _, u := range s.Upstreams {
		if u.Version == newVersion {
			errs = errors.Join(errs, thfleet.SetFault(ctx, u.ServerAddress(), f))
		}
	}
	return errs
}

// ending is the end of a move.
type ending struct {
	thadmin.MoveEntry
	took time.Duration
}

// awaitMoves waits until the moves have ended, or until well after their
// deadline.
func (s *stage) awaitMoves(ctx context.Context, names []string, begun time.Time) ([]ending, error) {
	ends := make([]ending, len(names))
	for open := len(names); open > 0; {
		over := clock.Since(begun) > moveDeadline+goalConvergence
		for i, r := range names {
			if ends[i].took > 0 {
				continue
			}
			m, err := s.move(ctx, s.Upstreams[0], r)
			if err != nil && over {
				return nil, err
			}
			if err == nil && (over || m.State != thconfig.MoveRunning) {
				ends[i] = ending{m, clock.Since(begun)}
				open--
			}
		}
		pause(ctx, effectEvery)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return ends, nil
}

// take works out the result from what backend servers recorded.
func (m *moved) take(e ending, calls []thload.Call, records []thbackend.Record, path string, begun time.Time) {
	m.state, m.reason, m.took = e.State, e.Reason, e.took
	m.tally = count(calls)
	m.measure(records, path, begun)
}

// measure counts the calls of the route since the move began. The fault shows
// with the end of the first request that it hit.
func (m *moved) measure(records []thbackend.Record, path string, begun time.Time) {
	var showing, last time.Time
	on := func(r *thbackend.Record) bool {
		return r.Run && !r.Start.Before(begun) && strings.HasPrefix(r.Path, path)
	}
	for i := range records {
		r := &records[i]
		if !on(r) || r.Version != newVersion {
			continue
		}
		if r.Start.After(last) {
			last = r.Start
		}
		if m.hits(r) && (showing.IsZero() || r.End.Before(showing)) {
			showing = r.End
		}
	}
	if !showing.IsZero() && last.After(showing) {
		m.stopped = last.Sub(showing)
	}
	for i := range records {
		r := &records[i]
		if !on(r) || r.Start.After(last) {
			continue
		}
		after := !showing.IsZero() && r.Start.After(showing)
		m.all++
		if after {
			m.window++
		}
		if r.Version != newVersion {
			continue
		}
		m.fresh++
		if m.hits(r) {
			m.hit++
			if after {
				m.hitAfter++
			}
		}
	}
}

// hits reports whether the fault made the request fail or slow.
func (m *moved) hits(r *thbackend.Record) bool {
	if r.End.IsZero() {
		return false
	}
	slow := m.fault.Latency > 0 && r.End.Sub(r.Start) >= time.Duration(m.fault.Latency)*time.Millisecond
	return r.Status >= http.StatusInternalServerError || slow
}

// reportMoves renders the moves of a deployment.
func reportMoves(all []moved) string {
	good := newTable("good version", "state", "ended after", "deadline", "on time", "calls", "not answered well",
		"control bytes in and out per daemon", "daemon with most")
	bad := newTable("bad version", "state", "last call after showing", "calls hit, of all of the route", "calls to the new version, of all of the route",
		"calls hit after showing", "stopped within 3 s", "at most 2% hit", "reason")
	var list []*moved
	for i := range all {
		list = append(list, &all[i])
		if o := all[i].other; o != nil {
			list = append(list, o)
		}
	}
	for _, m := range list {
		if m.good {
			onTime := m.state == thconfig.MoveDone && m.took <= moveDeadline
			good.row(m.name, m.state+" "+m.reason, m.took.Round(time.Millisecond), moveDeadline, met(onTime), m.tally.calls, m.tally.calls-m.tally.good,
				rate(m.control.in+m.control.out), rate(m.control.most))
			continue
		}
		back := m.state == thconfig.MoveReverted
		bad.row(m.name, m.state, m.stopped.Round(time.Millisecond), percent(m.hit, m.all), percent(m.fresh, m.all), percent(m.hitAfter, m.window),
			met(back && m.stopped <= goalStop), met(back && float64(m.hit) <= goalShare*float64(m.all)), m.reason)
	}
	lost := ""
	for _, m := range list {
		if m.good && m.tally.good != m.tally.calls {
			lost += "Not answered well in a good move: " + m.tally.sample() + ".\n\n"
		}
	}
	return good.String() + lost + bad.String() +
		"A fault shows with the end of the first request that it hit. Shares count the route's calls from the start of the move until the last call to the new version, " +
		"by the records of the backend servers; \"after showing\" counts only those begun since then. The goal of 2% is compared with the calls hit.\n\n"
}
