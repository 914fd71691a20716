package thsync

import (
	"bytes"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/throute"
)

const (
	maxKeptChanges      = 256     // changes kept for peers with a gap
	maxKeptBytes = 4 << 20 // their encoded size
	ackTimeout      = 300 * time.Millisecond
	// snapshotInterval matches the versions for which a commit writes an object.
	snapshotInterval = 16
)

// versions is the chain of versions known here. latest is known and validated;
// the versions in pending are not yet in effect.
type versions struct {
	latest  Snapshot
	pending []pendingVersion
	changes    []thconfig.Change // a chain that ends at latest
	changesBytes   int               // of kept
}

type pendingVersion struct {
	snapshot *Snapshot
	due      time.Time // when it takes effect without acknowledgement
}

// advance validates a change on top of the latest version. On an error nothing
// has changed.
func (r *Replica) advance(c thconfig.Change) error {
	v := &r.versions
	t, err := thconfig.Advance(v.latest.Tables, c)
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
	r.addPending(&Snapshot{Tables: t, Digest: c.Digest, Router: router})
	return nil
}

// replace validates complete tables with a higher version than the latest. On
// an error nothing has changed.
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
	r.addPending(&Snapshot{Tables: t, Digest: digest, Router: router})
	return nil
}

func (r *Replica) addPending(s *Snapshot) {
	r.versions.latest = *s
	r.versions.pending = append(r.versions.pending, pendingVersion{s, r.Clock.Now().Add(ackTimeout)})
	r.lastErr, r.alarm = nil, "" // a higher version ends both alarms
	r.storeSnapshot(s.Tables)
}

// checkDigest checks a version that is not new. A different digest for a version
// known here raises the alarm Diverged.
func (r *Replica) checkDigest(version uint64, digest []byte) error {
	known := r.digestOf(version)
	if known == nil || bytes.Equal(known, digest) {
		return nil
	}
	err := therror.New(therror.Diverged, "version %d has digest %x here and %x elsewhere", version, known, digest)
	r.raiseAlarm(therror.Diverged, err)
	return err
}

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

// acknowledge applies the pending versions up to one that another daemon knows.
func (r *Replica) acknowledge(version uint64) {
	r.apply(func(p pendingVersion) bool { return p.snapshot.Tables.Version <= version })
}

// applyDue applies the pending versions that nobody has acknowledged in time.
func (r *Replica) applyDue(now time.Time) {
	r.apply(func(p pendingVersion) bool { return !now.Before(p.due) })
}

// hasDue reports whether a version at or above the floor may take effect.
func (r *Replica) hasDue(now time.Time, floor uint64) bool {
	for _, p := range r.versions.pending {
		if p.snapshot.Tables.Version >= floor && !now.Before(p.due) {
			return true
		}
	}
	return false
}

// apply puts the highest pending version that qualifies in effect. Pending
// versions only rise, and only the loop swaps the pointer, so the version in
// effect never falls.
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
		// The gate applies them; what has been acknowledged is due at once.
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
