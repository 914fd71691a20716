package thproxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// Retry limit of the smaller deployments.
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

// A service rejects half of its requests, so that all daemons retry as much as they
// may, and during a partition each daemon sees only its side of the fleet. Half of
// the retried requests of low priority make a nested call to the same service.
// Guards against more retries in a window than the fleet's limit, and against a
// budget that is left unused.
func TestSharedBudgetHoldsForTheFleet(t *testing.T) {
	const (
		requestsPerStep = 40 // requests of the fleet
		step            = 50 * time.Millisecond
		steps           = 800
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
			var requests, retries [steps]int
			maxUsage, used := 0.0, 0
			for i := range steps {
				for range requestsPerStep {
					b := budgets[random.IntN(len(budgets))]
					b.CountRequest("called")
					requests[i]++
					if random.IntN(2) == 0 && b.TakeRetry("called", 1) {
						retries[i]++
					}
					b.CountRequest("caller")
					if random.IntN(2) == 0 && b.TakeRetry("caller", lowPriority) && random.IntN(2) == 0 {
						retries[i]++ // the nested call, counted by the daemon of the server that makes it
						budgets[random.IntN(len(budgets))].CountRetry("called")
					}
				}
				clock.Advance(step)
				windowRequests, windowRetries := 0, 0
				for k := max(0, i-inWindow+1); k <= i; k++ {
					windowRequests, windowRetries = windowRequests+requests[k], windowRetries+retries[k]
				}
				limit := fleetRatio*float64(windowRequests) + fleetSlack
				maxUsage = max(maxUsage, float64(windowRetries)/limit)
				used = windowRetries
				assert.Assert(t, float64(windowRetries) <= limit, "step %d: %d retries, limit %.0f", i, windowRetries, limit)
			}
			assert.Assert(t, float64(used) >= 0.7*fleetRatio*float64(inWindow*requestsPerStep), "%d retries in a window", used)
			t.Logf("at most %.2f of the limit in a window", maxUsage)
		})
	}
}
