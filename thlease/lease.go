// Package thlease elects the holder of a duty, work that one daemon of the fleet does at
// a time, by conditional writes of one record in the platform's store.
package thlease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

// Record is the stored state of a duty.
type Record struct {
	Holder  string // name of the daemon; empty after a release
	Process uint64 // random id of the holder's process
	Token   uint64 // fencing token; increases by at least one with each change of holder or process
	Renewal uint64 // counts the writes of a holder, so that each write can be identified
	State   []byte // state of the duty, handed over from holder to holder; opaque
}

// Row is a further row of the duty, written and read together with the record.
type Row struct {
	Key   string
	Value []byte // nil deletes the row
}

// Store keeps the record and the rows of one duty.
type Store interface {
	// Read returns the record, its version (zero if there is none) and the rows, sorted by key.
	Read(ctx context.Context) (r Record, version uint64, rows []Row, err error)
	// Replace writes the record and the rows in one transaction if the stored record still has
	// the version. The error is of kind Conflict if it has another one. After any other error
	// the write may have been performed, or may be performed later if its condition still holds.
	Replace(ctx context.Context, version uint64, r Record, rows ...Row) (newVersion uint64, err error)
}

// Tenure is a period during which one daemon holds the duty.
type Tenure struct {
	Token uint64
	Start time.Time
}

// DefaultDuration is the duration of a lease without a configured one.
const DefaultDuration = 3 * time.Second

// Lease takes part in the election of the holder of a duty. Set the fields before Start. Rank,
// OnStart and OnEnd are called by one goroutine, which makes no calls of the store meanwhile;
// they must not block, and must not call Commit, Yield or Stop.
type Lease struct {
	Name     string        // of this daemon, unique to the machine
	Duration time.Duration // of the lease; 3 s when zero
	Store    Store
	// Elapsed is the time that has passed since an arbitrary fixed moment, including the time
	// for which the machine was suspended; nil means thclock.Boot.
	Elapsed func() time.Duration
	// Rank returns the position of this daemon among those that may take over, 0 for the
	// first, and negative if it may not. Nil means 0.
	Rank    func() int
	Clock   clockwork.Clock
	Log     hclog.Logger
	OnStart func(Tenure, Record, []Row) // called when this daemon becomes the holder, before it may act
	OnEnd   func(Tenure)                // called when it has lost the duty

	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}
	slot   chan struct{} // held by the commit under way

	mutex    sync.Mutex
	machine  *machine // nil before Start
	tenure   Tenure   // the last one
	released []chan struct{}
}

// Start begins to take part in the election, until ctx ends or Stop is called.
func (l *Lease) Start(ctx context.Context) error {
	if err := l.initialise(rand.Uint64()); err != nil {
		return err
	}
	ctx, l.cancel = context.WithCancel(ctx)
	go l.run(ctx)
	return nil
}

// initialise sets the defaults and the random id of the process.
func (l *Lease) initialise(process uint64) error {
	if l.Name == "" || l.Store == nil {
		return therror.New(therror.Internal, "a lease needs a name and a store")
	}
	l.Clock = thclock.OrSystem(l.Clock)
	if l.Log == nil {
		l.Log = hclog.NewNullLogger()
	}
	if l.Elapsed == nil {
		l.Elapsed = thclock.Boot
	}
	if l.Duration <= 0 {
		l.Duration = DefaultDuration
	}
	l.done, l.wake, l.slot = make(chan struct{}), make(chan struct{}, 1), make(chan struct{}, 1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.machine = newMachine(l.Name, process, l.Duration, l.Elapsed())
	return nil
}

// Stop releases the duty if it holds it, and waits until the goroutine has ended, which takes
// no longer than two calls of the store. It does nothing before Start.
func (l *Lease) Stop() {
	if l.cancel != nil {
		l.cancel()
		<-l.done
	}
}

// Done is closed when the goroutine has ended; nil before Start.
func (l *Lease) Done() <-chan struct{} { return l.done }

// Held returns the tenure if the lease holds at this moment, checked against Elapsed.
func (l *Lease) Held() (Tenure, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.machine == nil || l.machine.valid(l.Elapsed()) == 0 {
		return Tenure{}, false
	}
	return l.tenure, true
}

// Valid returns the time for which the lease still holds; zero if it doesn't.
func (l *Lease) Valid() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.machine == nil {
		return 0
	}
	return l.machine.valid(l.Elapsed())
}

// Commit writes the state and rows of the duty under the lease, which it renews. It fails with
// kind Conflict when this daemon is no longer the holder. Attempts are repeated until ctx ends;
// after an error the content may have been written. The values of rows must not be changed.
func (l *Lease) Commit(ctx context.Context, state []byte, rows ...Row) error {
	l.mutex.Lock()
	started := l.machine != nil
	l.mutex.Unlock()
	if !started {
		return errNotHolder()
	}
	select {
	case l.slot <- struct{}{}:
		defer func() { <-l.slot }()
	case <-l.done:
		return errNotHolder()
	case <-ctx.Done():
		return therror.Wrap(therror.Cancelled, ctx.Err(), "wait for another commit")
	}
	c := &commit{state: slices.Clone(state), rows: slices.Clone(rows), done: make(chan error, 1)}
	if err := l.begin(c); err != nil {
		return err
	}
	l.notify()
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return l.withdraw(c, ctx.Err())
	}
}

// begin registers a commit with the machine.
func (l *Lease) begin(c *commit) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.machine.tenure == nil {
		return errNotHolder()
	}
	l.machine.tenure.work = c
	return nil
}

// withdraw ends the attempts of a commit, unless it has just ended by itself.
func (l *Lease) withdraw(c *commit, cause error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case err := <-c.done:
		return err
	default:
	}
	if t := l.machine.tenure; t != nil && t.work == c {
		t.work = nil
	}
	return therror.Wrap(therror.Unknown, cause, "write the state of the duty")
}

// Heard records a message that the named holder held the duty a moment ago, with this token and
// record version. It replaces a read of the store by a daemon that would take over. An empty
// name states that the duty was released.
func (l *Lease) Heard(holder string, token, version uint64) {
	l.mutex.Lock()
	urgent := l.machine != nil && l.machine.heard(l.Elapsed(), holder, token, version)
	l.mutex.Unlock()
	if urgent {
		l.notify()
	}
}

// Current returns what this daemon knows of the holder, for status and for messages. The age is
// the time since it learned of the version; the name is empty after a release.
func (l *Lease) Current() (holder string, token, version uint64, age time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.machine == nil || !l.machine.seen.known {
		return "", 0, 0, 0
	}
	s := l.machine.seen
	return s.holder, s.token, s.version, l.Elapsed() - s.at
}

// Yield releases the duty and prevents this daemon from taking it again for d. It returns when
// the release has been written, or when ctx ends; the release is attempted further then. Held
// returns false from the call on.
func (l *Lease) Yield(ctx context.Context, d time.Duration) {
	released := l.yield(d)
	if released == nil {
		return
	}
	l.notify()
	select {
	case <-released:
	case <-l.done:
	case <-ctx.Done():
	}
}

// yield returns a channel that is closed when the record has been released; nil before Start.
func (l *Lease) yield(d time.Duration) <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.machine == nil {
		return nil
	}
	l.machine.yield(l.Elapsed(), d, "yielded")
	c := make(chan struct{})
	l.released = append(l.released, c)
	return c
}

// notify makes the goroutine ask the machine again.
func (l *Lease) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
