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
	zoneRate  = 400 // calls per second
	zoneKeyed = 20
	zoneCalm  = 10 * time.Second
	zoneOut   = 8 * time.Second
	zoneBack  = 14 * time.Second // longer than the ramp of 10 s
	zoneLead  = 3 * time.Second  // of load before the calm time, to warm up
)

// zoneMove is the result of taking a zone out and returning it.
type zoneMove struct {
	zone     string
	seconds  []zoneSecond
	calm     time.Duration // p99 of the calm time
	calmMost time.Duration // highest p99 of a calm second
	tally    tally
	lastWork time.Duration // from the command to the last request that a server of the zone began
	refused  int           // requests that servers refused above their slots
}

// zoneSecond is one second of load.
type zoneSecond struct {
	phase string
	thload.SecondStats
}

// zones takes a zone out and returns it under load.
func (s *stage) zones(ctx context.Context) (zoneMove, error) {
	r := zoneMove{zone: s.deployment.Zones[0]}
	stream := s.streams(zoneRate)
	t := run(ctx, stream, s.keyed(zoneKeyed))
	defer func() { _, _ = t.end() }()
	pause(ctx, zoneLead)
	calm := clock.Now()
	pause(ctx, zoneCalm)
	out, err := s.commit(ctx, "zone", "out", r.zone)
	if err != nil {
		return r, err
	}
	pause(ctx, zoneOut)
	in, err := s.commit(ctx, "zone", "in", r.zone)
	if err != nil {
		return r, err
	}
	pause(ctx, zoneBack)
	end := clock.Now()
	calls, err := t.end()
	if err != nil {
		return r, err
	}
	records, err := s.records(ctx)
	if err != nil {
		return r, err
	}
	s.verify(calls, records)
	r.tally = count(calls)
	r.take(stream, calm, out.begun, in.begun, end)
	r.lastWork = s.lastWork(records, r.zone, out.begun, in.begun)
	for i := range records {
		if records[i].Overload && !records[i].Run && records[i].Start.After(calm) {
			r.refused++
		}
	}
	return r, nil
}

// lastWork returns how long after the zone was taken out its servers still
// began requests.
func (s *stage) lastWork(records []thbackend.Record, zone string, out, in time.Time) time.Duration {
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

// take sorts the seconds into phases. Seconds that begin before the calm time
// or end after the last call are left out.
func (r *zoneMove) take(g *thload.Generator, calm, out, in, end time.Time) {
	for _, s := range g.StatsBySecond() {
		after := s.Start.Add(time.Second)
		one := zoneSecond{SecondStats: s}
		switch {
		case s.Start.Before(calm) || after.After(end):
			continue
		case !after.After(out):
			one.phase = "calm"
			r.calmMost = max(r.calmMost, s.P99)
		case !after.After(in):
			one.phase = "out"
		default:
			one.phase = "back"
		}
		r.seconds = append(r.seconds, one)
	}
	h := g.Histogram(calm, out.Add(-time.Second))
	r.calm = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// report renders the phases, and each second in one line per phase.
func (r *zoneMove) report() string {
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
			if ratio(s.P99, r.calm) >= goalLatency {
				above++
			}
			line = append(line, fmt.Sprintf("%s %.1f", percent(s.Good, s.Calls), float64(s.P99)/float64(time.Millisecond)))
		}
		t.row(phase, seconds, calls, percent(good, calls), millis(worst), fmt.Sprintf("%.2f", ratio(worst, r.calm)),
			met(good == calls), met(above == 0), above)
		detail.row(phase, strings.Join(line, "; "))
	}
	text := t.String() + detail.String()
	text += fmt.Sprintf("Streamed calls of %d parts at %d a second, and %d keyed calls a second beside them. Calm p99 %s, of the worst calm second %s. All calls: %s. "+
		"The zone's servers began their last request %s after the command that took it out started. Requests refused by servers above their slots: %d.\n",
		streamParts, zoneRate, zoneKeyed, millis(r.calm), millis(r.calmMost), r.tally.String(), millis(r.lastWork), r.refused)
	if r.tally.good != r.tally.calls {
		text += "Not answered well: " + r.tally.sample() + ".\n"
	}
	return text + "\n"
}
