package thmetric

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Guards against an unlimited number of time series from a route table with many
// classes or from unknown error kinds.
func TestLabelsAreBounded(t *testing.T) {
	var m Metrics
	var wg sync.WaitGroup
	for i := range 4 * MaxClasses {
		wg.Go(func() {
			m.ObserveCall(fmt.Sprintf("class-%d", i), therror.Kind(fmt.Sprintf("kind-%d", i)), time.Second, time.Millisecond)
		})
	}
	wg.Wait()
	n, err := testutil.GatherAndCount(m.Registry(), "turmerichaven_calls_total")
	assert.NilError(t, err)
	assert.Equal(t, n, MaxClasses+1)
	assert.Equal(t, testutil.ToFloat64(m.callsTotal.WithLabelValues(OtherClass, string(therror.Internal))), float64(3*MaxClasses))
}

// Guards against a zero value that does not work, and against metrics that violate
// the naming rules of Prometheus.
func TestZeroValueWorks(t *testing.T) {
	var m Metrics
	m.ObserveCall("", "", time.Second, -1)
	m.ObservePlatformRequest(Read, therror.Down, time.Second)
	m.AddControlBytes(3, 4)
	m.AddControlBytes(-1, 1)
	m.SetVersions(7, 8)
	m.SetVersionLag(time.Second)
	m.SetMembers(3, 1, 0, 0)
	m.SetAdmission(10, 5, 1)
	m.SetMoves(2, 1)
	m.CountEndedMove(true)
	m.CountServerCrash()
	m.SetCrashRequests(5, 1)
	assert.Equal(t, testutil.ToFloat64(m.callsTotal.WithLabelValues(NoClass, OutcomeOK)), 1.0)
	assert.Equal(t, testutil.ToFloat64(m.controlBytes.WithLabelValues("out")), 5.0)
	assert.Equal(t, testutil.ToFloat64(m.gauges["version"]), 7.0)
	assert.Equal(t, testutil.ToFloat64(m.serverCrashes.WithLabelValues()), 1.0)
	assert.Equal(t, testutil.ToFloat64(m.crashRequests.WithLabelValues("quarantined")), 1.0)
	problems, err := testutil.GatherAndLint(m.Registry())
	assert.NilError(t, err)
	for _, p := range problems {
		t.Errorf("%s: %s", p.Metric, p.Text)
	}
}

// Guards against a lock or an allocation for each call on the request path.
func BenchmarkCall(b *testing.B) {
	var m Metrics
	m.ObserveCall("a", "", time.Second, time.Millisecond)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			m.ObserveCall("a", "", 3*time.Millisecond, 100*time.Microsecond)
		}
	})
}
