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

// Guards against a table with many classes, or an unknown kind, that creates time series without bound.
func TestLabelsAreBounded(t *testing.T) {
	var m Metrics
	var wait sync.WaitGroup
	for i := range 4 * MaxClasses {
		wait.Go(func() {
			m.ObserveCall(fmt.Sprintf("class-%d", i), therror.Kind(fmt.Sprintf("kind-%d", i)), time.Second, time.Millisecond)
		})
	}
	wait.Wait()
	n, err := testutil.GatherAndCount(m.Registry(), "turmerichaven_calls_total")
	assert.NilError(t, err)
	assert.Equal(t, n, MaxClasses+1)
	assert.Equal(t, testutil.ToFloat64(m.callsTotal.WithLabelValues(OtherClass, string(therror.Internal))), float64(3*MaxClasses))
}

// Guards against a zero value that fails, and against metrics that break the naming rules.
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
	assert.Equal(t, testutil.ToFloat64(m.callsTotal.WithLabelValues(NoClass, OutcomeOK)), 1.0)
	assert.Equal(t, testutil.ToFloat64(m.controlBytes.WithLabelValues("out")), 5.0)
	assert.Equal(t, testutil.ToFloat64(m.gauges["version"]), 7.0)
	faults, err := testutil.GatherAndLint(m.Registry())
	assert.NilError(t, err)
	for _, f := range faults {
		t.Errorf("%s: %s", f.Metric, f.Text)
	}
}

// Guards against a lock or an allocation per call on the request path.
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
