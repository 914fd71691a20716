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

// fakeSource is a Source that returns the orders and errors that a test sends.
type fakeSource struct {
	orders  chan *thconfig.DesiredState
	errors  chan error
	queries atomic.Int64 // calls of Next
	resets  atomic.Int64 // calls of Reset
}

func newSource() *fakeSource {
	return &fakeSource{orders: make(chan *thconfig.DesiredState), errors: make(chan error)}
}

func (s *fakeSource) Next(ctx context.Context, _, _ time.Duration) (*thconfig.DesiredState, error) {
	s.queries.Add(1)
	select {
	case o := <-s.orders:
		return o, nil
	case err := <-s.errors:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *fakeSource) Reset() { s.resets.Add(1) }

// fakePeers is a Peers that delivers messages to other followers by name.
type fakePeers struct {
	name         string
	mutex        *sync.Mutex
	all          map[string]*fakePeers
	held         map[string]thwire.HeldVersion
	dead         map[string]bool
	disconnected map[string]bool
	zones        map[string]string // all in one zone when nil
	silent       map[string]bool   // answer no pings
	handlers     map[thwire.Type]thmember.Handler
	sent         int
}

func (p *fakePeers) Self() thwire.Member {
	return thwire.Member{Name: p.name, Zone: p.zones[p.name]}
}

func (p *fakePeers) View() *thmember.View {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := &thmember.View{Held: map[string]thwire.HeldVersion{}}
	for n := range p.all {
		m := thwire.Member{Name: n, Zone: p.zones[n], Blind: p.disconnected[n]}
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
		to.handlers[t](p.name, payload) // synchronously, so in order as over one connection
	}
	return err
}

func (*fakePeers) Neighbours() []string { return nil }

// HeardWithin returns the members that are neither dead nor silent.
func (p *fakePeers) HeardWithin(time.Duration) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var names []string
	for name := range p.all {
		if name != p.name && !p.dead[name] && !p.silent[name] {
			names = append(names, name)
		}
	}
	return names
}

func (p *fakePeers) SetHeld(version uint64, _ []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.held[p.name] = thwire.HeldVersion{Name: p.name, Version: version}
}

func (p *fakePeers) SetSourceDisconnected(disconnected bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.disconnected[p.name] = disconnected
}

func (p *fakePeers) Handle(t thwire.Type, h thmember.Handler) { p.handlers[t] = h }

func newFollowers(t *testing.T, clock clockwork.Clock, names ...string) ([]*Follower, []*fakeSource) {
	var mutex sync.Mutex
	all, held, dead, disconnected := map[string]*fakePeers{}, map[string]thwire.HeldVersion{}, map[string]bool{}, map[string]bool{}
	var followers []*Follower
	var sources []*fakeSource
	for _, n := range names {
		p := &fakePeers{name: n, mutex: &mutex, all: all, held: held, dead: dead, disconnected: disconnected, handlers: map[thwire.Type]thmember.Handler{}}
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

// newOrders returns valid orders with n routes, of the given store version and with
// number as the configuration's revision.
func newOrders(version, number uint64, n int) *thconfig.DesiredState {
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
	t.Fatalf("version is %d, not %d", f.version(), version)
}

// Guards against an invalid, truncated or older configuration that takes partial
// effect, and against losing the other orders that came with it.
func TestFollowerRefusesBadConfigurations(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a")
	f, s := followers[0], sources[0]
	assert.Assert(t, !f.Ready())
	s.orders <- &thconfig.DesiredState{Version: 1} // no configuration yet
	s.orders <- newOrders(2, 7, 3)
	waitVersion(t, f, 2)
	for i, corrupt := range []func(*thconfig.DesiredState){
		func(o *thconfig.DesiredState) { o.ConfigErr = therror.New(therror.Bad, "truncated") },
		func(o *thconfig.DesiredState) { o.Config.Revision = 6 },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Pool = "missing" },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Timeout = 0 },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Host = "" },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Path = "/x" },
		func(o *thconfig.DesiredState) { o.Config.Routes[1].Name = o.Config.Routes[0].Name },
	} {
		version := uint64(3 + i)
		o := newOrders(version, 8, 5)
		o.OutZones = []string{"north"}
		corrupt(o)
		s.orders <- o
		waitVersion(t, f, version)
		c := f.Current().Tables
		assert.Equal(t, len(c.Routes), 3, "case %d", i)
		assert.Assert(t, len(c.Zones) == 1 && c.Zones[0].Out)
	}
	s.orders <- newOrders(20, 8, 5)
	waitVersion(t, f, 20)
	assert.Equal(t, len(f.Current().Tables.Routes), 5)
}

// Guards against an older version that replaces a newer one.
func TestFollowerNeverGoesBack(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a")
	sources[0].orders <- newOrders(5, 7, 2)
	waitVersion(t, followers[0], 5)
	sources[0].orders <- newOrders(4, 7, 9)
	sources[0].errors <- therror.New(therror.Down, "outage")
	assert.Equal(t, followers[0].version(), uint64(5))
	assert.Equal(t, len(followers[0].Current().Tables.Routes), 2)
}

// Pattern: the store rejects one daemon for a long time and serves the other one.
// Guards against a rejected daemon that lags, also with tables larger than a frame,
// and against one that is ready without a version.
func TestFollowerTakesTablesOfMembers(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	const routes = 6000 // more than one part of a Batch
	sources[0].orders <- newOrders(5, 7, routes)
	waitVersion(t, followers[0], 5)
	assert.Assert(t, len(splitRoutes(followers[0].Current())) > 1)
	go func() {
		for range 50 {
			select {
			case sources[1].errors <- therror.New(therror.Down, "request rejected"):
			case <-t.Context().Done():
				return
			}
		}
	}()
	waitVersion(t, followers[1], 5)
	assert.Equal(t, len(followers[1].Current().Tables.Routes), routes)
	assert.DeepEqual(t, followers[1].Current().Digest, followers[0].Current().Digest)
}

// waitFor waits up to 10 s for a condition and otherwise fails with the message.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for range 5000 {
		if condition() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatal(failure)
}

// Pattern: a zone of many daemons and changes in quick succession. Guards against
// store calls that grow with the fleet, against daemons that do not read the store
// and lag, and against a zone that stays without readers after all have died.
func TestFollowersReadForTheirZone(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	followers, sources := newFollowers(t, nil, names...)
	for _, s := range sources {
		s.orders <- newOrders(2, 2, 3) // each daemon reads once after its start
	}
	var readers, others []int
	for i, f := range followers {
		waitVersion(t, f, 2)
		if f.IsReader() {
			readers = append(readers, i)
		} else {
			others = append(others, i)
		}
	}
	assert.Equal(t, len(readers), sourceReaders)
	for version := uint64(3); version < 6; version++ {
		for _, i := range readers {
			sources[i].orders <- newOrders(version, version, 3)
		}
		for _, f := range followers {
			waitVersion(t, f, version)
		}
	}
	for _, i := range others {
		assert.Equal(t, sources[i].queries.Load(), int64(1), "calls of Next by %s", names[i])
	}
	p := followers[0].Peers.(*fakePeers)
	p.mutex.Lock()
	for _, i := range readers {
		p.dead[names[i]] = true
	}
	p.mutex.Unlock()
	waitFor(t, "no daemon replaces the dead readers", func() bool {
		asking := 0
		for _, i := range others {
			if sources[i].queries.Load() > 1 {
				asking++
			}
		}
		return asking == sourceReaders
	})
}

// Pattern: 700 routes and one change, fetched by all daemons of a zone at once.
// Guards against sending complete tables, which delayed calls by a second on links
// of 10 Mbit/s. Only a daemon that is too far behind, or whose tables do not match
// the digest, gets them complete.
func TestFollowerSendsChangesOnly(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	a, b := followers[0], followers[1]
	sources[0].orders <- newOrders(2, 2, 700)
	waitVersion(t, a, 2)
	waitVersion(t, b, 2) // all routes
	next := newOrders(3, 3, 699)
	next.Config.Routes[5].Timeout = time.Minute
	next.OutZones = []string{"north"}
	sources[0].orders <- next
	waitVersion(t, a, 3)
	a.mutex.Lock()
	names, known := a.swaps.changedSince(2)
	a.mutex.Unlock()
	assert.Assert(t, known && len(names) == 2, "%v", names)
	whole, change := 0, changedTables(a.Current(), &thwire.Fetch{From: 2}, names)
	for _, p := range splitRoutes(a.Current()) {
		whole += p.Msgsize()
	}
	assert.Assert(t, change.Msgsize() < whole/50, "%d bytes for one change, %d for all", change.Msgsize(), whole)
	waitVersion(t, b, 3)
	assert.DeepEqual(t, a.Current().Digest, b.Current().Digest)
}

// Pattern: a change adds many routes. Guards against one daemon that sends large
// tables to its whole zone: each daemon reads the source itself, and only one that
// the source rejects fetches them from another daemon.
func TestFollowerReadsLargeChangeItself(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b", "c", "d", "e")
	for i, s := range sources {
		s.orders <- newOrders(2, 2, 3)
		waitVersion(t, followers[i], 2)
	}
	large := newOrders(3, 3, 1000)
	for i, f := range followers {
		if f.IsReader() {
			sources[i].orders <- large
		}
	}
	rejected := true
	for i, f := range followers {
		if f.IsReader() {
			continue
		}
		if rejected {
			sources[i].errors <- therror.New(therror.Down, "request rejected")
			rejected = false
		} else {
			sources[i].orders <- large
		}
		waitVersion(t, f, 3)
		assert.DeepEqual(t, f.Current().Digest, followers[0].Current().Digest)
	}
}

// Pattern: daemons read the source at different times, so that the version of one
// lies between two versions of another. Guards against sending complete tables in
// this case.
func TestStepsBetweenVersions(t *testing.T) {
	var s swapRecords
	_, known := s.changedSince(2)
	assert.Assert(t, !known)
	one, two, three := newOrders(2, 2, 4).Tables(), newOrders(5, 5, 6).Tables(), newOrders(9, 9, 5).Tables()
	s.add(one, two)
	s.add(two, three)
	for _, c := range []struct {
		version uint64
		names   int
		known   bool
	}{{1, 0, false}, {2, 2, true}, {4, 2, true}, {5, 1, true}, {8, 1, true}, {9, 0, true}} {
		names, known := s.changedSince(c.version)
		assert.Equal(t, known, c.known, "version %d", c.version)
		assert.Equal(t, len(names), c.names, "version %d: %v", c.version, names)
	}
}

// Pattern: a version reverts the change of the previous one, while daemons read at
// different times. Guards against tables that still contain the change.
func TestFollowerTakesBackAChange(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b", "c", "d", "e")
	var readers []int
	var other *Follower
	for i, s := range sources {
		s.orders <- newOrders(2, 2, 4)
		waitVersion(t, followers[i], 2)
		if followers[i].IsReader() {
			readers = append(readers, i)
		} else {
			other = followers[i]
		}
	}
	changed := newOrders(3, 3, 4)
	changed.Config.Routes[1].Timeout = time.Minute
	sources[readers[0]].orders <- changed
	waitVersion(t, other, 3)
	assert.DeepEqual(t, other.fetchRequest().Routes, []string{changed.Config.Routes[1].Name})
	sources[readers[1]].orders <- newOrders(4, 4, 4)
	waitVersion(t, other, 4)
	assert.DeepEqual(t, other.Current().Digest, followers[readers[1]].Current().Digest)
}

// Guards against tables that stay wrong after a change whose digest does not match.
func TestFollowerTakesAllAfterAWrongChange(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	a, b := followers[0], followers[1]
	sources[0].orders <- newOrders(2, 2, 5)
	waitVersion(t, a, 2)
	waitVersion(t, b, 2)
	wrong := changedTables(a.Current(), &thwire.Fetch{From: 2}, nil)
	wrong.Tables.Version = 3
	payload, err := wrong.MarshalMsg(nil)
	assert.NilError(t, err)
	b.handleBatch("a", payload)
	assert.Equal(t, b.version(), uint64(2))
	assert.Equal(t, b.fetchRequest().From, uint64(0))
	sources[0].orders <- newOrders(4, 4, 6)
	waitVersion(t, a, 4)
	waitVersion(t, b, 4)
	assert.Equal(t, b.fetchRequest().From, uint64(4))
}

// Pattern: the source becomes unavailable without closing connections while a
// reader waits for more changes. Guards against a long poll in that state, which may
// go without a response for longPollTimeout, so that all changes of 25 s were missed
// (scenario store-away-at-changes, seed 370180173913).
func TestFollowerReadsAgainAfterAChange(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a")
	for version := uint64(2); version < 5; version++ {
		before := sources[0].resets.Load()
		sources[0].orders <- newOrders(version, version, 3)
		waitVersion(t, followers[0], version)
		waitFor(t, "no read after a change", func() bool { return sources[0].resets.Load() > before })
	}
}

// Pattern: the reader of a zone is killed right after it has announced a change. Guards
// against the other daemons of its zone asking it for the change until the failure detector
// has declared it dead, while other zones hold the change.
func TestFollowerAsksOtherZonesWhenItsReaderIsSilent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var mutex sync.Mutex
	p := &fakePeers{
		name: "b", mutex: &mutex, all: map[string]*fakePeers{"a": nil, "b": nil, "c": nil, "d": nil},
		held:  map[string]thwire.HeldVersion{"a": {Version: 3}, "b": {Version: 2}, "c": {Version: 3}, "d": {Version: 3}},
		zones: map[string]string{"a": "north", "b": "north", "c": "south", "d": "south"},
	}
	f := &Follower{Peers: p, Clock: clock, Apply: 2 * time.Second}
	f.sourceLost.Store(true) // this daemon does not read the change itself
	f.current.Store(&Snapshot{Tables: thconfig.Tables{Version: 2}})
	asked := []string{f.peerToFetchFrom()}
	for range int(f.Apply / compareInterval) {
		clock.Advance(compareInterval)
		if peer := f.peerToFetchFrom(); peer != "" {
			asked = append(asked, peer)
		}
	}
	assert.Equal(t, asked[0], "a")
	others := map[string]bool{asked[1]: true, asked[2]: true}
	assert.Assert(t, others["c"] && others["d"], "%v", asked)
}
