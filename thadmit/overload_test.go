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

// fleet is a discrete-event simulation of daemons that send calls to each other's
// backend servers, and of clients that retry rejected calls. It uses real Schedulers
// and Balancers.
type fleet struct {
	clock   *clockwork.FakeClock
	random  *rand.Rand
	events  eventQueue
	servers map[string]*modelServer
	ingress []*thbalance.Balancer
	result  outcome

	// Parameters of the simulation.
	slots         int           // per server
	speeds        []float64     // of the backend servers
	rate          float64       // new clients per second
	work          time.Duration // mean service time at speed 1, without the slow calls
	objective     time.Duration // latency objective
	timeout       time.Duration // of the route
	clientTimeout time.Duration
	maxRetries    int // per client
}

type modelServer struct {
	*Scheduler
	speed  float64
	queued []*modelCall
}

// modelCall is a client's call with its retries.
type modelCall struct {
	ingress  *thbalance.Balancer
	first    time.Time // start of the client's first attempt
	arrival  time.Time // start of the current attempt
	deadline time.Time // of the client
	retries  int
	tried    []string // servers that rejected the current attempt
	open     *thwire.Open
	waiting  *queuedCall
	choice   *thbalance.Server
	cancel   context.CancelFunc
}

// outcome counts clients, and rejections of their retries.
type outcome struct{ all, inTime, late, rejected, rejectedRetries int }

func (o outcome) String() string {
	return fmt.Sprintf("%d clients, in time %.3f, late %.3f, rejected %.3f (rejected retries %.3f)", o.all,
		o.fraction(o.inTime), o.fraction(o.late), o.fraction(o.rejected), o.fraction(o.rejectedRetries))
}

func (o outcome) fraction(n int) float64 { return float64(n) / float64(o.all) }

type event struct {
	at  time.Time
	run func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{f.clock.Now().Add(d), run})
}

// run runs the simulation, with new clients for the given duration.
func (f *fleet) run(duration time.Duration, daemons int) outcome {
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
	end := f.clock.Now().Add(duration)
	f.after(0, func() { f.arrive(end) })
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.clock.Advance(e.at.Sub(f.clock.Now()))
		e.run()
	}
	return f.result
}

// arrive starts a new client and schedules the next arrival, until end.
func (f *fleet) arrive(end time.Time) {
	now := f.clock.Now()
	if now.After(end) {
		return
	}
	f.result.all++
	f.enter(&modelCall{first: now, deadline: now.Add(f.clientTimeout)})
	f.after(time.Duration(f.random.ExpFloat64()/f.rate*float64(time.Second)), func() { f.arrive(end) })
}

// enter performs one attempt of a client at a random ingress.
func (f *fleet) enter(c *modelCall) {
	c.ingress = f.ingress[f.random.IntN(len(f.ingress))]
	c.arrival, c.tried = f.clock.Now(), nil
	c.open = &thwire.Open{Route: "r", Pool: "p", Priority: 2, Goal: int64(f.objective)}
	if c.retries > 0 {
		c.open.Goal, c.open.Late = 0, true
	}
	f.try(c)
}

// try performs one attempt of the ingress at a server.
func (f *fleet) try(c *modelCall) {
	now := f.clock.Now()
	choice, err := c.ingress.Choose("p", c.tried)
	if err != nil {
		f.rejectClient(c, err)
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
		f.handleRejection(c, s, err)
	case t != nil:
		c.waiting = t
		s.queued = append(s.queued, c)
	default:
		f.start(c, s)
	}
	f.settle(s)
}

// handleRejection tries another server after a rejection, up to four servers in one
// attempt.
func (f *fleet) handleRejection(c *modelCall, s *modelServer, err error) {
	c.cancel()
	c.choice.Done(thbalance.Result{Kind: therror.KindOf(err), RetryAfter: therror.RetryAfter(err), HasLoad: true, Load: s.Load("r"), Route: "r"})
	c.tried = append(c.tried, c.choice.Member.Name)
	if len(c.tried) < 4 && len(c.tried) < len(f.speeds) {
		f.try(c)
		return
	}
	f.rejectClient(c, err)
}

// rejectClient rejects the attempt of a client, who retries after the retry time if
// it has retries and time left.
func (f *fleet) rejectClient(c *modelCall, err error) {
	left := c.deadline.Sub(f.clock.Now())
	wait := min(therror.RetryAfter(err), left/3)
	if c.retries > 0 {
		f.result.rejectedRetries++
	}
	if c.retries >= f.maxRetries || left < f.objective/4 {
		f.result.rejected++
		return
	}
	c.retries++
	f.after(wait, func() { f.enter(c) })
}

// start serves an admitted call.
func (f *fleet) start(c *modelCall, s *modelServer) {
	// Service times vary by 30%, and one call in a hundred takes five times as long.
	d := time.Duration(float64(f.work) * (0.7 + 0.6*f.random.Float64()) / s.speed)
	if f.random.IntN(100) == 0 {
		d *= 5
	}
	f.after(d, func() {
		c.cancel()
		(&Admission{scheduler: s.Scheduler, route: "r"}).Done(d, true)
		c.choice.Done(thbalance.Result{Status: 200, Latency: d, HasLoad: true, Load: s.Load("r"), Route: "r"})
		if f.clock.Now().Sub(c.first) <= f.objective {
			f.result.inTime++
		} else {
			f.result.late++
		}
		f.settle(s)
	})
}

// settle processes the queued calls that the scheduler has admitted or rejected.
func (f *fleet) settle(s *modelServer) {
	var decided []*modelCall
	kept := s.queued[:0]
	for _, c := range s.queued {
		select {
		case <-c.waiting.done:
			decided = append(decided, c)
		default:
			kept = append(kept, c)
		}
	}
	s.queued = kept
	for _, c := range decided {
		if c.waiting.err != nil {
			f.handleRejection(c, s, c.waiting.err)
			continue
		}
		f.start(c, s)
	}
}

// catalogueFleet models the catalogue service on the smaller deployment (ikaze): a
// few servers with few slots, whose speeds differ by more than a factor of two. Load
// is the request rate as a multiple of the servers' capacity.
func catalogueFleet(load float64, speeds ...float64) *fleet {
	const (
		work       = 200 * time.Millisecond
		meanFactor = 1.04 // mean service time over work; one call in a hundred takes five times as long
	)
	f := &fleet{
		slots: 6, speeds: speeds, work: work, objective: 500 * time.Millisecond,
		timeout: 1500 * time.Millisecond, clientTimeout: 3 * time.Second, maxRetries: 2,
	}
	for _, s := range speeds {
		f.rate += load * s * float64(f.slots) / (work.Seconds() * meanFactor)
	}
	return f
}

// One minute of overload, with clients that retry twice. Guards against
// queues that are so long that every response misses its latency objective: calls
// served in time must use 80% of the servers' capacity. The rest allows for the
// variation of service times and for retrying clients.
func TestOverloadServesNewCallersInTime(t *testing.T) {
	const minInTime = 0.8
	for _, load := range []float64{1.1, 1.3, 1.6, 2} {
		for _, speeds := range [][]float64{{0.7, 0.7}, {0.7, 0.7, 1.6}, {0.7, 0.7, 1.6, 0.7, 0.7, 1.6}} {
			o := catalogueFleet(load, speeds...).run(time.Minute, 13)
			t.Logf("load %.1f, %d servers: %s", load, len(speeds), o)
			assert.Check(t, o.fraction(o.inTime)*load >= minInTime, "load %.1f, %d servers: %s", load, len(speeds), o)
		}
	}
}

// A load just below the servers' capacity. Guards against rejections while
// another server has free slots.
func TestHighLoadIsServed(t *testing.T) {
	o := catalogueFleet(0.8, 0.7, 0.7, 1.6).run(time.Minute, 13)
	t.Log(o)
	assert.Check(t, o.fraction(o.inTime) >= 0.95 && o.fraction(o.rejected) <= 0.01, "%s", o)
}
