package thbench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thload"
)

const (
	zoneRate             = 400 // calls per second
	zoneKeyedRate        = 20
	zoneBaselineDuration = 10 * time.Second // load before the zone is taken out
	zoneOutDuration      = 8 * time.Second
	zoneReturnDuration   = 14 * time.Second // longer than the ramp after a zone's return (10 s)
	zoneWarmUp           = 3 * time.Second  // load before the baseline is measured
)

// zoneMoveResult is the result of a planned zone move: a zone is taken out and returned.
type zoneMoveResult struct {
	zone           string
	seconds        []zoneSecond
	baselineP99    time.Duration // p99 of the baseline period
	maxBaselineP99 time.Duration // highest p99 of a second in the baseline period
	tally          tally
	lastStart      time.Duration // from the start of the command until the zone's servers started their last request
	rejected       int           // requests that servers rejected because all slots were in use
}

// zoneSecond is one second of load with its phase: calm, out or back.
type zoneSecond struct {
	phase string
	thload.SecondStats
}

// measureZoneMove takes the first zone of the deployment out and returns it, under load.
func (s *system) measureZoneMove(ctx context.Context) (zoneMoveResult, error) {
	r := zoneMoveResult{zone: s.deployment.Zones[0]}
	stream := s.streamedCalls(zoneRate)
	t := startTraffic(ctx, stream, s.keyedCalls(zoneKeyedRate))
	defer func() { _, _ = t.stop() }()
	pause(ctx, zoneWarmUp)
	baseline := clock.Now()
	pause(ctx, zoneBaselineDuration)
	out, err := s.commit(ctx, "zone", "out", r.zone)
	if err != nil {
		return r, err
	}
	pause(ctx, zoneOutDuration)
	in, err := s.commit(ctx, "zone", "in", r.zone)
	if err != nil {
		return r, err
	}
	pause(ctx, zoneReturnDuration)
	end := clock.Now()
	calls, err := t.stop()
	if err != nil {
		return r, err
	}
	records, err := s.records(ctx)
	if err != nil {
		return r, err
	}
	s.verify(calls, records)
	r.tally = tallyCalls(calls)
	r.addSeconds(stream, baseline, out.started, in.started, end)
	r.lastStart = s.lastStart(records, r.zone, out.started, in.started)
	for i := range records {
		if records[i].Overload && !records[i].Run && records[i].Start.After(baseline) {
			r.rejected++
		}
	}
	return r, nil
}

// lastStart returns the time from out until the servers of the zone started their last
// request before in; zero if they started none.
func (s *system) lastStart(records []thbackend.Record, zone string, out, in time.Time) time.Duration {
	servers := map[string]bool{}
	for _, u := range s.Upstreams {
		servers[u.Name] = u.Zone == zone
	}
	var last time.Duration
	for i := range records {
		if r := &records[i]; servers[r.Server] && r.Start.After(out) && r.Start.Before(in) {
			last = max(last, r.Start.Sub(out))
		}
	}
	return last
}

// addSeconds assigns the generator's seconds to phases and computes the baseline. It
// omits seconds that begin before baseline or end after end.
func (r *zoneMoveResult) addSeconds(g *thload.Generator, baseline, out, in, end time.Time) {
	for _, s := range g.StatsBySecond() {
		secondEnd := s.Start.Add(time.Second)
		second := zoneSecond{SecondStats: s}
		switch {
		case s.Start.Before(baseline) || secondEnd.After(end):
			continue
		case !secondEnd.After(out):
			second.phase = "calm"
			r.maxBaselineP99 = max(r.maxBaselineP99, s.P99)
		case !secondEnd.After(in):
			second.phase = "out"
		default:
			second.phase = "back"
		}
		r.seconds = append(r.seconds, second)
	}
	h := g.Histogram(baseline, out.Add(-time.Second))
	r.baselineP99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// report renders a summary of each phase, and its seconds in one row per phase.
func (r *zoneMoveResult) report() string {
	t := newTable("phase of zone "+r.zone, "seconds", "calls", "answered", "worst second's p99", "against calm p99",
		"no failed call", "p99 under twice the calm value", "seconds above")
	detail := newTable("phase", "answered share and p99 in ms of each second")
	for _, phase := range []string{"calm", "out", "back"} {
		seconds, calls, good, above := 0, 0, 0, 0
		var worst time.Duration
		var line []string
		for _, s := range r.seconds {
			if s.phase != phase {
				continue
			}
			seconds, calls, good, worst = seconds+1, calls+s.Calls, good+s.Good, max(worst, s.P99)
			if ratio(s.P99, r.baselineP99) >= goalLatencyRatio {
				above++
			}
			line = append(line, fmt.Sprintf("%s %.1f", percent(s.Good, s.Calls), float64(s.P99)/float64(time.Millisecond)))
		}
		t.row(phase, seconds, calls, percent(good, calls), millis(worst), fmt.Sprintf("%.2f", ratio(worst, r.baselineP99)),
			goalResult(good == calls), goalResult(above == 0), above)
		detail.row(phase, strings.Join(line, "; "))
	}
	text := t.String() + detail.String()
	text += fmt.Sprintf("Streamed calls of %d parts at %d a second, and %d keyed calls a second beside them. Calm p99 %s, of the worst calm second %s. All calls: %s. "+
		"The zone's servers began their last request %s after the command that took it out started. Requests refused by servers above their slots: %d.\n",
		streamParts, zoneRate, zoneKeyedRate, millis(r.baselineP99), millis(r.maxBaselineP99), r.tally.String(), millis(r.lastStart), r.rejected)
	if r.tally.good != r.tally.calls {
		text += "Not answered well: " + r.tally.frequentFailures() + ".\n"
	}
	return text + "\n"
}
