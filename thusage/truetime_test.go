package thusage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTime(base time.Duration) (*trueTime, *time.Duration) {
	elapsed := new(time.Duration)
	t := &trueTime{elapsed: func() time.Duration { return *elapsed }}
	t.base.Store(int64(base))
	return t, elapsed
}

// Guards against a daemon that follows a minority, or another one that it can't tell from being
// wrong itself, and against one that stays wrong.
func TestMajorityOfClocks(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		own    time.Duration
		others []time.Duration
		want   time.Duration
	}{
		{own: 100 * s, want: 100 * s},
		{own: 100 * s, others: []time.Duration{105 * s}, want: 100 * s},
		{own: 100 * s, others: []time.Duration{100 * s, 105 * s}, want: 100 * s},
		{own: 105 * s, others: []time.Duration{100 * s, 100 * s}, want: 100 * s},
		{own: 90 * s, others: []time.Duration{100 * s, 100 * s, 110 * s}, want: 100 * s},
		{own: 100 * s, others: []time.Duration{100 * s, 110 * s, 110 * s}, want: 100 * s},
		{own: 100*s + maxDeviation, others: []time.Duration{100 * s, 100 * s, 100 * s}, want: 100*s + maxDeviation},
		{own: 100*s + maxDeviation + 1, others: []time.Duration{100 * s, 100 * s, 100 * s}, want: 100 * s},
	} {
		clock, _ := newTime(c.own)
		for i, o := range c.others {
			clock.sample(string(rune('a'+i)), o, c.own)
		}
		clock.correct()
		assert.Equal(t, clock.now(), c.want, "%+v", c)
	}
}

// Guards against answers that waited while the daemon was frozen, which say nothing of its time.
func TestDelayedAnswersAreNoSamples(t *testing.T) {
	clock, elapsed := newTime(100 * time.Second)
	asked := clock.now()
	*elapsed += 10 * time.Second
	for _, name := range []string{"a", "b", "c"} {
		clock.sample(name, asked, asked)
		clock.sample(name, asked, clock.now()+time.Second)
	}
	assert.Equal(t, clock.correct(), time.Duration(0))
	assert.Equal(t, len(clock.samples), 0)
}

// Guards against the round trip counting as a deviation, and against samples that are kept for
// ever.
func TestSamplesOfSlowAnswers(t *testing.T) {
	clock, elapsed := newTime(100 * time.Second)
	for _, name := range []string{"a", "b"} {
		asked := clock.now()
		*elapsed += maxRoundTrip
		// The other daemon's time at the answer, half a round trip ago.
		clock.sample(name, clock.now()-maxRoundTrip/2, asked)
	}
	assert.Equal(t, clock.correct(), time.Duration(0))
	assert.Equal(t, len(clock.samples), 2)
	*elapsed += sampleAge + 1
	clock.correct()
	assert.Equal(t, len(clock.samples), 0)
}
