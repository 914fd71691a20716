package thbalance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const testZoneCost = 20 * time.Millisecond

func fixedZones(spill float64) func(*Balancer) {
	return func(b *Balancer) { b.SpillThreshold = spill }
}

func autoZones(b *Balancer) { b.AutoZones, b.ZoneCost = true, testZoneCost }

// zoneModel runs 12, 12 and 11 servers of 13 slots in three zones, unless servers gives other
// numbers.
func zoneModel(configure func(*Balancer), servers map[string]int, prepare func(*model)) *model {
	if servers == nil {
		servers = map[string]int{"aa": 12, "ab": 12, "ac": 11}
	}
	m := newModel(1, 13, servers, configure)
	prepare(m)
	return m
}

// compareZones runs a load with the fixed rule at 0.6 (default) and 0.9 (template) and with the
// new one, and logs the results.
func compareZones(t *testing.T, end time.Duration, servers map[string]int, prepare func(*model), updates ...time.Duration) (fixed, auto modelResult, m *model) {
	t.Helper()
	var results [3]modelResult
	for i, configure := range []func(*Balancer){fixedZones(0.6), fixedZones(0.9), autoZones} {
		if i == 0 && !testing.Verbose() {
			continue // only logged
		}
		m = zoneModel(configure, servers, prepare)
		m.run(end, updates...)
		results[i] = m.result(end)
	}
	t.Logf("%s\nfixed 0.6: %s\nfixed 0.9: %s\nauto:      %s", t.Name(), results[0], results[1], results[2])
	return results[1], results[2], m
}

// Each zone has a third of the demand, but one or two have too few servers for it, from the start
// on. Guards against zones that both send to each other, against servers of the small zones that
// stay overloaded, against shares that swing, and against more traffic than with the fixed rule.
func TestZonesWithTooFewServers(t *testing.T) {
	const end = 30 * time.Second
	for _, c := range []struct {
		slots           int
		work, objective time.Duration
		small           []string
		servers         map[string]int
	}{
		{13, 160 * time.Millisecond, 500 * time.Millisecond, []string{"aa"}, map[string]int{"aa": 6, "ab": 15, "ac": 14}},
		{13, 160 * time.Millisecond, 500 * time.Millisecond, []string{"aa", "ab"}, map[string]int{"aa": 7, "ab": 7, "ac": 21}},
		{6, 81 * time.Millisecond, 250 * time.Millisecond, []string{"aa", "ab"}, map[string]int{"aa": 7, "ab": 7, "ac": 21}},
	} {
		t.Run(fmt.Sprint(c.slots, " slots ", len(c.small), " small"), func(t *testing.T) {
			fixed, auto, m := compareZones(t, end, c.servers, func(m *model) {
				for _, s := range m.servers {
					s.member.Server.Slots = c.slots
				}
				m.work, m.objective = c.work, c.objective
				m.rate = func(string, time.Duration) float64 { return m.capacityRate(35, 0.65) / 3 }
			})
			assert.Assert(t, auto.rejected < 0.001 && auto.late < fixed.late+0.01)
			assert.Assert(t, auto.crossed < fixed.crossed)
			rate := m.rate("", 0)
			for z, by := range m.crossedBy {
				low, high := math.Inf(1), 0.0
				for second := 10; second+5 <= len(by); second++ {
					sum := 0
					for _, n := range by[second : second+5] {
						sum += n
					}
					low, high = min(low, float64(sum)/5/rate), max(high, float64(sum)/5/rate)
				}
				t.Logf("share from %s in 5 s: %.2f to %.2f", z, low, high)
				assert.Assert(t, high-low < 0.2, "share from %s between %v and %v", z, low, high)
			}
			assert.Equal(t, len(m.crossedBy), len(c.small), "zones with spare room send nothing: %v", m.crossedBy)
		})
	}
}

// The demand of each zone swings by 55% at a different phase. Guards against shares that lag
// behind so much that more requests are late or rejected than with the fixed rule, and against
// traffic while the zones can serve their peaks themselves.
func TestZonesWithSwingingDemand(t *testing.T) {
	for _, c := range []struct{ period, utilisation float64 }{{10, 0.7}, {30, 0.55}, {30, 0.7}, {30, 0.8}} {
		t.Run(fmt.Sprint(c.period, " s ", c.utilisation), func(t *testing.T) {
			fixed, auto, _ := compareZones(t, 30*time.Second, nil, func(m *model) {
				phase := map[string]float64{"aa": 0, "ab": 2.1, "ac": 4.2}
				m.rate = func(z string, at time.Duration) float64 {
					return m.capacityRate(35, c.utilisation) / 3 * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/c.period+phase[z]))
				}
			})
			assert.Assert(t, auto.rejected < 0.001 && auto.late < fixed.late+0.005)
			assert.Assert(t, auto.crossed < fixed.crossed)
		})
	}
}

// The servers of a zone are lost for 10 s, with or without its callers; members learn it after
// 3 s. Guards against callers that keep trying the lost zone, and against servers elsewhere that
// are overloaded although others have room.
func TestZoneThatIsLost(t *testing.T) {
	const from, to, end = 10 * time.Second, 20 * time.Second, 30 * time.Second
	lost := func(at time.Duration) bool { return at > from && at < to }
	for _, callers := range []bool{true, false} {
		t.Run(fmt.Sprint("callers remain ", callers), func(t *testing.T) {
			fixed, auto, _ := compareZones(t, end, nil, func(m *model) {
				for _, s := range m.servers {
					if s.member.Zone == "ab" {
						s.down = lost
					}
				}
				m.rate = func(z string, at time.Duration) float64 {
					switch {
					case callers:
						return m.capacityRate(12, 0.55)
					case z == "ab" && lost(at):
						return 0
					case z == "aa":
						return m.capacityRate(12, 1.1)
					}
					return m.capacityRate(12, 0.55)
				}
			}, from+3*time.Second, to+time.Second)
			assert.Assert(t, auto.rejected < fixed.rejected+0.002 && auto.late < fixed.late+0.005)
			assert.Assert(t, auto.crossed < fixed.crossed)
		})
	}
}

// Work at the servers of one zone takes 2.5 times as long for 10 s. Guards against calls that stay
// there, since their slots are in use without being full.
func TestZoneThatSlowsDown(t *testing.T) {
	for _, utilisation := range []float64{0.3, 0.5} {
		t.Run(fmt.Sprint(utilisation), func(t *testing.T) {
			fixed, auto, _ := compareZones(t, 30*time.Second, nil, func(m *model) {
				for _, s := range m.servers {
					if s.member.Zone == "aa" {
						s.slow = func(at time.Duration) float64 {
							if at > 10*time.Second && at < 20*time.Second {
								return 2.5
							}
							return 1
						}
					}
				}
				m.rate = func(string, time.Duration) float64 { return m.capacityRate(12, utilisation) }
			})
			assert.Assert(t, auto.rejected < 0.001 && auto.late < fixed.late && auto.p99 < fixed.p99)
		})
	}
}

// No zone is short of servers. Guards against traffic between zones that a few slow responses
// cause. With 6 slots and 0.6 of them in use, queues form for moments.
func TestCalmZonesKeepTheirCalls(t *testing.T) {
	for _, c := range []struct {
		slots       int
		utilisation float64
		crossed     float64 // maximum
	}{{6, 0.4, 0}, {6, 0.6, 0.001}, {13, 0.4, 0}, {13, 0.7, 0}} {
		t.Run(fmt.Sprint(c.slots, " slots ", c.utilisation), func(t *testing.T) {
			fixed, auto, _ := compareZones(t, 30*time.Second, nil, func(m *model) {
				for _, s := range m.servers {
					s.member.Server.Slots = c.slots
				}
				m.rate = func(string, time.Duration) float64 { return m.capacityRate(11.67, c.utilisation) }
			})
			assert.Assert(t, auto.crossed <= c.crossed)
			assert.Assert(t, auto.rejected <= fixed.rejected && auto.late < fixed.late+0.001)
		})
	}
}

// All zones are at or above their capacity. Guards against calls that cross without a gain.
func TestOverloadedZonesKeepTheirCalls(t *testing.T) {
	for _, utilisation := range []float64{1, 1.3} {
		t.Run(fmt.Sprint(utilisation), func(t *testing.T) {
			fixed, auto, _ := compareZones(t, 15*time.Second, nil, func(m *model) {
				m.rate = func(string, time.Duration) float64 { return m.capacityRate(11.67, utilisation) }
			})
			assert.Assert(t, auto.rejected < fixed.rejected+0.01 && auto.late < fixed.late+0.01)
			assert.Assert(t, auto.crossed < 0.2 && auto.crossed < fixed.crossed/2)
		})
	}
}

// Guards against steps of the share in the wrong direction, and against a share that has no
// hysteresis.
func TestNextShare(t *testing.T) {
	calm := zoneFigures{home: 0.3, there: 0.3, known: true, utilisation: 0.5}
	assert.Equal(t, nextShare(calm), 0.0)
	loaded := zoneFigures{home: 0.9, there: 0.3, known: true, cost: 0.04, utilisation: 1}
	assert.Equal(t, nextShare(loaded), shareGrowth)
	costly := loaded
	costly.cost = 0.7
	assert.Equal(t, nextShare(costly), 0.0)
	unknown := loaded
	unknown.known, unknown.there, unknown.share, unknown.total = false, 0, probeShare, probeShare
	assert.Equal(t, nextShare(unknown), probeShare)
	unknown.share, unknown.total = 0.6, 0.6
	assert.Equal(t, nextShare(unknown), probeShare)
	both := loaded
	both.there, both.share, both.total = 0.95, 0.4, 0.4
	assert.Equal(t, nextShare(both), both.share*retreatFactor)
	between := loaded
	between.home, between.share, between.total = (startRatio+stopRatio)/2, 0.4, 0.4
	assert.Equal(t, nextShare(between), 0.4)
	relieved := between
	relieved.home, relieved.utilisation = 0.3, 0.9
	assert.Equal(t, nextShare(relieved), 0.4, "all calls would need 1.5 times the servers")
	relieved.utilisation = 0.3
	assert.Equal(t, nextShare(relieved), relieved.share*releaseFactor)
	relieved.share, relieved.total = minShare, minShare
	assert.Equal(t, nextShare(relieved), 0.0)
	failed := loaded
	failed.share, failed.total, failed.failed = 0.4, 0.4, true
	assert.Equal(t, nextShare(failed), 0.0)
}

// Guards against calls that fail while the local zone has no usable server, against a share that
// an Update resets, and against objectives that aren't those of the routes.
func TestZonesWithoutUsableServers(t *testing.T) {
	b, clock := balancer("aa")
	autoZones(b)
	all := tables()
	all.Pools[0].Floor = 0
	all.Routes = []thconfig.Route{{Name: "r", Target: 300 * time.Millisecond}}
	members := []thwire.Member{member("y", "ab"), member("x", "aa"), member("z", "ac"), member("far", "ba")}
	b.Update(all, members)
	assert.Equal(t, b.view.Load().objective("r"), 300*time.Millisecond)
	assert.Equal(t, b.view.Load().objective("other"), defaultObjective)
	assert.Equal(t, len(spread(t, b, 300)), 1)
	flow := find(t, b, "y").flow
	flow.share.Store(math.Float64bits(0.3))
	members = append(members, member("w", "ab"))
	b.Update(all, members)
	assert.Assert(t, find(t, b, "w").flow == flow)
	x := find(t, b, "x")
	x.Begin()
	x.Done(Result{Kind: therror.Broken})
	got := spread(t, b, 300)
	assert.Assert(t, got["aa"] == 0 && got["ab"] > 0.3 && got["ac"] > 0.1, "%v", got)
	clock.Advance(initialEjection)
	b.Update(all, members[:1])
	got = spread(t, b, 10)
	assert.Assert(t, got["ab"] > 0 && len(got) == 1, "no server in the local zone: %v", got)
}

// Guards against a zone that has just returned to service and gets its calls faster than with the
// fixed rule.
func TestReturningZoneRampsUp(t *testing.T) {
	share := map[bool]float64{}
	for _, auto := range []bool{false, true} {
		b, c := balancer("aa")
		b.AutoZones = auto
		members := []thwire.Member{member("x", "aa"), member("y", "ab")}
		b.Update(tables(thconfig.Zone{Name: "aa", Out: true, Changed: c.Now()}), members)
		back := tables(thconfig.Zone{Name: "aa", Changed: c.Now()})
		b.Update(back, members)
		c.Advance(rampDuration / 4)
		b.Update(back, members)
		share[auto] = spread(t, b, 4000)["aa"]
	}
	assert.Assert(t, share[true] > 0.1 && share[true] < share[false]+0.05, "%v", share)
}

// Guards against allocation in Choose and Done with the rule.
func TestZoneRuleDoesNotAllocate(t *testing.T) {
	b := &Balancer{Self: member("self", "aa")}
	autoZones(b)
	b.Update(tables(), fleetMembers())
	find(t, b, "s1").flow.share.Store(math.Float64bits(0.3))
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		s, _ := b.Choose("p", nil)
		s.Begin()
		s.Done(Result{Status: 200, HasLoad: true, Load: thwire.Load{Limit: 20, Active: 3, Time: 1e6}})
	}), 0.0)
}

func BenchmarkChooseAutoZones(bm *testing.B) {
	b := &Balancer{Self: member("self", "aa")}
	autoZones(b)
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
