// Package thbalance selects the backend server of a call.
package thbalance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	rampDuration  = 10 * time.Second // time until a returning zone reaches its full weight
	minRampWeight = 0.02             // initial weight, so that a returning zone gets some calls from the start
	// startingWeight is the weight of a starting server; it keeps most calls away
	// until the server's admission control has measured its capacity.
	startingWeight = 0.1
	// defaultSpillThreshold is below 1 because the advertised load dates from the
	// last response: with 0.8, several daemons of a busy zone together filled the
	// queues of its servers (see TestFleetSpreadsLoad).
	defaultSpillThreshold = 0.6
	// packedLoad is the fraction of a server's limit up to which ChoosePacked loads it: well
	// above the usual load, and below that at which a good version becomes slow.
	packedLoad          = 0.6
	maxDraws            = 4                      // draws of a candidate; four times as many in the last tier
	emptyPoolRetryAfter = 500 * time.Millisecond // retry time for a pool without servers, which may be announced soon
	// maxPairDraws limits the search for a server below the spill threshold before a
	// call uses the next tier. Both draws of a pair may return the same server.
	maxPairDraws = 3
	// otherZoneFactor and otherRegionFactor multiply the load of servers outside the local zone.
	otherZoneFactor   = 1.3
	otherRegionFactor = 3
)

// Balancer selects backend servers by the power of two choices. Choose, Begin and
// Done take no locks in normal operation: Choose locks only for a non-nil Random, and
// Done only to eject a server.
type Balancer struct {
	Self   thwire.Member   // the local daemon
	Clock  clockwork.Clock // nil means the system clock
	Log    hclog.Logger    // nil disables logging
	Random *rand.Rand      // nil means the generator of math/rand/v2, which needs no lock
	// SpillThreshold is the fraction of a server's limit in use from which calls may
	// also use other zones; zero means defaultSpillThreshold.
	SpillThreshold float64
	// AutoZones replaces SpillThreshold by a share of calls that leaves the zone while the
	// expected time to an answer is too long here and shorter there by ZoneCost.
	AutoZones bool
	ZoneCost  time.Duration
	// ByTime compares servers by the expected time to an answer, to which their speed
	// contributes more than in the comparison by load.
	ByTime bool

	view        atomic.Pointer[view]
	randomMutex sync.Mutex // guards Random

	routeTimes sync.Map // route to *atomic.Int64: average service time in ns

	updateMutex sync.Mutex           // guards the fields below
	states      map[string]*state    // by member name
	zoneRamps   map[string]zoneRamp  // by zone
	zoneRules   map[string]*zoneRule // by pool; only with AutoZones
}

// zoneRamp is the ramp of a zone. Its start is measured by the local clock:
// Zone.Changed comes from the operator's clock, which may differ.
type zoneRamp struct {
	out   bool // the zone is out of service
	start time.Time
}

// view is the immutable set of candidates that Choose reads.
type view struct {
	pools   map[string]*pool
	states  map[string]*state
	servers []*Server
	// objectives holds the latency objectives by route; only with AutoZones.
	objectives map[string]time.Duration
}

// pool holds its candidates ordered by tier: local zone, local region, other regions.
// tierEnds[t] is the number of candidates in tiers 0 to t.
type pool struct {
	name       string
	servers    []*Server
	tierEnds   [3]int
	rule       *zoneRule  // nil while the fixed rule is in effect
	zones      []poolZone // of the local region, the local zone first; only with a rule
	floor      int        // minimum percentage of servers that stay in use
	ejectMutex sync.Mutex // serialises ejections, so that concurrent ones respect the floor
}

// Update rebuilds the candidates of all pools from the tables and the members. It
// may be called concurrently with all other methods.
func (b *Balancer) Update(tables *thconfig.Tables, members []thwire.Member) {
	b.updateMutex.Lock()
	defer b.updateMutex.Unlock()
	now := thclock.OrSystem(b.Clock).Now()
	b.updateStates(members)
	b.updateZoneRamps(tables, now)
	groups := map[string][]*thwire.Member{} // by service
	for i := range members {
		m := &members[i]
		if m.Server == nil || m.Server.State == thwire.ServerLeaving || m.State > thwire.MemberSuspect || b.zoneRamps[m.Zone].out {
			continue
		}
		groups[m.Server.Service] = append(groups[m.Server.Service], m)
	}
	v := &view{pools: make(map[string]*pool, len(tables.Pools)), states: make(map[string]*state, len(b.states))}
	for name, s := range b.states {
		v.states[name] = s
	}
	old := b.view.Load()
	for _, p := range tables.Pools {
		next := b.buildPool(p, poolMembers(p, groups[p.Service]))
		next.advanceRamps(now)
		if old != nil && next.equal(old.pools[p.Name]) {
			next = old.pools[p.Name]
		}
		v.pools[p.Name] = next
		v.servers = append(v.servers, next.servers...)
	}
	if b.AutoZones {
		v.objectives = make(map[string]time.Duration, len(tables.Routes))
		for i := range tables.Routes {
			v.objectives[tables.Routes[i].Name] = tables.Routes[i].Target
		}
	}
	b.view.Store(v)
}

// poolMembers returns the members whose backend server belongs to the pool.
func poolMembers(p thconfig.Pool, members []*thwire.Member) []*thwire.Member {
	var list []*thwire.Member
	for _, m := range members {
		if p.Matches(m.Server.Service, m.Server.Version) {
			list = append(list, m)
		}
	}
	return list
}

// equal reports whether o has the same candidates as p, so that Update can keep o
// and its Server values. o may be nil.
func (p *pool) equal(o *pool) bool {
	return o != nil && p.floor == o.floor && slices.EqualFunc(p.servers, o.servers, equalServers)
}

func equalServers(a, o *Server) bool {
	s, t := a.Member.Server, o.Member.Server
	x, y := a.Member, o.Member
	x.Server, y.Server = nil, nil
	return a.state == o.state && a.rampStart.Equal(o.rampStart) && x == y && *s == *t
}

// updateStates creates the states of new members and removes those of members that
// are gone.
func (b *Balancer) updateStates(members []thwire.Member) {
	next := make(map[string]*state, len(members))
	for i := range members {
		m := &members[i]
		next[m.Name] = b.states[m.Name].forMember(m)
	}
	b.states = next
}

// StatedLimit returns the backend server instance of a member and the limit in calls per
// second that it last stated; zero without one.
func (b *Balancer) StatedLimit(member string) (instance string, rate float64) {
	b.updateMutex.Lock()
	defer b.updateMutex.Unlock()
	s := b.states[member]
	if s == nil {
		return "", 0
	}
	return s.instance, s.statedRate()
}

// updateZoneRamps starts the ramps of zones that have returned to service. For a zone
// that is seen for the first time, the ramp starts at Zone.Changed if that has passed.
func (b *Balancer) updateZoneRamps(tables *thconfig.Tables, now time.Time) {
	next := make(map[string]zoneRamp, len(tables.Zones))
	for _, z := range tables.Zones {
		old, seen := b.zoneRamps[z.Name]
		r := zoneRamp{out: z.Out, start: old.start}
		switch {
		case z.Out:
		case seen && old.out:
			r.start = now
		case !seen && z.Changed.Before(now):
			r.start = z.Changed
		case !seen:
			r.start = now
		}
		next[z.Name] = r
	}
	b.zoneRamps = next
}

// buildPool returns a pool with its candidates ordered by tier. Suspect members are
// candidates only if the alive members are fewer than the floor, so that many
// simultaneous suspicions can't empty the pool.
func (b *Balancer) buildPool(p thconfig.Pool, members []*thwire.Member) *pool {
	alive := 0
	for _, m := range members {
		if m.State == thwire.MemberAlive {
			alive++
		}
	}
	if b.AutoZones {
		members = slices.Clone(members)
		slices.SortStableFunc(members, func(a, o *thwire.Member) int { return strings.Compare(a.Zone, o.Zone) })
	}
	useSuspects := alive == 0 || alive*100 < p.Floor*len(members)
	n := &pool{name: p.Name, floor: p.Floor}
	for t := range n.tierEnds {
		for _, m := range members {
			if b.tier(m) != t || (m.State == thwire.MemberSuspect && !useSuspects) {
				continue
			}
			s := &Server{Member: *m, state: b.states[m.Name], balancer: b, pool: n, distanceFactor: 1, rampStart: b.zoneRamps[m.Zone].start}
			copied := *m.Server
			s.Member.Server = &copied
			if t > 0 {
				s.distanceFactor = []float64{1, otherZoneFactor, otherRegionFactor}[t]
			}
			n.servers = append(n.servers, s)
		}
		n.tierEnds[t] = len(n.servers)
	}
	n.addZones(b.ruleFor(p.Name))
	return n
}

// advanceRamps shifts the ramps of a pool so that the candidate with the oldest ramp
// has its full weight: ramps only help if other servers can take the calls.
func (p *pool) advanceRamps(now time.Time) {
	if len(p.servers) == 0 {
		return
	}
	oldest := slices.MinFunc(p.servers, func(a, b *Server) int { return a.rampStart.Compare(b.rampStart) }).rampStart
	remaining := rampDuration - now.Sub(oldest)
	if oldest.IsZero() || remaining <= 0 {
		return
	}
	for _, s := range p.servers {
		s.rampStart = s.rampStart.Add(-remaining)
	}
}

// tier returns 0 for the local zone, 1 for other zones of the local region and 2 for
// other regions.
func (b *Balancer) tier(m *thwire.Member) int {
	switch {
	case m.Region != b.Self.Region:
		return 2
	case m.Zone != b.Self.Zone:
		return 1
	}
	return 0
}

// Choose selects a server of the pool. Servers whose names are in exclude are used
// only if there is no other. The error is of kind Unready if the pool is unknown or
// has no candidates.
func (b *Balancer) Choose(name string, exclude []string) (*Server, error) {
	v := b.view.Load()
	if v == nil || v.pools[name] == nil || len(v.pools[name].servers) == 0 {
		return nil, therror.New(therror.Unready, "pool %q has no backend server", name).WithRetryAfter(emptyPoolRetryAfter)
	}
	p, now := v.pools[name], thclock.OrSystem(b.Clock).Now()
	if p.rule != nil {
		if s := b.chooseZone(p, exclude, now, thclock.Stamp(now)); s != nil {
			return s, nil
		}
	}
	for t, n := range p.tierEnds {
		if n == 0 || (t > 0 && n == p.tierEnds[t-1]) {
			continue
		}
		last := n == len(p.servers)
		for range maxPairDraws {
			s := b.drawPair(p.servers[:n], exclude, now, last)
			if s == nil {
				break
			}
			if last || s.hasRoom(now) {
				return s, nil
			}
		}
	}
	return b.scanAll(p.servers, exclude, now), nil
}

// ChooseByKey selects a usable server of the pool that is not excluded by the rendezvous hash
// of the key, so that all daemons select the same one. Without a usable server it is Choose.
func (b *Balancer) ChooseByKey(name, key string, exclude []string) (*Server, error) {
	v, now := b.view.Load(), thclock.OrSystem(b.Clock).Now()
	if v == nil || v.pools[name] == nil {
		return b.Choose(name, exclude)
	}
	usable := map[string]*Server{}
	var members []thwire.Member
	for _, s := range v.pools[name].servers {
		if s.class(exclude, now) == classUsable {
			usable[s.Member.Name] = s
			members = append(members, s.Member)
		}
	}
	if len(members) == 0 {
		return b.Choose(name, exclude)
	}
	return usable[thmember.Rendezvous(key, members, 1)[0].Name], nil
}

// ChoosePacked selects a usable server of the pool that is not excluded and less than
// packedLoad in use. It takes the first one in the rendezvous order of the key, from a
// position in it on, 0 to 1, so that all daemons load the same servers. Without such a server
// it is Choose.
func (b *Balancer) ChoosePacked(name, key string, position float64, exclude []string) (*Server, error) {
	v, now := b.view.Load(), thclock.OrSystem(b.Clock).Now()
	if v == nil || v.pools[name] == nil {
		return b.Choose(name, exclude)
	}
	servers := make(map[string]*Server, len(v.pools[name].servers))
	members := make([]thwire.Member, 0, len(servers))
	for _, s := range v.pools[name].servers {
		servers[s.Member.Name] = s
		members = append(members, s.Member)
	}
	order := thmember.Rendezvous(key, members, len(members))
	first := int(position * float64(len(order)))
	for i := range order {
		s := servers[order[(first+i)%len(order)].Name]
		if s.class(exclude, now) == classUsable && float64(s.inUse(thclock.Stamp(now))) < packedLoad*float64(s.capacity()) {
			return s, nil
		}
	}
	return b.Choose(name, exclude)
}

// drawPair draws two candidates and returns the one with the lower score, or nil if
// none was drawn. In the last tier, candidates that are skipped because of their
// weight are drawn again; in other tiers the call uses the next tier instead, so that
// a zone whose servers are all ramping up doesn't get its full load immediately.
func (b *Balancer) drawPair(servers []*Server, exclude []string, now time.Time, last bool) *Server {
	first := b.draw(servers, exclude, now, last)
	if first == nil {
		return nil
	}
	second := b.draw(servers, exclude, now, last)
	if second != nil && first.score(now) > second.score(now) {
		first = second
	}
	if b.ByTime {
		return b.drawFaster(first, servers, exclude, now, last)
	}
	return first
}

// draw returns a random usable candidate, accepted with the probability of its
// weight, or nil.
func (b *Balancer) draw(servers []*Server, exclude []string, now time.Time, last bool) *Server {
	tries := maxDraws
	if last {
		tries *= 4
	}
	for range tries {
		x := b.randomUint64()
		s := servers[(x>>32)*uint64(len(servers))>>32]
		if s.class(exclude, now) != classUsable {
			continue
		}
		if w := s.weight(now); w < 1 && float64(x&0xffffffff) >= w*(1<<32) {
			if last {
				continue
			}
			return nil
		}
		return s
	}
	return nil
}

// scanAll returns the best candidate of the whole pool by class, then by score. It
// is the fallback if most candidates are ejected, avoided or excluded.
func (b *Balancer) scanAll(servers []*Server, exclude []string, now time.Time) *Server {
	first := int(b.randomUint64()>>32) % len(servers)
	best, class, score := servers[first], servers[first].class(exclude, now), servers[first].score(now)
	for i := 1; i < len(servers); i++ {
		s := servers[(first+i)%len(servers)]
		c, x := s.class(exclude, now), s.score(now)
		if c < class || (c == class && x < score) {
			best, class, score = s, c, x
		}
	}
	return best
}

func (b *Balancer) randomUint64() uint64 {
	if b.Random == nil {
		return rand.Uint64()
	}
	b.randomMutex.Lock()
	defer b.randomMutex.Unlock()
	return b.Random.Uint64()
}

// Avoid makes Choose avoid a server for d, such as after a GoAway of its daemon. It
// does nothing for unknown members.
func (b *Balancer) Avoid(name string, d time.Duration) {
	if v := b.view.Load(); v != nil {
		if s := v.states[name]; s != nil {
			s.avoidUntil(thclock.OrSystem(b.Clock).Now().Add(d))
		}
	}
}

// ServerStatus describes a candidate of a pool for the status output.
type ServerStatus struct {
	Pool     string        `json:"pool"`
	Name     string        `json:"name"`
	Zone     string        `json:"zone"`
	State    string        `json:"state"`
	InFlight int           `json:"inflight"` // calls of this daemon in progress
	Load     thwire.Load   `json:"load"`     // last advertised load
	Weight   float64       `json:"weight"`
	Ejected  time.Duration `json:"ejected"` // remaining time
	Avoided  time.Duration `json:"avoided"` // remaining time
}

// Servers returns the status of the candidates of all pools, sorted by pool and name.
func (b *Balancer) Servers() []ServerStatus {
	v := b.view.Load()
	if v == nil {
		return nil
	}
	now := thclock.OrSystem(b.Clock).Now()
	list := make([]ServerStatus, 0, len(v.servers))
	for name, p := range v.pools {
		for _, s := range p.servers {
			list = append(list, s.status(name, now))
		}
	}
	slices.SortFunc(list, func(a, o ServerStatus) int {
		return slices.Compare([]string{a.Pool, a.Name}, []string{o.Pool, o.Name})
	})
	return list
}

// updateRouteTime adds a server's service time to the moving average of a route, and
// returns the average in ns.
func (b *Balancer) updateRouteTime(route string, d time.Duration) int64 {
	v, found := b.routeTimes.Load(route)
	if !found {
		first := &atomic.Int64{}
		first.Store(int64(d))
		v, _ = b.routeTimes.LoadOrStore(route, first)
	}
	mean := v.(*atomic.Int64)
	old := mean.Load()
	next := max(old+(int64(d)-old)/routeTimeSmoothing, 1)
	mean.Store(next) // losing an update to a concurrent one is harmless
	return next
}
