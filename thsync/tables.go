package thsync

import (
	"slices"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// maxSwapRecords is the number of swaps whose changed routes a Follower stores. A
// daemon that is further behind receives all routes.
const maxSwapRecords = 32

// maxSharedBytes is the maximum size of the tables that a daemon sends to a daemon
// that can read the source itself. Up to 20 daemons of its zone ask at the same
// time, and their replies take half a second on a 10 Mbit/s link.
const maxSharedBytes = 32 << 10

// A Fetch lists the routes changed by the latest maxFetchSwaps swaps, fewer than
// maxFetchRoutes names.
const (
	maxFetchSwaps  = 4
	maxFetchRoutes = 100
)

// swapRecord lists the routes that one swap of the tables changed.
type swapRecord struct {
	base, version uint64
	names         []string // of the changed routes
}

// swapRecords are the latest swaps, oldest first. The zero value is ready to use.
type swapRecords []swapRecord

func (s *swapRecords) add(old, next thconfig.Tables) {
	if len(*s) == maxSwapRecords {
		*s = slices.Delete(*s, 0, 1)
	}
	*s = append(*s, swapRecord{base: old.Version, version: next.Version, names: thconfig.ChangedRoutes(old, next)})
}

// changedSince returns the sorted names of the routes that may have changed since a
// version, or false if the records do not reach back to it. The version need not
// have been in effect here, since daemons read the source at different times.
func (s swapRecords) changedSince(version uint64) ([]string, bool) {
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

// fetchRequest returns a request for the changes since the tables in effect.
func (f *Follower) fetchRequest() *thwire.Fetch {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	own := f.version()
	q := &thwire.Fetch{From: own, Any: own == 0 || f.sourceLost.Load()}
	if f.fetchAll {
		q.From = 0
		return q
	}
	if s := f.current.Load(); s != nil {
		q.Accounts = s.Accounts.Digest()
	}
	for i := len(f.swaps) - 1; i >= max(0, len(f.swaps)-maxFetchSwaps) && len(q.Routes)+len(f.swaps[i].names) < maxFetchRoutes; i-- {
		q.Routes = append(q.Routes, f.swaps[i].names...)
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
	names, known := f.swaps.changedSince(m.From)
	f.mutex.Unlock()
	if s == nil || s.Tables.Version <= m.From {
		return
	}
	list := splitRoutes(s)
	if known {
		names = append(names, m.Routes...)
		slices.Sort(names)
		if b := changedTables(s, &m, slices.Compact(names)); b.Msgsize() < maxBatchBytes {
			list = []*thwire.Batch{b}
		}
	}
	if !m.Any && (len(list) > 1 || list[0].Msgsize() > maxSharedBytes) {
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

// handleKnown triggers one read of the source. A daemon sends Known instead of newer
// tables that are larger than maxSharedBytes.
func (f *Follower) handleKnown(from string, payload []byte) {
	var m thwire.KnownVersion
	if err := thwire.Decode(payload, &m); err != nil {
		f.Log.Warn("malformed message", "peer", from, "error", err)
		return
	}
	f.mutex.Lock()
	f.answered(from)
	f.mutex.Unlock()
	if m.Version > f.version() {
		f.readOnce.Store(true)
		signal(f.wakeReader)
	}
}

// changedTables returns a batch with the changes since the version of a request. It has the
// named routes that exist, lists the others as gone, and has the other tables whole, except
// for accounts that the requester has.
func changedTables(s *Snapshot, request *thwire.Fetch, names []string) *thwire.Batch {
	t := s.Tables
	routes, gone := thconfig.SelectRoutes(t, names)
	t.Routes = routes
	b := &thwire.Batch{Tables: &t, Digest: s.Digest, Base: request.From, Gone: gone}
	if t.Keyed && request.Accounts == s.Accounts.Digest() {
		b.SameAccounts, t.Accounts = true, nil
	}
	return b
}

// splitRoutes splits the tables into batches that fit into a frame each. Each batch
// has the version, and only the last one the digest.
func splitRoutes(s *Snapshot) []*thwire.Batch {
	rest := s.Tables
	var list []*thwire.Batch
	for {
		part := rest
		part.Routes = nil
		size := part.Msgsize()
		n := 0
		for n < len(rest.Routes) && size < maxBatchBytes {
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
	f.answered(from)
	t, complete := f.assemble(from, &m)
	if !complete {
		return
	}
	if d := thconfig.Digest(t); string(d) != string(m.Digest) {
		f.fetchAll = true
		f.Log.Warn("tables with a wrong digest", "peer", from, "version", thconfig.VersionText(t.Version), "base", thconfig.VersionText(m.Base))
		return
	}
	f.swap(t, from)
}

// assemble adds a batch to the tables received and returns them once they are
// complete. The caller holds the mutex.
func (f *Follower) assemble(from string, m *thwire.Batch) (thconfig.Tables, bool) {
	if m.Base > 0 {
		s := f.current.Load()
		if s == nil || s.Tables.Version != m.Base {
			return thconfig.Tables{}, false // the tables in effect have changed since the request
		}
		t := *m.Tables
		t.Routes = thconfig.ReplaceRoutes(s.Tables, t.Routes, m.Gone)
		if m.SameAccounts {
			t.Accounts = s.Tables.Accounts
		}
		return t, true
	}
	if from != f.partialFrom || f.partial.Version != m.Tables.Version {
		f.partial, f.partialFrom, f.partialBytes = *m.Tables, from, 0
	} else {
		f.partial.Routes = append(f.partial.Routes, m.Tables.Routes...)
	}
	if f.partialBytes += m.Tables.Msgsize(); f.partialBytes > maxReceivedBytes {
		f.Log.Warn("tables too large", "peer", from, "version", thconfig.VersionText(m.Tables.Version), "limit", maxReceivedBytes)
		f.partial, f.partialFrom = thconfig.Tables{}, ""
		return thconfig.Tables{}, false
	}
	if len(m.Digest) == 0 { // further parts follow
		return thconfig.Tables{}, false
	}
	t := f.partial
	f.partial, f.partialFrom = thconfig.Tables{}, ""
	return t, true
}
