package thmove

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Guards against a good version that misses its deadline because the daemons whose servers
// take part in the rollout have learned of it later than the daemons that read the order.
func TestRolloutEndsInTimeFromItsOrder(t *testing.T) {
	const delay = 1500 * time.Millisecond // of the order on its way to the other daemons
	for _, span := range []time.Duration{7500 * time.Millisecond, 9 * time.Second, 15 * time.Second} {
		for seed := range int64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", span, seed), func(t *testing.T) {
				t.Parallel()
				r := newRollout(seed, modelledTraffic, span)
				r.tables.Moves[0].Start, r.tables.Moves[0].Deadline, r.tables.Moves[0].Span = time.Time{}, time.Time{}, span
				for name, m := range r.movers {
					r.movers[name] = &Mover{Membership: m.Membership, EndCommitter: m.EndCommitter, Clock: r.clock, Log: hclog.NewNullLogger()}
				}
				reader := r.movers["otaru-0"] // its server is of another service
				reader.IsReader = func() bool { return true }
				reader.Update(&r.tables, r.members)
				for range delay / tickInterval {
					r.clock.Advance(tickInterval)
					reader.tick(t.Context())
					reader.work.Wait()
				}
				r.update()
				r.play(span - delay)
				assert.Equal(t, r.state(), thconfig.MoveDone)
			})
		}
	}
}

// Guards against a good version that misses its deadline because a daemon that starts with the
// new version coordinates the rollout, and waits for reports that the others could send it.
func TestCoordinatorThatJoinsCompletesOnTime(t *testing.T) {
	for _, span := range []time.Duration{6500 * time.Millisecond, 7500 * time.Millisecond, 9 * time.Second} {
		for seed := range int64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", span, seed), func(t *testing.T) {
				t.Parallel()
				r := newRollout(seed, modelledTraffic, span)
				all := r.members
				r.members = all[1:]
				r.update()
				r.play(time.Second)
				r.members = all // the first one is the coordinator now
				r.update()
				r.play(span - time.Second)
				assert.Equal(t, r.state(), thconfig.MoveDone)
			})
		}
	}
}

// Guards against an end that is committed in time, but so late that operators, who look at the
// state of a rollout twice a second, see it after the deadline.
func TestEndIsCommittedBeforeOperatorsLook(t *testing.T) {
	const lookInterval = 500 * time.Millisecond
	for _, span := range []time.Duration{8 * time.Second, 9 * time.Second, 12130 * time.Millisecond, 14163 * time.Millisecond} {
		for seed := range int64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", span, seed), func(t *testing.T) {
				t.Parallel()
				r := newRollout(seed, modelledTraffic, span)
				r.routes = []modelRoute{{name: "slots", work: 160 * time.Millisecond}, {name: "bookings", work: 400 * time.Millisecond}}
				r.play(span - lookInterval)
				assert.Equal(t, r.state(), thconfig.MoveDone)
			})
		}
	}
}
