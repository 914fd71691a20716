package thproof

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// latencyPair is an ingress daemon and a second daemon with a backend server, which
// serves the path.
type latencyPair struct {
	name    string
	path    string
	server  *thfleet.Upstream
	ingress *thfleet.Upstream
}

// BenchmarkAddedLatency compares calls through two daemons with direct calls to the
// backend server, alternating within one run, at several rates. The goal is 0.33 ms of
// added latency at p99. A second pair of daemons runs with Go's default GOGC=100.
func BenchmarkAddedLatency(b *testing.B) {
	f := &thfleet.Fleet{Dir: b.TempDir(), Binary: programPath, Standin: standinPath, LogLevel: os.Getenv("TH_LEVEL")}
	b.Cleanup(f.Kill)
	assert.NilError(b, f.Start())
	d := &thfleet.Ishikari
	_, err := f.Command(b.Context(), "apply", tablesFile(d))
	assert.NilError(b, err)
	pairs := []latencyPair{{name: "tuned", path: "/slots/now"}, {name: "gogc100", path: "/bookings/now"}}
	for i := range pairs {
		p := &pairs[i]
		p.server = d.NewUpstreams(d.Services[i], "1", 0)[0]
		p.server.Slots = 100
		p.ingress = &thfleet.Upstream{Name: "ingress-" + p.name, Zone: p.server.Zone, Region: d.Region, NoServer: true}
		if i == 1 {
			p.server.Env, p.ingress.Env = []string{"GOGC=100"}, []string{"GOGC=100"}
		}
		assert.NilError(b, f.Add(p.server))
		assert.NilError(b, f.Add(p.ingress))
	}
	assert.NilError(b, f.WaitReady(b.Context()))
	run := func(target, path string, rate float64, d time.Duration) []time.Duration {
		var c callRecorder
		g := &thload.Generator{Targets: []string{target}, Path: path, Rate: rate, Duration: d, Concurrency: 64, Record: c.add}
		assert.NilError(b, g.Run(b.Context()))
		var list []time.Duration
		for i := range c.all {
			if k := &c.all[i]; k.Succeeded() {
				list = append(list, k.End.Sub(k.Start))
			}
		}
		return list
	}
	for _, p := range pairs {
		run(p.ingress.Ingress(), p.path, 1000, 3*time.Second)
	}
	for _, rate := range []float64{300, 1000, 3000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			direct, mesh := make([][]time.Duration, len(pairs)), make([][]time.Duration, len(pairs))
			for b.Loop() {
				for i, p := range pairs {
					direct[i] = append(direct[i], run(p.server.ServerAddress(), p.path, rate, time.Second)...)
					mesh[i] = append(mesh[i], run(p.ingress.Ingress(), p.path, rate, time.Second)...)
				}
			}
			for i, p := range pairs {
				slices.Sort(direct[i])
				slices.Sort(mesh[i])
				for _, q := range []float64{0.5, 0.9, 0.99} {
					at := func(l []time.Duration) float64 { return float64(l[int(q*float64(len(l)))].Microseconds()) }
					b.ReportMetric(at(mesh[i])-at(direct[i]), fmt.Sprintf("%s-added-p%g-µs", p.name, q*100))
					b.ReportMetric(at(direct[i]), fmt.Sprintf("%s-direct-p%g-µs", p.name, q*100))
				}
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
