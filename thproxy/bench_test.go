package thproxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

func smallHandler(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

func benchmarkCalls(b *testing.B, client *http.Client, url string) {
	b.ReportAllocs()
	var all []time.Duration
	for b.Loop() {
		start := time.Now()
		resp, err := client.Get(url)
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		all = append(all, time.Since(start))
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkDirect is the baseline: the same call without the mesh.
func BenchmarkDirect(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(smallHandler))
	defer s.Close()
	benchmarkCalls(b, s.Client(), s.URL)
}

// BenchmarkTwoHops calls through the ingress, a session to another daemon and its
// target.
func BenchmarkTwoHops(b *testing.B) {
	m := newMesh(b, thconfig.Route{}, http.HandlerFunc(smallHandler))
	benchmarkCalls(b, m.client, m.front.URL)
}

// BenchmarkLocal calls through the ingress and the target of the same process.
func BenchmarkLocal(b *testing.B) {
	m := newMesh(b, thconfig.Route{}, http.HandlerFunc(smallHandler))
	m.ingress.Local, m.ingress.Self = m.targets[0], "a"
	benchmarkCalls(b, m.client, m.front.URL)
}
