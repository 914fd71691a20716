package thaccount

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Guards against rejected calls of an account that an operator can't see, and against counters
// that remain of accounts which no longer exist.
func TestStatsListAccounts(t *testing.T) {
	var s Stats
	s.Count("account1", Served)
	s.Count("account1", Failed)
	s.Count("account0", Served)
	s.Count("account2", Rejected)
	s.Count("gone", Rejected)
	table := Compile(tables(t, 4))
	assert.DeepEqual(t, s.List(table, 10), []AccountStats{
		{Name: "account2", Rejected: 1}, {Name: "account0", Served: 1}, {Name: "account1", Served: 1, Failed: 1}, {Name: "account3"},
	})
	assert.Equal(t, len(s.List(table, 2)), 2)
	assert.Equal(t, len(s.List(Compile(&thconfig.Tables{Keyed: true}), 10)), 0)
	_, found := s.byName.Load("gone")
	assert.Assert(t, !found)
}
