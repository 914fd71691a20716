// Package thlease elects the holder of a duty, work that one daemon of the fleet does at
// a time, by conditional writes of one record in the platform's store.
package thlease

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
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

// Lease takes part in the election of the holder of a duty. Set the fields before Start.
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
}

// Start begins to take part in the election.
func (l *Lease) Start(_ context.Context) error { return nil }

// Stop releases the duty if this daemon holds it, and ends the component.
func (l *Lease) Stop() {}

// Done is closed when the component has ended.
func (l *Lease) Done() <-chan struct{} { return nil }

// Held returns the tenure if the lease holds at this moment, checked against Elapsed.
func (l *Lease) Held() (Tenure, bool) { return Tenure{}, false }

// Valid returns the time for which the lease still holds; zero if it doesn't.
func (l *Lease) Valid() time.Duration { return 0 }

// Commit writes the state and rows of the duty under the lease, which it renews. It fails with
// kind Conflict when this daemon is no longer the holder.
func (l *Lease) Commit(_ context.Context, _ []byte, _ ...Row) error { return nil }

// Heard records a message that the named holder held the duty a moment ago, with this token and
// record version. It replaces a read of the store by a daemon that would take over.
func (l *Lease) Heard(_ string, _, _ uint64) {}

// Current returns what this daemon knows of the holder, for status and for messages.
func (l *Lease) Current() (holder string, token, version uint64, age time.Duration) {
	return "", 0, 0, 0
}

// Yield releases the duty and prevents this daemon from taking it again for d.
func (l *Lease) Yield(_ context.Context, _ time.Duration) {}
