package thsync

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// maxBatchBytes limits the encoded size of the entries of one Delta or Batch. It
	// is below thwire.MaxFrame to leave room for the envelope.
	maxBatchBytes = 512 << 10
	// maxReceivedBytes limits the encoded size of tables that arrive in several batches. It is
	// several times that of 16,384 routes, the most that Decode accepts.
	maxReceivedBytes = 16 << 20
	minFetchInterval = 300 * time.Millisecond // minimum interval between requests for missed changes
	gossipInterval   = time.Second
)

// repair is the state of requests to peers for missed changes.
type repair struct {
	nextFetch   time.Time // no request before
	nextGossip  time.Time
	partial     thconfig.Tables // tables received so far, when they arrive in several batches
	partialFrom string          // sender of partial
}

// decode decodes a payload into m and queues f for the loop. A malformed message is
// logged and dropped.
func (r *Replica) decode(from string, payload []byte, m thwire.Message, f func()) {
	if err := thwire.Decode(payload, m); err != nil {
		r.Log.Warn("malformed message", "peer", from, "error", err)
		return
	}
	r.post(f)
}

func (r *Replica) handleDelta(from string, payload []byte) {
	var m thwire.Delta
	r.decode(from, payload, &m, func() { r.onDelta(from, m.Change) })
}

func (r *Replica) handleKnown(from string, payload []byte) {
	var m thwire.KnownVersion
	r.decode(from, payload, &m, func() { r.onKnown(from, m) })
}

func (r *Replica) handleFetch(from string, payload []byte) {
	var m thwire.Fetch
	r.decode(from, payload, &m, func() { r.onFetch(from, m.From) })
}

func (r *Replica) handleBatch(from string, payload []byte) {
	var m thwire.Batch
	r.decode(from, payload, &m, func() { r.onBatch(from, m) })
}

func (r *Replica) send(to string, t thwire.Type, m thwire.Message) {
	if err := r.Peers.Send(to, t, m); err != nil {
		r.Log.Debug("message not sent", "peer", to, "error", err)
	}
}

func (r *Replica) knownMessage() *thwire.KnownVersion {
	return &thwire.KnownVersion{Version: r.versions.latest.Tables.Version, Digest: r.versions.latest.Digest}
}

// announce sends a change to all neighbours but one. For a change too large for a
// frame it sends only the version, and the receivers fetch the tables in parts.
func (r *Replica) announce(c thconfig.Change, except string) {
	if c.Msgsize() > maxBatchBytes {
		r.Peers.SendAll(thwire.TypeKnownVersion, r.knownMessage(), except)
		return
	}
	r.Peers.SendAll(thwire.TypeDelta, &thwire.Delta{Change: c}, except)
}

func (r *Replica) onDelta(from string, c thconfig.Change) {
	latest := r.versions.latest.Tables.Version
	switch {
	case c.Version <= latest:
		if r.checkDigest(c.Version, c.Digest) == nil {
			// The sender has this version, which counts as an acknowledgement.
			if r.digestOf(c.Version) != nil {
				r.acknowledge(c.Version)
			}
			r.send(from, thwire.TypeKnownVersion, r.knownMessage())
		}
	case c.Base != latest:
		r.fetch(from)
	default:
		if err := r.advance(c); err != nil {
			r.recordError(err)
			r.fetch(from)
			return
		}
		r.acknowledge(c.Version) // the sender has this version
		r.send(from, thwire.TypeKnownVersion, r.knownMessage())
		r.announce(c, from)
	}
}

// Offer passes a committed change to the replica, so that it takes effect even if
// the platform fails right after the commit. The command that committed the change
// calls it. A change that is invalid or does not follow the latest version of this
// daemon triggers a read of the head.
func (r *Replica) Offer(c thconfig.Change) {
	r.post(func() {
		if c.Base != r.versions.latest.Tables.Version || c.Base == 0 {
			r.Poke()
			return
		}
		if err := r.advance(c); err != nil {
			r.recordError(err)
			r.Poke()
			return
		}
		r.announce(c, "")
	})
}

func (r *Replica) onKnown(from string, k thwire.KnownVersion) {
	latest := r.versions.latest.Tables.Version
	r.gate.addReply(from, k.Version, k.Digest)
	switch {
	case k.Version > latest:
		r.fetch(from)
	case k.Version < latest:
		r.send(from, thwire.TypeKnownVersion, r.knownMessage())
		fallthrough
	default:
		if r.checkDigest(k.Version, k.Digest) == nil && r.digestOf(k.Version) != nil {
			r.acknowledge(k.Version)
		}
	}
}

// fetch requests the versions after the latest from a peer, at most once per
// minFetchInterval.
func (r *Replica) fetch(from string) {
	now := r.Clock.Now()
	if now.Before(r.repair.nextFetch) {
		return
	}
	r.repair.nextFetch = now.Add(minFetchInterval)
	r.repair.partial, r.repair.partialFrom = thconfig.Tables{}, "" // discard parts that may be corrupted
	r.send(from, thwire.TypeFetch, &thwire.Fetch{From: r.versions.latest.Tables.Version})
}

func (r *Replica) onFetch(from string, after uint64) {
	v := &r.versions
	r.send(from, thwire.TypeKnownVersion, r.knownMessage())
	if after >= v.latest.Tables.Version {
		return
	}
	for i, c := range v.changes {
		if c.Base != after {
			continue
		}
		b, size := &thwire.Batch{}, 0
		for _, c := range v.changes[i:] {
			size += c.Msgsize()
			if size > maxBatchBytes {
				break // the receiver requests the rest
			}
			b.Changes = append(b.Changes, c)
		}
		if len(b.Changes) > 0 {
			r.send(from, thwire.TypeBatch, b)
			return
		}
	}
	for _, b := range splitTables(v.latest) {
		r.send(from, thwire.TypeBatch, b)
	}
}

// splitTables splits tables into batches below the frame limit. Each batch has the
// version and digest of the complete tables; the receiver joins them.
func splitTables(s Snapshot) []*thwire.Batch {
	var all []*thwire.Batch
	var t *thconfig.Tables
	size := maxBatchBytes
	add := func(bytes int) {
		if size += bytes; size > maxBatchBytes {
			t, size = &thconfig.Tables{Version: s.Tables.Version}, bytes
			all = append(all, &thwire.Batch{Tables: t, Digest: s.Digest})
		}
	}
	add(1)
	for i := range s.Tables.Pools {
		add(s.Tables.Pools[i].Msgsize())
		t.Pools = append(t.Pools, s.Tables.Pools[i])
	}
	for i := range s.Tables.Routes {
		add(s.Tables.Routes[i].Msgsize())
		t.Routes = append(t.Routes, s.Tables.Routes[i])
	}
	for i := range s.Tables.Zones {
		add(s.Tables.Zones[i].Msgsize())
		t.Zones = append(t.Zones, s.Tables.Zones[i])
	}
	for i := range s.Tables.Moves {
		add(s.Tables.Moves[i].Msgsize())
		t.Moves = append(t.Moves, s.Tables.Moves[i])
	}
	return all
}

// join adds a part to the tables received from a peer and returns the tables so far.
// Adding the same part twice has no effect. A part from another sender or of another
// version discards the earlier ones.
func (r *repair) join(from string, part thconfig.Tables) (thconfig.Tables, error) {
	if r.partialFrom != from || r.partial.Version != part.Version {
		r.partialFrom, r.partial = from, thconfig.Tables{Version: part.Version}
	}
	t, err := thconfig.Apply(r.partial, setEdits(part))
	if err == nil && t.Msgsize() > maxReceivedBytes {
		err = therror.New(therror.Refused, "tables of more than %d bytes", maxReceivedBytes)
	}
	if err != nil {
		r.partial, r.partialFrom = thconfig.Tables{}, ""
		return t, err
	}
	t.Version = part.Version
	r.partial = t
	return t, nil
}

// setEdits returns the edits that add all entries of the tables.
func setEdits(t thconfig.Tables) []thconfig.Edit {
	all := make([]thconfig.Edit, 0, len(t.Pools)+len(t.Routes)+len(t.Zones)+len(t.Moves))
	for _, p := range t.Pools {
		all = append(all, thconfig.SetPool{Pool: p})
	}
	for _, r := range t.Routes {
		all = append(all, thconfig.SetRoute{Route: r})
	}
	for _, z := range t.Zones {
		all = append(all, thconfig.SetZone{Zone: z})
	}
	for _, m := range t.Moves {
		all = append(all, thconfig.SetMove{Move: m})
	}
	return all
}

func (r *Replica) onBatch(from string, b thwire.Batch) {
	before := r.versions.latest.Tables.Version
	if b.Tables != nil {
		r.receiveTables(from, *b.Tables, b.Digest)
	}
	for _, c := range b.Changes {
		if c.Version <= r.versions.latest.Tables.Version {
			continue
		}
		if err := r.advance(c); err != nil {
			r.recordError(err)
			r.poller.needFull = true
			break
		}
	}
	latest := r.versions.latest.Tables.Version
	if latest == before {
		return
	}
	r.repair.nextFetch = time.Time{} // further missed changes are requested immediately
	r.acknowledge(latest)
	r.Peers.SendAll(thwire.TypeKnownVersion, r.knownMessage(), "")
	r.repair.partial, r.repair.partialFrom = thconfig.Tables{}, ""
}

func (r *Replica) receiveTables(from string, part thconfig.Tables, digest []byte) {
	if part.Version <= r.versions.latest.Tables.Version {
		_ = r.checkDigest(part.Version, digest)
		return
	}
	t, err := r.repair.join(from, part)
	if err != nil {
		r.recordError(err)
		return
	}
	if string(thconfig.Digest(t)) != string(digest) {
		return // incomplete: further parts follow, or a later fetch replaces a lost one
	}
	if err := r.replace(t, digest); err != nil {
		r.recordError(err)
		r.repair.partial, r.repair.partialFrom = thconfig.Tables{}, ""
		if !therror.Is(err, therror.Diverged) {
			r.poller.needFull = true
		}
	}
}

// gossip sends the latest version to one random neighbour. The daemon with the
// lower version then fetches the missed changes.
func (r *Replica) gossip(now time.Time) {
	if now.Before(r.repair.nextGossip) {
		return
	}
	r.repair.nextGossip = now.Add(gossipInterval/2 + time.Duration(r.random.Int64N(int64(gossipInterval))))
	if names := r.Peers.Neighbours(); len(names) > 0 {
		r.send(names[r.random.IntN(len(names))], thwire.TypeKnownVersion, r.knownMessage())
	}
}
