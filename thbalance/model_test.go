package thbalance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// model simulates daemons and backend servers without a network. Each server has a daemon,
// which also sends the requests of its callers. A server's daemon queues calls, rejects those
// that would miss their objective, and states its load with each response, as thadmit does.
type model struct {
	work      time.Duration // mean of the time that a request takes at a server of speed 1
	objective time.Duration
	trip      time.Duration                               // one-way delay between zones
	rate      func(zone string, at time.Duration) float64 // requests per second
	servers   []*modelServer
	stateSlow bool // servers state slowdowns
	byName    map[string]*modelServer
	daemons   []*modelDaemon

	clock    *clockwork.FakeClock
	start    time.Time
	random   *rand.Rand
	events   eventQueue
	sequence int
	tables   *thconfig.Tables
	from     time.Duration // requests that arrive earlier aren't counted

	times                             []time.Duration
	requests, rejected, late, crossed int
	crossedBy                         map[string][]int // by zone of the caller and second
}

// modelServer is a backend server with the admission control beside it.
type modelServer struct {
	member  thwire.Member
	speed   float64
	slow    func(at time.Duration) float64 // factor of the time that work takes; nil means 1
	down    func(at time.Duration) bool    // nil means never
	active  int
	queue   []*modelCall
	average float64       // moving average of the service time, ns
	busy    time.Duration // sum of the service times
	coming  int           // calls that the oracle has sent and that haven't arrived
}

type modelDaemon struct {
	member   thwire.Member
	balancer *Balancer
	choose   func(exclude []string) *Server
}

// modelCall is a request of a caller, or the attempt at a server that it makes.
type modelCall struct {
	daemon  *modelDaemon
	arrival time.Duration
	sent    time.Duration
	server  *modelServer
	choice  *Server
	exclude []string
	size    float64
}

type modelEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	modelRoute     = "route"
	modelAttempts  = 4
	zoneTripInside = 200 * time.Microsecond
)

// newModel returns a model with the given number of servers in each zone.
func newModel(seed uint64, slots int, zones map[string]int, configure func(*Balancer)) *model {
	m := &model{
		work: 160 * time.Millisecond, objective: 500 * time.Millisecond, trip: time.Millisecond,
		clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 5)), crossedBy: map[string][]int{}, byName: map[string]*modelServer{},
	}
	m.start = m.clock.Now()
	var names []string
	for z := range zones {
		names = append(names, z)
	}
	slices.Sort(names)
	for _, z := range names {
		for i := range zones[z] {
			s := &modelServer{member: member(fmt.Sprintf("%s%02d", z, i), z), speed: 1}
			s.member.Server.Slots = slots
			m.servers = append(m.servers, s)
			m.byName[s.member.Name] = s
		}
	}
	m.tables = tables()
	for i, s := range m.servers {
		b := &Balancer{Self: s.member, Clock: m.clock, Random: rand.New(rand.NewPCG(seed, uint64(i)+100))}
		if configure != nil {
			configure(b)
		}
		d := &modelDaemon{member: s.member, balancer: b}
		d.choose = func(exclude []string) *Server {
			s, err := b.Choose("p", exclude)
			if err != nil {
				return nil
			}
			return s
		}
		m.daemons = append(m.daemons, d)
	}
	return m
}

func (m *model) now() time.Duration { return m.clock.Now().Sub(m.start) }

func (m *model) after(d time.Duration, f func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{at: m.now() + max(d, 0), sequence: m.sequence, run: f})
}

// update passes the live members to all daemons.
func (m *model) update() {
	var members []thwire.Member
	for _, s := range m.servers {
		if !s.isDown(m.now()) {
			members = append(members, s.member)
		}
	}
	m.tables.Routes = []thconfig.Route{{Name: modelRoute, Pool: "p", Target: m.objective}}
	for _, d := range m.daemons {
		d.balancer.Update(m.tables, members)
	}
}

func (s *modelServer) isDown(at time.Duration) bool { return s.down != nil && s.down(at) }

// run simulates the time until end. Members are updated at the given times.
func (m *model) run(end time.Duration, updates ...time.Duration) {
	m.update()
	for _, at := range updates {
		m.after(at, m.update)
	}
	byZone := map[string][]*modelDaemon{}
	var zones []string
	for _, d := range m.daemons {
		if byZone[d.member.Zone] == nil {
			zones = append(zones, d.member.Zone)
		}
		byZone[d.member.Zone] = append(byZone[d.member.Zone], d)
	}
	for _, z := range zones {
		var arrive func()
		arrive = func() {
			if rate := m.rate(z, m.now()); rate > 0 {
				m.request(byZone[z][m.random.IntN(len(byZone[z]))])
				m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), arrive)
				return
			}
			m.after(50*time.Millisecond, arrive)
		}
		m.after(0, arrive)
	}
	for len(m.events) > 0 && m.events[0].at < end {
		e := heap.Pop(&m.events).(modelEvent)
		m.clock.Advance(e.at - m.now())
		e.run()
	}
}

func (m *model) counted(c *modelCall) bool { return c.arrival >= m.from }

func (m *model) request(d *modelDaemon) {
	c := &modelCall{daemon: d, arrival: m.now(), size: 0.4 + 0.6*m.random.ExpFloat64()}
	if m.counted(c) {
		m.requests++
	}
	m.attempt(c)
}

func (m *model) attempt(c *modelCall) {
	if len(c.exclude) >= modelAttempts {
		if m.counted(c) {
			m.rejected++
		}
		return
	}
	s := c.daemon.choose(c.exclude)
	s.Begin()
	c.choice, c.sent = s, m.now()
	c.server = m.byName[s.Member.Name]
	if s.Member.Zone != c.daemon.member.Zone && m.counted(c) {
		m.crossed++
		by := m.crossedBy[c.daemon.member.Zone]
		for second := int(m.now() / time.Second); len(by) <= second; {
			by = append(by, 0)
		}
		by[len(by)-1]++
		m.crossedBy[c.daemon.member.Zone] = by
	}
	m.after(m.delay(c), func() { m.arrived(c) })
}

func (m *model) delay(c *modelCall) time.Duration {
	if c.server.member.Zone != c.daemon.member.Zone {
		return m.trip
	}
	return zoneTripInside
}

func (s *modelServer) serviceTime(m *model) float64 {
	if s.average > 0 {
		return s.average
	}
	return float64(m.work) / s.speed
}

// wait returns the estimated queueing delay of a further call, as Scheduler.estimateWait.
func (s *modelServer) wait(m *model) float64 {
	slots := s.member.Server.Slots
	if s.active < slots {
		return 0
	}
	return s.serviceTime(m) * (float64(len(s.queue)) + 1) / float64(slots)
}

func (s *modelServer) load(m *model) thwire.Load {
	slow := 0
	if m.stateSlow && s.slow != nil && s.slow(m.now()) > 1 {
		slow = int(100 * s.slow(m.now()))
	}
	return thwire.Load{
		Limit: s.member.Server.Slots, Active: s.active, Queued: len(s.queue),
		Wait: int64(s.wait(m)), Time: int64(s.serviceTime(m)), Slow: slow,
	}
}

func (m *model) arrived(c *modelCall) {
	s := c.server
	left := float64(m.objective - (m.now() - c.arrival))
	switch {
	case s.isDown(m.now()):
		m.after(time.Millisecond, func() { m.answer(c, therror.Broken, thwire.Load{}) })
	case s.active < s.member.Server.Slots:
		m.begin(c)
	case s.wait(m)+s.serviceTime(m) > max(0.9*left, float64(250*time.Millisecond)):
		load := s.load(m)
		m.after(m.delay(c), func() { m.answer(c, therror.Full, load) })
	default:
		s.queue = append(s.queue, c)
	}
}

func (m *model) begin(c *modelCall) {
	s := c.server
	s.active++
	factor := c.size / s.speed
	if s.slow != nil {
		factor *= s.slow(m.now())
	}
	d := time.Duration(float64(m.work) * factor)
	m.after(d, func() {
		s.active--
		if m.counted(c) {
			s.busy += d
		}
		if s.isDown(m.now()) {
			waiting := s.queue
			s.queue = nil
			m.answer(c, therror.Broken, thwire.Load{})
			for _, w := range waiting {
				m.answer(w, therror.Broken, thwire.Load{})
			}
			return
		}
		s.average = s.serviceTime(m) + 0.1*(float64(d)-s.serviceTime(m))
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			m.begin(next)
		}
		load := s.load(m)
		m.after(m.delay(c), func() { m.answer(c, "", load) })
	})
}

func (m *model) answer(c *modelCall, kind therror.Kind, load thwire.Load) {
	r := Result{Kind: kind, Status: 200, Latency: m.now() - c.sent, Load: load, HasLoad: load.Limit > 0, Route: modelRoute}
	if kind == therror.Full {
		r.RetryAfter = min(max(time.Duration(load.Wait), 50*time.Millisecond), 2*time.Second)
	}
	c.choice.Done(r)
	if kind != "" {
		c.exclude = append(c.exclude, c.server.member.Name)
		m.attempt(c)
		return
	}
	if !m.counted(c) {
		return
	}
	t := m.now() - c.arrival
	m.times = append(m.times, t)
	if t > m.objective {
		m.late++
	}
}

// modelResult summarises a run.
type modelResult struct {
	mean, p99               time.Duration
	rejected, late, crossed float64 // per request
	worst                   float64 // utilisation of the busiest server
}

func (m *model) result(duration time.Duration) modelResult {
	slices.Sort(m.times)
	r := modelResult{rejected: m.part(m.rejected), late: m.part(m.late), crossed: m.part(m.crossed)}
	var sum time.Duration
	for _, t := range m.times {
		sum += t
	}
	if n := len(m.times); n > 0 {
		r.mean, r.p99 = sum/time.Duration(n), m.times[n*99/100]
	}
	for _, s := range m.servers {
		r.worst = max(r.worst, float64(s.busy)/float64(duration-m.from)/float64(s.member.Server.Slots))
	}
	return r
}

func (m *model) part(n int) float64 { return float64(n) / math.Max(1, float64(m.requests)) }

func (r modelResult) String() string {
	return fmt.Sprintf("mean %3d ms, p99 %4d ms, rejected %5.2f%%, late %5.2f%%, crossed %5.2f%%, busiest %.2f",
		r.mean.Milliseconds(), r.p99.Milliseconds(), 100*r.rejected, 100*r.late, 100*r.crossed, r.worst)
}

// capacityRate returns the requests per second that n servers of a model serve at the given
// utilisation.
func (m *model) capacityRate(n float64, utilisation float64) float64 {
	return utilisation * n * float64(m.servers[0].member.Server.Slots) / m.work.Seconds()
}
