package thsync

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fakeSource hands out the orders that a test sends.
type fakeSource struct {
	orders chan *thconfig.DesiredState
	errors chan error
	asked  atomic.Int64 // questions
	whole  atomic.Int64 // times that everything was to be read
}

func newSource() *fakeSource {
	return &fakeSource{orders: make(chan *thconfig.DesiredState), errors: make(chan error)}
}

func (s *fakeSource) Next(ctx context.Context, _ time.Duration) (*thconfig.DesiredState, error) {
	s.asked.Add(1)
	select {
	case o := <-s.orders:
		return o, nil
	case err := <-s.errors:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *fakeSource) Again() { s.whole.Add(1) }

// fakePeers connects followers by name.
type fakePeers struct {
	name     string
	mutex    *sync.Mutex
	all      map[string]*fakePeers
	held     map[string]thwire.HeldVersion
	dead     map[string]bool
	blind    map[string]bool
	handlers map[thwire.Type]thmember.Handler
	sent     int
}

func (p *fakePeers) Self() thwire.Member { return thwire.Member{Name: p.name} }

func (p *fakePeers) View() *thmember.View {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := &thmember.View{Held: map[string]thwire.HeldVersion{}}
	for n := range p.all {
		m := thwire.Member{Name: n, Blind: p.blind[n]}
		if p.dead[n] {
			m.State = thwire.MemberDead
		}
		v.Members = append(v.Members, m)
		v.Held[n] = p.held[n]
	}
	return v
}

func (p *fakePeers) SendAll(thwire.Type, thwire.Message, string) {}

func (p *fakePeers) Send(name string, t thwire.Type, m thwire.Message) error {
	payload, err := m.MarshalMsg(nil)
	p.mutex.Lock()
	p.sent++
	to := p.all[name]
	p.mutex.Unlock()
	if err == nil {
		to.handlers[t](p.name, payload) // in order, as over one connection
	}
	return err
}

func (*fakePeers) Neighbours() []string { return nil }

func (p *fakePeers) SetHeld(version uint64, _ []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.held[p.name] = thwire.HeldVersion{Name: p.name, Version: version}
}

func (p *fakePeers) SetBlind(blind bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.blind[p.name] = blind
}

func (p *fakePeers) Handle(t thwire.Type, h thmember.Handler) { p.handlers[t] = h }

func newFollowers(t *testing.T, clock clockwork.Clock, names ...string) ([]*Follower, []*fakeSource) {
	var mutex sync.Mutex
	all, held, dead, blind := map[string]*fakePeers{}, map[string]thwire.HeldVersion{}, map[string]bool{}, map[string]bool{}
	var followers []*Follower
	var sources []*fakeSource
	for _, n := range names {
		p := &fakePeers{name: n, mutex: &mutex, all: all, held: held, dead: dead, blind: blind, handlers: map[thwire.Type]thmember.Handler{}}
		all[n] = p
		s := newSource()
		f := &Follower{Source: s, Peers: p, Clock: clock, Apply: time.Millisecond}
		followers, sources = append(followers, f), append(sources, s)
	}
	for _, f := range followers {
		assert.NilError(t, f.Start(t.Context()))
		t.Cleanup(f.Stop)
	}
	return followers, sources
}

// order returns valid orders with n routes.
func order(version, number uint64, n int) *thconfig.DesiredState {
	o := &thconfig.DesiredState{Version: version, Config: thconfig.Config{Revision: number, Services: []thconfig.Service{{Name: "page"}}}}
	for i := range n {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		o.Config.Routes = append(o.Config.Routes, thconfig.Route{
			Name: name, Host: "h", Path: "/" + name + "/", Pool: "page", Repeat: thconfig.RepeatSafe, Timeout: time.Second, Attempts: 1,
		})
	}
	return o
}

func waitVersion(t *testing.T, f *Follower, version uint64) {
	for range 2000 {
		if f.version() == version {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("version %d in place of %d", f.version(), version)
}

// Guards against a configuration that is invalid, cut or older and takes effect
// in part, and against other orders that are lost with it.
func TestFollowerRefusesBadConfigurations(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a")
	f, s := followers[0], sources[0]
	assert.Assert(t, !f.Ready())
	s.orders <- &thconfig.DesiredState{Version: 1} // no configuration yet
	s.orders <- order(2, 7, 3)
	waitVersion(t, f, 2)
	for i, spoil := range []func(*thconfig.DesiredState){
		func(o *thconfig.DesiredState) { o.ConfigErr = therror.New(therror.Bad, "cut") },
		func(o *thconfig.DesiredState) { o.Config.Revision = 6 },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Pool = "missing" },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Timeout = 0 },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Host = "" },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Path = "/x" },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Name = o.Config.Routes[0].Name },
	} {
		version := uint64(3 + i)
		o := order(version, 8, 5)
		o.OutZones = []string{"north"}
		spoil(o)
		s.orders <- o
		waitVersion(t, f, version)
		c := f.Current().Tables
		assert.Equal(t, len(c.Routes), 3, "fault %d", i)
		assert.Assert(t, len(c.Zones) == 1 && c.Zones[0].Out)
	}
	s.orders <- order(20, 8, 5)
	waitVersion(t, f, 20)
	assert.Equal(t, len(f.Current().Tables.Routes), 5)
}

// Guards against a version that comes back after a newer one.
func TestFollowerNeverGoesBack(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a")
	sources[0].orders <- order(5, 7, 2)
	waitVersion(t, followers[0], 5)
	sources[0].orders <- order(4, 7, 9)
	sources[0].errors <- therror.New(therror.Down, "outage")
	assert.Equal(t, followers[0].version(), uint64(5))
	assert.Equal(t, len(followers[0].Current().Tables.Routes), 2)
}

// Pattern: the store turns one daemon away for long while the others go on.
// Guards against a daemon that stays behind, also with tables larger than a
// frame, and one without any version that is ready.
func TestFollowerTakesTablesOfMembers(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	const routes = 6000 // more than one part of a Batch
	sources[0].orders <- order(5, 7, routes)
	waitVersion(t, followers[0], 5)
	assert.Assert(t, len(batches(followers[0].Current())) > 1)
	go func() {
		for range 50 {
			select {
			case sources[1].errors <- therror.New(therror.Down, "turned away"):
			case <-t.Context().Done():
				return
			}
		}
	}()
	waitVersion(t, followers[1], 5)
	assert.Equal(t, len(followers[1].Current().Tables.Routes), routes)
	assert.DeepEqual(t, followers[1].Current().Digest, followers[0].Current().Digest)
}

// await waits up to 10 s for a condition.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 5000 {
		if holds() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatal(what)
}

// Pattern: a zone of many daemons and changes in quick succession. Guards
// against calls to the store that grow with the fleet, against daemons that do
// not read it and stay behind, and against a zone whose readers have all died.
func TestFollowersReadForTheirZone(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	followers, sources := newFollowers(t, nil, names...)
	for _, s := range sources {
		s.orders <- order(2, 2, 3) // each reads once after its start
	}
	var reading, others []int
	for i, f := range followers {
		waitVersion(t, f, 2)
		if f.OnDuty() {
			reading = append(reading, i)
		} else {
			others = append(others, i)
		}
	}
	assert.Equal(t, len(reading), sourceReaders)
	for version := uint64(3); version < 6; version++ {
		for _, i := range reading {
			sources[i].orders <- order(version, version, 3)
		}
		for _, f := range followers {
			waitVersion(t, f, version)
		}
	}
	for _, i := range others {
		assert.Equal(t, sources[i].asked.Load(), int64(1), "questions of %s", names[i])
	}
	p := followers[0].Peers.(*fakePeers)
	p.mutex.Lock()
	for _, i := range reading {
		p.dead[names[i]] = true
	}
	p.mutex.Unlock()
	await(t, "no daemon reads in place of the dead ones", func() bool {
		asking := 0
		for _, i := range others {
			if sources[i].asked.Load() > 1 {
				asking++
			}
		}
		return asking == sourceReaders
	})
}

// Pattern: 700 routes and one change, fetched by all daemons of a zone at once.
// Guards against whole tables on links of 10 Mbit/s, which held up calls for a
// second; a daemon that is too far behind, or got something else, takes them whole.
func TestFollowerSendsChangesOnly(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	a, b := followers[0], followers[1]
	sources[0].orders <- order(2, 2, 700)
	waitVersion(t, a, 2)
	waitVersion(t, b, 2) // all routes
	next := order(3, 3, 699)
	next.Config.Routes[5].Timeout = time.Minute
	next.OutZones = []string{"north"}
	sources[0].orders <- next
	waitVersion(t, a, 3)
	a.mutex.Lock()
	names, known := a.steps.since(2)
	a.mutex.Unlock()
	assert.Assert(t, known && len(names) == 2, "%v", names)
	whole, change := 0, changes(a.Current(), 2, names)
	for _, p := range batches(a.Current()) {
		whole += p.Msgsize()
	}
	assert.Assert(t, change.Msgsize() < whole/50, "%d bytes for one change, %d for all", change.Msgsize(), whole)
	waitVersion(t, b, 3)
	assert.DeepEqual(t, a.Current().Digest, b.Current().Digest)
}

// Pattern: a change adds many routes. Guards against large tables that one daemon
// sends to all others of its zone: each reads the source itself, and only one
// that the source turns away gets them from others.
func TestFollowerReadsLargeChangeItself(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b", "c", "d", "e")
	for i, s := range sources {
		s.orders <- order(2, 2, 3)
		waitVersion(t, followers[i], 2)
	}
	large := order(3, 3, 1000)
	for i, f := range followers {
		if f.OnDuty() {
			sources[i].orders <- large
		}
	}
	turnedAway := true
	for i, f := range followers {
		if f.OnDuty() {
			continue
		}
		if turnedAway {
			sources[i].errors <- therror.New(therror.Down, "turned away")
			turnedAway = false
		} else {
			sources[i].orders <- large
		}
		waitVersion(t, f, 3)
		assert.DeepEqual(t, f.Current().Digest, followers[0].Current().Digest)
	}
}

// Pattern: daemons that read the source at different times, so that the version
// of one lies between two of another. Guards against whole tables for these.
func TestStepsBetweenVersions(t *testing.T) {
	var s steps
	_, known := s.since(2)
	assert.Assert(t, !known)
	one, two, three := order(2, 2, 4).Tables(), order(5, 5, 6).Tables(), order(9, 9, 5).Tables()
	s.add(one, two)
	s.add(two, three)
	for _, c := range []struct {
		version uint64
		names   int
		known   bool
	}{{1, 0, false}, {2, 2, true}, {4, 2, true}, {5, 1, true}, {8, 1, true}, {9, 0, true}} {
		names, known := s.since(c.version)
		assert.Equal(t, known, c.known, "version %d", c.version)
		assert.Equal(t, len(names), c.names, "version %d: %v", c.version, names)
	}
}

// Pattern: a change that the next version takes back, while daemons read at
// different times. Guards against tables with the change in them.
func TestFollowerTakesBackAChange(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b", "c", "d", "e")
	var reading []int
	var other *Follower
	for i, s := range sources {
		s.orders <- order(2, 2, 4)
		waitVersion(t, followers[i], 2)
		if followers[i].OnDuty() {
			reading = append(reading, i)
		} else {
			other = followers[i]
		}
	}
	changed := order(3, 3, 4)
	changed.Config.Routes[1].Timeout = time.Minute
	sources[reading[0]].orders <- changed
	waitVersion(t, other, 3)
	assert.DeepEqual(t, other.question().Routes, []string{changed.Config.Routes[1].Name})
	sources[reading[1]].orders <- order(4, 4, 4)
	waitVersion(t, other, 4)
	assert.DeepEqual(t, other.Current().Digest, followers[reading[1]].Current().Digest)
}

// Guards against tables that stay wrong after a change that does not fit them.
func TestFollowerTakesAllAfterAWrongChange(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	a, b := followers[0], followers[1]
	sources[0].orders <- order(2, 2, 5)
	waitVersion(t, a, 2)
	waitVersion(t, b, 2)
	wrong := changes(a.Current(), 2, nil)
	wrong.Tables.Version = 3
	payload, err := wrong.MarshalMsg(nil)
	assert.NilError(t, err)
	b.handleBatch("a", payload)
	assert.Equal(t, b.version(), uint64(2))
	assert.Equal(t, b.question().From, uint64(0))
	sources[0].orders <- order(4, 4, 6)
	waitVersion(t, a, 4)
	waitVersion(t, b, 4)
	assert.Equal(t, b.question().From, uint64(4))
}

// Pattern: the source goes down, without closing connections, while a reader lets
// further changes follow. Guards against an open question for changes, which may
// stay unanswered for followWait: all changes of 25 s were missed (days of our own,
// store-away-at-changes with seed 370180173913).
func TestFollowerReadsAgainAfterAChange(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a")
	for version := uint64(2); version < 5; version++ {
		before := sources[0].whole.Load()
		sources[0].orders <- order(version, version, 3)
		waitVersion(t, followers[0], version)
		await(t, "no read after a change", func() bool { return sources[0].whole.Load() > before })
	}
}
