package thbalance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const pageSlots = 20

func member(name, zone string) thwire.Member {
	return thwire.Member{
		Name: name, Zone: zone, Region: zone[:1], Incarnation: 1,
		Server: &thwire.Server{Service: "page", Version: "1", Slots: pageSlots, State: thwire.ServerReady},
	}
}

func tables(zones ...thconfig.Zone) *thconfig.Tables {
	return &thconfig.Tables{Pools: []thconfig.Pool{{Name: "p", Service: "page", Version: "1", Floor: 50}}, Zones: zones}
}

func balancer(zone string) (*Balancer, *clockwork.FakeClock) {
	c := clockwork.NewFakeClock()
	return &Balancer{Self: member("self", zone), Clock: c, Random: rand.New(rand.NewPCG(1, 2))}, c
}

// spread returns the fraction of calls by zone if calls take no time.
func spread(t *testing.T, b *Balancer, calls int) map[string]float64 {
	t.Helper()
	fractions := map[string]float64{}
	for range calls {
		s, err := b.Choose("p", nil)
		assert.NilError(t, err)
		fractions[s.Member.Zone] += 1 / float64(calls)
	}
	return fractions
}

// find returns the candidate with the given name and fails the test without one.
func find(t *testing.T, b *Balancer, name string) *Server {
	t.Helper()
	for _, s := range b.view.Load().servers {
		if s.Member.Name == name {
			return s
		}
	}
	t.Fatalf("server %s is no candidate", name)
	return nil
}

// Guards against calls to other zones while the local zone is idle, and against a
// busy local zone that keeps its calls. Pairs are drawn with replacement, so a few
// calls may leave the region.
func TestOwnZoneFirstThenSpill(t *testing.T) {
	b, _ := balancer("aa")
	b.Update(tables(), []thwire.Member{member("x", "aa"), member("y", "ab"), member("z", "ba")})
	assert.Equal(t, spread(t, b, 200)["aa"] > 0.99, true)
	for range pageSlots {
		find(t, b, "x").Begin()
	}
	got := spread(t, b, 1000)
	assert.Assert(t, got["aa"] < 0.3 && got["ab"] > 0.7 && got["ba"] < 0.03, "fractions %v", got)
}

// Servers have few slots, and traffic between zones is charged. Guards
// against calls that leave the zone below the spill threshold, and against calls that
// stay in the zone above it.
func TestSpillFollowsTheSetting(t *testing.T) {
	for _, c := range []struct {
		threshold float64
		inUse     int
		local     bool
	}{{0, pageSlots * 5 / 10, true}, {0, pageSlots * 8 / 10, false}, {0.9, pageSlots * 8 / 10, true}, {0.9, pageSlots, false}} {
		b, _ := balancer("aa")
		b.SpillThreshold = c.threshold
		b.Update(tables(), []thwire.Member{member("x", "aa"), member("y", "ab"), member("z", "ac")})
		for range c.inUse {
			find(t, b, "x").Begin()
		}
		got := spread(t, b, 1000)["aa"]
		assert.Equal(t, got > 0.99, c.local, "threshold %v, %d of %d slots in use: fraction %v", c.threshold, c.inUse, pageSlots, got)
	}
}

// Guards against one zone that gets all calls of a service that has no server in the
// local zone.
func TestEvenSpreadWithoutOwnZone(t *testing.T) {
	b, _ := balancer("aa")
	b.Update(tables(), []thwire.Member{member("x", "ab"), member("y", "ac"), member("z", "ad")})
	got := spread(t, b, 3000)
	for _, z := range []string{"ab", "ac", "ad"} {
		assert.Assert(t, got[z] > 0.23 && got[z] < 0.43, "fractions %v", got)
	}
}

// Guards against calls to a zone that is out of service, and against full load on a
// zone that has just returned.
func TestZoneOutAndRamp(t *testing.T) {
	b, c := balancer("aa")
	members := []thwire.Member{member("x", "aa"), member("y", "ab")}
	b.Update(tables(thconfig.Zone{Name: "aa", Out: true, Changed: c.Now()}), members)
	assert.Equal(t, spread(t, b, 500)["aa"], 0.0)
	// The operator's clock is an hour ahead.
	back := tables(thconfig.Zone{Name: "aa", Changed: c.Now().Add(time.Hour)})
	b.Update(back, members)
	assert.Assert(t, spread(t, b, 1000)["aa"] < 0.1)
	c.Advance(rampDuration / 2)
	b.Update(back, members)
	half := spread(t, b, 2000)["aa"]
	assert.Assert(t, half > 0.4 && half < 0.8, "fraction %v in the middle of the ramp", half)
	c.Advance(rampDuration / 2)
	assert.Assert(t, spread(t, b, 500)["aa"] > 0.99)
}

// Guards against rejected draws in a pool whose zones have all just returned.
func TestRampWithoutOtherServers(t *testing.T) {
	b, c := balancer("aa")
	members := []thwire.Member{member("x", "aa"), member("y", "ab")}
	b.Update(tables(thconfig.Zone{Name: "aa", Changed: c.Now()}, thconfig.Zone{Name: "ab", Changed: c.Now()}), members)
	assert.Equal(t, find(t, b, "x").weight(c.Now()), 1.0)
	assert.Assert(t, spread(t, b, 500)["aa"] > 0.99)
}

// Guards against a starting server that gets the load of a ready one, or more calls
// than it can handle.
func TestStartingServerTakenGradually(t *testing.T) {
	b, _ := balancer("aa")
	starting := member("cold", "aa")
	starting.Server.State = thwire.ServerStarting
	b.Update(tables(), []thwire.Member{member("x", "aa"), member("y", "aa"), starting})
	for range 200 {
		s, err := b.Choose("p", nil)
		assert.NilError(t, err)
		s.Begin()
	}
	n := find(t, b, "cold").inflight.Load()
	assert.Assert(t, n <= pageSlots/startingLimitDivisor, "%d calls", n)
}

// Guards against ejections that are too short or never end, and against errors that
// are still counted after a success.
func TestEjectionDoubles(t *testing.T) {
	b, c := balancer("aa")
	b.Update(tables(), []thwire.Member{member("x", "aa"), member("y", "aa")})
	x := find(t, b, "x")
	for range minConsecutiveErrors - 1 {
		x.Begin()
		x.Done(Result{Status: 500})
	}
	assert.Equal(t, x.class(nil, c.Now()), classUsable)
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		x.Begin()
		x.Done(Result{Status: 500})
		assert.Equal(t, x.ejectedUntil.Load()-thclock.Stamp(c.Now()), int64(want*time.Second))
		for range 50 {
			s, err := b.Choose("p", nil)
			assert.NilError(t, err)
			assert.Equal(t, s.Member.Name, "y")
		}
		c.Advance(want * time.Second)
	}
	x.Begin()
	x.Done(Result{Status: 200})
	assert.Equal(t, x.errors.Load(), int64(0))
}

// Guards against ejections that leave fewer servers than the floor, and against state
// that is lost on an update.
func TestEjectionKeepsFloor(t *testing.T) {
	b, c := balancer("aa")
	members := make([]thwire.Member, 0, 10)
	for i := range 10 {
		members = append(members, member(fmt.Sprint("s", i), "aa"))
	}
	b.Update(tables(), members)
	for i := range members {
		s := find(t, b, members[i].Name)
		s.Begin()
		s.Done(Result{Kind: therror.Broken})
		members[i].Sequence++
		b.Update(tables(), members)
	}
	ejected := 0
	for i := range members {
		if find(t, b, members[i].Name).class(nil, c.Now()) == classEjected {
			ejected++
		}
	}
	assert.Equal(t, ejected, 5)
}

// Guards against errors if every candidate is ejected, avoided or excluded.
func TestWholePoolIsUsedAsFallback(t *testing.T) {
	b, _ := balancer("aa")
	all := tables()
	all.Pools[0].Floor = 0
	b.Update(all, []thwire.Member{member("x", "aa"), member("y", "aa")})
	for _, n := range []string{"x", "y"} {
		s := find(t, b, n)
		s.Begin()
		s.Done(Result{Kind: therror.Broken})
	}
	seen := map[string]bool{}
	for range 100 {
		s, err := b.Choose("p", nil)
		assert.NilError(t, err)
		seen[s.Member.Name] = true
	}
	assert.Equal(t, len(seen), 2)
	s, err := b.Choose("p", []string{"x"})
	assert.NilError(t, err)
	assert.Equal(t, s.Member.Name, "y")
	_, err = b.Choose("p", []string{"x", "y"})
	assert.NilError(t, err)
	all.Pools = append(all.Pools, thconfig.Pool{Name: "empty", Service: "page", Version: "2"})
	b.Update(all, []thwire.Member{member("x", "aa")})
	for _, name := range []string{"empty", "missing"} {
		_, err = b.Choose(name, nil)
		assert.Equal(t, therror.KindOf(err), therror.Unready)
	}
}

// Guards against calls to servers that have just rejected a call or sent GoAway, and
// against ejections because of a platform outage.
func TestRejectionsAndGoAwayAreAvoided(t *testing.T) {
	b, c := balancer("aa")
	b.Update(tables(), []thwire.Member{member("x", "aa"), member("y", "aa")})
	x := find(t, b, "x")
	x.Begin()
	x.Done(Result{Kind: therror.Full, RetryAfter: 300 * time.Millisecond})
	assert.Equal(t, x.class(nil, c.Now()), classAvoided)
	c.Advance(300 * time.Millisecond)
	assert.Equal(t, x.class(nil, c.Now()), classUsable)
	b.Avoid("x", time.Second)
	assert.Equal(t, x.class(nil, c.Now()), classAvoided)
	c.Advance(time.Second)
	x.Begin()
	x.Done(Result{Kind: therror.Down, HasLoad: true, Load: thwire.Load{Limit: 20}})
	assert.Equal(t, x.class(nil, c.Now()), classUsable)
	x.Begin()
	x.Done(Result{Kind: therror.Down})
	assert.Equal(t, x.class(nil, c.Now()), classEjected)
}

// Guards against many simultaneous false suspicions that empty a pool.
func TestSuspectsFillUpBelowFloor(t *testing.T) {
	b, _ := balancer("aa")
	members := []thwire.Member{member("x", "aa"), member("y", "aa"), member("z", "aa")}
	members[1].State, members[2].State = thwire.MemberSuspect, thwire.MemberSuspect
	b.Update(tables(), members)
	assert.Equal(t, len(b.view.Load().servers), 3)
	members[2].State = thwire.MemberAlive
	b.Update(tables(), members)
	assert.Equal(t, len(b.view.Load().servers), 2)
}

// Guards against memory allocation in Choose, Begin and Done.
func TestChooseDoesNotAllocate(t *testing.T) {
	b := fleet()
	exclude := []string{"s1"}
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		s, _ := b.Choose("p", exclude)
		s.Begin()
		s.Done(Result{Status: 200, HasLoad: true, Load: thwire.Load{Limit: 20, Active: 3}})
	}), 0.0)
}

func fleetMembers() []thwire.Member {
	members := make([]thwire.Member, 0, 680)
	for i := range 680 {
		members = append(members, member(fmt.Sprint("s", i), []string{"aa", "ab", "ac", "ad", "ba", "bb", "bc"}[i%7]))
	}
	return members
}

func fleet() *Balancer {
	b := &Balancer{Self: member("self", "aa")}
	b.Update(tables(), fleetMembers())
	return b
}

func BenchmarkUpdate(bm *testing.B) {
	b, all, members := fleet(), tables(), fleetMembers()
	for i := range 90 {
		all.Pools = append(all.Pools, thconfig.Pool{Name: fmt.Sprint("q", i), Service: fmt.Sprint("service", i/2), Version: "1"})
	}
	for i := range members {
		members[i].Server.Service = fmt.Sprint("service", i%46)
	}
	bm.ReportAllocs()
	for bm.Loop() {
		b.Update(all, members)
	}
}

func BenchmarkChoose(bm *testing.B) {
	b := fleet()
	bm.ReportAllocs()
	bm.RunParallel(func(p *testing.PB) {
		for p.Next() {
			s, _ := b.Choose("p", nil)
			s.Begin()
			s.Done(Result{Status: 200, HasLoad: true, Load: thwire.Load{Limit: 20, Active: 3}})
		}
	})
}

// Guards against a limit that an instance has stated being forgotten with the daemon
// beside it, or kept for its successor.
func TestStatedRateRemainsWithTheInstance(t *testing.T) {
	m := thwire.Member{Name: "a", Incarnation: 1, Server: &thwire.Server{Instance: "i-1"}}
	first := (*state)(nil).forMember(&m)
	first.rate.Store(math.Float64bits(7))
	first.limit.Store(1)
	assert.Assert(t, first.forMember(&m) == first)
	m.Incarnation, m.Server = 2, nil
	restarted := first.forMember(&m)
	assert.Assert(t, restarted != first)
	m.Server = &thwire.Server{Instance: "i-1"}
	restarted = restarted.forMember(&m)
	s := Server{state: restarted}
	assert.Equal(t, s.StatedRate(), 7.0)
	assert.Equal(t, s.limit.Load(), int64(1))
	m.Server = &thwire.Server{Instance: "i-2"}
	s = Server{state: restarted.forMember(&m)}
	assert.Equal(t, s.StatedRate(), 0.0)
	assert.Equal(t, s.limit.Load(), int64(0))
}

// Guards against daemons that choose different servers for one key, keys that all belong to one
// server, and servers that are chosen although they are excluded or ejected.
func TestKeysBelongToTheSameServerEverywhere(t *testing.T) {
	a, _ := balancer("a-1")
	b, _ := balancer("a-2")
	var members []thwire.Member
	for i := range 6 {
		members = append(members, member(fmt.Sprintf("m%d", i), fmt.Sprintf("a-%d", 1+i%2)))
	}
	a.Update(tables(), members)
	b.Update(tables(), members)
	counts := map[string]int{}
	for i := range 600 {
		key := fmt.Sprint("key-", i)
		s, err := a.ChooseByKey("p", key, nil)
		assert.NilError(t, err)
		s.Begin() // the load does not matter
		other, err := b.ChooseByKey("p", key, nil)
		assert.NilError(t, err)
		assert.Equal(t, s.Member.Name, other.Member.Name)
		counts[s.Member.Name]++
		next, err := a.ChooseByKey("p", key, []string{s.Member.Name})
		assert.NilError(t, err)
		assert.Assert(t, next.Member.Name != s.Member.Name)
	}
	for name, n := range counts {
		assert.Assert(t, n > 50 && n < 200, "%s: %d", name, n)
	}
	s, err := a.ChooseByKey("p", "key", nil)
	assert.NilError(t, err)
	s.Done(Result{Kind: therror.Crashed})
	other, err := a.ChooseByKey("p", "key", nil)
	assert.NilError(t, err)
	assert.Assert(t, other.Member.Name != s.Member.Name)
	_, err = a.ChooseByKey("none", "key", nil)
	assert.Assert(t, therror.Is(err, therror.Unready))
}

// Guards against load tests that spread the calls over all servers or fill one beyond its
// room, against daemons that load different ones, and against servers that never get their
// turn.
func TestPackedCallsFillOneServerAfterTheOther(t *testing.T) {
	a, _ := balancer("a-1")
	b, _ := balancer("a-2")
	var members []thwire.Member
	for i := range 3 {
		members = append(members, member(fmt.Sprintf("m%d", i), fmt.Sprintf("a-%d", 1+i%2)))
	}
	a.Update(tables(), members)
	b.Update(tables(), members)
	choose := func(b *Balancer, position float64, exclude ...string) *Server {
		t.Helper()
		s, err := b.ChoosePacked("p", "move", position, exclude)
		assert.NilError(t, err)
		return s
	}
	firsts := map[string]bool{}
	for turn := range 3 {
		s := choose(a, float64(turn)/3)
		assert.Equal(t, choose(b, float64(turn)/3).Member.Name, s.Member.Name)
		firsts[s.Member.Name] = true
	}
	assert.Equal(t, len(firsts), 3)
	first := choose(a, 0)
	taken := int64(0)
	for ; choose(a, 0) == first; taken++ {
		first.Begin()
	}
	assert.Equal(t, taken, int64(math.Ceil(packedLoad*float64(first.capacity()))))
	second := choose(a, 0)
	assert.Assert(t, second != choose(a, 0, second.Member.Name))
	for _, s := range a.view.Load().pools["p"].servers {
		s.inflight.Store(s.capacity())
	}
	assert.Assert(t, choose(a, 0) != nil, "no server has room: any one is chosen")
	_, err := a.ChoosePacked("none", "move", 0, nil)
	assert.Assert(t, therror.Is(err, therror.Unready))
}
