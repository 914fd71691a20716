package thsync

import (
	"bytes"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/throute"
)

const (
	maxKept      = 256     // changes kept for peers with a gap
	maxKeptBytes = 4 << 20 // their encoded size
	ackWait      = 300 * time.Millisecond
	// snapshotEvery matches the versions for which a commit writes an object.
	snapshotEvery = 16
)

// versions is the chain of versions known here. latest is known and validated;
// the versions in pending are not yet in effect.
type versions struct {
	latest  Snapshot
	pending []pending
	kept    []thconfig.Change // a chain that ends at latest
	bytes   int               // of kept
}

type pending struct {
	snapshot *Snapshot
	due      time.Time // when it takes effect without acknowledgement
}

// advance validates a change on top of the latest version. On an error nothing
// has changed.
func (h *Holder) advance(c thconfig.Change) error {
	v := &h.versions
	t, err := thconfig.ApplyChange(v.latest.Tables, c)
	if err != nil {
		return err
	}
	r, err := throute.Compile(t)
	if err != nil {
		return err
	}
	v.kept = append(v.kept, c)
	v.bytes += c.Msgsize()
	for len(v.kept) > 0 && (len(v.kept) > maxKept || v.bytes > maxKeptBytes) {
		v.bytes -= v.kept[0].Msgsize()
		v.kept[0] = thconfig.Change{}
		v.kept = v.kept[1:]
	}
	h.admit(&Snapshot{Tables: t, Digest: c.Digest, Router: r})
	return nil
}

// replace validates complete tables with a higher version than the latest. On
// an error nothing has changed.
func (h *Holder) replace(t thconfig.Tables, digest []byte) error {
	if t.Version <= h.versions.latest.Tables.Version {
		return h.compare(t.Version, digest)
	}
	if d := thconfig.Digest(t); !bytes.Equal(d, digest) {
		return therror.New(therror.Refused, "tables of version %d: digest is %x, expected %x", t.Version, d[:4], digest)
	}
	if err := thconfig.Validate(t); err != nil {
		return err
	}
	r, err := throute.Compile(t)
	if err != nil {
		return err
	}
	h.versions.kept, h.versions.bytes = nil, 0
	h.admit(&Snapshot{Tables: t, Digest: digest, Router: r})
	return nil
}

func (h *Holder) admit(s *Snapshot) {
	h.versions.latest = *s
	h.versions.pending = append(h.versions.pending, pending{s, h.Clock.Now().Add(ackWait)})
	h.lastErr, h.alarm = nil, "" // a higher version ends both alarms
	h.store(s.Tables)
}

// compare checks a version that is not new. A different digest for a version
// known here raises the alarm Diverged.
func (h *Holder) compare(version uint64, digest []byte) error {
	known := h.digestOf(version)
	if known == nil || bytes.Equal(known, digest) {
		return nil
	}
	err := therror.New(therror.Diverged, "version %d has digest %x here and %x elsewhere", version, known, digest)
	h.raise(therror.Diverged, err)
	return err
}

func (h *Holder) digestOf(version uint64) []byte {
	if version == h.versions.latest.Tables.Version {
		return h.versions.latest.Digest
	}
	for _, c := range h.versions.kept {
		if c.Version == version {
			return c.Digest
		}
	}
	return nil
}

// acknowledge applies the pending versions up to one that another daemon knows.
func (h *Holder) acknowledge(version uint64) {
	h.apply(func(p pending) bool { return p.snapshot.Tables.Version <= version })
}

// applyDue applies the pending versions that nobody has acknowledged in time.
func (h *Holder) applyDue(now time.Time) {
	h.apply(func(p pending) bool { return !now.Before(p.due) })
}

// due reports whether a version at or above the floor may take effect.
func (h *Holder) due(now time.Time, floor uint64) bool {
	for _, p := range h.versions.pending {
		if p.snapshot.Tables.Version >= floor && !now.Before(p.due) {
			return true
		}
	}
	return false
}

// apply puts the highest pending version that qualifies in effect. Pending
// versions only rise, and only the loop swaps the pointer, so the version in
// effect never falls.
func (h *Holder) apply(qualifies func(pending) bool) {
	last := -1
	for i, p := range h.versions.pending {
		if qualifies(p) {
			last = i
		}
	}
	if last < 0 {
		return
	}
	if !h.gate.passed {
		// The gate applies them; what has been acknowledged is due at once.
		for i := range last + 1 {
			h.versions.pending[i].due = time.Time{}
		}
		return
	}
	s := h.versions.pending[last].snapshot
	h.versions.pending = append([]pending(nil), h.versions.pending[last+1:]...)
	if c := h.current.Load(); c != nil && c.Tables.Version >= s.Tables.Version {
		return
	}
	for _, f := range h.preparers {
		f(s)
	}
	h.current.Store(s)
	h.Log.Info("configuration in effect", "version", s.Tables.Version)
	h.Peers.SetHeld(s.Tables.Version, s.Digest)
	for _, f := range h.watchers {
		f(s)
	}
}
