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
	latencyWarmUp      = 500 * time.Millisecond // at the start of each run, excluded from the results
	latencyRounds      = 8
	chainRate          = 100
	chainDuration      = 2 * time.Second
	chainRounds        = 3
	fullLoadRate       = 6000
	fullLoadDuration   = 4 * time.Second
	targetAddedLatency = 330 * time.Microsecond // at p99
)

// chainLengths are the measured numbers of consecutive calls in a chain.
var chainLengths = []int{1, 3, 5, 10}

// variant is one variant of a call: direct to a backend server, through its local
// daemon, or through two daemons.
type variant struct {
	name   string
	target func() string // address
	path   string        // path and query of the request
}

// addedLatency holds the latency quantiles of one variant, and their difference to
// those of the baseline variant in the same round. times and extra are indexed like
// latencyQuantiles and have one value per round.
type addedLatency struct {
	name     string
	calls    int // in the chain; 1 for single calls
	times    [3][]time.Duration
	extra    [3][]time.Duration
	notGood  int // calls without a good response, warm-up included
	baseline bool
}

var latencyQuantiles = [3]float64{0.50, 0.99, 0.999}

// latencyResult is the latency of single calls and chains, and the cost at full load.
type latencyResult struct {
	single, chains []addedLatency
	full           fullLoad
}

// fullLoad is the processor time of calls at a high rate through two daemons.
type fullLoad struct {
	rate, good    float64 // calls per second: all, and good ones
	processor     float64 // cores that both daemons used
	perCoreSecond float64
}

// measureLatency compares calls through the mesh with direct calls to a backend server.
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

// viaLocalDaemon is the report's name of the variant through one daemon.
const viaLocalDaemon = "over the daemon beside it"

// singleCallVariants returns the variants of single calls. Direct calls go to base,
// so that several pairs of daemons can share one baseline.
func singleCallVariants(label string, base, near *thfleet.Upstream) []variant {
	return []variant{
		{"straight to the backend server", base.ServerAddress, "/near"},
		{label + viaLocalDaemon, near.Ingress, "/near"},
		{label + "over two daemons", near.Ingress, "/far"},
	}
}

// Latency measures the latency that the mesh adds to a single call, and prints the
// tables. others are further turmerichaven binaries: it measures a pair of daemons
// of each in the same rounds, so that other load on the machine affects all of them
// alike. With more than one of others it omits calls through one daemon.
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

// startPair starts a fleet of three upstreams with a service each and warms it up.
// The chained calls of far enter at the ingress of near, so that each passes both
// daemons. Those of direct go to its server without a daemon.
func (b *Bench) startPair(ctx context.Context) (s *system, near, far, direct *thfleet.Upstream, err error) {
	if s, err = b.startPlatform(); err != nil {
		return nil, nil, nil, nil, err
	}
	upstream := func(name string) *thfleet.Upstream {
		return &thfleet.Upstream{Name: name, Zone: "a-1", Region: "a", Service: name, Version: "1", Slots: 100}
	}
	near, far, direct = upstream("near"), upstream("far"), upstream("straight")
	far.ChainAddress = near.Ingress
	direct.ChainAddress = direct.ServerAddress
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
	// The admission limit of a new server is a tenth of its slots; the warm-up raises it.
	warm := startTraffic(ctx, latencyLoad(near.Ingress(), "/near", latencyRate, 2*time.Second), latencyLoad(near.Ingress(), "/far", latencyRate, 2*time.Second))
	_, err = warm.wait()
	return s, near, far, direct, err
}

// pairTables is the configuration of startPair.
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

// compareVariants runs the variants one after the other in each round, so that slow
// changes of the machine's load affect all of them. The first variant is the baseline.
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
				return nil, therror.New(therror.Broken, "no good call for variant %q", w.name)
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

// warmTimes returns the latencies of the good calls that were due after the warm-up,
// from the start to the end of a call. It adds all calls that are not good to bad.
func warmTimes(calls []thload.Call, notGood *int) []time.Duration {
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
			*notGood++
		case c.Due.Sub(first) >= latencyWarmUp:
			times = append(times, c.End.Sub(c.Start))
		}
	}
	return times
}

// measureFullLoad measures the processor time that the two daemons use at fullLoadRate.
func (s *system) measureFullLoad(ctx context.Context, near, far *thfleet.Upstream) (fullLoad, error) {
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
