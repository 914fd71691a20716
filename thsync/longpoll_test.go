package thsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Bounds of the users' platform for the tests of lost requests.
const (
	lostApply = 2 * time.Second
	// lostContact is the time after a fault of the store from which changes are due within
	// lostApply.
	lostContact = 3 * time.Second
)

// silence is a time in which a store takes requests and never responds to them, after the
// start of a play. Responses that are due in it are lost too.
type silence struct{ from, to time.Duration }

// silentStore is a store that is silent at times, and whose responses take latency.
type silentStore struct {
	mutex    sync.Mutex
	start    time.Time
	version  uint64
	changed  chan struct{}
	silences []silence
	latency  func(at time.Duration) time.Duration
	calls    int
}

// change commits a change.
func (s *silentStore) change() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silentStore) newest() (uint64, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version, s.changed
}

func (s *silentStore) isSilent() bool {
	at := time.Since(s.start)
	for _, x := range s.silences {
		if at >= x.from && at < x.to {
			return true
		}
	}
	return false
}

// travel lets a request or response pass; false if it is lost.
func (s *silentStore) travel() bool {
	delay := 2 * time.Millisecond
	if s.latency != nil {
		delay = s.latency(time.Since(s.start)) / 2
	}
	silent := s.isSilent()
	time.Sleep(delay)
	return !silent && !s.isSilent()
}

// silentSource is the Source of one daemon that reads a silentStore.
type silentSource struct {
	store *silentStore
	known uint64 // zero after Reset
}

func (s *silentSource) Reset() { s.known = 0 }

func (s *silentSource) Next(ctx context.Context, wait, timeout time.Duration) (*thconfig.DesiredState, error) {
	s.store.mutex.Lock()
	s.store.calls++
	s.store.mutex.Unlock()
	if s.known == 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	lost := func() (*thconfig.DesiredState, error) {
		<-ctx.Done()
		return nil, therror.Wrap(therror.Down, ctx.Err(), "no response")
	}
	if !s.store.travel() {
		return lost()
	}
	version, changed := s.store.newest()
	for held := time.After(wait); version == s.known; version, changed = s.store.newest() {
		select {
		case <-changed:
			continue
		case <-held:
		case <-ctx.Done():
			return lost()
		}
		break
	}
	if !s.store.travel() || ctx.Err() != nil {
		return lost()
	}
	if version == s.known {
		return nil, nil
	}
	s.known = version
	return newOrders(version, version, 2), nil
}

// lostPlay is one play of followers beside a silentStore.
type lostPlay struct {
	silences []silence
	latency  func(at time.Duration) time.Duration
	changes  []time.Duration          // after the start
	lost     map[string]time.Duration // daemons that are lost at a time
	end      time.Duration
}

// lostNames returns the names of the daemons of a play.
func lostNames() []string {
	var names []string
	for i := range 13 {
		names = append(names, fmt.Sprintf("d%02d", i))
	}
	return names
}

// detectionDelay is how long the failure detector takes to declare a daemon dead.
const detectionDelay = 4 * time.Second

// run plays with 13 daemons and returns the changes that were in effect too late on a daemon,
// and the number of calls of the store.
func (p *lostPlay) run(t *testing.T) (late []string, calls int) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{start: time.Now(), version: 1, changed: make(chan struct{}), silences: p.silences, latency: p.latency}
		var mutex sync.Mutex
		dead, held := map[string]bool{}, map[string]thwire.HeldVersion{}
		all := map[string]*fakePeers{}
		var effects sync.Mutex
		effect := map[string]map[uint64]time.Duration{}
		stop := map[string]func(){}
		disconnected := map[string]bool{}
		var followers []*Follower
		for _, name := range lostNames() {
			all[name] = &fakePeers{name: name, mutex: &mutex, all: all, held: held, dead: dead, disconnected: disconnected, handlers: map[thwire.Type]thmember.Handler{}}
			f := &Follower{Source: &silentSource{store: store}, Peers: all[name], Apply: lostApply}
			effect[name] = map[uint64]time.Duration{}
			f.Watch(func(s *Snapshot) {
				effects.Lock()
				defer effects.Unlock()
				effect[name][s.Tables.Version] = time.Since(store.start)
			})
			stop[name] = sync.OnceFunc(f.Stop)
			followers = append(followers, f)
		}
		for _, f := range followers {
			assert.NilError(t, f.Start(t.Context()))
		}
		for name, at := range p.lost {
			time.AfterFunc(at, stop[name])
			time.AfterFunc(at+detectionDelay, func() {
				mutex.Lock()
				defer mutex.Unlock()
				dead[name] = true
			})
		}
		for _, at := range p.changes {
			time.AfterFunc(at, store.change)
		}
		time.Sleep(p.end)
		for _, s := range stop {
			s()
		}
		for i, at := range p.changes {
			due := at + lostApply
			for _, x := range p.silences {
				if at < x.to+lostContact-lostApply && at+lostApply > x.from {
					due = max(due, x.to+lostContact)
				}
			}
			for name, versions := range effect {
				if _, isLost := p.lost[name]; isLost {
					continue
				}
				first := p.end
				for v, when := range versions {
					if v >= uint64(i+2) {
						first = min(first, when)
					}
				}
				if first > due {
					late = append(late, fmt.Sprintf("change of %s in effect on %s at %s, due at %s; silent %v", at, name, first, due, p.silences))
				}
			}
		}
		calls = store.calls
	})
	return late, calls
}

// Guards against requests for changes that a store takes and never responds to, together or
// alone: no daemon learned of a change until they timed out 27 s later.
func TestLostRequestsForChangesAreReplacedInTime(t *testing.T) {
	slow := func(at time.Duration) time.Duration {
		if at >= 5500*time.Millisecond && at < 10*time.Second {
			return 240 * time.Millisecond
		}
		return 4 * time.Millisecond
	}
	var plays []lostPlay
	add := func(from time.Duration, latency func(time.Duration) time.Duration) {
		for _, x := range []struct{ length, after time.Duration }{
			{300 * time.Millisecond, time.Second}, {300 * time.Millisecond, 20 * time.Second}, {4500 * time.Millisecond, time.Second},
		} {
			to := from + x.length
			plays = append(plays, lostPlay{
				silences: []silence{{from, to}}, latency: latency,
				changes: []time.Duration{5 * time.Second, to + x.after}, end: to + x.after + 5*time.Second,
			})
		}
	}
	for at := 5 * time.Second; at < 7*time.Second; at += 500 * time.Millisecond {
		add(at, nil)
		add(at, slow)
	}
	// The readers send their requests 0.8 s after the first change, and after the read that
	// follows it.
	for at := 5804 * time.Millisecond; at < 5810*time.Millisecond; at += time.Millisecond {
		add(at, nil)
	}
	for at := 5950 * time.Millisecond; at < 6350*time.Millisecond; at += 50 * time.Millisecond {
		add(at, slow)
	}
	// Gaps in series, and one that follows a long rest.
	for _, gap := range []time.Duration{700 * time.Millisecond, 1100 * time.Millisecond, 1700 * time.Millisecond} {
		p := lostPlay{changes: []time.Duration{5 * time.Second, 30 * time.Second}, end: 36 * time.Second}
		for from := 5*time.Second + 805*time.Millisecond; from < 26*time.Second; from += gap {
			p.silences = append(p.silences, silence{from, from + 30*time.Millisecond})
		}
		plays = append(plays, p)
	}
	for from := 100 * time.Second; from < 102*time.Second; from += 390 * time.Millisecond {
		plays = append(plays, lostPlay{silences: []silence{{from, from + 2*time.Second}}, changes: []time.Duration{from + 3*time.Second}, end: from + 10*time.Second})
	}
	for i, p := range plays {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			late, _ := p.run(t)
			assert.Equal(t, len(late), 0, "%v", late)
		})
	}
}

// Guards against a fleet that depends on the reader which notices lost requests: it is lost
// itself, in or after the gap.
func TestLostRequestsBesideALostReader(t *testing.T) {
	view := &thmember.View{}
	for _, name := range lostNames() {
		view.Members = append(view.Members, thwire.Member{Name: name})
	}
	for _, r := range newRole(view, &view.Members[0]).readers {
		for _, delay := range []time.Duration{-time.Second, 0, time.Second, 3 * time.Second} {
			p := lostPlay{
				silences: []silence{{5807 * time.Millisecond, 6100 * time.Millisecond}}, changes: []time.Duration{5 * time.Second, 15 * time.Second},
				lost: map[string]time.Duration{r.Name: 6*time.Second + delay}, end: 20 * time.Second,
			}
			late, _ := p.run(t)
			assert.Equal(t, len(late), 0, "%s lost %s after the gap: %v", r.Name, delay, late)
		}
	}
}

// Pattern: a day of 40 s with four changes and no fault. Guards against requests for changes
// that cost more calls than the two confirming readers need.
func TestCallsOfTheStoreWithoutFaults(t *testing.T) {
	p := lostPlay{changes: []time.Duration{5 * time.Second, 15 * time.Second, 24 * time.Second, 33 * time.Second}, end: 40 * time.Second}
	late, calls := p.run(t)
	assert.Equal(t, len(late), 0, "%v", late)
	const atStart, perChange = 13, 2
	confirming := confirmingReaders * int(p.end/(lostApply/2))
	others := sourceReaders * int(p.end/longPollWait+1)
	assert.Assert(t, calls <= atStart+perChange*sourceReaders*len(p.changes)+confirming+others, "%d calls", calls)
	t.Logf("%d calls", calls)
}
