package thsync

import (
	"slices"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// maxSteps is the number of swaps whose changed routes a Follower remembers. A
// daemon further behind gets all routes.
const maxSteps = 32

// maxShared is the size in bytes of the tables that a daemon sends to those of its
// zone, up to 20 of which ask at the same time. They take half a second on a link
// of 10 Mbit/s.
const maxShared = 32 << 10

// A question names the routes of the latest ownSteps swaps, fewer than maxNames.
const (
	ownSteps = 4
	maxNames = 100
)

// step holds what a swap of the tables changed.
type step struct {
	base, version uint64
	names         []string // of the routes
}

// steps are the latest swaps, oldest first. The zero value works.
type steps []step

func (s *steps) add(old, next thconfig.Tables) {
	if len(*s) == maxSteps {
		*s = slices.Delete(*s, 0, 1)
	}
	*s = append(*s, step{base: old.Version, version: next.Version, names: thconfig.ChangedRoutes(old, next)})
}

// since returns the names of the routes that may have changed since a version,
// false where that is not known. Daemons read the source at different times: the
// version may lie between those that were in effect here.
func (s steps) since(version uint64) ([]string, bool) {
	if len(s) == 0 || version < s[0].base {
		return nil, false
	}
	var names []string
	for _, p := range s {
		if p.version > version {
			names = append(names, p.names...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), true
}

// question asks for what is newer than the tables in effect.
func (f *Follower) question() *thwire.Fetch {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	own := f.version()
	q := &thwire.Fetch{From: own, Any: own == 0 || f.lost.Load()}
	if f.whole {
		q.From = 0
		return q
	}
	for i := len(f.steps) - 1; i >= max(0, len(f.steps)-ownSteps) && len(q.Routes)+len(f.steps[i].names) < maxNames; i-- {
		q.Routes = append(q.Routes, f.steps[i].names...)
	}
	return q
}

func (f *Follower) handleFetch(from string, payload []byte) {
	var m thwire.Fetch
	if err := thwire.Decode(payload, &m); err != nil {
		f.Log.Warn("malformed message", "peer", from, "error", err)
		return
	}
	f.mutex.Lock()
	s := f.current.Load()
	names, known := f.steps.since(m.From)
	f.mutex.Unlock()
	if s == nil || s.Tables.Version <= m.From {
		return
	}
	list := batches(s)
	if known {
		names = append(names, m.Routes...)
		slices.Sort(names)
		if b := changes(s, m.From, slices.Compact(names)); b.Msgsize() < maxPart {
			list = []*thwire.Batch{b}
		}
	}
	if !m.Any && (len(list) > 1 || list[0].Msgsize() > maxShared) {
		f.send(from, thwire.TypeKnownVersion, &thwire.KnownVersion{Version: s.Tables.Version, Digest: s.Digest})
		return
	}
	for _, b := range list {
		if !f.send(from, thwire.TypeBatch, b) {
			return
		}
	}
}

func (f *Follower) send(to string, t thwire.Type, m thwire.Message) bool {
	err := f.Peers.Send(to, t, m)
	if err != nil {
		f.Log.Debug("tables not sent", "peer", to, "error", err)
	}
	return err == nil
}

// handleKnown reads the source once: another daemon has newer tables that are too
// large to be sent to many.
func (f *Follower) handleKnown(from string, payload []byte) {
	var m thwire.KnownVersion
	if err := thwire.Decode(payload, &m); err != nil {
		f.Log.Warn("malformed message", "peer", from, "error", err)
		return
	}
	if m.Version > f.version() {
		f.once.Store(true)
		wake(f.called)
	}
}

// changes returns the tables with only those routes that have changed since a
// version.
func changes(s *Snapshot, base uint64, names []string) *thwire.Batch {
	t := s.Tables
	routes, gone := thconfig.SelectRoutes(t, names)
	t.Routes = routes
	return &thwire.Batch{Tables: &t, Digest: s.Digest, Base: base, Gone: gone}
}

// batches returns the tables in parts that fit a frame each. Each part has the
// version; the last one has the digest.
func batches(s *Snapshot) []*thwire.Batch {
	rest := s.Tables
	var list []*thwire.Batch
	for {
		part := rest
		part.Routes = nil
		size := part.Msgsize()
		n := 0
		for n < len(rest.Routes) && size < maxPart {
			size += rest.Routes[n].Msgsize()
			n++
		}
		part.Routes = rest.Routes[:n]
		rest = thconfig.Tables{Version: rest.Version, Routes: rest.Routes[n:]}
		list = append(list, &thwire.Batch{Tables: &part})
		if len(rest.Routes) == 0 {
			list[len(list)-1].Digest = s.Digest
			return list
		}
	}
}

func (f *Follower) handleBatch(from string, payload []byte) {
	var m thwire.Batch
	if err := thwire.Decode(payload, &m); err != nil || m.Tables == nil {
		f.Log.Warn("malformed message", "peer", from, "error", err)
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	t, complete := f.collect(from, &m)
	if !complete {
		return
	}
	if d := thconfig.Digest(t); string(d) != string(m.Digest) {
		f.whole = true
		f.Log.Warn("tables with a wrong digest", "peer", from, "version", t.Version, "base", m.Base)
		return
	}
	f.swap(t, from)
}

// collect returns the tables that a batch completes. The mutex is held.
func (f *Follower) collect(from string, m *thwire.Batch) (thconfig.Tables, bool) {
	if m.Base > 0 {
		s := f.current.Load()
		if s == nil || s.Tables.Version != m.Base {
			return thconfig.Tables{}, false // newer tables have arrived meanwhile
		}
		t := *m.Tables
		t.Routes = thconfig.ReplaceRoutes(s.Tables, t.Routes, m.Gone)
		return t, true
	}
	if from != f.from || f.parts.Version != m.Tables.Version {
		f.parts, f.from = *m.Tables, from
	} else {
		f.parts.Routes = append(f.parts.Routes, m.Tables.Routes...)
	}
	if len(m.Digest) == 0 { // further parts follow
		return thconfig.Tables{}, false
	}
	t := f.parts
	f.parts, f.from = thconfig.Tables{}, ""
	return t, true
}
