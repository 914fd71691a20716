package thsync

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// maxPart bounds the encoded entries of one Delta or Batch, below
	// thwire.MaxFrame with room for the envelope.
	maxPart     = 512 << 10
	fetchWait   = 300 * time.Millisecond // before a second request for the same gap
	gossipEvery = time.Second
)

// repair is the state of requests to peers.
type repair struct {
	fetchAt  time.Time // no further request before
	gossipAt time.Time
	parts    thconfig.Tables // tables that arrive in several batches
	from     string          // their sender
}

// decode decodes a payload and hands the message to the loop.
func (h *Replica) decode(from string, payload []byte, m thwire.Message, f func()) {
	if err := thwire.Decode(payload, m); err != nil {
		h.Log.Warn("malformed message", "peer", from, "error", err)
		return
	}
	h.post(f)
}

func (h *Replica) handleDelta(from string, payload []byte) {
	var m thwire.Delta
	h.decode(from, payload, &m, func() { h.onDelta(from, m.Change) })
}

func (h *Replica) handleKnown(from string, payload []byte) {
	var m thwire.Known
	h.decode(from, payload, &m, func() { h.onKnown(from, m) })
}

func (h *Replica) handleFetch(from string, payload []byte) {
	var m thwire.Fetch
	h.decode(from, payload, &m, func() { h.onFetch(from, m.From) })
}

func (h *Replica) handleBatch(from string, payload []byte) {
	var m thwire.Batch
	h.decode(from, payload, &m, func() { h.onBatch(from, m) })
}

func (h *Replica) send(to string, t thwire.Type, m thwire.Message) {
	if err := h.Peers.Send(to, t, m); err != nil {
		h.Log.Debug("message not sent", "peer", to, "error", err)
	}
}

func (h *Replica) known() *thwire.Known {
	return &thwire.Known{Version: h.versions.latest.Tables.Version, Digest: h.versions.latest.Digest}
}

// announce tells the neighbours of a change. One too large for a frame is
// announced by its version; the receivers fetch the tables in parts.
func (h *Replica) announce(c thconfig.Change, except string) {
	if c.Msgsize() > maxPart {
		h.Peers.SendAll(thwire.TypeKnown, h.known(), except)
		return
	}
	h.Peers.SendAll(thwire.TypeDelta, &thwire.Delta{Change: c}, except)
}

func (h *Replica) onDelta(from string, c thconfig.Change) {
	latest := h.versions.latest.Tables.Version
	switch {
	case c.Version <= latest:
		if h.compare(c.Version, c.Digest) == nil {
			// The sender knows this version, which counts as an acknowledgement.
			if h.digestOf(c.Version) != nil {
				h.acknowledge(c.Version)
			}
			h.send(from, thwire.TypeKnown, h.known())
		}
	case c.Base != latest:
		h.fetch(from)
	default:
		if err := h.advance(c); err != nil {
			h.fail(err)
			h.fetch(from)
			return
		}
		h.acknowledge(c.Version) // the sender knows it
		h.send(from, thwire.TypeKnown, h.known())
		h.announce(c, from)
	}
}

// Offer takes a committed change from the command that committed it, so that it
// takes effect even when the platform fails right after the commit. A change
// that does not follow the latest version here makes the holder read the head.
func (h *Replica) Offer(c thconfig.Change) {
	h.post(func() {
		if c.Base != h.versions.latest.Tables.Version || c.Base == 0 {
			h.Poke()
			return
		}
		if err := h.advance(c); err != nil {
			h.fail(err)
			h.Poke()
			return
		}
		h.announce(c, "")
	})
}

func (h *Replica) onKnown(from string, k thwire.Known) {
	latest := h.versions.latest.Tables.Version
	h.gate.answer(from, k.Version, k.Digest)
	switch {
	case k.Version > latest:
		h.fetch(from)
	case k.Version < latest:
		h.send(from, thwire.TypeKnown, h.known())
		fallthrough
	default:
		if h.compare(k.Version, k.Digest) == nil && h.digestOf(k.Version) != nil {
			h.acknowledge(k.Version)
		}
	}
}

// fetch asks a peer for what is missing here.
func (h *Replica) fetch(from string) {
	now := h.Clock.Now()
	if now.Before(h.repair.fetchAt) {
		return
	}
	h.repair.fetchAt = now.Add(fetchWait)
	h.repair.parts, h.repair.from = thconfig.Tables{}, "" // a corrupted part does not stay
	h.send(from, thwire.TypeFetch, &thwire.Fetch{From: h.versions.latest.Tables.Version})
}

func (h *Replica) onFetch(from string, after uint64) {
	v := &h.versions
	h.send(from, thwire.TypeKnown, h.known())
	if after >= v.latest.Tables.Version {
		return
	}
	for i, c := range v.kept {
		if c.Base != after {
			continue
		}
		b, size := &thwire.Batch{}, 0
		for _, c := range v.kept[i:] {
			size += c.Msgsize()
			if size > maxPart {
				break // the receiver asks again from where the batch ends
			}
			b.Changes = append(b.Changes, c)
		}
		if len(b.Changes) > 0 {
			h.send(from, thwire.TypeBatch, b)
			return
		}
	}
	for _, b := range parts(v.latest) {
		h.send(from, thwire.TypeBatch, b)
	}
}

// parts cuts tables into batches below the frame limit. Each carries the
// version and digest of the whole; the receiver joins them.
func parts(s Snapshot) []*thwire.Batch {
	var all []*thwire.Batch
	var t *thconfig.Tables
	size := maxPart
	add := func(bytes int) {
		if size += bytes; size > maxPart {
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

// join adds one part to the tables that arrive and returns what has arrived.
// Joining the same part twice changes nothing.
func (r *repair) join(from string, part thconfig.Tables) (thconfig.Tables, error) {
	if r.from != from || r.parts.Version != part.Version {
		r.from, r.parts = from, thconfig.Tables{Version: part.Version}
	}
	t, err := thconfig.Apply(r.parts, edits(part))
	if err != nil {
		return t, err
	}
	t.Version = part.Version
	r.parts = t
	return t, nil
}

func edits(t thconfig.Tables) []thconfig.Edit {
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

func (h *Replica) onBatch(from string, b thwire.Batch) {
	before := h.versions.latest.Tables.Version
	if b.Tables != nil {
		h.takeTables(from, *b.Tables, b.Digest)
	}
	for _, c := range b.Changes {
		if c.Version <= h.versions.latest.Tables.Version {
			continue
		}
		if err := h.advance(c); err != nil {
			h.fail(err)
			h.poller.full = true
			break
		}
	}
	latest := h.versions.latest.Tables.Version
	if latest == before {
		return
	}
	h.repair.fetchAt = time.Time{} // a longer gap is fetched at once
	h.acknowledge(latest)
	h.Peers.SendAll(thwire.TypeKnown, h.known(), "")
	h.repair.parts, h.repair.from = thconfig.Tables{}, ""
}

func (h *Replica) takeTables(from string, part thconfig.Tables, digest []byte) {
	if part.Version <= h.versions.latest.Tables.Version {
		_ = h.compare(part.Version, digest)
		return
	}
	t, err := h.repair.join(from, part)
	if err != nil {
		h.fail(err)
		return
	}
	if string(thconfig.Digest(t)) != string(digest) {
		return // further parts follow, or a lost one is fetched again
	}
	if err := h.replace(t, digest); err != nil {
		h.fail(err)
		h.repair.parts, h.repair.from = thconfig.Tables{}, ""
		if !therror.Is(err, therror.Diverged) {
			h.poller.full = true
		}
	}
}

// gossip tells one random neighbour the version known here; whoever is behind fetches.
func (h *Replica) gossip(now time.Time) {
	if now.Before(h.repair.gossipAt) {
		return
	}
	h.repair.gossipAt = now.Add(gossipEvery/2 + time.Duration(h.random.Int64N(int64(gossipEvery))))
	if names := h.Peers.Neighbours(); len(names) > 0 {
		h.send(names[h.random.IntN(len(names))], thwire.TypeKnown, h.known())
	}
}
