package thbench

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thfleet"
)

const (
	slopeSpan    = 10 * time.Second // idle
	slopeChanges = 20
	slopeLimit   = 90 * time.Second // until a fleet is ready
	lossSpan     = 10 * time.Second // after a zone is lost, and after it returned
	// targetServices is the number of services at the target scale; all sizes
	// have tables of this many pools and routes.
	targetServices = 46
	// targetSpread is the setting peers.spread of all sizes, so that they compare.
	targetSpread = 4 * time.Second
)

// sizes are the fleets that are measured. Those with backend servers show what
// a server costs its daemon; the line is fitted to the others, since 200
// daemons with servers would be too many processes.
var sizes = []size{
	{daemons: 9},
	{daemons: 13},
	{daemons: 50, loss: true},
	{daemons: 100, loss: true},
	{daemons: 200, loss: true},
	{daemons: 50, servers: true},
	{daemons: 100, servers: true},
}

// Zones and regions of the target scale.
var targetZones = []string{"a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3"}

type size struct {
	daemons int
	servers bool
	loss    bool // lose a zone and start it again
}

// slope is what was measured at one size.
type slope struct {
	size
	ready     time.Duration // from the first process's start until all daemons take calls
	complete  time.Duration // until all know all members
	startup   platformCounts
	burst     float64 // most platform reads in a second of the start
	idle      span
	times     []time.Duration // convergence
	perChange float64         // control bytes in and out per daemon
	lost      span            // of survivors while a zone is lost
	returned  span            // of survivors while it returns
	noticed   time.Duration   // until all survivors know that the zone's daemons are dead
	back      time.Duration   // until the zone's daemons are ready again
}

// fleetOf starts daemons at once and returns when all know each other.
func (b *Bench) fleetOf(ctx context.Context, z size) (*stage, slope, error) {
	r := slope{size: z}
	s, err := b.empty()
	if err != nil {
		return nil, r, err
	}
	fail := func(err error) (*stage, slope, error) {
		s.kill()
		return nil, r, err
	}
	s.paths = paths{readPool: "s-1"}
	s.InitialReadSpread = targetSpread
	tables := filepath.Join(s.Dir, "tables.ini")
	if err := writeFile(tables, targetTables()); err != nil {
		return fail(err)
	}
	if _, err := s.Command(ctx, "apply", tables); err != nil {
		return fail(err)
	}
	before, err := s.platformCounts(ctx)
	if err != nil {
		return fail(err)
	}
	peak := s.watchReads(ctx)
	begun := clock.Now()
	for i := range z.daemons {
		zone := targetZones[i%len(targetZones)]
		u := &thfleet.Upstream{
			Name: fmt.Sprintf("d-%d", i+1), Zone: zone, Region: zone[:1], Service: fmt.Sprintf("s-%d", i%targetServices+1), Version: "1",
			Slots: 20, ProcessingTime: measureWork, NoServer: !z.servers,
		}
		if err := s.Add(u); err != nil {
			return fail(err)
		}
	}
	if err := s.Wait(ctx, slopeLimit, "ready", func(_ *thfleet.Upstream, v thadmin.Status) bool { return v.Self.Ready }); err != nil {
		return fail(err)
	}
	r.ready = clock.Since(begun)
	if err := s.Wait(ctx, slopeLimit, "complete", func(_ *thfleet.Upstream, v thadmin.Status) bool { return live(v) >= z.daemons }); err != nil {
		return fail(err)
	}
	r.complete = clock.Since(begun)
	r.burst = peak()
	after, err := s.platformCounts(ctx)
	if err != nil {
		return fail(err)
	}
	r.startup = platformCounts{after.reads - before.reads, after.writes - before.writes}
	return s, r, nil
}

// targetTables are a route and a pool for each service of the target scale.
func targetTables() string {
	var out strings.Builder
	for i := 1; i <= targetServices; i++ {
		fmt.Fprintf(&out, "[pool s-%d]\nservice = s-%d\nversion = 1\n\n", i, i)
		fmt.Fprintf(&out, "[route r-%d]\npath = /r-%d\npool = s-%d\nclass = class-%d\nrepeat = safe\ntimeout = 5s\n\n", i, i, i, i)
	}
	return out.String()
}

func live(v thadmin.Status) int {
	n := 0
	for _, m := range v.Members {
		if m.Live() {
			n++
		}
	}
	return n
}

// slope measures one size.
func (b *Bench) slope(ctx context.Context, z size) (slope, error) {
	s, r, err := b.fleetOf(ctx, z)
	if err != nil {
		return r, err
	}
	defer s.kill()
	b.note("%d daemons ready after %s", z.daemons, r.ready.Round(time.Millisecond))
	pause(ctx, settleTime)
	if r.idle, err = s.over(ctx, s.Upstreams, func() error { pause(ctx, slopeSpan); return nil }); err != nil {
		return r, err
	}
	changing, err := s.over(ctx, s.Upstreams, func() error {
		for i := range slopeChanges {
			c, err := s.commitWith(ctx, i%2 == 0, "route", "set", "bench", "--path", "/bench", "--pool", s.paths.readPool,
				"--repeat", "safe", "--timeout", fmt.Sprintf("%dms", 1000+i))
			if err != nil {
				return err
			}
			took, err := s.converge(ctx, c, converged)
			if err != nil {
				return err
			}
			r.times = append(r.times, took)
		}
		return nil
	})
	if err != nil {
		return r, err
	}
	r.perChange = (changing.in + changing.out - r.idle.in - r.idle.out) * changing.seconds / slopeChanges
	if z.loss {
		err = s.lose(ctx, &r)
	}
	return r, err
}

// lose kills all daemons of a zone at once, and starts them again at once.
func (s *stage) lose(ctx context.Context, r *slope) error {
	var zone, rest []*thfleet.Upstream
	for _, u := range s.Upstreams {
		if u.Zone == targetZones[0] {
			zone = append(zone, u)
		} else {
			rest = append(rest, u)
		}
	}
	knows := func(n int) func(*thfleet.Upstream, thadmin.Status) bool {
		return func(_ *thfleet.Upstream, v thadmin.Status) bool { return v.Self.Ready && live(v) == n }
	}
	var err error
	r.lost, err = s.over(ctx, rest, func() error {
		begun := clock.Now()
		for _, u := range zone {
			u.Daemon.Kill()
		}
		if err := s.Wait(ctx, slopeLimit, "rid of the lost zone", knows(len(rest))); err != nil {
			return err
		}
		r.noticed = clock.Since(begun)
		pause(ctx, lossSpan-r.noticed)
		return nil
	})
	if err != nil {
		return err
	}
	r.returned, err = s.over(ctx, rest, func() error {
		begun := clock.Now()
		for _, u := range zone {
			if err := u.StartDaemon(); err != nil {
				return err
			}
		}
		if err := s.Wait(ctx, slopeLimit, "with the zone back", knows(len(s.Upstreams))); err != nil {
			return err
		}
		r.back = clock.Since(begun)
		pause(ctx, lossSpan-r.back)
		return nil
	})
	return err
}
