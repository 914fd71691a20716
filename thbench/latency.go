package thbench

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

const (
	latencyRate   = 1000 // calls per second
	latencyTime   = 2500 * time.Millisecond
	latencyWarm   = 500 * time.Millisecond // left out at the begin of each run
	latencyRounds = 8
	chainRate     = 100
	chainTime     = 2 * time.Second
	chainRounds   = 3
	fullRate      = 6000
	fullTime      = 4 * time.Second
	targetAdded   = 330 * time.Microsecond // at p99
)

var chainLengths = []int{1, 3, 5, 10}

// way is one way of a call: straight to a backend server, over the daemon
// beside it, or over two daemons.
type way struct {
	name   string
	target func() string // address
	path   string
}

// added is the latencies of one way, and what it adds to those of the straight
// way in the same round.
type added struct {
	name  string
	calls int // of a chain
	times [3][]time.Duration
	extra [3][]time.Duration
	bad   int // calls not answered well
	base  bool
}

var ranks = [3]float64{0.50, 0.99, 0.999}

// latency is the result of the comparison.
type latency struct {
	single, chains []added
	full           fullLoad
}

// fullLoad is the processor time of calls at a high rate over two daemons.
type fullLoad struct {
	rate, good    float64 // per second, sent and answered well
	processor     float64 // cores that both daemons used
	perCoreSecond float64
}

// latencies compares calls through the mesh with calls straight to a server.
func (b *Bench) latencies(ctx context.Context) (latency, error) {
	var r latency
	s, near, far, straight, err := b.pair(ctx)
	if err != nil {
		return r, err
	}
	defer s.kill()
	if r.single, err = compareWays(ctx, singleWays("", near, near), 1, latencyRounds, latencyRate, latencyTime); err != nil {
		return r, err
	}
	for _, n := range chainLengths {
		query := fmt.Sprintf("/chain?depth=%d", n-1)
		chain := []way{
			{"straight", straight.ServerAddress, "/near" + query},
			{"over one daemon a call", near.Ingress, "/near" + query},
			{"over two daemons a call", near.Ingress, "/far" + query},
		}
		list, err := compareWays(ctx, chain, n, chainRounds, chainRate, chainTime)
		if err != nil {
			return r, err
		}
		r.chains = append(r.chains, list...)
	}
	r.full, err = s.full(ctx, near, far)
	return r, err
}

const overOne = "over the daemon beside it"

// singleWays returns the ways of single calls. Straight calls go to base, so
// that several pairs can have one baseline.
func singleWays(label string, base, near *thfleet.Upstream) []way {
	return []way{
		{"straight to the backend server", base.ServerAddress, "/near"},
		{label + overOne, near.Ingress, "/near"},
		{label + "over two daemons", near.Ingress, "/far"},
	}
}

// Latency measures what the mesh adds to a single call, and prints the tables.
// With other turmerichaven programs it measures a pair of daemons of each in
// turn in the same rounds, so that the machine's other load reaches all of them;
// with several it leaves out calls over one daemon.
func (b *Bench) Latency(ctx context.Context, rounds int, others ...string) error {
	binaries := append([]string{b.Binary}, others...)
	labels := make([]string, len(binaries))
	for i, name := range others {
		labels[0], labels[i+1] = "this: ", filepath.Base(name)+": "
	}
	var ways []way
	var stages []*stage
	var pairs [][2]*thfleet.Upstream
	for i, binary := range binaries {
		bench := &Bench{Binary: binary, Standin: b.Standin, Out: b.Out, Notes: b.Notes, Keep: b.Keep}
		s, near, far, _, err := bench.pair(ctx)
		if err != nil {
			return err
		}
		defer s.kill()
		stages, pairs = append(stages, s), append(pairs, [2]*thfleet.Upstream{near, far})
		list := singleWays(labels[i], pairs[0][0], near)
		if i > 0 {
			list = list[1:]
		}
		if len(others) > 1 {
			list = slices.DeleteFunc(list, func(w way) bool { return w.name == labels[i]+overOne })
		}
		ways = append(ways, list...)
	}
	list, err := compareWays(ctx, ways, 1, rounds, latencyRate, latencyTime)
	if err != nil {
		return err
	}
	b.print("%s", reportSingle(list, rounds))
	for i, s := range stages {
		f, err := s.full(ctx, pairs[i][0], pairs[i][1])
		if err != nil {
			return err
		}
		b.print("%s%s", labels[i], f.report())
	}
	return nil
}

// pair starts two upstreams of one service each, and a third whose server's
// chains call the server itself.
func (b *Bench) pair(ctx context.Context) (s *stage, near, far, straight *thfleet.Upstream, err error) {
	if s, err = b.empty(); err != nil {
		return nil, nil, nil, nil, err
	}
	upstream := func(name string) *thfleet.Upstream {
		return &thfleet.Upstream{Name: name, Zone: "a-1", Region: "a", Service: name, Version: "1", Slots: 100}
	}
	near, far, straight = upstream("near"), upstream("far"), upstream("straight")
	far.ChainAddress = near.Ingress
	straight.ChainAddress = straight.ServerAddress
	for _, u := range []*thfleet.Upstream{near, far, straight} {
		if err = s.Add(u); err != nil {
			s.kill()
			return nil, nil, nil, nil, err
		}
	}
	tables := filepath.Join(s.Dir, "tables.ini")
	if err = writeFile(tables, pairTables); err == nil {
		_, err = s.Command(ctx, "apply", tables)
	}
	if err == nil {
		err = s.WaitReady(ctx)
	}
	if err != nil {
		s.kill()
		return nil, nil, nil, nil, err
	}
	// Servers start with a limit of a tenth of their slots.
	warm := run(ctx, latencyLoad(near.Ingress(), "/near", latencyRate, 2*time.Second), latencyLoad(near.Ingress(), "/far", latencyRate, 2*time.Second))
	_, err = warm.wait()
	return s, near, far, straight, err
}

const pairTables = `[pool near]
service = near
version = 1

[pool far]
service = far
version = 1

[route near]
path = /near
pool = near
repeat = safe
timeout = 5s

[route far]
path = /far
pool = far
repeat = safe
timeout = 5s
`

func latencyLoad(target, path string, rate float64, d time.Duration) *thload.Generator {
	return &thload.Generator{Targets: []string{target}, Path: path, Rate: rate, Duration: d, Concurrency: 64, Timeout: 5 * time.Second}
}

// compareWays runs the ways one after the other in each round, so that slow
// changes of the machine's load reach all of them. The first way is the baseline.
func compareWays(ctx context.Context, ways []way, calls, rounds int, rate float64, d time.Duration) ([]added, error) {
	list := make([]added, len(ways))
	for range rounds {
		var base [3]time.Duration
		for i, w := range ways {
			t := run(ctx, latencyLoad(w.target(), w.path, rate, d))
			done, err := t.wait()
			if err != nil {
				return nil, err
			}
			a := &list[i]
			a.name, a.calls, a.base = w.name, calls, i == 0
			times := warmTimes(done, &a.bad)
			if len(times) == 0 {
				return nil, therror.New(therror.Broken, "no call %s was answered", w.name)
			}
			for k, q := range ranks {
				v := quantile(times, q)
				if i == 0 {
					base[k] = v
				}
				a.times[k] = append(a.times[k], v)
				a.extra[k] = append(a.extra[k], v-base[k])
			}
		}
	}
	return list, nil
}

// warmTimes returns the latencies of good calls, from sending to the end, after
// the warm-up.
func warmTimes(calls []thload.Call, bad *int) []time.Duration {
	var first time.Time
	for i := range calls {
		if first.IsZero() || calls[i].Due.Before(first) {
			first = calls[i].Due
		}
	}
	var times []time.Duration
	for i := range calls {
		c := &calls[i]
		switch {
		case !c.Succeeded():
			*bad++
		case c.Due.Sub(first) >= latencyWarm:
			times = append(times, c.End.Sub(c.Start))
		}
	}
	return times
}

// full measures the processor time of calls over two daemons at a high rate.
func (s *stage) full(ctx context.Context, near, far *thfleet.Upstream) (fullLoad, error) {
	var f fullLoad
	processor := func() (sum time.Duration, err error) {
		for _, u := range []*thfleet.Upstream{near, far} {
			v, err := usageOf(u.Daemon.PID())
			if err != nil {
				return 0, err
			}
			sum += v.processor
		}
		return sum, nil
	}
	before, err := processor()
	if err != nil {
		return f, err
	}
	begun := clock.Now()
	calls, err := run(ctx, latencyLoad(near.Ingress(), "/far", fullRate, fullTime)).wait()
	if err != nil {
		return f, err
	}
	elapsed := clock.Since(begun).Seconds()
	after, err := processor()
	if err != nil {
		return f, err
	}
	c := count(calls)
	used := (after - before).Seconds()
	f.rate, f.good, f.processor = float64(c.calls)/elapsed, float64(c.good)/elapsed, used/elapsed
	if used > 0 {
		f.perCoreSecond = float64(c.good) / used
	}
	return f, nil
}
