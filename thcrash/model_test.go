package thcrash

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// maxLost is the fraction of ordinary calls that may be quarantined, that of the platform's
// rule on refusals of proper requests.
const maxLost = 1.0 / 500

// modelTick is the step of the model.
const modelTick = 10 * time.Millisecond

// model is a fleet of daemons and backend servers without a network: ordinary requests, each
// different, some requests that crash servers and come again, and crashes of other causes.
type model struct {
	daemons, servers, slots int
	rate                    float64       // ordinary calls per second
	deadly                  int           // different requests that crash servers
	deadlyRate              float64       // of all of them
	popular                 float64       // fraction of the ordinary calls that are one request
	crashInterval           time.Duration // between crashes of other causes; zero for none
	crashed                 int           // servers that crash together then
	work, crashAfter        time.Duration
	restart, floodDelay     time.Duration

	random   *rand.Rand
	clock    *clockwork.FakeClock
	trackers []*Tracker
	fleet    []*modelServer
	waiting  []*modelCall
	flooded  []modelRecord
	runs     map[int][]time.Time // when deadly requests began to run
	served   int
	failed   int
	rejected int // ordinary calls that were answered as quarantined
}

type modelServer struct {
	process uint64
	backAt  time.Time
	calls   []*modelCall
}

type modelCall struct {
	request  int // negative for one that crashes servers
	daemon   int
	attempts int
	began    time.Time
	suspect  bool
	tried    map[*modelServer]bool
}

type modelRecord struct {
	at     time.Time
	record thwire.CrashRecord
}

func (m *model) run(seed uint64, duration time.Duration) {
	m.random, m.clock = rand.New(rand.NewPCG(seed, 0)), clockwork.NewFakeClockAt(testTime)
	m.runs = map[int][]time.Time{}
	for range m.daemons {
		t := &Tracker{Clock: m.clock}
		t.Publish = func(r thwire.CrashRecord) {
			m.flooded = append(m.flooded, modelRecord{m.clock.Now().Add(m.floodDelay), r})
		}
		m.trackers = append(m.trackers, t)
	}
	for i := range m.servers {
		m.fleet = append(m.fleet, &modelServer{process: uint64(i)})
	}
	next, nextCrash := 0, m.clock.Now().Add(m.crashInterval)
	for m.clock.Since(testTime) < duration {
		now := m.clock.Now()
		for len(m.flooded) > 0 && !now.Before(m.flooded[0].at) {
			for _, t := range m.trackers {
				t.Update(m.flooded[0].record)
			}
			m.flooded = m.flooded[1:]
		}
		if m.random.Float64() < m.rate*modelTick.Seconds() {
			next++
			request := next
			if m.random.Float64() < m.popular {
				request = 0
			}
			m.arrive(request, m.random.IntN(m.daemons))
		}
		if m.random.Float64() < m.deadlyRate*modelTick.Seconds() {
			m.arrive(-1-m.random.IntN(m.deadly), m.random.IntN(m.daemons))
		}
		if m.crashInterval > 0 && now.After(nextCrash) {
			nextCrash = now.Add(m.crashInterval)
			for _, i := range m.random.Perm(m.servers)[:m.crashed] {
				m.crash(m.fleet[i])
			}
		}
		for _, s := range m.fleet {
			m.step(s)
		}
		calls := m.waiting
		m.waiting = nil
		for _, c := range calls {
			m.dispatch(c)
		}
		m.clock.Advance(modelTick)
	}
}

func (m *model) arrive(request, daemon int) {
	m.dispatch(&modelCall{request: request, daemon: daemon, tried: map[*modelServer]bool{}})
}

// dispatch sends a call to the server with the fewest calls. It waits where none has room.
func (m *model) dispatch(c *modelCall) {
	state, _ := m.trackers[c.daemon].State(fingerprint(c.request + 1<<20))
	c.suspect = state == Suspect
	if state == Quarantined {
		if c.request >= 0 {
			m.rejected++
		}
		return
	}
	var best *modelServer
	for _, s := range m.fleet {
		if m.clock.Now().Before(s.backAt) || len(s.calls) >= m.slots || c.tried[s] || c.suspect && s.runsSuspect() {
			continue
		}
		if best == nil || len(s.calls) < len(best.calls) {
			best = s
		}
	}
	if best == nil {
		m.waiting = append(m.waiting, c)
		return
	}
	c.began, c.tried[best] = m.clock.Now(), true
	c.attempts++
	best.calls = append(best.calls, c)
	if c.request < 0 {
		m.runs[c.request] = append(m.runs[c.request], c.began)
	}
}

func (s *modelServer) runsSuspect() bool {
	for _, c := range s.calls {
		if c.suspect {
			return true
		}
	}
	return false
}

// step ends the calls of a server that are done, or crashes it.
func (m *model) step(s *modelServer) {
	var left []*modelCall
	for _, c := range s.calls {
		age := m.clock.Since(c.began)
		switch {
		case c.request < 0 && age >= m.crashAfter:
			m.crash(s)
			return
		case age >= m.work:
			m.trackers[c.daemon].RecordResponse(fingerprint(c.request + 1<<20))
			m.served++
		default:
			left = append(left, c)
		}
	}
	s.calls = left
}

// crash breaks the calls of a server, which are retried once.
func (m *model) crash(s *modelServer) {
	calls := s.calls
	s.calls, s.backAt = nil, m.clock.Now().Add(m.restart)
	for _, c := range calls {
		m.trackers[c.daemon].RecordCrash(Request{Fingerprint: fingerprint(c.request + 1<<20)}, s.process, c.suspect)
		switch {
		case c.attempts < 2:
			m.waiting = append(m.waiting, c)
		case c.request >= 0:
			m.failed++
		}
	}
	s.process += uint64(m.servers)
}

// Guards against requests that go on crashing servers, and against ordinary requests that are
// quarantined because they stood beside one. Pattern: a service of four servers with six slots,
// 72 calls a second, each a different request, and one or several requests that crash servers
// and come again two times a second at any of 13 daemons, also while servers crash for other
// reasons, one or two at the same moment, and where half of the calls are one request.
func TestFleetQuarantinesOnlyWhatCrashes(t *testing.T) {
	for _, c := range []struct {
		name          string
		deadly        int
		crashInterval time.Duration
		crashed       int
		popular       float64
	}{
		{"one request", 1, 0, 0, 0},
		{"three requests", 3, 0, 0, 0},
		{"one request beside other crashes", 1, 2 * time.Second, 1, 0},
		{"other crashes alone", 0, time.Second, 1, 0},
		{"a popular request beside crashes of two servers", 0, 4 * time.Second, 2, 0.5},
		{"a popular request beside one that crashes servers", 1, 0, 0, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			served, failed, rejected := 0, 0, 0
			for seed := range uint64(20) {
				m := &model{
					daemons: 13, servers: 4, slots: 6, rate: 72, deadly: c.deadly, crashInterval: c.crashInterval, crashed: c.crashed, popular: c.popular,
					work: 160 * time.Millisecond, crashAfter: 40 * time.Millisecond, restart: 3200 * time.Millisecond, floodDelay: 150 * time.Millisecond,
				}
				if c.deadly > 0 {
					m.deadlyRate = 2
				}
				m.run(seed, 30*time.Second)
				served, failed, rejected = served+m.served, failed+m.failed, rejected+m.rejected
				for request, runs := range m.runs {
					late := 0
					for _, at := range runs {
						if len(runs) > 3 && at.After(runs[2].Add(3*time.Second)) {
							late++
						}
					}
					assert.Assert(t, late <= 3, "seed %d: request %d began to run %d times later than 3 s after the third", seed, request, late)
				}
			}
			t.Logf("%d ordinary calls served, %d lost to two crashes, %d rejected as quarantined", served, failed, rejected)
			assert.Assert(t, float64(failed+rejected) <= maxLost*float64(served), "%d of %d ordinary calls were quarantined", failed+rejected, served)
		})
	}
}
