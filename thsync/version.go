package thsync

import (
	"bytes"
	"time"

	"github.com/turmerichaven/turmerichaven/thaccount"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/throute"
)

const (
	maxKeptChanges = 256     // changes kept for peers that have missed some
	maxKeptBytes   = 4 << 20 // total encoded size of the kept changes
	ackTimeout     = 300 * time.Millisecond
	// snapshotInterval is the number of versions between snapshot objects. It has
	// to equal the interval at which a commit writes one.
	snapshotInterval = 16
)

// versions holds the configuration versions that this daemon has received.
// latest is validated; the versions in pending are not yet in effect.
type versions struct {
	latest       Snapshot
	pending      []pendingVersion
	changes      []thconfig.Change // consecutive changes up to latest
	changesBytes int               // encoded size of changes
}

type pendingVersion struct {
	snapshot *Snapshot
	due      time.Time // takes effect then, even without an acknowledgement
}

// advance validates a change against the latest version and adds the result as
// pending. On an error the state is unchanged.
func (r *Replica) advance(c thconfig.Change) error {
	v := &r.versions
	t, err := thconfig.ApplyChange(v.latest.Tables, c)
	if err != nil {
		return err
	}
	router, err := throute.Compile(t)
	if err != nil {
		return err
	}
	v.changes = append(v.changes, c)
	v.changesBytes += c.Msgsize()
	for len(v.changes) > 0 && (len(v.changes) > maxKeptChanges || v.changesBytes > maxKeptBytes) {
		v.changesBytes -= v.changes[0].Msgsize()
		v.changes[0] = thconfig.Change{}
		v.changes = v.changes[1:]
	}
	r.addPending(&Snapshot{Tables: t, Digest: c.Digest, Router: router, Accounts: thaccount.Compile(&t)})
	return nil
}

// replace validates complete tables of a version above the latest and adds them
// as pending. For any other version it only compares the digest. On an error the
// state is unchanged, except for an alarm.
func (r *Replica) replace(t thconfig.Tables, digest []byte) error {
	if t.Version <= r.versions.latest.Tables.Version {
		return r.checkDigest(t.Version, digest)
	}
	if d := thconfig.Digest(t); !bytes.Equal(d, digest) {
		return therror.New(therror.Refused, "tables of version %d: digest is %x, expected %x", t.Version, d[:4], digest)
	}
	if err := thconfig.Validate(t); err != nil {
		return err
	}
	router, err := throute.Compile(t)
	if err != nil {
		return err
	}
	r.versions.changes, r.versions.changesBytes = nil, 0
	r.addPending(&Snapshot{Tables: t, Digest: digest, Router: router, Accounts: thaccount.Compile(&t)})
	return nil
}

func (r *Replica) addPending(s *Snapshot) {
	r.versions.latest = *s
	r.versions.pending = append(r.versions.pending, pendingVersion{s, r.Clock.Now().Add(ackTimeout)})
	r.lastErr, r.alarm = nil, "" // a higher version clears both kinds of alarm
	r.storeSnapshot(s.Tables)
}

// checkDigest compares the digest of a version that is not new with the stored
// one, and raises the alarm Diverged if they differ. A version whose digest is no
// longer stored passes.
func (r *Replica) checkDigest(version uint64, digest []byte) error {
	known := r.digestOf(version)
	if known == nil || bytes.Equal(known, digest) {
		return nil
	}
	err := therror.New(therror.Diverged, "version %d has digest %x here and %x elsewhere", version, known, digest)
	r.raiseAlarm(therror.Diverged, err)
	return err
}

// digestOf returns the stored digest of a version, nil if there is none.
func (r *Replica) digestOf(version uint64) []byte {
	if version == r.versions.latest.Tables.Version {
		return r.versions.latest.Digest
	}
	for _, c := range r.versions.changes {
		if c.Version == version {
			return c.Digest
		}
	}
	return nil
}

// acknowledge applies the pending versions up to one that another daemon stores.
func (r *Replica) acknowledge(version uint64) {
	r.apply(func(p pendingVersion) bool { return p.snapshot.Tables.Version <= version })
}

// applyDue applies the pending versions whose ackTimeout has passed.
func (r *Replica) applyDue(now time.Time) {
	r.apply(func(p pendingVersion) bool { return !now.Before(p.due) })
}

// hasDue reports whether a pending version at or above the floor is due.
func (r *Replica) hasDue(now time.Time, floor uint64) bool {
	for _, p := range r.versions.pending {
		if p.snapshot.Tables.Version >= floor && !now.Before(p.due) {
			return true
		}
	}
	return false
}

// apply puts the highest pending version that qualifies in effect, unless the
// recovery gate is closed. Pending versions are in ascending order and only the
// loop swaps the pointer, so the version in effect never decreases.
func (r *Replica) apply(qualifies func(pendingVersion) bool) {
	last := -1
	for i, p := range r.versions.pending {
		if qualifies(p) {
			last = i
		}
	}
	if last < 0 {
		return
	}
	if !r.gate.passed {
		// They take effect when the gate passes. Acknowledged versions are due
		// immediately.
		for i := range last + 1 {
			r.versions.pending[i].due = time.Time{}
		}
		return
	}
	s := r.versions.pending[last].snapshot
	r.versions.pending = append([]pendingVersion(nil), r.versions.pending[last+1:]...)
	if c := r.current.Load(); c != nil && c.Tables.Version >= s.Tables.Version {
		return
	}
	for _, f := range r.preparers {
		f(s)
	}
	r.current.Store(s)
	r.Log.Info("configuration in effect", "version", s.Tables.Version)
	r.Peers.SetHeld(s.Tables.Version, s.Digest)
	for _, f := range r.watchers {
		f(s)
	}
}
