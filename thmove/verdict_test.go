package thmove

import (
	"math/rand"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// draw returns what three servers of a pool saw: n answers, of which each fails
// with the probability rate.
func draw(random *rand.Rand, pool string, n int, rate float64) []thwire.ServerCounts {
	counts := make([]thwire.ServerCounts, 3)
	for i := range counts {
		counts[i] = thwire.ServerCounts{Pool: pool, Server: pool + string(rune('a'+i))}
	}
	for i := range n {
		c := &counts[i%len(counts)]
		c.Answers++
		if random.Float64() < rate {
			c.Errors++
		}
	}
	return counts
}

// condemned returns how often the new version is judged bad in tries.
func condemned(tries, oldCount int, oldRate float64, newCount int, newRate float64) int {
	random := rand.New(rand.NewSource(1))
	bad := 0
	for range tries {
		counts := append(draw(random, "old", oldCount, oldRate), draw(random, "new", newCount, newRate)...)
		if judge(counts, "old", "new", nil, &sample{}).bad {
			bad++
		}
	}
	return bad
}

// Guards against a version that fails a few of its calls and keeps its traffic
// because its rate stays near the margin.
func TestFewFailuresOfManyAreBad(t *testing.T) {
	const tries = 1000
	// A tenth of 1,500 calls/s for 3 s.
	assert.Assert(t, condemned(tries, 4050, 0, 450, 0.04) > tries*95/100)
	assert.Assert(t, condemned(tries, 2250, 0, 2250, 0.03) > tries*95/100)
}

// Guards against good versions that are condemned by chance: because the old
// version fails as often, or because too little of the old version was seen.
func TestEquallyFailingVersionIsNotBad(t *testing.T) {
	const tries = 2000
	for _, rate := range []float64{0, 0.005, 0.02, 0.05, 0.2} {
		for _, n := range [][2]int{{30, 30}, {300, 300}, {3000, 3000}, {40, 3000}, {3000, 40}} {
			bad := condemned(tries, n[0], rate, n[1], rate)
			assert.Assert(t, bad <= tries/100, "rate %v of %v: %d of %d condemned", rate, n, bad, tries)
		}
	}
}
