package thsync

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fakePlatform is the platform's committed history, with faults.
type fakePlatform struct {
	history []thconfig.Tables // by version
	changes []thconfig.Change
	digests map[uint64][]byte
	head    *thstore.Head // overrides the head
	down    bool
	lag     int  // versions by which reads are behind, as after a restore
	corrupt bool // full reads differ from their digest
	stored  []uint64
	reads   int // of the head and of the tables
}

func newPlatform() *fakePlatform {
	return &fakePlatform{history: []thconfig.Tables{{}}, digests: map[uint64][]byte{}}
}

func (p *fakePlatform) last() thconfig.Tables { return p.history[len(p.history)-1] }

func (p *fakePlatform) visible() thconfig.Tables {
	return p.history[max(0, len(p.history)-1-p.lag)]
}

func (p *fakePlatform) commit(edits ...thconfig.Edit) thconfig.Change {
	t, err := thconfig.Apply(p.last(), edits)
	if err != nil {
		panic(err)
	}
	c := thconfig.Change{Version: t.Version, Base: t.Version - 1, Edits: thconfig.EncodeEdits(edits), Digest: thconfig.Digest(t)}
	p.history, p.changes, p.digests[t.Version] = append(p.history, t), append(p.changes, c), c.Digest
	return c
}

func (p *fakePlatform) commitPool(i int) thconfig.Change {
	return p.commit(thconfig.SetPool{Pool: thconfig.Pool{Name: "p" + fmt.Sprint(i), Service: "s", Version: "v" + fmt.Sprint(len(p.history))}})
}

// commitInvalid commits a route without its pool, or repairs it.
func (p *fakePlatform) commitInvalid() {
	p.commit(thconfig.SetRoute{Route: thconfig.Route{Name: "bad", Path: "/", Pool: "none", Repeat: thconfig.RepeatSafe, Timeout: time.Second}})
}

func (p *fakePlatform) err() error {
	if p.down {
		return therror.New(therror.Down, "platform outage")
	}
	return nil
}

func (p *fakePlatform) Head(context.Context) (thstore.Head, error) {
	p.reads++
	if p.head != nil {
		return *p.head, p.err()
	}
	t := p.visible()
	return thstore.Head{Version: t.Version, Digest: p.digests[t.Version]}, p.err()
}

func (p *fakePlatform) Load(context.Context) (thconfig.Tables, []byte, error) {
	p.reads++
	t := p.visible()
	digest := p.digests[t.Version]
	if p.corrupt {
		t.Pools = append(slices.Clone(t.Pools), thconfig.Pool{Name: "zz", Service: "s", Version: "1"})
	}
	return t, digest, p.err()
}

func (p *fakePlatform) Restore(ctx context.Context) (thconfig.Tables, []byte, error) {
	return p.Load(ctx)
}

func (p *fakePlatform) Changes(_ context.Context, after uint64, limit int) ([]thconfig.Change, error) {
	all := p.changes[:p.visible().Version]
	c := all[min(int(after), len(all)):]
	return c[:min(limit, len(c))], p.err()
}

func (p *fakePlatform) PutSnapshot(_ context.Context, t thconfig.Tables) error {
	p.stored = append(p.stored, t.Version)
	return p.err()
}

type packet struct {
	from, to int
	kind     thwire.Type
	payload  []byte
}

// mesh is a set of holders whose messages are delivered one by one by the test.
type mesh struct {
	check    assert.TestingT
	clock    *clockwork.FakeClock
	platform *fakePlatform
	holders  []*Holder
	view     *thmember.View
	queue    []packet
	dead     map[int]bool
	reads    []func()       // reads of the platform in progress
	least    map[int]uint64 // version below which a holder may not be ready
}

// peers is the Peers of one holder; all holders are neighbours.
type peers struct {
	m *mesh
	i int
}

func (p peers) Self() thwire.Member                  { return p.m.view.Members[p.i] }
func (p peers) View() *thmember.View                 { return p.m.view }
func (p peers) SetHeld(uint64, []byte)               {}
func (p peers) SetBlind(bool)                        {}
func (p peers) Handle(thwire.Type, thmember.Handler) {}
func (p peers) SendAll(t thwire.Type, m thwire.Message, except string) {
	for _, name := range p.Neighbours() {
		if name != except {
			_ = p.Send(name, t, m)
		}
	}
}

func (p peers) Send(name string, t thwire.Type, m thwire.Message) error {
	b, err := thwire.AppendFrame(nil, t, m)
	if err != nil {
		return err
	}
	for i, o := range p.m.view.Members {
		if o.Name == name && len(p.m.queue) < 4096 {
			p.m.queue = append(p.m.queue, packet{p.i, i, t, b[5:]})
		}
	}
	return nil
}

func (p peers) Neighbours() []string {
	var names []string
	for i, o := range p.m.view.Members {
		if i != p.i && !p.m.dead[i] {
			names = append(names, o.Name)
		}
	}
	return names
}

func newMesh(check assert.TestingT, size int) *mesh {
	m := &mesh{check: check, clock: clockwork.NewFakeClock(), platform: newPlatform(), view: &thmember.View{}, dead: map[int]bool{}, least: map[int]uint64{}}
	for i := range size {
		// Zones of four: one daemon of each zone does not poll.
		m.view.Members = append(m.view.Members, thwire.Member{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprintf("z%d", i/4)})
	}
	for i := range size {
		m.holders = append(m.holders, nil)
		m.start(i)
	}
	return m
}

// start starts a holder, in place of an earlier process. It checks each
// version that takes effect.
func (m *mesh) start(i int) {
	h := &Holder{Spread: 4 * time.Second, Platform: m.platform, Peers: peers{m, i}, Clock: m.clock, Seed: uint64(i + 1)}
	h.run = func(f func()) {
		m.reads = append(m.reads, func() {
			f()
			m.drain(h)
		})
	}
	last := uint64(0)
	h.Watch(func(s *Snapshot) {
		assert.Assert(m.check, s.Tables.Version > last, "version %d after %d", s.Tables.Version, last)
		last = s.Tables.Version
		assert.DeepEqual(m.check, s.Digest, m.platform.digests[last])
		assert.DeepEqual(m.check, thconfig.Digest(s.Tables), s.Digest)
		assert.NilError(m.check, thconfig.Validate(s.Tables))
	})
	h.prepare(context.Background())
	m.holders[i] = h
}

func (m *mesh) drain(h *Holder) {
	for {
		select {
		case f := <-h.events:
			f()
		default:
			h.report()
			return
		}
	}
}

func (m *mesh) tick(i int) {
	h := m.holders[i]
	h.tick(m.clock.Now())
	m.drain(h)
	if h.Ready() {
		assert.Assert(m.check, h.Current().Tables.Version >= m.least[i], "ready with an older version than the fleet's")
	}
}

// read completes one read of the platform.
func (m *mesh) read(i int) {
	f := m.reads[i]
	m.reads = slices.Delete(m.reads, i, i+1)
	f()
}

func (m *mesh) handle(p packet) {
	h, from := m.holders[p.to], m.view.Members[p.from].Name
	switch p.kind {
	case thwire.TypeDelta:
		h.handleDelta(from, p.payload)
	case thwire.TypeKnownVersion:
		h.handleKnown(from, p.payload)
	case thwire.TypeFetch:
		h.handleFetch(from, p.payload)
	case thwire.TypeBatch:
		h.handleBatch(from, p.payload)
	case thwire.TypeConfigHeadRequest:
		h.handleAsk(from, p.payload)
	case thwire.TypeConfigHead:
		h.handleRead(from, p.payload)
	}
	m.drain(h)
}

// run lets time pass and delivers all messages, but those that lose says are lost.
func (m *mesh) run(d time.Duration, lose func(packet) bool) {
	for end := m.clock.Now().Add(d); m.clock.Now().Before(end); m.clock.Advance(tickEvery) {
		for i := range m.holders {
			if !m.dead[i] {
				m.tick(i)
			}
		}
		for len(m.reads) > 0 {
			m.read(0)
		}
		for n := 0; len(m.queue) > 0 && n < 10000; n++ {
			p := m.queue[0]
			m.queue = m.queue[1:]
			if !m.dead[p.to] && !m.dead[p.from] && (lose == nil || !lose(p)) {
				m.handle(p)
			}
		}
	}
}

func (m *mesh) versions() []uint64 {
	all := make([]uint64, len(m.holders))
	for i, h := range m.holders {
		all[i] = h.Status().Version
	}
	return all
}

func (m *mesh) assertAll(t *testing.T, version uint64) {
	t.Helper()
	for i, h := range m.holders {
		if !m.dead[i] {
			assert.Equal(t, h.Status().Version, version, "%v %+v", m.versions(), h.Status())
		}
	}
}
