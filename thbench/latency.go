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
	latencyRate        = 1000 // calls per second
	latencyDuration    = 2500 * time.Millisecond
	latencyWarmUp      = 500 * time.Millisecond // left out at the begin of each run
	latencyRounds      = 8
	chainRate          = 100
	chainDuration      = 2 * time.Second
	chainRounds        = 3
	fullLoadRate       = 6000
	fullLoadDuration   = 4 * time.Second
	targetAddedLatency = 330 * time.Microsecond // at p99
)

var chainLengths = []int{1, 3, 5, 10}

// variant is one way of a call: straight to a backend server, over the daemon
// beside it, or over two daemons.
type variant struct {
	name   string
	target func() string // address
	path   string
}

// addedLatency is the latencies of one way, and what it adds to those of the straight
// way in the same round.
type addedLatency struct {
	name     string
	calls    int // of a chain
	times    [3][]time.Duration
	extra    [3][]time.Duration
	notGood  int // calls not answered well
	baseline bool
}

var latencyQuantiles = [3]float64{0.50, 0.99, 0.999}

// latencyResult is the result of the comparison.
type latencyResult struct {
	single, chains []addedLatency
	full           fullLoad
}

// fullLoad is the processor time of calls at a high rate over two daemons.
type fullLoad struct {
	rate, good    float64 // per second, sent and answered well
	processor     float64 // cores that both daemons used
	perCoreSecond float64
}

// measureLatency compares calls through the mesh with calls straight to a server.
func (b *Bench) measureLatency(ctx context.Context) (latencyResult, error) {
	var r latencyResult
	s, near, far, direct, err := b.startPair(ctx)
	if err != nil {
		return r, err
	}
	defer s.kill()
	if r.single, err = compareVariants(ctx, singleCallVariants("", near, near), 1, latencyRounds, latencyRate, latencyDuration); err != nil {
		return r, err
	}
	for _, n := range chainLengths {
		query := fmt.Sprintf("/chain?depth=%d", n-1)
		chain := []variant{
			{"straight", direct.ServerAddress, "/near" + query},
			{"over one daemon a call", near.Ingress, "/near" + query},
			{"over two daemons a call", near.Ingress, "/far" + query},
		}
		list, err := compareVariants(ctx, chain, n, chainRounds, chainRate, chainDuration)
		if err != nil {
			return r, err
		}
		r.chains = append(r.chains, list...)
	}
	r.full, err = s.measureFullLoad(ctx, near, far)
	return r, err
}

const viaLocalDaemon = "over the daemon beside it"

// singleCallVariants returns the ways of single calls. Straight calls go to base, so
// that several pairs can have one baseline.
func singleCallVariants(label string, base, near *thfleet.Upstream) []variant {
	return []variant{
		{"straight to the backend server", base.ServerAddress, "/near"},
		{label + viaLocalDaemon, near.Ingress, "/near"},
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
	var variants []variant
	var systems []*system
	var pairs [][2]*thfleet.Upstream
	for i, binary := range binaries {
		bench := &Bench{Binary: binary, Standin: b.Standin, Out: b.Out, Notes: b.Notes, Keep: b.Keep}
		s, near, far, _, err := bench.startPair(ctx)
		if err != nil {
			return err
		}
		defer s.kill()
		systems, pairs = append(systems, s), append(pairs, [2]*thfleet.Upstream{near, far})
		list := singleCallVariants(labels[i], pairs[0][0], near)
		if i > 0 {
			list = list[1:]
		}
		if len(others) > 1 {
			list = slices.DeleteFunc(list, func(w variant) bool { return w.name == labels[i]+viaLocalDaemon })
		}
		variants = append(variants, list...)
	}
	list, err := compareVariants(ctx, variants, 1, rounds, latencyRate, latencyDuration)
	if err != nil {
		return err
	}
	b.print("%s", reportSingle(list, rounds))
	for i, s := range systems {
		f, err := s.measureFullLoad(ctx, pairs[i][0], pairs[i][1])
		if err != nil {
			return err
		}
		b.print("%s%s", labels[i], f.report())
	}
	return nil
}

// startPair starts two upstreams of one service each, and a third whose server's
// chains call the server itself.
func (b *Bench) startPair(ctx context.Context) (s *system, near, far, direct *thfleet.Upstream, err error) {
	if s, err = b.startPlatform(); err != nil {
		return nil, nil, nil, nil, err
	}
	upstream := func(name string) *thfleet.Upstream {
		return &thfleet.Upstream{Name: name, Zone: "a-1", Region: "a", Service: name, Version: "1", Slots: 100}
	}
	near, far, direct = upstream("near"), upstream("far"), upstream("straight")
	far.Chain = near.Ingress
	direct.Chain = direct.ServerAddress
	for _, u := range []*thfleet.Upstream{near, far, direct} {
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
	warm := startTraffic(ctx, latencyLoad(near.Ingress(), "/near", latencyRate, 2*time.Second), latencyLoad(near.Ingress(), "/far", latencyRate, 2*time.Second))
	_, err = warm.wait()
	return s, near, far, direct, err
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
	return &thload.Generator{Targets: []string{target}, Path: path, Rate: rate, Time: d, Callers: 64, Timeout: 5 * time.Second}
}

// compareVariants runs the ways one after the other in each round, so that slow
// changes of the machine's load reach all of them. The first way is the baseline.
func compareVariants(ctx context.Context, variants []variant, calls, rounds int, rate float64, d time.Duration) ([]addedLatency, error) {
	list := make([]addedLatency, len(variants))
	for range rounds {
		var base [3]time.Duration
		for i, w := range variants {
			t := startTraffic(ctx, latencyLoad(w.target(), w.path, rate, d))
			done, err := t.wait()
			if err != nil {
				return nil, err
			}
			a := &list[i]
			a.name, a.calls, a.baseline = w.name, calls, i == 0
			times := warmTimes(done, &a.notGood)
			if len(times) == 0 {
				return nil, therror.New(therror.Broken, "no call %s was answered", w.name)
			}
			for k, q := range latencyQuantiles {
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
		case !c.Good():
			*bad++
		case c.Due.Sub(first) >= latencyWarmUp:
			times = append(times, c.End.Sub(c.Start))
		}
	}
	return times
}

// measureFullLoad measures the processor time of calls over two daemons at a high rate.
func (s *system) measureFullLoad(ctx context.Context, near, far *thfleet.Upstream) (fullLoad, error) {
	var f fullLoad
	processor := func() (sum time.Duration, err error) {
		for _, u := range []*thfleet.Upstream{near, far} {
			v, err := usageOf(u.Daemon.ID())
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
	started := clock.Now()
	calls, err := startTraffic(ctx, latencyLoad(near.Ingress(), "/far", fullLoadRate, fullLoadDuration)).wait()
	if err != nil {
		return f, err
	}
	elapsed := clock.Since(started).Seconds()
	after, err := processor()
	if err != nil {
		return f, err
	}
	c := tallyCalls(calls)
	used := (after - before).Seconds()
	f.rate, f.good, f.processor = float64(c.calls)/elapsed, float64(c.good)/elapsed, used/elapsed
	if used > 0 {
		f.perCoreSecond = float64(c.good) / used
	}
	return f, nil
}
