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
	pollersPerZone      = 3 // daemons of a zone that poll the platform
	pollInterval        = 250 * time.Millisecond
	maxPollInterval     = 2 * time.Second // upper limit of the interval while reads fail
	readTimeout         = 2 * time.Second // timeout of one read of the platform
	minFullReadInterval = 2 * time.Second // minimum interval between full reads
	startupReadInterval = time.Second     // interval between reads of a daemon that is not ready
	// alarmReadInterval is the interval between the reads with which a daemon that
	// does not poll confirms an alarm. With it, the reads of 680 daemons stay below a
	// tenth of the platform's.
	alarmReadInterval = 5 * time.Second
	maxChangesPerRead = 64 // for a longer gap the complete tables are read
)

// poller is the state of reads of the platform. At most one read is in progress.
type poller struct {
	active       bool           // this daemon polls for its zone
	view         *thmember.View // view from which active was computed
	nextRead     time.Time
	reading      bool      // a read is in progress
	readOnce     bool      // read the head once even if this daemon does not poll
	needFull     bool      // the complete tables have to be read
	nextFullRead time.Time // no full read before
	failures     int       // consecutive failed reads
	sharing      headSharing
}

// zonePollers returns the names of the members that poll the platform for a zone:
// its first pollersPerZone live members in rendezvous order.
func zonePollers(v *thmember.View, zone string) []string {
	members := make([]thwire.Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Zone == zone && (m.State == thwire.MemberAlive || m.State == thwire.MemberSuspect) {
			members = append(members, m)
		}
	}
	names := make([]string, 0, pollersPerZone)
	for _, m := range thmember.Rendezvous("poll/"+zone, members, pollersPerZone) {
		names = append(names, m.Name)
	}
	return names
}

// isPoller reports whether this daemon polls the platform for its zone. The result
// is cached for each membership view.
func (r *Replica) isPoller() bool {
	p := &r.poller
	view := r.Peers.View()
	if view == p.view {
		return p.active
	}
	p.view, p.active = view, false
	self := r.Peers.Self()
	if view == nil {
		return false
	}
	p.sharing.observeMembers(len(view.Members), r.Clock.Now())
	p.sharing.pollers = p.sharing.pollers[:0]
	for _, name := range zonePollers(view, self.Zone) {
		if name == self.Name {
			p.active = true
			continue
		}
		p.sharing.pollers = append(p.sharing.pollers, name)
	}
	return p.active
}

// poll starts a read of the head or of the complete tables if one is due.
func (r *Replica) poll(now time.Time) {
	p := &r.poller
	active := r.isPoller()
	if p.reading || now.Before(p.nextRead) {
		return
	}
	if p.needFull && !now.Before(p.nextFullRead) {
		r.readFull(now)
		return
	}
	if !p.readOnce && !r.mayReadHead(now, active) {
		return
	}
	wait := pollInterval
	switch {
	case !active && r.ready.Load():
		wait = alarmReadInterval
	case !r.ready.Load():
		wait = startupReadInterval
	}
	p.readOnce = false
	p.nextRead = now.Add(r.jitter(wait))
	p.reading = true
	waiting := p.sharing.takeWaiting()
	highest := max(r.versions.latest.Tables.Version, r.fleetHighest())
	r.startTimedRead(func(ctx context.Context) func() {
		head, err := r.Platform.Head(ctx)
		return func() {
			r.sendHead(waiting, head, err)
			r.onHead(head, highest, err)
		}
	})
}

// jitter returns d varied at random by up to 10% in either direction.
func (r *Replica) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(r.random.Int64N(int64(d)/5+1))
}

// startTimedRead runs f, one read of the platform, with readTimeout outside the
// loop, and the function that f returns in the loop.
func (r *Replica) startTimedRead(f func(context.Context) func()) {
	r.startRead(func() {
		ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
		defer cancel()
		result := f(ctx)
		r.post(func() {
			r.poller.reading = false
			result()
		})
	})
}

// readFailed records a failed read and delays the next one with exponential
// backoff up to maxPollInterval.
func (r *Replica) readFailed(err error) {
	p := &r.poller
	p.failures++
	r.gate.platformDown = true
	r.recordError(therror.Wrap(therror.KindOf(err), err, "read the platform"))
	p.nextRead = r.Clock.Now().Add(r.jitter(min(maxPollInterval, pollInterval<<min(p.failures, 4))))
}

// isInvalid reports whether a read returned content that is not a valid version,
// as opposed to a failed read.
func isInvalid(err error) bool {
	return therror.Is(err, therror.Refused) || therror.Is(err, therror.Diverged)
}

// readSucceeded clears the error of failed reads. The error of an invalid version
// stays until a valid version has been read.
func (r *Replica) readSucceeded() {
	p := &r.poller
	if p.failures > 0 && !p.needFull {
		r.lastErr = nil
	}
	p.failures = 0
	r.gate.platformDown = false
}

// onHead processes the result of a read of the head. highest is the highest version
// of this daemon or the fleet when the read started, so that a version that arrives
// during the read does not raise the alarm Older.
func (r *Replica) onHead(head thstore.Head, highest uint64, err error) {
	if err != nil {
		r.readFailed(err)
		return
	}
	r.readSucceeded()
	r.gate.setHead(head.Version)
	if head.Version < highest {
		r.raiseAlarm(therror.Older, therror.New(therror.Older, "the platform has version %d, the fleet has %d", head.Version, highest))
		r.poller.readOnce = false // the head has just been read
		return
	}
	latest := r.versions.latest.Tables.Version
	switch {
	case head.Version > latest && (latest == 0 || r.poller.needFull):
		r.alarm = ""
		if now := r.Clock.Now(); !now.Before(r.poller.nextFullRead) {
			r.readFull(now)
		}
	case head.Version > latest:
		r.alarm = ""
		r.readChanges(latest, head)
	case head.Version == latest && !bytes.Equal(head.Digest, r.versions.latest.Digest) && latest > 0:
		_ = r.checkDigest(head.Version, head.Digest)
		r.poller.readOnce = false
	case head.Version == latest:
		r.clearAlarm()
	}
}

// clearAlarm clears the alarm. The caller has found that the platform has the
// latest version of this daemon.
func (r *Replica) clearAlarm() {
	r.poller.needFull = false
	if r.alarm != "" {
		r.Log.Info("configuration alarm ended", "alarm", string(r.alarm))
		r.alarm, r.lastErr = "", nil
	}
}

// readChanges reads the changes after a version, up to maxChangesPerRead.
func (r *Replica) readChanges(after uint64, head thstore.Head) {
	r.poller.reading = true
	r.startTimedRead(func(ctx context.Context) func() {
		changes, err := r.Platform.Changes(ctx, after, maxChangesPerRead)
		return func() { r.onChanges(changes, head, err) }
	})
}

func (r *Replica) onChanges(changes []thconfig.Change, head thstore.Head, err error) {
	if isInvalid(err) {
		// The complete tables may be valid. A change that cannot be decoded must
		// not block later versions.
		r.recordError(err)
		r.poller.needFull = true
		return
	}
	if err != nil {
		r.readFailed(err)
		return
	}
	r.readSucceeded()
	for _, c := range changes {
		if c.Version <= r.versions.latest.Tables.Version {
			continue // received from a peer meanwhile
		}
		if err := r.advance(c); err != nil {
			r.recordError(err)
			break
		}
		r.announce(c, "")
	}
	if r.versions.latest.Tables.Version < head.Version {
		r.poller.needFull = true
		r.readFull(r.Clock.Now())
	}
}

// readFull reads the complete tables. It is used at startup, after an invalid
// change and when more than maxChangesPerRead changes are missing.
func (r *Replica) readFull(now time.Time) {
	p := &r.poller
	p.reading, p.needFull = true, true
	p.nextFullRead = now.Add(r.jitter(minFullReadInterval))
	first := r.versions.latest.Tables.Version == 0
	r.startTimedRead(func(ctx context.Context) func() {
		read := r.Platform.Load
		if first {
			read = r.Platform.Restore
		}
		t, digest, err := read(ctx)
		return func() { r.onFull(t, digest, err) }
	})
}

func (r *Replica) onFull(t thconfig.Tables, digest []byte, err error) {
	if !r.poller.active && r.ready.Load() {
		// Without this, all daemons would repeat the full read. A later message of
		// a peer requests it again if it is still needed.
		r.poller.needFull = false
	}
	if isInvalid(err) {
		r.recordError(err)
		return
	}
	if err != nil {
		r.readFailed(err)
		return
	}
	r.readSucceeded()
	before := r.versions.latest.Tables.Version
	if err := r.replace(t, digest); err != nil {
		r.recordError(err) // the next read is due after minFullReadInterval
		return
	}
	r.poller.needFull = false
	if r.versions.latest.Tables.Version > before {
		r.Peers.SendAll(thwire.TypeKnownVersion, r.knownMessage(), "")
	}
}

// storeSnapshot writes the snapshot object of a version divisible by
// snapshotInterval, in case the committing command has not written it. The first
// live member in rendezvous order does it for the fleet.
func (r *Replica) storeSnapshot(t thconfig.Tables) {
	view := r.Peers.View()
	if t.Version%snapshotInterval != 0 || view == nil {
		return
	}
	first := thmember.Rendezvous("snapshot", view.Alive(), 1)
	if len(first) == 0 || first[0].Name != r.Peers.Self().Name {
		return
	}
	r.startRead(func() {
		ctx, cancel := context.WithTimeout(r.ctx, 5*readTimeout)
		defer cancel()
		if err := r.Platform.PutSnapshot(ctx, t); err != nil {
			r.Log.Warn("snapshot object not written", "version", t.Version, "error", err)
		}
	})
}
