package thsync

import (
	"bytes"
	"context"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	pollers    = 3 // daemons of a zone that poll
	pollEvery  = 250 * time.Millisecond
	pollMax    = 2 * time.Second // interval while the platform fails
	readLimit  = 2 * time.Second // limit of one read of the platform
	fullEvery  = 2 * time.Second // least time between full reads after a failure
	startEvery = time.Second     // interval of daemons that start
	// alarmEvery is the interval at which a daemon that does not poll confirms
	// an alarm: 680 daemons stay below a tenth of the platform's reads.
	alarmEvery = 5 * time.Second
	changePage = 64 // changes read at once; a longer gap is read in full
)

// poller is the state of the reads of the platform. At most one is in progress.
type poller struct {
	duty   bool
	view   *thmember.View // that duty was computed from
	next   time.Time
	busy   bool
	poked  bool      // read once although not on duty
	full   bool      // read the complete tables
	fullAt time.Time // not before
	errors int       // failed reads in a row
	share  share
}

// readers returns the names of the members that read the platform for a zone:
// its first live ones in rendezvous order.
func readers(v *thmember.View, zone string) []string {
	members := make([]thwire.Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Zone == zone && (m.State == thwire.MemberAlive || m.State == thwire.MemberSuspect) {
			members = append(members, m)
		}
	}
	names := make([]string, 0, pollers)
	for _, m := range thmember.Rendezvous("poll/"+zone, members, pollers) {
		names = append(names, m.Name)
	}
	return names
}

// onDuty reports whether this daemon is among the first live members of its
// zone in rendezvous order. It is computed once for each view.
func (h *Replica) onDuty() bool {
	p := &h.poller
	view := h.Peers.View()
	if view == p.view {
		return p.duty
	}
	p.view, p.duty = view, false
	self := h.Peers.Self()
	if view == nil {
		return false
	}
	p.share.grow(len(view.Members), h.Clock.Now())
	p.share.readers = p.share.readers[:0]
	for _, name := range readers(view, self.Zone) {
		if name == self.Name {
			p.duty = true
			continue
		}
		p.share.readers = append(p.share.readers, name)
	}
	return p.duty
}

// poll starts a read when one is due.
func (h *Replica) poll(now time.Time) {
	p := &h.poller
	duty := h.onDuty()
	if p.busy || now.Before(p.next) {
		return
	}
	if p.full && !now.Before(p.fullAt) {
		h.readFull(now)
		return
	}
	if !p.poked && !h.mayRead(now, duty) {
		return
	}
	wait := pollEvery
	switch {
	case !duty && h.ready.Load():
		wait = alarmEvery
	case !h.ready.Load():
		wait = startEvery
	}
	p.poked = false
	p.next = now.Add(h.jitter(wait))
	p.busy = true
	askers := p.share.take()
	highest := max(h.versions.latest.Tables.Version, h.fleetHighest())
	h.read(func(ctx context.Context) func() {
		head, err := h.Platform.Head(ctx)
		return func() {
			h.tell(askers, head, err)
			h.onHead(head, highest, err)
		}
	})
}

// jitter spreads an interval by a tenth to both sides.
func (h *Replica) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(h.random.Int64N(int64(d)/5+1))
}

// read runs one read of the platform outside the loop and its result in it.
func (h *Replica) read(f func(context.Context) func()) {
	h.run(func() {
		ctx, cancel := context.WithTimeout(h.ctx, readLimit)
		defer cancel()
		result := f(ctx)
		h.post(func() {
			h.poller.busy = false
			result()
		})
	})
}

// failed records a failed read and backs off.
func (h *Replica) failed(err error) {
	p := &h.poller
	p.errors++
	h.gate.down = true
	h.fail(therror.Wrap(therror.KindOf(err), err, "read the platform"))
	p.next = h.Clock.Now().Add(h.jitter(min(pollMax, pollEvery<<min(p.errors, 4))))
}

// invalid reports whether the platform answered with content that is no valid
// version, in contrast to a failed read.
func invalid(err error) bool {
	return therror.Is(err, therror.Refused) || therror.Is(err, therror.Diverged)
}

// succeeded ends the error of failed reads; that of an invalid version stays
// until a valid one has been read.
func (h *Replica) succeeded() {
	p := &h.poller
	if p.errors > 0 && !p.full {
		h.lastErr = nil
	}
	p.errors = 0
	h.gate.down = false
}

// onHead takes a head; highest is the version known here, or to the fleet, when
// the read began: versions that arrive during the read are no alarm.
func (h *Replica) onHead(head thstore.Head, highest uint64, err error) {
	if err != nil {
		h.failed(err)
		return
	}
	h.succeeded()
	h.gate.head(head.Version)
	if head.Version < highest {
		h.raise(therror.Older, therror.New(therror.Older, "the platform has version %d, the fleet has %d", head.Version, highest))
		h.poller.poked = false // the head has just been read
		return
	}
	latest := h.versions.latest.Tables.Version
	switch {
	case head.Version > latest && (latest == 0 || h.poller.full):
		h.alarm = ""
		if now := h.Clock.Now(); !now.Before(h.poller.fullAt) {
			h.readFull(now)
		}
	case head.Version > latest:
		h.alarm = ""
		h.readChanges(latest, head)
	case head.Version == latest && !bytes.Equal(head.Digest, h.versions.latest.Digest) && latest > 0:
		_ = h.compare(head.Version, head.Digest)
		h.poller.poked = false
	case head.Version == latest:
		h.clear()
	}
}

// clear ends an alarm after the platform and this daemon agree.
func (h *Replica) clear() {
	h.poller.full = false
	if h.alarm != "" {
		h.Log.Info("configuration alarm ended", "alarm", string(h.alarm))
		h.alarm, h.lastErr = "", nil
	}
}

func (h *Replica) readChanges(after uint64, head thstore.Head) {
	h.poller.busy = true
	h.read(func(ctx context.Context) func() {
		changes, err := h.Platform.Changes(ctx, after, changePage)
		return func() { h.onChanges(changes, head, err) }
	})
}

func (h *Replica) onChanges(changes []thconfig.Change, head thstore.Head, err error) {
	if invalid(err) {
		// The tables may be valid: one change that cannot be decoded must not
		// block the versions after it.
		h.fail(err)
		h.poller.full = true
		return
	}
	if err != nil {
		h.failed(err)
		return
	}
	h.succeeded()
	for _, c := range changes {
		if c.Version <= h.versions.latest.Tables.Version {
			continue // arrived from a peer meanwhile
		}
		if err := h.advance(c); err != nil {
			h.fail(err)
			break
		}
		h.announce(c, "")
	}
	if h.versions.latest.Tables.Version < head.Version {
		h.poller.full = true
		h.readFull(h.Clock.Now())
	}
}

// readFull reads the complete tables: at the start, after an invalid change
// and for a long gap.
func (h *Replica) readFull(now time.Time) {
	p := &h.poller
	p.busy, p.full = true, true
	p.fullAt = now.Add(h.jitter(fullEvery))
	first := h.versions.latest.Tables.Version == 0
	h.read(func(ctx context.Context) func() {
		read := h.Platform.Load
		if first {
			read = h.Platform.Restore
		}
		t, digest, err := read(ctx)
		return func() { h.onFull(t, digest, err) }
	})
}

func (h *Replica) onFull(t thconfig.Tables, digest []byte, err error) {
	if !h.poller.duty && h.ready.Load() {
		// A peer's next message starts another read where it is still needed;
		// without this, all daemons would read again and again.
		h.poller.full = false
	}
	if invalid(err) {
		h.fail(err)
		return
	}
	if err != nil {
		h.failed(err)
		return
	}
	h.succeeded()
	before := h.versions.latest.Tables.Version
	if err := h.replace(t, digest); err != nil {
		h.fail(err) // the next read is due after fullEvery
		return
	}
	h.poller.full = false
	if h.versions.latest.Tables.Version > before {
		h.Peers.SendAll(thwire.TypeKnown, h.known(), "")
	}
}

// store writes the snapshot object of a version divisible by snapshotEvery, in
// case that the committing command has not. One daemon of the fleet does it.
func (h *Replica) store(t thconfig.Tables) {
	view := h.Peers.View()
	if t.Version%snapshotEvery != 0 || view == nil {
		return
	}
	first := thmember.Rendezvous("snapshot", view.Alive(), 1)
	if len(first) == 0 || first[0].Name != h.Peers.Self().Name {
		return
	}
	h.run(func() {
		ctx, cancel := context.WithTimeout(h.ctx, 5*readLimit)
		defer cancel()
		if err := h.Platform.PutSnapshot(ctx, t); err != nil {
			h.Log.Warn("snapshot object not written", "version", t.Version, "error", err)
		}
	})
}
