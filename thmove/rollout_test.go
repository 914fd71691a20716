package thmove

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// modelRoute is a route of the modelled service.
type modelRoute struct {
	name string
	work time.Duration // mean time that a server takes
}

// rollout models a move between two pools with separate servers. Calls take time, so
// that a call is in progress while the Movers evaluate the ones before it.
type rollout struct {
	*fleet
	rate    float64 // calls a second
	span    time.Duration
	routes  []modelRoute
	speeds  map[string]float64 // by server: factor on the work
	growth  float64            // increase of the rate in each second, as a fraction of rate
	poisson bool               // calls arrive independently of each other
	retries int                // of a call that has failed, at once
	// respond changes the outcome of a call to the new version. load is the number of
	// calls in progress at the server.
	respond func(r *rollout, c *modelCall, load int)

	// unreachable is a daemon that is dead, but still a member; empty for none.
	unreachable string

	start      time.Time
	running    map[string]int // calls in progress by server
	inProgress callHeap
	commits    []string // states committed as the end of the move, one for each attempt
	all        int      // calls to both pools until the deadline
	exposed    int      // of these, calls to the new version
	peak       float64  // highest share of the new version on any daemon
}

// modelCall is a call in progress.
type modelCall struct {
	route, pool, server string
	begin, end          time.Time
	kind                therror.Kind
	status              int
	attempt             int // from zero, of its caller
	served              *ServedCall
}

type callHeap []*modelCall

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)        { *h = append(*h, x.(*modelCall)) }
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// committer counts the attempts to commit an end.
type committer struct {
	fakeMembership
	*rollout
}

func (c committer) CommitEnd(ctx context.Context, move thconfig.Move, state, reason string) (string, error) {
	c.rollout.mu.Lock()
	c.commits = append(c.commits, state)
	c.rollout.mu.Unlock()
	return c.fakeMembership.CommitEnd(ctx, move, state, reason)
}

const (
	modelStep    = 25 * time.Millisecond
	callDeadline = 2 * time.Second
	modelSlots   = 18 // of a server
	// The old version fails some calls too.
	usualErrorRate = 0.018
)

func newRollout(seed int64, rate float64, span time.Duration) *rollout {
	r := &rollout{
		fleet: newFleet(seed), rate: rate, span: span,
		routes:  oneRoute,
		speeds:  map[string]float64{},
		running: map[string]int{},
	}
	r.start = r.clock.Now()
	r.tables.Moves[0].Deadline = r.start.Add(span)
	r.tables.Moves[0].Route = ""
	r.tables.Routes = append(r.tables.Routes, thconfig.Route{
		Name: "bookings", Path: "/bookings", Pool: "old", Repeat: thconfig.RepeatSafe, Timeout: time.Second,
	})
	r.members = nil
	r.movers = map[string]*Mover{}
	for _, zone := range []string{"ebetsu", "otaru", "sapporo"} {
		for i := range 4 {
			m := thwire.Member{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Server: &thwire.Server{Service: "bookdesk"}}
			if i >= 2 {
				m.Server = &thwire.Server{Service: "slotboard", Version: fmt.Sprint(i - 1)}
			}
			r.members = append(r.members, m)
			r.speeds[m.Name] = 0.7 + 0.7*r.random.Float64()
		}
	}
	for _, s := range r.members {
		m := fakeMembership{r.fleet, s}
		r.movers[s.Name] = &Mover{Membership: m, EndCommitter: committer{m, r}, Clock: r.clock, Log: hclog.NewNullLogger()}
	}
	r.update()
	return r
}

// play runs the model for a duration.
func (r *rollout) play(duration time.Duration) {
	var names, oldServers, newServers []string
	for _, m := range r.members {
		if m.Name == r.unreachable {
			continue
		}
		names = append(names, m.Name)
		switch {
		case m.Server.Service != "slotboard":
		case m.Server.Version == "2":
			newServers = append(newServers, m.Name)
		default:
			oldServers = append(oldServers, m.Name)
		}
	}
	slices.Sort(names)
	due := 0.0
	for step := 1; step <= int(duration/modelStep); step++ {
		for due += r.arrivals(); due >= 1; due-- {
			r.begin(names, oldServers, newServers, 0)
		}
		r.clock.Advance(modelStep)
		for _, c := range r.finishCalls() {
			if c.status >= 500 && c.attempt < r.retries {
				r.begin(names, oldServers, newServers, c.attempt+1)
			}
		}
		if step%int(tickInterval/modelStep) != 0 {
			continue
		}
		for _, n := range names {
			r.movers[n].tick(context.Background())
		}
		for _, n := range names {
			r.movers[n].work.Wait()
		}
		r.update()
	}
}

// arrivals returns the number of calls that arrive in a step of the model.
func (r *rollout) arrivals() float64 {
	mean := r.rate * (1 + r.growth*r.clock.Since(r.start).Seconds()) * modelStep.Seconds()
	if !r.poisson {
		return mean
	}
	n := -1.0
	for left := mean; left > 0; left -= r.random.ExpFloat64() {
		n++
	}
	return n
}

// begin starts one call from a random daemon.
func (r *rollout) begin(names, oldServers, newServers []string, attempt int) {
	m := r.movers[names[r.random.Intn(len(names))]]
	_, _, share, running := m.SharePool("old")
	c := &modelCall{route: r.routes[r.random.Intn(len(r.routes))].name, pool: "old", begin: r.clock.Now(), status: 200, attempt: attempt}
	servers := oldServers
	if running && r.random.Float64() < share || !running && r.state() == thconfig.MoveDone {
		c.pool, servers = "new", newServers
	}
	r.peak = max(r.peak, share)
	allowed := false
	if c.served, allowed = r.dispatch(m, c, servers); !allowed {
		// Calls that the new version rejects go to the old one.
		c.pool = "old"
		c.served, _ = r.dispatch(m, c, oldServers)
	}
	if r.clock.Since(r.start) < r.span {
		r.all++
		if c.pool == "new" {
			r.exposed++
		}
	}
	i := slices.IndexFunc(r.routes, func(x modelRoute) bool { return x.name == c.route })
	work := float64(r.routes[i].work) * r.speeds[c.server] * math.Exp(0.35*r.random.NormFloat64())
	c.end = c.begin.Add(time.Duration(work))
	if r.random.Float64() < usualErrorRate {
		c.status = 500
	}
	if c.pool == "new" && r.respond != nil {
		r.respond(r, c, r.running[c.server])
	}
	if c.end.Sub(c.begin) > callDeadline {
		c.end, c.status = c.begin.Add(callDeadline), 504
	}
	r.running[c.server]++
	heap.Push(&r.inProgress, c)
}

// dispatch sends a call to a server.
func (r *rollout) dispatch(ingress *Mover, c *modelCall, servers []string) (*ServedCall, bool) {
	c.server = r.choose(ingress, c, servers)
	return r.movers[c.server].BeginServed(c.route, c.pool, false)
}

// choose returns the server with the fewest calls in progress. In a load test it is the first
// one that has room, as for thbalance.Balancer.ChoosePacked.
func (r *rollout) choose(ingress *Mover, c *modelCall, servers []string) string {
	const room = 0.6 * modelSlots
	if position, running := ingress.LoadTest(r.tables.Moves[0].Name); running && c.pool == "new" {
		first := int(position * float64(len(servers)))
		for i := range servers {
			if s := servers[(first+i)%len(servers)]; float64(r.running[s]) < room {
				return s
			}
		}
	}
	server := servers[r.random.Intn(len(servers))]
	for _, s := range servers {
		if r.running[s] < r.running[server] {
			server = s
		}
	}
	return server
}

// finishCalls ends the calls whose time has come, and returns them.
func (r *rollout) finishCalls() []*modelCall {
	var ended []*modelCall
	for len(r.inProgress) > 0 && !r.inProgress[0].end.After(r.clock.Now()) {
		c := heap.Pop(&r.inProgress).(*modelCall)
		r.running[c.server]--
		c.served.End(c.kind, c.status, c.end.Sub(c.begin))
		ended = append(ended, c)
	}
	return ended
}
