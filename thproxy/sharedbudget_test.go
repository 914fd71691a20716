package thproxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// The limit of the smaller deployments.
const (
	fleetRatio  = 0.2
	fleetSlack  = 56
	fleetWindow = 10 * time.Second
)

func fleetBudgets(clock clockwork.Clock, seen []int) []*SharedRetryBudget {
	var all []*SharedRetryBudget
	for _, n := range seen {
		all = append(all, &SharedRetryBudget{
			Ratio: fleetRatio, Slack: fleetSlack, Window: fleetWindow, Clock: clock, Daemons: func() int { return n },
		})
	}
	return all
}

// Pattern: servers of a called service reject half of what they get, so that all
// daemons repeat as often as they may, while a partition lets each of them see
// only its side of the fleet; half of the requests of low priority that are
// repeated make a call to the same service. Guards against more repeats in any
// window than the fleet is allowed, and against a budget that is left unused.
func TestSharedBudgetHoldsForTheFleet(t *testing.T) {
	const (
		perStep = 40 // requests of the fleet
		step    = 50 * time.Millisecond
		steps   = 800
	)
	for name, seen := range map[string][]int{
		"whole":       {9, 9, 9, 9, 9, 9, 9, 9, 9},
		"partitioned": {4, 4, 4, 4, 5, 5, 5, 5, 5},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			random := rand.New(rand.NewPCG(1, 2))
			budgets := fleetBudgets(clock, seen)
			const inWindow = int(fleetWindow / step)
			var firsts, repeats [steps]int
			most, used := 0.0, 0
			for i := range steps {
				for range perStep {
					b := budgets[random.IntN(len(budgets))]
					b.CountRequest("called")
					firsts[i]++
					if random.IntN(2) == 0 && b.TakeRetry("called", 1) {
						repeats[i]++
					}
					b.CountRequest("caller")
					if random.IntN(2) == 0 && b.TakeRetry("caller", lowPriority) && random.IntN(2) == 0 {
						repeats[i]++ // its call, counted beside the server that makes it
						budgets[random.IntN(len(budgets))].CountRetry("called")
					}
				}
				clock.Advance(step)
				first, repeat := 0, 0
				for k := max(0, i-inWindow+1); k <= i; k++ {
					first, repeat = first+firsts[k], repeat+repeats[k]
				}
				limit := fleetRatio*float64(first) + fleetSlack
				most = max(most, float64(repeat)/limit)
				used = repeat
				assert.Assert(t, float64(repeat) <= limit, "step %d: %d repeats, limit %.0f", i, repeat, limit)
			}
			assert.Assert(t, float64(used) >= 0.7*fleetRatio*float64(inWindow*perStep), "%d repeats in a window", used)
			t.Logf("at most %.2f of the limit in a window", most)
		})
	}
}
