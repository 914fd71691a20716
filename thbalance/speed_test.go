package thbalance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// speedLoad is a load of servers that differ.
type speedLoad struct {
	daemons, slots int
	utilisation    float64
	equal          bool    // all servers have speed 1
	slow           float64 // part of the time in which a server is slow
	period         float64 // mean duration of a slowdown, seconds
	stated         bool    // servers state slowdowns
}

func (l speedLoad) String() string {
	speeds := "speeds 0.5 to 1.6"
	if l.equal {
		speeds = "equal speeds"
	}
	return fmt.Sprintf("%s, %d daemons, %d slots, %.0f%%, slow %.0f%% in %.1f s", speeds, l.daemons, l.slots, 100*l.utilisation, 100*l.slow, l.period)
}

// slowdowns returns the factor of a server that is slow for random periods.
func slowdowns(seed uint64, part, mean float64) func(time.Duration) float64 {
	random := rand.New(rand.NewPCG(seed, 77))
	var starts, ends []time.Duration
	for at := 0.0; at < 60; {
		at += random.ExpFloat64() * mean * (1 - part) / part
		d := mean * (0.5 + random.Float64())
		starts = append(starts, time.Duration(at*1e9))
		ends = append(ends, time.Duration((at+d)*1e9))
		at += d
	}
	i := 0
	return func(at time.Duration) float64 { // times don't decrease
		for i < len(ends) && ends[i] < at {
			i++
		}
		if i < len(ends) && starts[i] <= at {
			return 2.5
		}
		return 1
	}
}

// run returns the result of 35 servers for the given seed. choose replaces the selection of
// the balancers unless it is nil.
func (l speedLoad) run(seed uint64, byTime bool, choose func(*model, *modelDaemon) func([]string) *Server) modelResult {
	const end = 20 * time.Second
	m := newModel(seed, l.slots, map[string]int{"aa": 35}, func(b *Balancer) { b.ByTime = byTime })
	m.daemons = m.daemons[:l.daemons]
	m.from, m.stateSlow = 5*time.Second, l.stated
	total := 0.0
	for i, s := range m.servers {
		if !l.equal {
			s.speed = 0.5 + 1.1*float64(i*13%35)/34
		}
		total += s.speed
		if l.slow > 0 {
			s.slow = slowdowns(seed*100+uint64(i), l.slow, l.period)
		}
	}
	m.rate = func(string, time.Duration) float64 {
		return l.utilisation * total * float64(l.slots) / m.work.Seconds() / (1 + 1.5*l.slow)
	}
	if choose != nil {
		for _, d := range m.daemons {
			d.choose = choose(m, d)
		}
	}
	m.run(end)
	return m.result(end)
}

// mean returns the mean of the results of several seeds.
func (l speedLoad) mean(seeds uint64, byTime bool, choose func(*model, *modelDaemon) func([]string) *Server) modelResult {
	var sum modelResult
	for seed := range seeds {
		r := l.run(seed, byTime, choose)
		sum.mean += r.mean / time.Duration(seeds)
		sum.p99 += r.p99 / time.Duration(seeds)
		sum.rejected += r.rejected / float64(seeds)
		sum.late += r.late / float64(seeds)
		sum.worst += r.worst / float64(seeds)
	}
	return sum
}

// modelUtilisations returns the utilisations at which the models run; fewer without -v, since they
// take minutes with the race detector.
func modelUtilisations() []float64 {
	if testing.Verbose() {
		return []float64{0.4, 0.6, 0.8, 0.95}
	}
	return []float64{0.6, 0.95}
}

// chooseOfTwo compares two random servers by the number of calls.
func chooseOfTwo(m *model, d *modelDaemon) func([]string) *Server {
	return func(exclude []string) *Server {
		b, now := d.balancer, m.clock.Now()
		servers := b.view.Load().pools["p"].servers
		first, second := b.draw(servers, exclude, now, true), b.draw(servers, exclude, now, true)
		switch at := thclock.Stamp(now); {
		case first == nil || second == nil:
			return b.scanAll(servers, exclude, now)
		case first.inUse(at) <= second.inUse(at):
			return first
		}
		return second
	}
}

// chooseOracle knows the present speed and the calls of every server, those on their way included.
func chooseOracle(m *model, d *modelDaemon) func([]string) *Server {
	return func([]string) *Server {
		var best *Server
		low := math.Inf(1)
		for _, s := range d.balancer.view.Load().pools["p"].servers {
			o := m.byName[s.Member.Name]
			work := float64(m.work) / o.speed
			if o.slow != nil {
				work *= o.slow(m.now())
			}
			slots := float64(o.member.Server.Slots)
			calls := float64(o.active + len(o.queue) + o.coming)
			if x := work*(1+max(0, calls+1-slots)/slots) + m.random.Float64(); x < low {
				best, low = s, x
			}
		}
		o := m.byName[best.Member.Name]
		o.coming++
		m.after(zoneTripInside, func() { o.coming-- })
		return best
	}
}

// Servers differ in speed by 0.5 to 1.6 and slow down by 2.5 for fractions of a second or for
// seconds; daemons hear of a server every 0.1 to 1 s. Guards against a selection by time that is
// worse than the one by load, also where all servers are equal or nearly full, and against
// herding, which shows in the 99th percentile of full servers.
func TestChoiceByTime(t *testing.T) {
	var loads []speedLoad
	for _, utilisation := range modelUtilisations() {
		loads = append(loads,
			speedLoad{daemons: 35, slots: 13, utilisation: utilisation, slow: 0.1, period: 0.3},
			speedLoad{daemons: 6, slots: 13, utilisation: utilisation, slow: 0.1, period: 0.3},
			speedLoad{daemons: 35, slots: 6, utilisation: utilisation, slow: 0.1, period: 0.3},
			speedLoad{daemons: 35, slots: 13, utilisation: utilisation, slow: 0.2, period: 5},
			speedLoad{daemons: 35, slots: 13, utilisation: utilisation, equal: true},
			speedLoad{daemons: 35, slots: 6, utilisation: utilisation, equal: true},
		)
	}
	seeds := uint64(1)
	if testing.Verbose() {
		seeds = 3
	}
	for _, l := range loads {
		t.Run(l.String(), func(t *testing.T) {
			byLoad, byTime := l.mean(seeds, false, nil), l.mean(seeds, true, nil)
			if testing.Verbose() {
				t.Logf("%s\ntwo:    %s\noracle: %s\nload:   %s\ntime:   %s", l, l.mean(seeds, false, chooseOfTwo), l.mean(seeds, false, chooseOracle), byLoad, byTime)
			}
			limit := 1.04 // noise of one seed
			if !l.equal && l.utilisation < 0.7 {
				limit = 0.95
			}
			assert.Assert(t, float64(byTime.p99) < limit*float64(byLoad.p99), "%s against %s", byTime, byLoad)
			assert.Assert(t, byTime.rejected < byLoad.rejected+0.001 && byTime.late < byLoad.late+0.005)
		})
	}
}

// Servers state their slowdowns, which last for fractions of a second. Guards against a slowdown that
// isn't used while it is known, and against herding to and from the servers that state one.
func TestStatedSlowdownIsUsed(t *testing.T) {
	seeds := uint64(1)
	if testing.Verbose() {
		seeds = 3
	}
	for _, daemons := range []int{35, 6} {
		for _, utilisation := range modelUtilisations() {
			l := speedLoad{daemons: daemons, slots: 13, utilisation: utilisation, slow: 0.1, period: 0.3}
			t.Run(l.String(), func(t *testing.T) {
				unknown := l.mean(seeds, true, nil)
				l.stated = true
				stated := l.mean(seeds, true, nil)
				t.Logf("%s\nunknown: %s\nstated:  %s", l, unknown, stated)
				limit := 1.03 // noise of one seed
				if daemons < 10 {
					limit = 0.97
				}
				assert.Assert(t, float64(stated.p99) < limit*float64(unknown.p99))
				assert.Assert(t, stated.rejected < unknown.rejected+0.001 && stated.late < unknown.late+0.002)
			})
		}
	}
}

// Guards against a choice that follows small differences of speed or goes to a loaded server, and
// against allocation.
func TestFasterServerIsPreferred(t *testing.T) {
	b, clock := balancer("aa")
	b.ByTime = true
	b.Update(tables(), []thwire.Member{member("x", "aa"), member("y", "aa")})
	x, y := find(t, b, "x"), find(t, b, "y")
	at := thclock.Stamp(clock.Now())
	assert.Equal(t, x.serviceRatio(at), 1.0)
	x.speed.Store(relativeTimeUnit * 2)
	y.speed.Store(relativeTimeUnit)
	share := func() float64 {
		n := 0.0
		for range 1000 {
			s, err := b.Choose("p", nil)
			assert.NilError(t, err)
			if s == y {
				n += 0.001
			}
		}
		return n
	}
	assert.Assert(t, share() > 0.8)
	y.inflight.Store(pageSlots * 2)
	assert.Assert(t, share() < 0.3)
	y.inflight.Store(0)
	y.relativeTime.Store(relativeTimeUnit * 4)
	y.loadTime.Store(at)
	assert.Equal(t, y.serviceRatio(at), 4.0)
	clock.Advance(maxLoadAge + time.Millisecond)
	assert.Equal(t, y.serviceRatio(thclock.Stamp(clock.Now())), 1.0, "the slowdown was seen too long ago")
	y.loadTime.Store(thclock.Stamp(clock.Now()))
	y.slowdown.Store(250)
	assert.Equal(t, y.serviceRatio(thclock.Stamp(clock.Now())), 2.5)
	y.relativeTime.Store(relativeTimeUnit)
	clock.Advance(maxSlowdownAge + time.Millisecond)
	assert.Equal(t, y.serviceRatio(thclock.Stamp(clock.Now())), 1.0, "the slowdown was stated too long ago")
	r := Result{Status: 200, HasLoad: true, Load: thwire.Load{Limit: 20, Active: 3, Time: 1e6}, Route: "r"}
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		s, _ := b.Choose("p", nil)
		s.Begin()
		s.Done(r)
	}), 0.0)
}

func BenchmarkChooseByTime(bm *testing.B) {
	b := &Balancer{Self: member("self", "aa"), ByTime: true}
	b.Update(tables(), fleetMembers())
	bm.ReportAllocs()
	bm.RunParallel(func(p *testing.PB) {
		for p.Next() {
			s, _ := b.Choose("p", nil)
			s.Begin()
			s.Done(Result{Status: 200, HasLoad: true, Load: thwire.Load{Limit: 20, Active: 3, Time: 1e6}})
		}
	})
}
