package thmove

import (
	"context"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// tick judges the own evidence, reports that about the own backend server, and
// does the duty of the holder where it falls to this daemon.
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
		m.judgeLocal(v, t, now)
		holder, found := m.Membership.First("move/"+t.move.Name, live)
		if !found {
			continue
		}
		if !v.large[t.move.Name] || m.ticks%2 == 0 {
			m.report(t, now, self, holder.Name)
		}
		if holder.Name != self.Name {
			t.coordinatorSince = time.Time{}
			continue
		}
		if t.coordinatorSince.IsZero() {
			t.coordinatorSince = now
		}
		m.coordinate(ctx, v, t, now)
	}
}

// judgeLocal stops sending to the new version at once when this daemon's own
// evidence is bad.
func (m *Mover) judgeLocal(v *view, t *track, now time.Time) {
	if t.bad.Load() {
		return
	}
	for _, w := range windows[:lastWindow] {
		d := judge(t.ingressCounts(now, w, v.excluded), t.move.From, t.move.To, v.zoneOf, &t.localBaseline)
		if d.bad && now.UnixNano() >= t.suspendedUntil.Load() {
			t.suspendedUntil.Store(now.Add(suspension).UnixNano())
			m.Log.Warn("new version suspended on this daemon", "move", t.move.Name, "reason", d.reason)
		}
	}
}

func (v *view) zoneOf(server string) string { return v.zones[server] }

// report sends the evidence about the own backend server to the holder. Only
// the daemons beside servers of the two pools have any, so that the holder's
// cost grows with the pools and not with the fleet.
func (m *Mover) report(t *track, now time.Time, self thwire.Member, holder string) {
	for i, w := range windows {
		if i == lastWindow && m.ticks%longestWindowTicks != 0 {
			continue
		}
		m.sendReport(t, now, holder, thwire.Report{
			Move: t.move.Name, Source: self.Name, Window: i, Counts: t.targetCounts(now, w, self.Name),
		})
	}
}

// sendReport keeps a report for this daemon itself and sends any other. The first
// empty report is sent too, since it replaces the previous one of the source.
func (m *Mover) sendReport(t *track, now time.Time, to string, r thwire.Report) {
	if to == r.Source {
		t.reports.put(now, r)
		return
	}
	empty := len(r.Counts) == 0
	if empty && t.reportedTo[r.Window] != to {
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
			m.Log.Debug("report not sent", "move", r.Move, "to", to, "error", err)
		}
	}()
}

// coordinate judges the fleet's evidence, raises the step or condemns the new
// version, and commits the end of the move.
func (m *Mover) coordinate(ctx context.Context, v *view, t *track, now time.Time) {
	if !t.bad.Load() {
		m.judgeFleet(v, t, now)
	}
	switch {
	case t.bad.Load():
		m.finish(ctx, t, now, thconfig.MoveReverted, t.reason)
	case m.isComplete(t, now):
		m.finish(ctx, t, now, thconfig.MoveDone, "")
	}
}

func (m *Mover) judgeFleet(v *view, t *track, now time.Time) {
	var counts []thwire.Count
	for i := range windows {
		counts = withoutExcluded(t.reports.sum(now, i), v.excluded)
		if d := judge(counts, t.move.From, t.move.To, v.zoneOf, &t.fleetBaseline); d.bad {
			m.Log.Warn("new version is bad", "move", t.move.Name, "step", t.step.Load(), "reason", d.reason)
			m.publish(v, now, thwire.Fact{Move: t.move.Name, Step: int(t.step.Load()), Bad: true, Reason: d.reason})
			return
		}
	}
	step := int(t.step.Load())
	if step >= lastStep || step >= maxStep(t.move, now) || !hasDwelt(t, now) || v.empty[t.move.Name] {
		return
	}
	if !hasEnoughResponses(counts, t.move.From, t.move.To, stepShare(step)) {
		return
	}
	m.Log.Info("move raised", "move", t.move.Name, "step", step+1, "share", stepShare(step+1))
	m.publish(v, now, thwire.Fact{Move: t.move.Name, Step: step + 1})
}

// hasDwelt reports whether the step and this holder's own duty are old enough for
// the evidence to speak about the step. A new holder has no reports at first.
func hasDwelt(t *track, now time.Time) bool {
	dwell := max(minDwell(t.move), 2*tickInterval)
	return now.Sub(t.stepSince) >= dwell && now.Sub(t.coordinatorSince) >= dwell
}

func withoutExcluded(counts []thwire.Count, excluded map[string]bool) []thwire.Count {
	kept := counts[:0]
	for _, c := range counts {
		if !excluded[c.Server] {
			kept = append(kept, c)
		}
	}
	return kept
}

// publish floods a fact; m.mu is held, so the membership gets it from a goroutine.
func (m *Mover) publish(v *view, now time.Time, f thwire.Fact) {
	m.applyFact(v, f, now)
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		m.Membership.MergeFact(f)
	}()
}

// isComplete reports whether the new version has all the traffic and has kept it
// for the time that the schedule gives the last step.
func (m *Mover) isComplete(t *track, now time.Time) bool {
	return int(t.step.Load()) == lastStep && maxStep(t.move, now) > lastStep && hasDwelt(t, now)
}

// finish commits the end of a move and retries while the platform is down.
// The commit has the move's state as a condition, so a second holder or one
// that was paused changes nothing.
func (m *Mover) finish(ctx context.Context, t *track, now time.Time, state, reason string) {
	if t.finishing || now.Before(t.nextFinish) {
		return
	}
	t.finishing = true
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		c, cancel := context.WithTimeout(ctx, finishTimeout)
		defer cancel()
		err := m.Finisher.Finish(c, t.move, state, reason)
		m.mu.Lock()
		defer m.mu.Unlock()
		t.finishing = false
		t.finishBackoff = min(max(2*t.finishBackoff, minFinishBackoff), maxFinishBackoff)
		t.nextFinish = m.Clock.Now().Add(t.finishBackoff)
		if err != nil {
			m.Log.Warn("end of move not committed", "move", t.move.Name, "state", state, "error", err, "retry", t.finishBackoff)
			return
		}
		m.Log.Info("end of move committed", "move", t.move.Name, "state", state)
	}()
}
