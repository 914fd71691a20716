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
	sizeIdleDuration = 10 * time.Second // measured without changes
	sizeChanges      = 20
	readyTimeout     = 90 * time.Second // for a fleet to become ready or to agree on its members
	zoneLossDuration = 10 * time.Second // measured from the loss of a zone, and again from its return
	// targetServices is the number of services at the target scale. The tables of all
	// sizes have this number of pools and routes.
	targetServices = 46
	// targetSpread is the setting peers.spread, the same for all sizes so that their
	// results are comparable.
	targetSpread = 4 * time.Second
)

// sizes are the measured fleets. The line is fitted to the sizes without backend
// servers, because 200 daemons with servers would be too many processes. The sizes
// with backend servers show the cost of a server to its daemon.
var sizes = []size{
	{daemons: 9},
	{daemons: 13},
	{daemons: 50, zoneLoss: true},
	{daemons: 100, zoneLoss: true},
	{daemons: 200, zoneLoss: true},
	{daemons: 50, servers: true},
	{daemons: 100, servers: true},
}

// targetZones are the zones of the target scale. The first letter is the region.
var targetZones = []string{"a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3"}

// size is a fleet to measure.
type size struct {
	daemons  int
	servers  bool
	zoneLoss bool // also measure the loss and return of a zone
}

// sizeResult holds the measurements of one size.
type sizeResult struct {
	size
	readyTime     time.Duration // from the start of the first process until all daemons are ready
	completeTime  time.Duration // from the start of the first process until all daemons list all members
	startupCounts platformCounts
	peakReads     float64 // highest rate of platform reads during startup, per second
	idle          periodStats
	convergence   []time.Duration // of each change
	perChange     float64         // control bytes in and out per daemon and change
	zoneDown      periodStats     // of the remaining daemons while the zone is lost
	zoneReturn    periodStats     // of the remaining daemons while the zone returns
	detectTime    time.Duration   // from the kill until no remaining daemon lists the zone's daemons as live
	returnTime    time.Duration   // from the restart until all daemons are ready and list all members
}

// startFleet starts all daemons of a size at once and returns when each lists all
// members. It measures the startup.
func (b *Bench) startFleet(ctx context.Context, z size) (*system, sizeResult, error) {
	r := sizeResult{size: z}
	s, err := b.startPlatform()
	if err != nil {
		return nil, r, err
	}
	fail := func(err error) (*system, sizeResult, error) {
		s.kill()
		return nil, r, err
	}
	s.routes = loadRoutes{readPool: "s-1"}
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
	peak := s.samplePeakReads(ctx)
	started := clock.Now()
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
	if err := s.Wait(ctx, readyTimeout, "ready", func(_ *thfleet.Upstream, v thadmin.Status) bool { return v.Self.Ready }); err != nil {
		return fail(err)
	}
	r.readyTime = clock.Since(started)
	if err := s.Wait(ctx, readyTimeout, "complete", func(_ *thfleet.Upstream, v thadmin.Status) bool { return live(v) >= z.daemons }); err != nil {
		return fail(err)
	}
	r.completeTime = clock.Since(started)
	r.peakReads = peak()
	after, err := s.platformCounts(ctx)
	if err != nil {
		return fail(err)
	}
	r.startupCounts = platformCounts{after.reads - before.reads, after.writes - before.writes}
	return s, r, nil
}

// targetTables returns the configuration of the target scale: a pool and a route for
// each service.
func targetTables() string {
	var out strings.Builder
	for i := 1; i <= targetServices; i++ {
		fmt.Fprintf(&out, "[pool s-%d]\nservice = s-%d\nversion = 1\n\n", i, i)
		fmt.Fprintf(&out, "[route r-%d]\npath = /r-%d\npool = s-%d\nclass = class-%d\nrepeat = safe\ntimeout = 5s\n\n", i, i, i, i)
	}
	return out.String()
}

// live returns the number of live members that a daemon lists.
func live(v thadmin.Status) int {
	n := 0
	for _, m := range v.Members {
		if m.Live() {
			n++
		}
	}
	return n
}

// measureSize starts a fleet of a size and measures it. Every second change is
// committed without --admin.
func (b *Bench) measureSize(ctx context.Context, z size) (sizeResult, error) {
	s, r, err := b.startFleet(ctx, z)
	if err != nil {
		return r, err
	}
	defer s.kill()
	b.note("%d daemons ready after %s", z.daemons, r.readyTime.Round(time.Millisecond))
	pause(ctx, settleTime)
	if r.idle, err = s.measurePeriod(ctx, s.Upstreams, func() error { pause(ctx, sizeIdleDuration); return nil }); err != nil {
		return r, err
	}
	changing, err := s.measurePeriod(ctx, s.Upstreams, func() error {
		for i := range sizeChanges {
			c, err := s.commitWith(ctx, i%2 == 0, "route", "set", "bench", "--path", "/bench", "--pool", s.routes.readPool,
				"--repeat", "safe", "--timeout", fmt.Sprintf("%dms", 1000+i))
			if err != nil {
				return err
			}
			took, err := s.awaitConvergence(ctx, c, convergenceTimeout)
			if err != nil {
				return err
			}
			r.convergence = append(r.convergence, took)
		}
		return nil
	})
	if err != nil {
		return r, err
	}
	r.perChange = (changing.controlIn + changing.controlOut - r.idle.controlIn - r.idle.controlOut) * changing.seconds / sizeChanges
	if z.zoneLoss {
		err = s.measureZoneLoss(ctx, &r)
	}
	return r, err
}

// measureZoneLoss kills all daemons of a zone at once, restarts them at once, and
// measures the remaining daemons in both periods.
func (s *system) measureZoneLoss(ctx context.Context, r *sizeResult) error {
	var zone, remaining []*thfleet.Upstream
	for _, u := range s.Upstreams {
		if u.Zone == targetZones[0] {
			zone = append(zone, u)
		} else {
			remaining = append(remaining, u)
		}
	}
	lists := func(n int) func(*thfleet.Upstream, thadmin.Status) bool {
		return func(_ *thfleet.Upstream, v thadmin.Status) bool { return v.Self.Ready && live(v) == n }
	}
	var err error
	r.zoneDown, err = s.measurePeriod(ctx, remaining, func() error {
		started := clock.Now()
		for _, u := range zone {
			u.Daemon.Kill()
		}
		if err := s.Wait(ctx, readyTimeout, "without the members of the lost zone", lists(len(remaining))); err != nil {
			return err
		}
		r.detectTime = clock.Since(started)
		pause(ctx, zoneLossDuration-r.detectTime)
		return nil
	})
	if err != nil {
		return err
	}
	r.zoneReturn, err = s.measurePeriod(ctx, remaining, func() error {
		started := clock.Now()
		for _, u := range zone {
			if err := u.StartDaemon(); err != nil {
				return err
			}
		}
		if err := s.Wait(ctx, readyTimeout, "with the members of the returned zone", lists(len(s.Upstreams))); err != nil {
			return err
		}
		r.returnTime = clock.Since(started)
		pause(ctx, zoneLossDuration-r.returnTime)
		return nil
	})
	return err
}
