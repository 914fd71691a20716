package thmove

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// tick runs one iteration of the loop for each running move: it evaluates the local
// statistics, reports the counts of the local backend server to the coordinator, and
// acts as the coordinator if this daemon is the first in the rendezvous order.
func (m *Mover) tick(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view.Load()
	if v == nil || len(v.byMove) == 0 {
		return
	}
	m.ticks++
	now := m.Clock.Now()
	self := m.Membership.Self()
	live := m.Membership.Live()
	for _, t := range v.byMove {
		if t.end.Load() != nil {
			continue
		}
		m.judgeLocal(v, t, now)
		coordinator, found := m.Membership.First("move/"+t.move.Name, live)
		if !found {
			continue
		}
		if !v.large[t.move.Name] || m.ticks%2 == 0 || t.currentStep().number >= firstLoadTest {
			m.report(t, now, self, coordinator.Name)
		}
		if coordinator.Name != self.Name {
			t.coordinatorSince = time.Time{}
			continue
		}
		if t.coordinatorSince.IsZero() {
			t.coordinatorSince = now
		}
		m.coordinate(ctx, v, t, now)
	}
}

// judgeLocal suspends the new version on this daemon if it is bad by the calls that
// this daemon sent. It doesn't wait for the coordinator and ignores the longest window.
func (m *Mover) judgeLocal(v *view, t *track, now time.Time) {
	if t.bad.Load() {
		return
	}
	for _, w := range windows[:lastWindow] {
		result := judge(t.ingressCounts(now, w, v.excluded), t.move.From, t.move.To, v.groupings(), &t.localBaseline, t.schedule.samples())
		if result.bad && !t.isSuspended(now) {
			t.suspendedUntil.Store(thclock.Stamp(now.Add(suspension)))
			m.Log.Warn("new version suspended on this daemon", "move", t.move.Name, "reason", result.reason)
		}
	}
}

func (v *view) zoneOf(server string) string { return v.zones[server] }

func serverOf(server string) string { return server }

// groupings returns the groups of servers that a verdict may leave out: servers and zones.
func (v *view) groupings() []grouping {
	return []grouping{{groupOf: serverOf}, {groupOf: v.zoneOf}}
}

// fleetGroupings returns the groupings for the verdict of the coordinator. From the first
// load test on, only groups may be left out that were bad before: a version that is bad
// under load is so first on the servers with most of it. A coordinator that took over
// since then knows of no such group.
func (v *view) fleetGroupings(t *track) []grouping {
	groupings := v.groupings()
	if t.currentStep().number < firstLoadTest {
		return groupings
	}
	for i := range groupings {
		groupings[i].outliers = map[string]bool{}
		if len(t.outliers) > i {
			groupings[i].outliers = t.outliers[i]
		}
	}
	return groupings
}

// report sends the counts of the local backend server to the coordinator. Only daemons
// whose servers belong to the two pools have counts, so that the coordinator's load
// grows with the size of the pools instead of the size of the fleet. Readers report without
// counts too, since they know when the move began.
func (m *Mover) report(t *track, now time.Time, self thwire.Member, coordinator string) {
	oldTotals, newTotals := t.served[0].currentTotals(), t.served[1].currentTotals()
	all := m.ticks%longestWindowTicks == 0 || t.coordinator != coordinator
	t.coordinator = coordinator
	for i, w := range windows {
		if i == lastWindow && !all && t.currentStep().number < firstLoadTest {
			continue
		}
		r := thwire.Report{
			Move: t.move.Name, Source: self.Name, Window: i, Counts: t.targetCounts(now, w, self.Name),
			OldSent: oldTotals.sent, NewSent: newTotals.sent, OldActive: oldTotals.active, NewAnswered: newTotals.answered,
			Age: now.Sub(t.move.Start),
		}
		required := i == 0 && all && m.IsReader != nil && m.IsReader()
		m.sendReport(t, now, coordinator, r, required)
	}
}

// sendReport sends a report, or stores it if this daemon is the recipient. Of
// consecutive empty reports only the first one is sent, which replaces the previous
// report of this daemon, and those that are required.
func (m *Mover) sendReport(t *track, now time.Time, to string, r thwire.Report, required bool) {
	if to == r.Source {
		t.putReport(now, r)
		return
	}
	empty := len(r.Counts) == 0 && r.OldActive == 0
	if empty && t.reportedTo[r.Window] != to && !required {
		return
	}
	t.reportedTo[r.Window] = to
	if empty {
		t.reportedTo[r.Window] = ""
	}
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		if err := m.Membership.Send(to, thwire.TypeReport, &r); err != nil {
			m.Log.Debug("sending a report to the coordinator failed", "move", r.Move, "to", to, "error", err)
		}
	}()
}

// coordinate performs the work of the coordinator: it evaluates the reports, raises the
// step or marks the new version as bad, and commits the end of the move. There is no
// verdict once that has begun, as it could contradict the end.
func (m *Mover) coordinate(ctx context.Context, v *view, t *track, now time.Time) {
	if t.commits > 0 {
		m.finish(ctx, t, now, t.commitState, t.commitReason)
		return
	}
	m.commitStart(ctx, t, now)
	if !t.bad.Load() && !t.alone.Load() {
		counts := m.judgeFleet(v, t, now)
		m.logEvidence(t, counts, now)
		m.raiseStep(v, t, counts, now)
	}
	switch {
	case t.bad.Load():
		m.finish(ctx, t, now, thconfig.MoveReverted, t.reason)
	case m.isComplete(t, now):
		m.finish(ctx, t, now, thconfig.MoveDone, "")
	}
}

// judgeFleet evaluates the reports of all daemons, and publishes that the new version
// is bad. A version that is still suspect near the deadline after a load test is bad too.
// judgeFleet returns the counts of the longest window.
func (m *Mover) judgeFleet(v *view, t *track, now time.Time) []thwire.ServerCounts {
	var counts []thwire.ServerCounts
	step := t.currentStep().number
	t.suspect = false
	for i, window := range windows {
		counts = withoutExcluded(t.reports.sum(now, i), v.excluded)
		result := judge(counts, t.move.From, t.move.To, v.fleetGroupings(t), &t.fleetBaseline, t.schedule.samples())
		t.suspect = t.suspect || result.suspect
		if !t.bad.Load() && (result.bad || result.suspect && step >= firstLoadTest && t.isDue(now)) {
			m.Log.Warn("new version is bad", "move", t.move.Name, "step", step, "window", window, "reason", result.reason)
			m.publish(v, now, thwire.MoveState{Move: t.move.Name, Step: step, Bad: true, Reason: result.reason})
		}
	}
	return counts
}

// raiseStep publishes the next step when the schedule, the evidence and the exposure limit
// allow it. A version that is suspect gets no load test.
func (m *Mover) raiseStep(v *view, t *track, counts []thwire.ServerCounts, now time.Time) {
	step, sent := t.currentStep(), t.sent.sum(now)
	t.evidence.update(step.number, step.share(now), sent, t.sent)
	next := step.number + 1
	switch {
	case t.bad.Load() || v.servers[t.move.Name] == 0,
		next > min(t.schedule.maxStep(now, t.fleetBaseline.slowest()), lastStep),
		!t.hasSettled(now) || !t.evidence.isEnough(sent),
		t.suspect && next >= firstLoadTest:
		return
	case step.number == finalLoadTest && !m.hasTested(v, t):
		if t.isDue(now) {
			m.Log.Warn("new version is untested", "move", t.move.Name, "servers", v.servers[t.move.Name])
			m.publish(v, now, thwire.MoveState{Move: t.move.Name, Step: step.number, Bad: true, Reason: "the load test was not seen whole"})
		}
		return
	}
	var test loadTest
	if isLoadTest(next) {
		if test = t.schedule.planLoadTest(next, now, m.Exposure, sent); test.lasts == 0 {
			return
		}
	}
	if next == firstLoadTest {
		t.outliers = nil
		for _, g := range v.groupings() {
			t.outliers = append(t.outliers, findOutliers(counts, t.move.To, g.groupOf, t.fleetBaseline))
		}
	}
	calls := test.callsPerServer(v.servers[t.move.Name])
	m.Log.Info("move raised", "move", t.move.Name, "step", next, "share", stepShare(next), "lasts", test.lasts, "calls", calls)
	m.publish(v, now, thwire.MoveState{Move: t.move.Name, Step: next, Lasts: test.lasts, Calls: calls})
}

// hasTested reports whether the final load test, which has ended, has been seen. A coordinator
// that took over since its start can't tell, and goes by the responses alone.
func (m *Mover) hasTested(v *view, t *track) bool {
	if t.coordinatorSince.After(t.currentStep().since.Add(2 * tickInterval)) {
		return true
	}
	return t.evidence.coversLoadTest(t.sent, v.servers[t.move.Name])
}

// logEvidence logs what the verdict about a running move is based on, once per
// evidenceLogInterval: the calls sent, and the counts of the routes with a baseline.
func (m *Mover) logEvidence(t *track, counts []thwire.ServerCounts, now time.Time) {
	if now.Sub(t.evidenceLogged) < evidenceLogInterval {
		return
	}
	t.evidenceLogged = now
	sent := t.sent.sum(now)
	m.Log.Info("evidence of move", "move", t.move.Name, "step", t.currentStep().number, "share", t.currentStep().share(now),
		"new_sent", sent.newVersion, "sent", sent.all(), "allowed", m.Exposure.allowed(float64(sent.all())))
	newVersion := sumCounts(counts, func(c thwire.ServerCounts) bool { return c.Pool != t.move.To })
	for _, route := range slices.Sorted(maps.Keys(newVersion)) {
		s, old := newVersion[route], t.fleetBaseline[route]
		if old == nil {
			continue
		}
		limit := slowLimit(old)
		slow, timed := s.slowerThan(limit)
		oldSlow, oldTimed := old.slowerThan(limit)
		m.Log.Info("evidence of move on route", "move", t.move.Name, "route", route, "window", longestWindow,
			"new", s.responses, "new_errors", s.errors, "new_timed", timed, "new_slow", slow,
			"old", old.responses, "old_errors", old.errors, "old_timed", oldTimed, "old_slow", oldSlow, "slow_limit", limit)
	}
}

// hasSettled reports whether the counts reflect the step: it has lasted long enough, and
// this daemon has been the coordinator since the start of the move, or for as long as the
// reports of all windows take.
func (t *track) hasSettled(now time.Time) bool {
	step := t.currentStep()
	sinceStart := t.coordinatorSince.Sub(t.schedule.start) <= 2*tickInterval
	if !sinceStart && now.Sub(t.coordinatorSince) < reportTime {
		return false
	}
	dwell := max(t.schedule.minDwell(), 2*tickInterval)
	if isLoadTest(step.number) {
		dwell = step.lasts + tickInterval
		// Calls sent at the end of the test are slow after this time, or have ended.
		dwell += min(t.fleetBaseline.slowest(), t.schedule.maxOutcomeWait(step.number))
	}
	return now.Sub(step.since) >= dwell
}

// withoutExcluded removes the counts of excluded servers in place.
func withoutExcluded(counts []thwire.ServerCounts, excluded map[string]bool) []thwire.ServerCounts {
	kept := counts[:0]
	for _, c := range counts {
		if !excluded[c.Server] {
			kept = append(kept, c)
		}
	}
	return kept
}

// publish applies a state update of a move and floods it to all daemons. m.mu is held,
// so the membership is called in a goroutine.
func (m *Mover) publish(v *view, now time.Time, u thwire.MoveState) {
	m.applyUpdate(v, u, now)
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		m.Membership.MergeMoveState(u)
	}()
}

// isComplete reports whether the new version has all traffic and the calls of the old
// version have ended. Its servers may stop at once after the end of the move. Calls still
// in progress near the deadline don't hold up the end. The version that is in service
// completes its move at the deadline.
func (m *Mover) isComplete(t *track, now time.Time) bool {
	if t.alone.Load() {
		return t.isDue(now) // by then all servers are known
	}
	step := t.currentStep()
	if step.number < lastStep || now.Sub(step.since) < 2*tickInterval || t.suspect {
		return false
	}
	return t.sent.sum(now).oldActive == 0 || t.isDue(now)
}

// isDue reports whether the move has to end for its end to be committed by the deadline.
func (t *track) isDue(now time.Time) bool {
	return now.After(t.schedule.deadline.Add(-completionReserve))
}

// commitStart commits in a goroutine that a move runs; later ticks repeat it until it
// succeeds or the order has been replaced.
func (m *Mover) commitStart(ctx context.Context, t *track, now time.Time) {
	if m.StartCommitter == nil || t.startCommitted || now.Before(t.nextStart) {
		return
	}
	t.nextStart = now.Add(startCommitInterval)
	move, inService := t.move, t.inService
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		c, cancel := context.WithTimeout(ctx, startCommitInterval)
		defer cancel()
		err := m.StartCommitter.CommitStart(c, move, inService)
		m.mu.Lock()
		defer m.mu.Unlock()
		switch {
		case err == nil || therror.Is(err, therror.Conflict):
			t.startCommitted = t.move.Order == move.Order
			m.Log.Info("start of move committed", "move", move.Name, "in_service", inService, "replaced", err != nil)
		default:
			m.Log.Warn("start of move not committed", "move", move.Name, "error", err, "interval", startCommitInterval)
		}
	}()
}

// finish commits the end of a move in a goroutine; later ticks repeat it until it
// succeeds. The commit is conditional on the move's state, so that a second or delayed
// attempt or coordinator changes nothing. The committed end is flooded to all daemons.
func (m *Mover) finish(ctx context.Context, t *track, now time.Time, state, reason string) {
	if now.Before(t.nextCommit) {
		return
	}
	t.commits++
	t.commitState, t.commitReason, t.nextCommit = state, reason, now.Add(commitInterval)
	move := t.move
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		c, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		end, err := m.EndCommitter.CommitEnd(c, move, state, reason)
		m.mu.Lock()
		defer m.mu.Unlock()
		t.commits--
		switch v := m.view.Load(); {
		case t.end.Load() != nil: // another attempt has succeeded
		case err != nil:
			m.Log.Warn("end of move not committed", "move", t.move.Name, "state", state, "error", err, "interval", commitInterval)
		default:
			m.Log.Info("end of move committed", "move", t.move.Name, "state", end, "verdict", state)
			if end != "" && v != nil {
				m.publish(v, m.Clock.Now(), thwire.MoveState{Move: t.move.Name, Step: t.currentStep().number, End: end})
			}
		}
	}()
}
