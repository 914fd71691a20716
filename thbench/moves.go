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
	moveWork             = 10 * time.Millisecond // service time of a request
	moveRate             = 400                   // calls per second on the route
	moveDeadline         = 10 * time.Second
	moveBaselineDuration = 3 * time.Second         // traffic before the move, which gives the baseline of the old version
	moveTailDuration     = 1500 * time.Millisecond // load and measurement after the end of the moves
	slowFaultLatency     = 60                      // ms added by a slow version
	loadFaultLatency     = 200                     // ms added by a version that is bad only under load
	loadFaultThreshold   = 1                       // concurrent requests above which that version is slow
	lateFaultDelay       = 5 * time.Second
	failingFraction      = 0.5 // fraction of requests that a failing version fails
	newVersion           = "2"
	otherPath            = "/other"
	otherRoute           = "other"
)

// versionKind is a kind of new backend version, good or with a fault.
type versionKind struct {
	name        string
	fault       thbackend.Fault
	rounds      int
	good        bool
	secondRoute bool // also moves a second route, on which the version is good
}

// versionKinds returns the good version and the five kinds of bad versions.
func (s *system) versionKinds() []versionKind {
	return []versionKind{
		{name: "good", rounds: 3, good: true},
		{name: "fails at once", rounds: 2, fault: thbackend.Fault{Share: failingFraction}},
		{name: "slow at once", rounds: 2, fault: thbackend.Fault{Latency: slowFaultLatency}},
		{name: "fails late", rounds: 2, fault: thbackend.Fault{Share: failingFraction, After: int(lateFaultDelay / time.Millisecond)}},
		{name: "bad only under load", rounds: 2, fault: thbackend.Fault{Latency: loadFaultLatency, Above: loadFaultThreshold}},
		{name: "bad on one route only", rounds: 1, fault: thbackend.Fault{Share: failingFraction, Path: s.routes.readPath}, secondRoute: true},
	}
}

// moveResult is the result of one move.
type moveResult struct {
	versionKind
	state           string
	reason          string
	took            time.Duration // from the start of the command until the first daemon reports the end of the move
	other           *moveResult   // of the second route
	newCalls        int           // calls to the new version
	hitCalls        int           // calls that the fault made fail or slow
	allCalls        int           // calls of the route up to the last call to the new version
	stopTime        time.Duration // from the first effect of the fault to the last call to the new version
	callsAfterFault int           // calls of the route in the time of stopTime
	hitAfterFault   int           // calls of callsAfterFault that the fault affected
	tally           tally
	control         periodStats // of all daemons during the move
}

// measureMoves runs moves to all kinds of versions, each kind in its number of rounds.
func (s *system) measureMoves(ctx context.Context) ([]moveResult, error) {
	if err := s.addVersion(ctx, newVersion, moveWork); err != nil {
		return nil, err
	}
	_, err := s.commit(ctx, "route", "set", otherRoute, "--path", otherPath, "--pool", s.routes.readPool, "--repeat", "safe", "--timeout", "3s", "--wait", "5s")
	if err != nil {
		return nil, err
	}
	var all []moveResult
	for _, k := range s.versionKinds() {
		for range k.rounds {
			m, err := s.measureMove(ctx, k)
			if err != nil {
				return all, therror.Wrap(therror.Internal, err, "move to a version that is %s", k.name)
			}
			s.bench.note("%s: move, %s: %s after %s %s", s.deployment.Name, k.name, m.state, m.took.Round(time.Millisecond), m.reason)
			if k.good && m.tally.good != m.tally.calls {
				s.bench.note("%s: not answered well: %s", s.deployment.Name, m.tally.frequentFailures())
			}
			all = append(all, m)
		}
	}
	return all, nil
}

// measureMove resets the routes, moves them to a new version of kind k under load,
// and returns the result of the first route.
func (s *system) measureMove(ctx context.Context, k versionKind) (moveResult, error) {
	m := moveResult{versionKind: k}
	routes := []string{s.routes.readRoute}
	paths := []string{s.routes.readPath}
	if k.secondRoute {
		routes, paths = append(routes, otherRoute), append(paths, otherPath)
	}
	if err := s.resetRoutes(ctx, routes); err != nil {
		return m, err
	}
	loads := make([]*traffic, len(paths))
	for i, p := range paths {
		loads[i] = startTraffic(ctx, s.singleCalls(p))
		defer func() { _, _ = loads[i].stop() }()
	}
	pause(ctx, moveBaselineDuration)
	if err := s.setNewVersionFault(ctx, k.fault); err != nil {
		return m, err
	}
	before, err := s.readCounters(ctx, s.Upstreams)
	if err != nil {
		return m, err
	}
	started := clock.Now()
	var names []string
	for _, r := range routes {
		c, err := s.commit(ctx, "move", "start", r, s.routes.readPool+"-"+newVersion, "--deadline", moveDeadline.String())
		if err != nil {
			return m, err
		}
		names = append(names, moveName(r, c))
	}
	ends, err := s.awaitMoves(ctx, names, started)
	if err != nil {
		return m, err
	}
	pause(ctx, moveTailDuration)
	after, err := s.readCounters(ctx, s.Upstreams)
	if err != nil {
		return m, err
	}
	m.control = between(before, after)
	return m, errors.Join(s.collect(ctx, &m, ends, loads, paths, started), s.setNewVersionFault(ctx, thbackend.Fault{}))
}

// collect stops the load, runs the checker, and computes the results of the moves.
func (s *system) collect(ctx context.Context, m *moveResult, ends []moveEnd, loads []*traffic, paths []string, started time.Time) error {
	var all [][]thload.Call
	for _, t := range loads {
		calls, err := t.stop()
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
	m.setResult(ends[0], all[0], records, paths[0], started)
	if m.secondRoute {
		m.other = &moveResult{versionKind: versionKind{name: "good, while the version is bad on another route", good: true}}
		m.other.control = m.control
		m.other.setResult(ends[1], all[1], records, paths[1], started)
	}
	return nil
}

// singleCalls returns a generator of calls whose response has one part.
func (s *system) singleCalls(path string) *thload.Generator {
	return &thload.Generator{Targets: s.ingresses(), Path: path, Rate: moveRate, Concurrency: 64, Timeout: 3 * time.Second}
}

// resetRoutes routes all traffic of the routes to the old version.
func (s *system) resetRoutes(ctx context.Context, routes []string) error {
	for _, r := range routes {
		if _, err := s.commit(ctx, "route", "set", r, "--pool", s.routes.readPool, "--wait", "5s"); err != nil {
			return err
		}
	}
	pause(ctx, settleTime)
	return nil
}

// setNewVersionFault sets the fault of all backend servers of the new version; the
// zero Fault clears it.
func (s *system) setNewVersionFault(ctx context.Context, f thbackend.Fault) error {
	var errs error
	for _, u := range s.Upstreams {
		if u.Version == newVersion {
			errs = errors.Join(errs, thfleet.SetFault(ctx, u.ServerAddress(), f))
		}
	}
	return errs
}

// moveEnd is the last status of a move and the time it took.
type moveEnd struct {
	thadmin.MoveEntry
	took time.Duration
}

// awaitMoves waits until the moves have ended. A move that is still running
// goalConvergence after its deadline is returned with its current status.
func (s *system) awaitMoves(ctx context.Context, names []string, started time.Time) ([]moveEnd, error) {
	ends := make([]moveEnd, len(names))
	for open := len(names); open > 0; {
		over := clock.Since(started) > moveDeadline+goalConvergence
		for i, r := range names {
			if ends[i].took > 0 {
				continue
			}
			m, err := s.move(ctx, s.Upstreams[0], r)
			if err != nil && over {
				return nil, err
			}
			if err == nil && (over || m.State != thconfig.MoveRunning) {
				ends[i] = moveEnd{m, clock.Since(started)}
				open--
			}
		}
		pause(ctx, awaitInterval)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return ends, nil
}

// setResult computes the result from the end of the move, the calls, and the records of
// the backend servers.
func (m *moveResult) setResult(e moveEnd, calls []thload.Call, records []thbackend.Record, path string, started time.Time) {
	m.state, m.reason, m.took = e.State, e.Reason, e.took
	m.tally = tallyCalls(calls)
	m.countRecords(records, path, started)
}

// countRecords counts the requests of the route since the start of the move. The
// fault takes effect at the end of the first request that it hits.
func (m *moveResult) countRecords(records []thbackend.Record, path string, started time.Time) {
	var faultSeen, last time.Time
	matches := func(r *thbackend.Record) bool {
		return r.Run && !r.Start.Before(started) && strings.HasPrefix(r.Path, path)
	}
	for i := range records {
		r := &records[i]
		if !matches(r) || r.Version != newVersion {
			continue
		}
		if r.Start.After(last) {
			last = r.Start
		}
		if m.hits(r) && (faultSeen.IsZero() || r.End.Before(faultSeen)) {
			faultSeen = r.End
		}
	}
	if !faultSeen.IsZero() && last.After(faultSeen) {
		m.stopTime = last.Sub(faultSeen)
	}
	for i := range records {
		r := &records[i]
		if !matches(r) || r.Start.After(last) {
			continue
		}
		after := !faultSeen.IsZero() && r.Start.After(faultSeen)
		m.allCalls++
		if after {
			m.callsAfterFault++
		}
		if r.Version != newVersion {
			continue
		}
		m.newCalls++
		if m.hits(r) {
			m.hitCalls++
			if after {
				m.hitAfterFault++
			}
		}
	}
}

// hits reports whether the fault made the request fail or slow. Requests that have not
// ended count as not hit.
func (m *moveResult) hits(r *thbackend.Record) bool {
	if r.End.IsZero() {
		return false
	}
	slow := m.fault.Latency > 0 && r.End.Sub(r.Start) >= time.Duration(m.fault.Latency)*time.Millisecond
	return r.Status >= http.StatusInternalServerError || slow
}

// reportMoves renders the moves of a deployment, in one table for good and one for bad
// versions.
func reportMoves(all []moveResult) string {
	good := newTable("good version", "state", "ended after", "deadline", "on time", "calls", "not answered well",
		"control bytes in and out per daemon", "daemon with most")
	bad := newTable("bad version", "state", "last call after showing", "calls hit, of all of the route", "calls to the new version, of all of the route",
		"calls hit after showing", "stopped within 3 s", "at most 2% hit", "reason")
	var list []*moveResult
	for i := range all {
		list = append(list, &all[i])
		if o := all[i].other; o != nil {
			list = append(list, o)
		}
	}
	for _, m := range list {
		if m.good {
			onTime := m.state == thconfig.MoveDone && m.took <= moveDeadline
			good.row(m.name, m.state+" "+m.reason, m.took.Round(time.Millisecond), moveDeadline, goalResult(onTime), m.tally.calls, m.tally.calls-m.tally.good,
				formatRate(m.control.controlIn+m.control.controlOut), formatRate(m.control.maxControl))
			continue
		}
		back := m.state == thconfig.MoveReverted
		bad.row(m.name, m.state, m.stopTime.Round(time.Millisecond), percent(m.hitCalls, m.allCalls), percent(m.newCalls, m.allCalls), percent(m.hitAfterFault, m.callsAfterFault),
			goalResult(back && m.stopTime <= goalStopTime), goalResult(back && float64(m.hitCalls) <= goalHitFraction*float64(m.allCalls)), m.reason)
	}
	lost := ""
	for _, m := range list {
		if m.good && m.tally.good != m.tally.calls {
			lost += "Not answered well in a good move: " + m.tally.frequentFailures() + ".\n\n"
		}
	}
	return good.String() + lost + bad.String() +
		"A fault shows with the end of the first request that it hit. Shares count the route's calls from the start of the move until the last call to the new version, " +
		"by the records of the backend servers; \"after showing\" counts only those begun since then. The goal of 2% is compared with the calls hit.\n\n"
}
