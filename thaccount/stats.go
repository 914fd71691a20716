package thaccount

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

// Stats counts the calls of accounts at one ingress. The zero value is ready to use, and all
// methods may be called concurrently. It takes names of known accounts only, so that callers
// can't make it grow.
type Stats struct {
	byName  sync.Map // account name to *counters
	unknown atomic.Uint64
}

type counters struct{ served, rejected, failed atomic.Uint64 }

// Outcome is the outcome of a call.
type Outcome int

// Values of Outcome.
const (
	Served   Outcome = iota
	Rejected         // the call has not run
	Failed
)

// Count counts a finished call of an account.
func (s *Stats) Count(account string, o Outcome) {
	c, found := s.byName.Load(account)
	if !found {
		c, _ = s.byName.LoadOrStore(account, &counters{})
	}
	n := c.(*counters)
	switch o {
	case Served:
		n.served.Add(1)
	case Rejected:
		n.rejected.Add(1)
	case Failed:
		n.failed.Add(1)
	}
}

// CountUnauthorized counts a call without the key of an account.
func (s *Stats) CountUnauthorized() { s.unknown.Add(1) }

// Unauthorized returns the number of calls without the key of an account.
func (s *Stats) Unauthorized() uint64 { return s.unknown.Load() }

// AccountStats are the calls of an account.
type AccountStats struct {
	Name                     string
	Served, Rejected, Failed uint64
}

// All returns the calls of the accounts of a table, in the order of the table. Counters of
// accounts that the table no longer has are dropped.
func (s *Stats) All(t *Table) []AccountStats {
	if t == nil {
		return nil
	}
	index := make(map[string]int, len(t.accounts))
	list := make([]AccountStats, len(t.accounts))
	for i, a := range t.accounts {
		list[i].Name, index[a.Name] = a.Name, i
	}
	s.byName.Range(func(name, c any) bool {
		i, found := index[name.(string)]
		if !found {
			s.byName.Delete(name)
			return true
		}
		n := c.(*counters)
		list[i].Served, list[i].Rejected, list[i].Failed = n.served.Load(), n.rejected.Load(), n.failed.Load()
		return true
	})
	return list
}

// List returns the calls of up to limit accounts of a table, those with the most rejections
// first.
func (s *Stats) List(t *Table, limit int) []AccountStats {
	list := s.All(t)
	slices.SortFunc(list, func(a, b AccountStats) int {
		return cmp.Or(cmp.Compare(b.Rejected, a.Rejected), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(limit, len(list))]
}
