// Package thbalance selects the backend server of a call.
package thbalance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	rampTime = 10 * time.Second // a returning zone reaches its full share after this time
	rampMin  = 0.02             // lowest weight, so that a returning zone is observed at all
	// startingWeight keeps most calls away from a server until its own admission
	// control has found out what it can handle.
	startingWeight = 0.1
	// spillShare is Spill where that is not set. The
	// advertised load is up to one answer old: at 0.8, several daemons of a busy
	// zone together filled the queues of its servers (see TestFleetSpreadsLoad).
	spillShare = 0.6
	drawTries  = 4
	emptyRetry = 500 * time.Millisecond // for a pool without servers: one may announce itself, or be learned of
	// pairTries bounds the search for a server with room before a call leaves a
	// tier; the two draws of a pair may name the same server.
	pairTries = 3
	// regionFactor and remoteFactor multiply the load of servers outside the own zone.
	regionFactor = 1.3
	remoteFactor = 3
)

// Balancer selects backend servers by the power of two choices. Choose, Begin
// and Done take no lock, except that of a Random that was passed in.
type Balancer struct {
	Self   thwire.Member
	Clock  clockwork.Clock
	Log    hclog.Logger // nil means none
	Random *rand.Rand   // nil means the runtime's generator, which needs no lock
	// Spill is the part of a server's limit in use from which on calls go to other
	// zones too; zero means spillShare.
	Spill float64

	view   atomic.Pointer[view]
	random sync.Mutex // guards Random

	times sync.Map // route to *atomic.Int64: usual time of a call in ns

	update  sync.Mutex // guards the fields below
	states  map[string]*state
	returns map[string]zoneReturn
}

// zoneReturn is when the ramp of a zone began by the local clock. The
// operator's clock may differ, so Zone.Changed alone is not enough.
type zoneReturn struct {
	out   bool
	start time.Time
}

type view struct {
	pools  map[string]*pool
	states map[string]*state
	list   []*Server
}

// pool holds the candidates ordered by tier: own zone, own region, others.
// ends[t] is the number of candidates in the tiers up to t.
type pool struct {
	name    string
	servers []*Server
	ends    [3]int
	floor   int
	eject   sync.Mutex // serialises ejections, so that they respect the floor together
}

// Update rebuilds the view from the tables and the members.
func (b *Balancer) Update(tables *thconfig.Tables, members []thwire.Member) {
	b.update.Lock()
	defer b.update.Unlock()
	now := thclock.Or(b.Clock).Now()
	b.keepStates(members)
	b.keepReturns(tables, now)
	groups := map[string][]*thwire.Member{} // by service
	for i := range members {
		m := &members[i]
		if m.Server == nil || m.Server.State == thwire.ServerLeaving || m.State > thwire.MemberSuspect || b.returns[m.Zone].out {
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
		n := b.build(p, held(p, groups[p.Service]))
		n.advance(now)
		if old != nil && n.same(old.pools[p.Name]) {
			n = old.pools[p.Name]
		}
		v.pools[p.Name] = n
		v.list = append(v.list, n.servers...)
	}
	b.view.Store(v)
}

// held returns the members whose backend server belongs to the pool.
func held(p thconfig.Pool, members []*thwire.Member) []*thwire.Member {
	var list []*thwire.Member
	for _, m := range members {
		if p.Matches(m.Server.Service, m.Server.Version) {
			list = append(list, m)
		}
	}
	return list
}

// same reports whether o can stand for p, so that servers keep their identity.
func (p *pool) same(o *pool) bool {
	return o != nil && p.floor == o.floor && slices.EqualFunc(p.servers, o.servers, sameServer)
}

func sameServer(a, o *Server) bool {
	s, t := a.Member.Server, o.Member.Server
	x, y := a.Member, o.Member
	x.Server, y.Server = nil, nil
	return a.state == o.state && a.start.Equal(o.start) && x == y && *s == *t
}

// keepStates creates the counters of new servers and drops those of members
// that are gone. A daemon that restarted begins with fresh counters.
func (b *Balancer) keepStates(members []thwire.Member) {
	next := make(map[string]*state, len(members))
	for i := range members {
		m := &members[i]
		s := b.states[m.Name]
		if s == nil || s.incarnation != m.Incarnation {
			s = &state{incarnation: m.Incarnation}
		}
		next[m.Name] = s
	}
	b.states = next
}

func (b *Balancer) keepReturns(tables *thconfig.Tables, now time.Time) {
	next := make(map[string]zoneReturn, len(tables.Zones))
	for _, z := range tables.Zones {
		old, seen := b.returns[z.Name]
		r := zoneReturn{out: z.Out, start: old.start}
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
	b.returns = next
}

// build orders the candidates of a pool. Suspect members are candidates only
// where the live ones are fewer than the floor, so that a wave of suspicions
// can't empty the pool.
func (b *Balancer) build(p thconfig.Pool, members []*thwire.Member) *pool {
	live := 0
	for _, m := range members {
		if m.State == thwire.MemberAlive {
			live++
		}
	}
	suspects := live == 0 || live*100 < p.Floor*len(members)
	n := &pool{name: p.Name, floor: p.Floor}
	for t := range n.ends {
		for _, m := range members {
			if b.tier(m) != t || (m.State == thwire.MemberSuspect && !suspects) {
				continue
			}
			s := &Server{Member: *m, state: b.states[m.Name], balancer: b, pool: n, factor: 1, start: b.returns[m.Zone].start}
			copied := *m.Server
			s.Member.Server = &copied
			if t > 0 {
				s.factor = []float64{1, regionFactor, remoteFactor}[t]
			}
			n.servers = append(n.servers, s)
		}
		n.ends[t] = len(n.servers)
	}
	return n
}

// advance moves the ramps of a pool forward so that the candidate furthest along
// has its full weight: without another server a ramp would protect nothing.
func (p *pool) advance(now time.Time) {
	if len(p.servers) == 0 {
		return
	}
	first := slices.MinFunc(p.servers, func(a, b *Server) int { return a.start.Compare(b.start) }).start
	missing := rampTime - now.Sub(first)
	if first.IsZero() || missing <= 0 {
		return
	}
	for _, s := range p.servers {
		s.start = s.start.Add(-missing)
	}
}

func (b *Balancer) tier(m *thwire.Member) int {
	switch {
	case m.Region != b.Self.Region:
		return 2
	case m.Zone != b.Self.Zone:
		return 1
	}
	return 0
}

// Choose selects a server of the pool. Servers named in exclude are used only
// when there is no other. The error is of kind Unready without candidates.
func (b *Balancer) Choose(name string, exclude []string) (*Server, error) {
	v := b.view.Load()
	if v == nil || v.pools[name] == nil || len(v.pools[name].servers) == 0 {
		return nil, therror.New(therror.Unready, "pool %q has no backend server", name).After(emptyRetry)
	}
	p, now := v.pools[name], thclock.Or(b.Clock).Now()
	for t, n := range p.ends {
		if n == 0 || (t > 0 && n == p.ends[t-1]) {
			continue
		}
		last := n == len(p.servers)
		for range pairTries {
			s := b.pair(p.servers[:n], exclude, now, last)
			if s == nil {
				break
			}
			if last || s.hasRoom(now) {
				return s, nil
			}
		}
	}
	return b.scan(p.servers, exclude, now), nil
}

// pair draws two candidates and returns the less loaded one, or nil when no
// usable one was drawn. In the last tier a candidate that its weight rules out
// is drawn again; in earlier tiers the call goes to the next tier instead, so
// that a zone whose servers all ramp up doesn't take its full share at once.
func (b *Balancer) pair(servers []*Server, exclude []string, now time.Time, last bool) *Server {
	one := b.draw(servers, exclude, now, last)
	if one == nil {
		return nil
	}
	two := b.draw(servers, exclude, now, last)
	if two == nil || one.score(now) <= two.score(now) {
		return one
	}
	return two
}

func (b *Balancer) draw(servers []*Server, exclude []string, now time.Time, last bool) *Server {
	tries := drawTries
	if last {
		tries *= 4
	}
	for range tries {
		x := b.number()
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

// scan returns the best candidate of the whole pool by class, then by load. It
// is the fallback when most candidates are ejected, avoided or excluded.
func (b *Balancer) scan(servers []*Server, exclude []string, now time.Time) *Server {
	first := int(b.number()>>32) % len(servers)
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

func (b *Balancer) number() uint64 {
	if b.Random == nil {
		return rand.Uint64()
	}
	b.random.Lock()
	defer b.random.Unlock()
	return b.Random.Uint64()
}

// Avoid keeps calls away from a server for d, as after its GoAway.
func (b *Balancer) Avoid(name string, d time.Duration) {
	if v := b.view.Load(); v != nil {
		if s := v.states[name]; s != nil {
			s.avoidUntil(thclock.Or(b.Clock).Now().Add(d))
		}
	}
}

// ServerStatus describes a candidate for the status output.
type ServerStatus struct {
	Pool     string        `json:"pool"`
	Name     string        `json:"name"`
	Zone     string        `json:"zone"`
	State    string        `json:"state"`
	InFlight int           `json:"inflight"` // calls of this daemon
	Load     thwire.Load   `json:"load"`     // as last advertised
	Weight   float64       `json:"weight"`
	Ejected  time.Duration `json:"ejected"` // remaining time
	Avoided  time.Duration `json:"avoided"` // remaining time
}

// Servers returns the candidates of all pools.
func (b *Balancer) Servers() []ServerStatus {
	v := b.view.Load()
	if v == nil {
		return nil
	}
	now := thclock.Or(b.Clock).Now()
	list := make([]ServerStatus, 0, len(v.list))
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

// usual returns the time in ns that calls of a route usually take, after
// counting one server's time.
func (b *Balancer) usual(route string, d time.Duration) int64 {
	v, found := b.times.Load(route)
	if !found {
		first := &atomic.Int64{}
		first.Store(int64(d))
		v, _ = b.times.LoadOrStore(route, first)
	}
	mean := v.(*atomic.Int64)
	old := mean.Load()
	next := max(old+(int64(d)-old)/usualGain, 1)
	mean.Store(next) // an update that is lost in a race does no harm
	return next
}
