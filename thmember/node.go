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
	tickInterval = 50 * time.Millisecond // resolution of the timers below
	batchDelay   = 50 * time.Millisecond // time for which changes are collected into a batch
	// minFlushInterval is the mean minimum time between two batches without urgent
	// changes, of which flushBurst may follow each other at once. It limits how often
	// hundreds of simultaneous changes rebuild the view and call its watchers.
	minFlushInterval = 200 * time.Millisecond
	flushBurst       = 2
	// MaxHopDelay is the longest time for which a daemon holds back which version
	// another one holds, and MaxFirstHopDelay that for the first one of its zone.
	MaxHopDelay         = minFlushInterval
	MaxFirstHopDelay    = batchDelay
	pingInterval        = 500 * time.Millisecond
	checksumInterval    = time.Second
	probeTimeout        = 500 * time.Millisecond // of a direct or indirect check
	suspicionTimeout    = 2 * time.Second        // time in which a suspect can refute the suspicion
	redialInterval      = 5 * time.Second        // mean time between dials of dead members
	renewalInterval     = time.Minute            // mean time between renewals of the connection in anywhereSlot
	spotCheckInterval   = 10 * time.Second       // mean time between checks of a random member
	onDemandIdleTimeout = 30 * time.Second       // until an idle on-demand connection is closed
	surplusLinkLifetime = 30 * time.Second       // of a dialled connection without a slot
	dialTimeout         = 2 * time.Second        // of a dial including the handshake
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 5 * time.Second
)

// Limits of the overlay.
const (
	slotCount = 3 // overlay connections that a daemon dials
	// anywhereSlot is the index of the slot for a member in any zone and region.
	anywhereSlot     = 2
	maxAccepted      = 10  // overlay connections that a daemon accepts; each one adds to the cost of flooding
	maxMissedPongs   = 3   // unanswered pings after which a connection counts as failed
	maxOnDemandLinks = 256 // also the maximum number of seeds
	maxSampleMembers = 32  // members sent to a daemon whose connection is rejected
)

// Node is the local daemon as a member of the fleet. Set the exported fields and call
// Watch, WatchMoveStates and Handle before Start.
type Node struct {
	Member thwire.Member   // record of this daemon; Start sets a zero Incarnation to the current time
	Clock  clockwork.Clock // nil means the real clock
	Log    hclog.Logger    // nil discards all lines
	Seed   uint64          // of the random number generator; 0 means a random seed
	// Dial opens a control connection and sends the Hello; nil means thwire.Dial.
	Dial func(context.Context, netip.AddrPort, thwire.Hello) (net.Conn, error)
	// Greeting returns the first message to a neighbour whose connection has been accepted;
	// a nil message sends none. It must not call the Node.
	Greeting func(name string) (thwire.Type, thwire.Message)

	view          atomic.Pointer[View]
	handlers      map[thwire.Type]Handler
	viewWatchers  []func(*View)
	moveWatchers  []func(thwire.MoveState)
	crashWatchers []func(thwire.CrashRecord)
	flushRequests chan struct{}
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	done          chan struct{}
	closedIn      atomic.Uint64 // bytes of closed connections
	closedOut     atomic.Uint64
	dropped       atomic.Uint64
	heldVersion   atomic.Uint64 // configuration version in effect here
	stopOnce      sync.Once

	mu           sync.Mutex
	state        state
	random       *rand.Rand
	seeds        []netip.AddrPort
	links        map[string]*link     // overlay connections by neighbour name
	onDemand     map[string]*link     // on-demand connections by member name
	outboxes     map[string]*outbox   // messages for on-demand connections being dialled, by member name
	openLinks    map[*link]struct{}   // all connections
	probes       map[string]*probe    // by member name
	probeNames   map[uint64]string    // member names by probe number
	dialling     map[string]bool      // purposes with a dial in progress
	nextDue      map[string]time.Time // due times by periodic task
	dialFailures int                  // consecutive failed dials for a slot
	lastProbe    uint64               // number of the last probe
	leaving      bool                 // Leave has been called
	zonesToCheck map[zoneKey]struct{} // zones of which the next spot check covers one member each
	initialHeld  thwire.HeldVersion   // version passed to SetHeld before Start
}

// Start starts the gossip in the background. A node that gets no seeds from Join and
// no connections from Serve has itself as its only member. The error is of kind Bad
// if Member has no name or peer address.
func (n *Node) Start(ctx context.Context) error {
	if n.Member.Name == "" || !n.Member.Peer.IsValid() {
		return therror.New(therror.Bad, "member name or peer address is missing")
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
	n.mu.Lock()
	if n.Member.Incarnation == 0 {
		n.Member.Incarnation = uint64(n.Clock.Now().UnixNano()) //nolint:forbidigo // orders processes
	}
	n.random = rand.New(rand.NewPCG(n.Seed, 0))
	n.state.init()
	n.links, n.onDemand, n.outboxes = map[string]*link{}, map[string]*link{}, map[string]*outbox{}
	n.openLinks, n.probes, n.probeNames = map[*link]struct{}{}, map[string]*probe{}, map[uint64]string{}
	n.dialling, n.nextDue = map[string]bool{}, map[string]time.Time{}
	n.zonesToCheck = map[zoneKey]struct{}{}
	n.state.putMember(n.Member, "", n.Clock.Now())
	if n.initialHeld.Name != "" {
		n.initialHeld.Incarnation = n.Member.Incarnation
		n.state.putHeld(n.initialHeld, "")
	}
	n.publishView()
	n.flushRequests = make(chan struct{}, 1)
	n.done = make(chan struct{})
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.mu.Unlock()
	n.goroutines.Add(1)
	go n.run()
	return nil
}

// Stop closes all connections and waits until all goroutines have ended. Without a
// call of Leave before, the other members treat the stop as a crash.
func (n *Node) Stop() {
	if n.done == nil {
		return
	}
	n.stopOnce.Do(func() {
		n.cancel()
		n.mu.Lock()
		for l := range n.openLinks {
			l.conn.Close()
		}
		n.mu.Unlock()
		go func() {
			n.goroutines.Wait()
			close(n.done)
		}()
	})
	<-n.done
}

// Done returns a channel that is closed once Stop has ended all goroutines. It is
// nil before Start.
func (n *Node) Done() <-chan struct{} { return n.done }

// started reports whether Start has been called. A listener may accept connections
// before.
func (n *Node) started() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done != nil
}

// spawn runs f in a goroutine that Stop waits for. It returns false without running
// f once the node is stopped.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spawnLocked(f)
}

// spawnLocked is spawn for a caller that holds the mutex.
func (n *Node) spawnLocked(f func()) bool {
	if n.ctx.Err() != nil {
		return false
	}
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
	return true
}

// Handle registers the handler of a message type that the node does not handle
// itself. Call it before Start.
func (n *Node) Handle(t thwire.Type, h Handler) {
	if n.handlers == nil {
		n.handlers = map[thwire.Type]Handler{}
	}
	n.handlers[t] = h
}

// Watch adds a callback for each new view, called in order. Call it before Start.
func (n *Node) Watch(f func(*View)) { n.viewWatchers = append(n.viewWatchers, f) }

// WatchMoveStates adds a callback for each change of the state of a move. Call it
// before Start.
func (n *Node) WatchMoveStates(f func(thwire.MoveState)) { n.moveWatchers = append(n.moveWatchers, f) }

// View returns the current view, or nil before Start. It costs one atomic load.
func (n *Node) View() *View { return n.view.Load() }

// Self returns the current record of this daemon.
func (n *Node) Self() thwire.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, found := n.state.members[n.Member.Name]; found {
		return r.member
	}
	return n.Member
}

// Neighbours returns the sorted names of the members with an overlay connection.
func (n *Node) Neighbours() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.links))
}

// HeardWithin returns the sorted names of the neighbours that have answered a ping, or
// have connected, within the last d. Each neighbour is pinged every half second.
func (n *Node) HeardWithin(d time.Duration) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name, l := range n.links {
		if n.Clock.Since(l.pongAt) <= d {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Bytes returns the bytes received and sent over control connections since Start.
func (n *Node) Bytes() (in, out uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	in, out = n.closedIn.Load(), n.closedOut.Load()
	for l := range n.openLinks {
		i, o := l.conn.Bytes()
		in, out = in+i, out+o
	}
	return in, out
}

// Dropped returns the number of received messages that were dropped because their
// handlers were too slow. Anti-entropy repairs dropped state updates.
func (n *Node) Dropped() uint64 { return n.dropped.Load() }

// Join adds peer addresses that are dialled as seeds. Invalid, known and own
// addresses are ignored, and so are addresses beyond maxOnDemandLinks.
func (n *Node) Join(addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		if a.IsValid() && a != n.Member.Peer && !slices.Contains(n.seeds, a) && len(n.seeds) < maxOnDemandLinks {
			n.seeds = append(n.seeds, a)
		}
	}
}

// ShortDigest returns the first 8 bytes of a digest as a big-endian number, the form
// that thwire.HeldVersion carries.
func ShortDigest(digest []byte) uint64 {
	var d uint64
	for i := range min(8, len(digest)) {
		d |= uint64(digest[i]) << (56 - 8*i)
	}
	return d
}

// SetHeld publishes the version and digest of the configuration in effect here. A
// version set before Start is published by Start.
func (n *Node) SetHeld(version uint64, digest []byte) {
	n.heldVersion.Store(version)
	h := thwire.HeldVersion{Name: n.Member.Name, Version: version, Digest: ShortDigest(digest)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.checksum.Version = version
	if n.done == nil {
		n.initialHeld = h // Start publishes it
		return
	}
	h.Incarnation = n.state.members[n.Member.Name].member.Incarnation
	n.state.putHeld(h, "")
	n.requestFlush()
}

// SetServer publishes a copy of the record of the local backend server; nil means
// that there is none.
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
	n.requestFlush()
}

// SetSourceDisconnected publishes whether this daemon is disconnected from the
// configuration source.
func (n *Node) SetSourceDisconnected(disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done == nil {
		n.Member.Blind = disconnected
		return
	}
	m := n.state.members[n.Member.Name].member
	if m.Blind == disconnected {
		return
	}
	m.Blind = disconnected
	m.Sequence++
	n.state.putMember(m, "", n.Clock.Now())
	n.requestFlush()
}

// Leave announces to the fleet and to every connected peer that this daemon is
// shutting down. From then on the node dials no neighbours. It has no effect before
// Start.
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
	changes := n.collectChanges()
	for l := range n.openLinks {
		_ = l.conn.Send(thwire.TypeGoAway, &thwire.GoAway{Reason: reasonLeaving})
	}
	n.mu.Unlock()
	n.deliverChanges(changes)
}

// MergeMoveState merges a state of a move into the known one and floods the result if
// it changed. It has no effect before Start.
func (n *Node) MergeMoveState(f thwire.MoveState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done != nil && n.state.putMoveState(f, "") {
		n.requestFlush()
	}
}

// MoveStates returns the known states of moves, sorted by the name of the move.
func (n *Node) MoveStates() []thwire.MoveState {
	n.mu.Lock()
	defer n.mu.Unlock()
	moveStates := slices.Collect(maps.Values(n.state.moveStates))
	slices.SortFunc(moveStates, func(a, b thwire.MoveState) int { return strings.Compare(a.Move, b.Move) })
	return moveStates
}

// KeepMoveStates removes the states of the moves for which keep returns false. Call it
// for each configuration version, so that ended moves do not accumulate.
func (n *Node) KeepMoveStates(keep func(move string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for move := range n.state.moveStates {
		if !keep(move) {
			n.state.removeMoveState(move)
		}
	}
}

// requestFlush makes run schedule a batch of the pending changes. The caller holds
// the mutex.
func (n *Node) requestFlush() {
	select {
	case n.flushRequests <- struct{}{}:
	default:
	}
}

// run flushes changes in batches and runs the periodic work until the node stops.
func (n *Node) run() {
	defer n.goroutines.Done()
	tick := n.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	var batch <-chan time.Time
	var due, rateUsedUntil time.Time
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.flushRequests:
			if at := n.nextFlush(rateUsedUntil); batch == nil || at.Before(due) {
				due = at
				batch = n.Clock.After(at.Sub(n.Clock.Now()))
			}
		case <-batch:
			batch = nil
			rateUsedUntil = useFlushRate(rateUsedUntil, n.Clock.Now())
			n.mu.Lock()
			changes := n.collectChanges()
			n.mu.Unlock()
			n.deliverChanges(changes)
		case <-tick.Chan():
			n.runPeriodicWork(n.Clock.Now())
		}
	}
}

// nextFlush returns the time of the next batch: after batchDelay, but without urgent
// changes not before the rate of minFlushInterval and flushBurst allows it.
// rateUsedUntil is the result of useFlushRate for the last batch.
func (n *Node) nextFlush(rateUsedUntil time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := n.Clock.Now().Add(batchDelay)
	if next := rateUsedUntil.Add(-(flushBurst - 1) * minFlushInterval); at.Before(next) && !n.state.changed.urgent {
		return next
	}
	return at
}

// useFlushRate returns the time up to which the batches so far have used the rate, after
// one at now. Each uses minFlushInterval.
func useFlushRate(usedUntil, now time.Time) time.Time {
	if usedUntil.Before(now) {
		usedUntil = now
	}
	return usedUntil.Add(minFlushInterval)
}

// isDue reports whether a periodic task is due and, if so, schedules the next run
// after a random 0.5 to 1.5 intervals. The first call only schedules. The caller
// holds the mutex.
func (n *Node) isDue(task string, now time.Time, interval time.Duration) bool {
	at, found := n.nextDue[task]
	if found && now.Before(at) {
		return false
	}
	n.nextDue[task] = now.Add(interval/2 + time.Duration(n.random.Int64N(int64(interval))))
	return found
}
