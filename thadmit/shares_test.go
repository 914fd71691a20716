package thadmit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// accountLoad is the load of one client account.
type accountLoad struct {
	name    string
	rank    int
	every   time.Duration // mean time between new requests
	repeats int           // how often its clients repeat a rejected request at once
}

// accountModel simulates requests of client accounts at one server with a real Scheduler.
type accountModel struct {
	*Scheduler

	clock   *clockwork.FakeClock
	random  *rand.Rand
	work    time.Duration
	arrival map[string]time.Time // of the next new request
	waiting []*modelRequest
	repeats []modelRepeat
	running []time.Time // when the requests end
	new     map[string]int
	served  map[string]int
}

// modelRequest is a request in the queue.
type modelRequest struct {
	*queuedCall
	load accountLoad
	left int // repeats
}

// repeatDelay is the time after which a client that doesn't wait repeats a rejected request.
const repeatDelay = 20 * time.Millisecond

// modelRepeat is a request that a client will repeat.
type modelRepeat struct {
	at   time.Time
	load accountLoad
	left int
}

// runAccounts returns the share of the requests of each account that were served.
func runAccounts(loads []accountLoad, named bool, slots int, work, duration time.Duration) map[string]float64 {
	s, clock := newScheduler(slots)
	m := &accountModel{
		Scheduler: s, clock: clock, random: rand.New(rand.NewPCG(7, 8)), work: work,
		arrival: map[string]time.Time{}, new: map[string]int{}, served: map[string]int{},
	}
	s.serviceTimes, s.averageTime = map[string]time.Duration{"view": work}, work
	for end := clock.Now().Add(duration); clock.Now().Before(end); clock.Advance(time.Millisecond) {
		m.endRequests()
		m.sendRepeats(named)
		for _, l := range loads {
			for !m.arrival[l.name].After(clock.Now()) {
				m.arrival[l.name] = latest(m.arrival[l.name], clock.Now()).Add(time.Duration(m.random.ExpFloat64() * float64(l.every)))
				m.new[l.name]++
				m.request(l, named, l.repeats)
			}
		}
		m.collect()
	}
	shares := map[string]float64{}
	for name, n := range m.new {
		shares[name] = float64(m.served[name]) / float64(n)
	}
	return shares
}

// request makes a request, and schedules a repeat if it is rejected.
func (m *accountModel) request(l accountLoad, named bool, left int) {
	o := view()
	if named {
		o.Account, o.Rank = l.name, l.rank
	}
	switch q, err := m.tryEnter(context.Background(), o); {
	case q != nil:
		m.waiting = append(m.waiting, &modelRequest{queuedCall: q, load: l, left: left})
	case err == nil:
		m.start(l)
	default:
		m.repeat(l, left)
	}
}

func (m *accountModel) repeat(l accountLoad, left int) {
	if left > 0 {
		m.repeats = append(m.repeats, modelRepeat{m.clock.Now().Add(repeatDelay), l, left - 1})
	}
}

// sendRepeats makes the repeated requests that are due.
func (m *accountModel) sendRepeats(named bool) {
	for len(m.repeats) > 0 && !m.repeats[0].at.After(m.clock.Now()) {
		r := m.repeats[0]
		m.repeats = m.repeats[1:]
		m.request(r.load, named, r.left)
	}
}

func (m *accountModel) start(l accountLoad) {
	m.served[l.name]++
	m.running = append(m.running, m.clock.Now().Add(time.Duration((0.5+m.random.Float64())*float64(m.work))))
}

// collect starts the queued requests that were admitted, and repeats those that were rejected.
func (m *accountModel) collect() {
	waiting := m.waiting
	m.waiting = nil
	for _, r := range waiting {
		select {
		case <-r.done:
		default:
			m.waiting = append(m.waiting, r)
			continue
		}
		if r.err == nil {
			m.start(r.load)
		} else {
			m.repeat(r.load, r.left)
		}
	}
}

// endRequests frees the slots of the requests that have ended.
func (m *accountModel) endRequests() {
	now := m.clock.Now()
	m.running = slices.DeleteFunc(m.running, func(end time.Time) bool {
		if end.After(now) {
			return false
		}
		(&Admission{scheduler: m.Scheduler, route: "view"}).Done(m.work, true)
		return true
	})
}

// mix returns nine accounts of equal load and one of another, together with twice the
// capacity of a server with 10 slots and a service time of 100 ms.
func mix(factor float64, repeats int) []accountLoad {
	const capacity = 100 // requests per second
	unit := 2 * capacity / (9 + factor)
	loads := []accountLoad{{name: "large", every: time.Duration(float64(time.Second) / (unit * factor)), repeats: repeats}}
	for i := range 9 {
		loads = append(loads, accountLoad{name: fmt.Sprint("small", i), every: time.Duration(float64(time.Second) / unit)})
	}
	return loads
}

// Load: one account sends ten times as much as each of the others, at twice the capacity of
// the server. Guards against an account that takes the room of others by its volume, and
// against one that gets less than its share because it asks for more.
func TestFairShareUnderLargeAccount(t *testing.T) {
	const slots, work = 10, 100 * time.Millisecond
	loads := mix(10, 0)
	fair, plain := runAccounts(loads, true, slots, work, time.Minute), runAccounts(loads, false, slots, work, time.Minute)
	for name, share := range fair {
		if name != "large" {
			// Each asks for about the tenth of the capacity that is its share.
			assert.Assert(t, share > 0.85, "%s: %.3f served, %.3f without shares", name, share, plain[name])
			assert.Assert(t, plain[name] < 0.7, "%s: %.3f served without shares", name, plain[name])
		}
	}
	// Its share is a tenth of the capacity, of the 10/19 of twice the capacity that it asks for.
	assert.Assert(t, fair["large"] > 0.09, "%.3f", fair["large"])
	t.Logf("large %.3f (%.3f without shares), small0 %.3f (%.3f)", fair["large"], plain["large"], fair["small0"], plain["small0"])
}

// Load: the clients of one account repeat rejected requests three times at once. Guards
// against repeats that get an account more than its share.
func TestFairShareUnderRepeats(t *testing.T) {
	const slots, work = 10, 100 * time.Millisecond
	fair, plain := runAccounts(mix(1, 3), true, slots, work, time.Minute), runAccounts(mix(1, 3), false, slots, work, time.Minute)
	sum := 0.0
	for name, share := range fair {
		if name != "large" {
			sum += share / 9
		}
	}
	assert.Assert(t, fair["large"] < 1.2*sum, "repeating account %.3f, others %.3f", fair["large"], sum)
	assert.Assert(t, plain["large"] > 1.3*plain["small0"], "without shares: repeating account %.3f, others %.3f", plain["large"], plain["small0"])
	t.Logf("repeating account %.3f (%.3f without shares), others %.3f (%.3f)", fair["large"], plain["large"], sum, plain["small0"])
}

// Load: as many requests of urgent accounts as the server has room for, and as many of others.
// Guards against an account's priority that doesn't go before its share and the route's priority.
func TestAccountPriorityGoesFirst(t *testing.T) {
	loads := []accountLoad{
		{name: "urgent", rank: 0, every: 12 * time.Millisecond}, {name: "other", rank: 1, every: 10 * time.Millisecond},
	}
	shares := runAccounts(loads, true, 10, 100*time.Millisecond, time.Minute)
	assert.Assert(t, shares["urgent"] > 0.95 && shares["other"] < 0.4, "%v", shares)
	first, second := &queuedCall{rank: 0, priority: 2}, &queuedCall{rank: 1, priority: 1}
	assert.Assert(t, first.compare(second) < 0 && second.compare(first) > 0)
}

// Guards against an order that changes for calls without accounts: they are ordered by due time
// within a priority, not by arrival.
func TestCallsWithoutAccountsAreOrderedByDueTime(t *testing.T) {
	s, clock := newScheduler(1)
	assert.NilError(t, <-enter(t, s, view()))
	setServiceTime(s, "view", time.Millisecond)
	for _, goal := range []time.Duration{400, 200, 300} {
		o := view()
		o.Goal = int64(goal * time.Millisecond)
		q, err := s.tryEnter(t.Context(), o)
		assert.Assert(t, err == nil && q != nil)
	}
	var goals []time.Duration
	for _, q := range s.queue {
		goals = append(goals, q.due.Sub(clock.Now()))
	}
	assert.DeepEqual(t, goals, []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond})
}

// Guards against the charge of calls that were never dispatched: an account whose calls were
// rejected or given up would be served last for a long time.
func TestSharesRefundCallsThatDidNotRun(t *testing.T) {
	var f fairShares
	f.charge("a", f.start("a"), time.Second)
	f.charge("a", f.start("a"), time.Second)
	assert.Equal(t, f.start("a"), 2*time.Second)
	f.refund("a", time.Second)
	assert.Equal(t, f.start("a"), time.Second)
	f.dispatched(5 * time.Second)
	assert.Equal(t, f.start("a"), 5*time.Second)
	assert.Equal(t, f.start("b"), 5*time.Second)

	s, _ := newScheduler(1)
	assert.NilError(t, <-enter(t, s, view()))
	setServiceTime(s, "view", time.Millisecond)
	o := &thwire.Open{Route: "view", Priority: 2, Deadline: int64(time.Second), Account: "a"}
	q, err := s.tryEnter(t.Context(), o)
	assert.Assert(t, err == nil && q != nil)
	s.abandon(q, context.Canceled)
	assert.Equal(t, s.shares.start("a"), time.Duration(0))
}

// Guards against a table of shares that grows with each account that ever sent a call.
func TestSharesForgetIdleAccounts(t *testing.T) {
	var f fairShares
	for i := range 10 * maxIdleShares {
		name := fmt.Sprint("account", i)
		start := f.start(name)
		f.charge(name, start, time.Millisecond)
		f.dispatched(start + 2*time.Millisecond)
	}
	assert.Assert(t, len(f.finish) <= maxIdleShares+1, "%d accounts", len(f.finish))
}
