package thadmit

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thbalance"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fleet is a model of daemons that send calls to each other's backend servers,
// and of clients that come back after a refusal. Time is stepped from event to
// event; the schedulers and balancers are the real ones.
type fleet struct {
	clock   *clockwork.FakeClock
	random  *rand.Rand
	events  events
	servers map[string]*modelServer
	ingress []*thbalance.Balancer
	result  outcome

	// The pattern of the load.
	slots    int
	speeds   []float64 // of the backend servers
	rate     float64   // calls a second
	work     time.Duration
	goal     time.Duration
	timeout  time.Duration // of the route
	patience time.Duration // deadline of a client
	retries  int           // of a client
}

type modelServer struct {
	*Scheduler
	speed   float64
	waiting []*modelCall
}

type modelCall struct {
	ingress  *thbalance.Balancer
	first    time.Time // of the client's first attempt
	arrival  time.Time
	deadline time.Time // of the client
	returns  int
	tried    []string
	open     *thwire.Open
	ticket   *queuedCall
	choice   *thbalance.Server
	cancel   context.CancelFunc
}

// outcome counts clients.
type outcome struct{ all, inTime, late, refused, again int }

func (o outcome) String() string {
	return fmt.Sprintf("%d clients, in time %.3f, late %.3f, refused %.3f (again %.3f)", o.all,
		o.part(o.inTime), o.part(o.late), o.part(o.refused), o.part(o.again))
}

func (o outcome) part(n int) float64 { return float64(n) / float64(o.all) }

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *fleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{f.clock.Now().Add(d), run})
}

// run plays the pattern and returns what became of the clients.
func (f *fleet) run(length time.Duration, daemons int) outcome {
	f.clock, f.random, f.servers = clockwork.NewFakeClock(), rand.New(rand.NewPCG(5, 6)), map[string]*modelServer{}
	var members []thwire.Member
	for i := range daemons {
		m := thwire.Member{Name: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%4)}
		if i < len(f.speeds) {
			m.Server = &thwire.Server{Service: "s", Version: "1", Slots: f.slots, State: thwire.ServerReady}
			s := &Scheduler{Clock: f.clock}
			s.SetServer(f.slots, false, time.Time{}, 0)
			f.servers[m.Name] = &modelServer{Scheduler: s, speed: f.speeds[i]}
		}
		members = append(members, m)
	}
	tables := &thconfig.Tables{Pools: []thconfig.Pool{{Name: "p", Service: "s", Floor: 50}}}
	for i := range daemons {
		b := &thbalance.Balancer{Self: members[i], Clock: f.clock, Random: rand.New(rand.NewPCG(uint64(i), 9))}
		b.Update(tables, members)
		f.ingress = append(f.ingress, b)
	}
	end := f.clock.Now().Add(length)
	f.after(0, func() { f.arrive(end) })
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.clock.Advance(e.at.Sub(f.clock.Now()))
		e.run()
	}
	return f.result
}

func (f *fleet) arrive(end time.Time) {
	now := f.clock.Now()
	if now.After(end) {
		return
	}
	f.result.all++
	f.enter(&modelCall{first: now, deadline: now.Add(f.patience)})
	f.after(time.Duration(f.random.ExpFloat64()/f.rate*float64(time.Second)), func() { f.arrive(end) })
}

// enter is one attempt of a client.
func (f *fleet) enter(c *modelCall) {
	c.ingress = f.ingress[f.random.IntN(len(f.ingress))]
	c.arrival, c.tried = f.clock.Now(), nil
	c.open = &thwire.Open{Route: "r", Pool: "p", Priority: 2, Goal: int64(f.goal)}
	if c.returns > 0 {
		c.open.Goal, c.open.Late = 0, true
	}
	f.try(c)
}

// try is one attempt of the ingress at a server.
func (f *fleet) try(c *modelCall) {
	now := f.clock.Now()
	choice, err := c.ingress.Choose("p", c.tried)
	if err != nil {
		f.refuse(c, err)
		return
	}
	c.choice = choice
	s := f.servers[choice.Member.Name]
	choice.Begin()
	left := min(f.timeout-now.Sub(c.arrival), c.deadline.Sub(now))
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(left))
	c.cancel = cancel
	c.open.Deadline = int64(left)
	t, err := s.tryEnter(ctx, c.open)
	switch {
	case err != nil:
		f.turnedAway(c, s, err)
	case t != nil:
		c.ticket = t
		s.waiting = append(s.waiting, c)
	default:
		f.start(c, s)
	}
	f.settle(s)
}

// turnedAway takes a refusal by a server.
func (f *fleet) turnedAway(c *modelCall, s *modelServer, err error) {
	c.cancel()
	c.choice.Done(thbalance.Result{Kind: therror.KindOf(err), RetryAfter: therror.RetryAfter(err), HasLoad: true, Load: s.Load("r"), Route: "r"})
	c.tried = append(c.tried, c.choice.Member.Name)
	if len(c.tried) < 4 && len(c.tried) < len(f.speeds) {
		f.try(c)
		return
	}
	f.refuse(c, err)
}

// refuse answers the client, who comes back once it is told to.
func (f *fleet) refuse(c *modelCall, err error) {
	left := c.deadline.Sub(f.clock.Now())
	wait := min(therror.RetryAfter(err), left/3)
	if c.returns > 0 {
		f.result.again++
	}
	if c.returns >= f.retries || left < f.goal/4 {
		f.result.refused++
		return
	}
	c.returns++
	f.after(wait, func() { f.enter(c) })
}

func (f *fleet) start(c *modelCall, s *modelServer) {
	// Service times vary, and one in a hundred is five times as long.
	d := time.Duration(float64(f.work) * (0.7 + 0.6*f.random.Float64()) / s.speed)
	if f.random.IntN(100) == 0 {
		d *= 5
	}
	f.after(d, func() {
		c.cancel()
		(&Admission{scheduler: s.Scheduler, route: "r"}).Done(d, true)
		c.choice.Done(thbalance.Result{Status: 200, Latency: d, HasLoad: true, Load: s.Load("r"), Route: "r"})
		if f.clock.Now().Sub(c.first) <= f.goal {
			f.result.inTime++
		} else {
			f.result.late++
		}
		f.settle(s)
	})
}

// settle starts or refuses the waiting calls that the scheduler has decided on.
func (f *fleet) settle(s *modelServer) {
	var decided []*modelCall
	kept := s.waiting[:0]
	for _, c := range s.waiting {
		select {
		case <-c.ticket.done:
			decided = append(decided, c)
		default:
			kept = append(kept, c)
		}
	}
	s.waiting = kept
	for _, c := range decided {
		if c.ticket.err != nil {
			f.turnedAway(c, s, c.ticket.err)
			continue
		}
		f.start(c, s)
	}
}

// ikaze is the pattern of the catalogue on the smaller deployment: a few servers
// with few slots whose speeds differ by more than a factor of two, at a load
// that is a multiple of what they can serve.
func ikaze(load float64, speeds ...float64) *fleet {
	const (
		work    = 200 * time.Millisecond
		longest = 1.04 // mean time of the calls, of which one in a hundred is five times as long
	)
	f := &fleet{
		slots: 6, speeds: speeds, work: work, goal: 500 * time.Millisecond,
		timeout: 1500 * time.Millisecond, patience: 3 * time.Second, retries: 2,
	}
	for _, s := range speeds {
		f.rate += load * s * float64(f.slots) / (work.Seconds() * longest)
	}
	return f
}

// Pattern: for a minute more callers than the servers can serve, each of whom
// comes back twice. Guards against queues in which all wait so long that each
// answer comes after its latency objective: of what the servers can serve, four
// fifths have to be in time. The rest is left for variation of service times and
// for callers who come back.
func TestOverloadServesNewCallersInTime(t *testing.T) {
	const least = 0.8
	for _, load := range []float64{1.1, 1.3, 1.6, 2} {
		for _, speeds := range [][]float64{{0.7, 0.7}, {0.7, 0.7, 1.6}, {0.7, 0.7, 1.6, 0.7, 0.7, 1.6}} {
			o := ikaze(load, speeds...).run(time.Minute, 13)
			t.Logf("load %.1f, %d servers: %s", load, len(speeds), o)
			assert.Check(t, o.part(o.inTime)*load >= least, "load %.1f, %d servers: %s", load, len(speeds), o)
		}
	}
}

// Pattern: a load just below what the servers can serve. Guards against
// refusals while there is room on another server.
func TestHighLoadIsServed(t *testing.T) {
	o := ikaze(0.8, 0.7, 0.7, 1.6).run(time.Minute, 13)
	t.Log(o)
	assert.Check(t, o.part(o.inTime) >= 0.95 && o.part(o.refused) <= 0.01, "%s", o)
}
