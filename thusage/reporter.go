package thusage

import (
	"cmp"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thlease"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Defaults of Reporter.
const (
	defaultWindow = 5 * time.Second
	defaultLate   = 10 * time.Second
)

// warningInterval bounds the lines about failures of one kind.
const warningInterval = 10 * time.Second

// lease is the part of thlease.Lease that the reporter uses.
type lease interface {
	Held() (thlease.Tenure, bool)
	Valid() time.Duration
	Commit(ctx context.Context, state []byte, rows ...thlease.Row) error
	Heard(holder string, token, version uint64)
	Current() (holder string, token, version uint64, age time.Duration)
	Yield(ctx context.Context, d time.Duration)
}

// Reporter sends the counter's messages and runs the collector and the duty of reporting.
// Set the fields before Start.
type Reporter struct {
	Name         string
	Window, Late time.Duration  // 5 s and 10 s when zero
	Counter      *Counter       // of the local backend server
	Lease        *thlease.Lease // its OnStart and OnEnd are set by Start; it is started and stopped by its owner
	API          API
	Send         func(to string, t thwire.Type, m thwire.Message) error // to another daemon
	Members      func() []thwire.Member                                 // live ones
	Clock        clockwork.Clock
	Elapsed      func() time.Duration // as in thlease.Lease; nil means thclock.Boot
	Log          hclog.Logger

	mutex    sync.Mutex
	node     *node // nil before Start
	lease    lease
	warnings map[string]time.Duration // elapsed at the last line of each kind of failure
	cancel   context.CancelFunc       // of the post in progress
	wakeDuty chan struct{}
	wakeNode chan struct{}
	stop     context.CancelFunc
	done     chan struct{}
}

// Status is the state of usage reports as this daemon knows it.
type Status struct {
	Holder   string // empty if unknown
	Token    uint64
	Age      time.Duration // since the holder was heard of
	Reported uint64        // windows that this process has reported
	// Due are the ended windows that are not yet reported, Late those of them that should have
	// been. Both are zero unless this daemon is the holder.
	Due, Late int
	Counts    map[string]uint64 // of the local backend server in the current window, by account
}

// Start begins to count, to send and to report. Start the lease afterwards.
func (r *Reporter) Start(ctx context.Context) error {
	if err := r.prepare(); err != nil {
		return err
	}
	if r.Lease != nil {
		r.Lease.OnStart, r.Lease.OnEnd = r.startTenure, r.endTenure
	}
	ctx, r.stop = context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { r.runMessages(ctx) })
	running.Go(func() { r.runDuty(ctx) })
	go func() {
		running.Wait()
		close(r.done)
	}()
	return nil
}

// prepare checks the fields and begins to count.
func (r *Reporter) prepare() error {
	switch {
	case r.Name == "" || r.API == nil || r.Send == nil || r.Members == nil || r.Lease == nil && r.lease == nil:
		return therror.New(therror.Internal, "a reporter lacks a field")
	case r.Window < 0 || r.Late < 0:
		return therror.New(therror.Bad, "negative window or late")
	}
	r.Window, r.Late = cmp.Or(r.Window, defaultWindow), cmp.Or(r.Late, defaultLate)
	r.Clock = thclock.OrSystem(r.Clock)
	if r.Log == nil {
		r.Log = hclog.NewNullLogger()
	}
	if r.Elapsed == nil {
		r.Elapsed = thclock.Boot
	}
	if r.Counter == nil {
		r.Counter = &Counter{}
	}
	r.warnings = map[string]time.Duration{}
	r.wakeDuty, r.wakeNode, r.done = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.lease == nil {
		r.lease = r.Lease
	}
	r.node = newNode(r.Name, rand.Uint64(), r.Window, r.Late, r.Counter, timeOfDay(r.Clock), r.Elapsed)
	return nil
}

// timeOfDay returns the time since 1970 UTC.
func timeOfDay(c clockwork.Clock) time.Duration {
	return time.Duration(c.Now().UnixMilli()) * time.Millisecond
}

// Stop sends all counts and ends the reporter. Stop the lease afterwards.
func (r *Reporter) Stop() {
	if r.stop == nil {
		return
	}
	r.stop()
	<-r.done
}

// Done is closed when the reporter has ended.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// HandleCounts handles a message of type UsageCounts. A malformed one is dropped.
func (r *Reporter) HandleCounts(from string, payload []byte) {
	var m thwire.UsageCounts
	err := thwire.Decode(payload, &m)
	if err == nil {
		err = check(&m)
	}
	if err != nil {
		r.warn("counts", "malformed usage counts", "from", from, "error", err)
		return
	}
	r.mutex.Lock()
	if r.node == nil {
		r.mutex.Unlock()
		return
	}
	reply := r.node.receive(from, &m)
	r.mutex.Unlock()
	r.addHolder(reply)
	if err := r.Send(from, thwire.TypeUsageReply, reply); err != nil {
		r.warn("reply", "usage reply not sent", "to", from, "error", err)
	}
	if len(reply.Received) > 0 {
		wake(r.wakeDuty)
	}
}

// HandleReply handles a message of type UsageReply. A malformed one is dropped.
func (r *Reporter) HandleReply(from string, payload []byte) {
	var m thwire.UsageReply
	err := thwire.Decode(payload, &m)
	if err == nil && len(m.Holder) > thwire.MaxNameBytes {
		err = therror.New(therror.Frame, "name of %d bytes", len(m.Holder))
	}
	if err != nil {
		r.warn("reply", "malformed usage reply", "from", from, "error", err)
		return
	}
	r.mutex.Lock()
	if r.node == nil {
		r.mutex.Unlock()
		return
	}
	if r.node.answered(from, &m) {
		wake(r.wakeNode)
	}
	r.mutex.Unlock()
	if m.Holder != "" && m.Holder != r.Name {
		r.lease.Heard(m.Holder, m.Token, m.Version)
	}
}

// addHolder adds what is known of the holder to a reply. Knowledge older than a lease is not
// passed on, since it may go round between daemons.
func (r *Reporter) addHolder(m *thwire.UsageReply) {
	holder, token, version, age := r.lease.Current()
	if holder != "" && age < maxHolderAge {
		m.Holder, m.Token, m.Version = holder, token, version
	}
}

// Status returns the present state.
func (r *Reporter) Status() Status {
	r.mutex.Lock()
	if r.node == nil {
		r.mutex.Unlock()
		return Status{}
	}
	now := r.node.clock.now()
	s := Status{Reported: r.node.duty.reported, Counts: r.Counter.counts(now)}
	s.Due, s.Late = r.node.duty.backlog(now)
	r.mutex.Unlock()
	s.Holder, s.Token, _, s.Age = r.lease.Current()
	return s
}

// runMessages sends the counts until ctx ends, and then all of them once more.
func (r *Reporter) runMessages(ctx context.Context) {
	for {
		pause := r.sendCounts(false)
		timer := r.Clock.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			r.sendCounts(true)
			return
		case <-r.wakeNode:
			timer.Stop()
		case <-timer.Chan():
		}
	}
}

// sendCounts sends the messages that are due, or all counts, and returns the time until the
// next ones.
func (r *Reporter) sendCounts(all bool) time.Duration {
	holder := ""
	if name, _, _, age := r.lease.Current(); age < maxHolderAge {
		holder = name
	}
	members := r.Members()
	r.mutex.Lock()
	messages, pause := r.node.step(members, holder, all)
	if d := r.node.corrected; d != 0 {
		r.node.corrected = 0
		r.Log.Warn("the time of day differs from the other daemons", "correction", d)
	}
	settled := r.node.settled
	r.mutex.Unlock()
	failed := ""
	for _, m := range messages {
		// The last of several messages makes a window final, so that it must not arrive alone.
		if m.to == failed {
			continue
		}
		if err := r.Send(m.to, thwire.TypeUsageCounts, m.counts); err != nil {
			failed = m.to
			r.warn("send", "usage counts not sent", "to", m.to, "error", err)
			r.mutex.Lock()
			r.node.lost(m)
			r.mutex.Unlock()
		}
	}
	if settled {
		wake(r.wakeDuty) // the own counts may be final
	}
	return pause
}

// startTenure is called by the lease.
func (r *Reporter) startTenure(t thlease.Tenure, record thlease.Record, rows []thlease.Row) {
	r.mutex.Lock()
	err := r.node.duty.begin(t, record, rows, r.Elapsed())
	first := r.node.duty.first
	r.mutex.Unlock()
	if err != nil {
		r.Log.Error("usage: stored state can't be read", "error", err)
	}
	r.Log.Info("usage: this daemon reports", "token", t.Token, "first", first, "rows", len(rows))
	wake(r.wakeNode)
	wake(r.wakeDuty)
}

// endTenure is called by the lease.
func (r *Reporter) endTenure(t thlease.Tenure) {
	r.mutex.Lock()
	r.node.duty.end(t)
	if r.cancel != nil {
		r.cancel()
	}
	r.mutex.Unlock()
	r.Log.Info("usage: this daemon no longer reports", "token", t.Token)
}

// warn logs a failure, one line of each kind in warningInterval.
func (r *Reporter) warn(kind, message string, args ...any) {
	r.mutex.Lock()
	if r.node == nil {
		r.mutex.Unlock()
		return
	}
	now := r.Elapsed()
	last, logged := r.warnings[kind]
	if !logged || now-last >= warningInterval {
		r.warnings[kind] = now
		logged = false
	}
	r.mutex.Unlock()
	if !logged {
		r.Log.Warn(message, args...)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// finalDelay spreads the final messages of the daemons over 100 to 300 ms after the end of a
// window.
func finalDelay(name string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return 100*time.Millisecond + time.Duration(h.Sum32()%200)*time.Millisecond
}
