package thmember

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Timing of the node.
const (
	tickEvery  = 50 * time.Millisecond // resolution of the timers below
	batchDelay = 50 * time.Millisecond // time over which updates are batched
	// flushEvery is the least time between two batches of news that are not urgent:
	// hundreds of changes at once cost each daemon a view and its watchers a batch.
	flushEvery = 200 * time.Millisecond
	pingEvery  = 500 * time.Millisecond
	sumEvery   = time.Second
	probeWait  = 500 * time.Millisecond // limit of an indirect probe
	suspicion  = 2 * time.Second        // time that a suspect has to refute
	redial     = 5 * time.Second        // mean time between dials of dead members
	renewal    = time.Minute            // mean time between changes of the connection anywhere
	spotCheck  = 10 * time.Second       // mean time between probes of a random member
	idleDirect = 30 * time.Second       // idle time of an on-demand connection
	extraLife  = 30 * time.Second       // life of a connection beyond the overlay's slots
	dialWait   = 2 * time.Second        // limit of a dial with its handshake
	backoffMin = 100 * time.Millisecond
	backoffMax = 5 * time.Second
)

// Bounds of the overlay.
const (
	slots = 3 // connections that a daemon dials
	// slotAnywhere is the slot for a member in any zone and region.
	slotAnywhere = 2
	maxAccepted  = 10 // overlay connections that it accepts; what is flooded costs each of them
	maxMissed    = 3  // unanswered pings of a failed connection
	maxDirect    = 256
	pageSize     = 32 // members sent to a daemon that is refused
)

// Node is the daemon as a member of the fleet. Set the exported fields before
// Start; Watch, WatchFacts and Handle are called before Start too.
type Node struct {
	Member thwire.Member // own record; a zero Incarnation becomes the time of Start
	Clock  clockwork.Clock
	Log    hclog.Logger
	Seed   uint64 // of the random choices; 0 means a random seed
	// Dial replaces thwire.Dial.
	Dial func(context.Context, netip.AddrPort, thwire.Hello) (net.Conn, error)

	view       atomic.Pointer[View]
	handlers   map[thwire.Type]Handler
	watchers   []func(*View)
	factors    []func(thwire.Fact)
	dirty      chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	group      sync.WaitGroup
	done       chan struct{}
	closedIn   atomic.Uint64 // bytes of closed connections
	closedOut  atomic.Uint64
	dropped    atomic.Uint64
	held       atomic.Uint64 // own configuration version
	stopCalled sync.Once

	mu       sync.Mutex
	state    state
	random   *rand.Rand
	seeds    []netip.AddrPort
	links    map[string]*link     // the overlay, by name of the neighbour
	direct   map[string]*link     // on-demand connections
	opening  map[string]*outbox   // on-demand connections being dialled
	open     map[*link]struct{}   // every connection
	probes   map[string]*probe    // by name of the member
	numbers  map[uint64]string    // probe number -> name of the member
	dialling map[string]bool      // members or addresses
	next     map[string]time.Time // due times of the periodic work
	failures int                  // dials in a row that failed
	number   uint64               // of the last probe
	leaving  bool
	lost     map[place]struct{} // zones to check members of
	early    thwire.Held        // set before Start
}

// Start begins to gossip; without Join or Serve the node stays alone.
func (n *Node) Start(ctx context.Context) error {
	if n.Member.Name == "" || !n.Member.Peer.IsValid() {
		return therror.New(therror.Bad, "a member needs a name and a peer address")
	}
	n.Clock = thclock.OrSystem(n.Clock)
	if n.Log == nil {
		n.Log = hclog.NewNullLogger()
	}
	if n.Dial == nil {
		n.Dial = thwire.Dial
	}
	if n.Seed == 0 {
		n.Seed = rand.Uint64()
	}
	if n.Member.Incarnation == 0 {
		n.Member.Incarnation = uint64(n.Clock.Now().UnixNano())
	}
	n.mu.Lock()
	n.random = rand.New(rand.NewPCG(n.Seed, 0))
	n.state.init()
	n.links, n.direct, n.opening = map[string]*link{}, map[string]*link{}, map[string]*outbox{}
	n.open, n.probes, n.numbers = map[*link]struct{}{}, map[string]*probe{}, map[uint64]string{}
	n.dialling, n.next = map[string]bool{}, map[string]time.Time{}
	n.lost = map[place]struct{}{}
	n.state.putMember(n.Member, "", n.Clock.Now())
	if n.early.Name != "" {
		n.early.Incarnation = n.Member.Incarnation
		n.state.putHeld(n.early, "")
	}
	n.publish()
	n.dirty = make(chan struct{}, 1)
	n.done = make(chan struct{})
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.mu.Unlock()
	n.group.Add(1)
	go n.loop()
	return nil
}

// Stop closes all connections and waits. Without Leave the others see a crash.
func (n *Node) Stop() {
	if n.done == nil {
		return
	}
	n.stopCalled.Do(func() {
		n.cancel()
		n.mu.Lock()
		for l := range n.open {
			l.conn.Close()
		}
		n.mu.Unlock()
		go func() {
			n.group.Wait()
			close(n.done)
		}()
	})
	<-n.done
}

// Done is closed when all goroutines have ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// started reports whether Start has been called: a listener may be earlier.
func (n *Node) started() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done != nil
}

// spawn starts a goroutine that Stop waits for; after Stop it starts none.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spawnLocked(f)
}

func (n *Node) spawnLocked(f func()) bool {
	if n.ctx.Err() != nil {
		return false
	}
	n.group.Add(1)
	go func() {
		defer n.group.Done()
		f()
	}()
	return true
}

// Handle sets the handler of a message type.
func (n *Node) Handle(t thwire.Type, h Handler) {
	if n.handlers == nil {
		n.handlers = map[thwire.Type]Handler{}
	}
	n.handlers[t] = h
}

// Watch adds a function that is called with each new view, in order.
func (n *Node) Watch(f func(*View)) { n.watchers = append(n.watchers, f) }

// WatchFacts adds a function that is called with each changed fact.
func (n *Node) WatchFacts(f func(thwire.Fact)) { n.factors = append(n.factors, f) }

// View returns the current view; it costs one atomic load.
func (n *Node) View() *View { return n.view.Load() }

// Self returns the own record.
func (n *Node) Self() thwire.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, found := n.state.members[n.Member.Name]; found {
		return r.member
	}
	return n.Member
}

// Neighbours returns the names of the connected neighbours, sorted.
func (n *Node) Neighbours() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.links))
}

// Bytes returns the control bytes received and sent since Start.
func (n *Node) Bytes() (in, out uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	in, out = n.closedIn.Load(), n.closedOut.Load()
	for l := range n.open {
		i, o := l.conn.Bytes()
		in, out = in+i, out+o
	}
	return in, out
}

// Dropped returns the number of received messages dropped because their
// handlers were too slow; anti-entropy repairs what they carried.
func (n *Node) Dropped() uint64 { return n.dropped.Load() }

// Join adds addresses at which members may be found.
func (n *Node) Join(addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		if a.IsValid() && a != n.Member.Peer && !slices.Contains(n.seeds, a) && len(n.seeds) < maxDirect {
			n.seeds = append(n.seeds, a)
		}
	}
}

// ShortDigest returns the form of a digest in held records: its first 8 bytes.
func ShortDigest(digest []byte) uint64 {
	var d uint64
	for i := range min(8, len(digest)) {
		d |= uint64(digest[i]) << (56 - 8*i)
	}
	return d
}

// SetHeld publishes the configuration version in effect here.
func (n *Node) SetHeld(version uint64, digest []byte) {
	n.held.Store(version)
	h := thwire.Held{Name: n.Member.Name, Version: version, Digest: ShortDigest(digest)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.sum.Version = version
	if n.done == nil {
		n.early = h // Start publishes it
		return
	}
	h.Incarnation = n.state.members[n.Member.Name].member.Incarnation
	n.state.putHeld(h, "")
	n.signal()
}

// SetServer publishes the backend server beside the daemon; nil means none.
func (n *Node) SetServer(s *thwire.Server) {
	if s != nil {
		c := *s
		s = &c
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done == nil {
		n.Member.Server = s
		return
	}
	m := n.state.members[n.Member.Name].member
	m.Server = s
	m.Sequence++
	n.state.putMember(m, "", n.Clock.Now())
	n.signal()
}

// SetBlind floods whether the source of the configuration answers this daemon.
func (n *Node) SetBlind(blind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done == nil {
		n.Member.Blind = blind
		return
	}
	m := n.state.members[n.Member.Name].member
	if m.Blind == blind {
		return
	}
	m.Blind = blind
	m.Sequence++
	n.state.putMember(m, "", n.Clock.Now())
	n.signal()
}

// Leave floods that this daemon is leaving and tells every connected peer.
func (n *Node) Leave() {
	if !n.started() {
		return
	}
	n.mu.Lock()
	n.leaving = true
	m := n.state.members[n.Member.Name].member
	m.State = thwire.MemberLeaving
	m.Sequence++
	n.state.putMember(m, "", n.Clock.Now())
	news := n.collect()
	for l := range n.open {
		_ = l.conn.Send(thwire.TypeGoAway, &thwire.GoAway{Reason: reasonLeaving})
	}
	n.mu.Unlock()
	n.deliver(news)
}

// MergeFact merges what this daemon knows of a move and floods the result. It
// has no effect before Start.
func (n *Node) MergeFact(f thwire.Fact) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done != nil && n.state.putFact(f, "") {
		n.signal()
	}
}

// Facts returns the known facts, sorted by move.
func (n *Node) Facts() []thwire.Fact {
	n.mu.Lock()
	defer n.mu.Unlock()
	facts := slices.Collect(maps.Values(n.state.facts))
	slices.SortFunc(facts, func(a, b thwire.Fact) int { return strings.Compare(a.Move, b.Move) })
	return facts
}

// KeepFacts forgets the facts of moves for which keep returns false. Call it
// with each configuration version, so that facts do not outlive their moves.
func (n *Node) KeepFacts(keep func(move string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for move := range n.state.facts {
		if !keep(move) {
			n.state.forgetFact(move)
		}
	}
}

// signal asks the loop to flood what has changed. The caller holds the mutex.
func (n *Node) signal() {
	select {
	case n.dirty <- struct{}{}:
	default:
	}
}

func (n *Node) loop() {
	defer n.group.Done()
	tick := n.Clock.NewTicker(tickEvery)
	defer tick.Stop()
	var batch <-chan time.Time
	var due, last time.Time
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.dirty:
			if at := n.flushAt(last); batch == nil || at.Before(due) {
				due = at
				batch = n.Clock.After(at.Sub(n.Clock.Now()))
			}
		case <-batch:
			batch, last = nil, n.Clock.Now()
			n.mu.Lock()
			news := n.collect()
			n.mu.Unlock()
			n.deliver(news)
		case <-tick.Chan():
			n.step(n.Clock.Now())
		}
	}
}

// flushAt returns when the changes are flooded, after the last time.
func (n *Node) flushAt(last time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := n.Clock.Now().Add(batchDelay)
	if next := last.Add(flushEvery); at.Before(next) && !n.state.changed.urgent {
		return next
	}
	return at
}

// due reports whether periodic work is due and sets the next time, spread
// evenly over half to one and a half periods. The caller holds the mutex.
func (n *Node) due(what string, now time.Time, every time.Duration) bool {
	at, found := n.next[what]
	if found && now.Before(at) {
		return false
	}
	n.next[what] = now.Add(every/2 + time.Duration(n.random.Int64N(int64(every))))
	return found
}
