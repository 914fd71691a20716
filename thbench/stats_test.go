package thbench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a percentile that hides the worst values of a small sample.
func TestQuantile(t *testing.T) {
	var values []time.Duration
	for i := 100; i > 0; i-- {
		values = append(values, time.Duration(i))
	}
	assert.Equal(t, quantile(values, 0.5), time.Duration(50))
	assert.Equal(t, quantile(values, 0.99), time.Duration(99))
	assert.Equal(t, quantile(values, 1), time.Duration(100))
	assert.Equal(t, quantile(values[:3], 0.99), time.Duration(100))
	assert.Equal(t, quantile(nil, 0.99), time.Duration(0))
	assert.Equal(t, values[0], time.Duration(100), "the values must keep their order")
	assert.Equal(t, median([]float64{4, 1, 3}), 3.0)
	assert.Equal(t, median([]float64{4, 1}), 2.5)
}

// Guards against a wrong linear fit, and against a division by zero with a single
// fleet size.
func TestLine(t *testing.T) {
	l := fitLine([]float64{9, 50, 200}, []float64{19, 101, 401})
	assert.Assert(t, l.slope > 1.9999 && l.slope < 2.0001 && l.rSquared > 0.9999, "%+v", l)
	assert.Assert(t, l.at(680) > 1360.9 && l.at(680) < 1361.1, "%f", l.at(680))
	assert.Equal(t, fitLine([]float64{9, 9}, []float64{1, 3}).at(680), 2.0)
	assert.Equal(t, fitLine(nil, nil).at(680), 0.0)
	falling := fitLine([]float64{9, 200}, []float64{2, 1})
	level := falling.extrapolate([]float64{200, 9}, 680)
	assert.Assert(t, level > 0.9999 && level < 1.0001, "a falling line must stay at its value for the largest size: %f", level)
	noisy := fitLine([]float64{1, 2, 3, 4}, []float64{1, 0, 1, 0})
	assert.Assert(t, noisy.rSquared < 0.5, "%+v", noisy)
}

// Guards against a computed baseline that differs from real polling: with one daemon
// the median is half the period, with many daemons it approaches the period.
func TestPollBaseline(t *testing.T) {
	assert.Equal(t, pollBaseline(1, 0.5), 500*time.Millisecond)
	assert.Assert(t, pollBaseline(680, 0.5) > 990*time.Millisecond)
	assert.Assert(t, pollBaseline(680, 0.99) < time.Second)
}

// Guards against cell content that breaks a table, and against a missed goal that is
// not marked as missed.
func TestTable(t *testing.T) {
	m := newTable("figure", "goal")
	m.row("a|b", goalResult(false))
	assert.Equal(t, m.String(), "| figure | goal |\n| --- | --- |\n| a\\|b | **MISSED** |\n\n")
	assert.Equal(t, percent(1, 3), "33.33%")
	assert.Equal(t, percent(0, 0), "-")
	assert.Equal(t, millis(1500*time.Microsecond), "1.5 ms")
}

// Guards against activations that are not found in a daemon's log.
func TestParseEffect(t *testing.T) {
	e, found := parseActivation("2026-12-04T03:45:50.123Z [INFO]  turmerichaven: configuration in effect: daemon=a zone=b version=17\n")
	assert.Assert(t, found)
	assert.Equal(t, e.version, uint64(17))
	assert.Equal(t, e.time.UnixMilli()%1000, int64(123))
	_, found = parseActivation("2026-12-04T03:45:50.123Z [INFO]  turmerichaven: daemon started: version=17\n")
	assert.Assert(t, !found)
	l := logTail{activations: []activation{{3, e.time}, {5, e.time.Add(time.Second)}}}
	at, found := l.at(4)
	assert.Assert(t, found && at.Equal(e.time.Add(time.Second)), "a version that was skipped takes effect with the next one")
}
