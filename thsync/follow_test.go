package thsync

import (
	"context"
	"sync"
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
	orders chan *thconfig.Orders
	errors chan error
}

func newSource() *fakeSource {
	return &fakeSource{orders: make(chan *thconfig.Orders), errors: make(chan error)}
}

func (s *fakeSource) Next(ctx context.Context, _ time.Duration) (*thconfig.Orders, error) {
	select {
	case o := <-s.orders:
		return o, nil
	case err := <-s.errors:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (*fakeSource) Again() {}

// fakePeers connects followers by name.
type fakePeers struct {
	name     string
	mutex    *sync.Mutex
	all      map[string]*fakePeers
	held     map[string]thwire.Held
	handlers map[thwire.Type]thmember.Handler
	sent     int
}

func (p *fakePeers) Self() thwire.Member { return thwire.Member{Name: p.name} }

func (p *fakePeers) View() *thmember.View {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := &thmember.View{Held: map[string]thwire.Held{}}
	for n := range p.all {
		v.Members = append(v.Members, thwire.Member{Name: n})
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
	p.held[p.name] = thwire.Held{Name: p.name, Version: version}
}

func (p *fakePeers) Handle(t thwire.Type, h thmember.Handler) { p.handlers[t] = h }

func newFollowers(t *testing.T, clock clockwork.Clock, names ...string) ([]*Follower, []*fakeSource) {
	var mutex sync.Mutex
	all, held := map[string]*fakePeers{}, map[string]thwire.Held{}
	var followers []*Follower
	var sources []*fakeSource
	for _, n := range names {
		p := &fakePeers{name: n, mutex: &mutex, all: all, held: held, handlers: map[thwire.Type]thmember.Handler{}}
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
func order(version, number uint64, n int) *thconfig.Orders {
	o := &thconfig.Orders{Version: version, Config: thconfig.Config{Number: number, Services: []thconfig.Service{{Name: "page"}}}}
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
	s.orders <- &thconfig.Orders{Version: 1} // no configuration yet
	s.orders <- order(2, 7, 3)
	waitVersion(t, f, 2)
	for i, spoil := range []func(*thconfig.Orders){
		func(o *thconfig.Orders) { o.Fault = therror.New(therror.Bad, "cut") },
		func(o *thconfig.Orders) { o.Config.Number = 6 },
		func(o *thconfig.Orders) { o.Config.Routes[1].Pool = "missing" },
		func(o *thconfig.Orders) { o.Config.Routes[1].Timeout = 0 },
		func(o *thconfig.Orders) { o.Config.Routes[1].Host = "" },
		func(o *thconfig.Orders) { o.Config.Routes[1].Path = "/x" },
		func(o *thconfig.Orders) { o.Config.Routes[1].Name = o.Config.Routes[0].Name },
	} {
		version := uint64(3 + i)
		o := order(version, 8, 5)
		o.Out = []string{"north"}
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
