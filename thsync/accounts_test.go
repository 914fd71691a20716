package thsync

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// withAccounts adds accounts with a key each to orders.
func withAccounts(t *testing.T, o *thconfig.DesiredState, count int, key string) *thconfig.DesiredState {
	o.Config.Keyed = true
	for i := range count {
		a, err := thconfig.NewAccount(fmt.Sprint("account", i), []string{fmt.Sprint(key, i)}, 0)
		assert.NilError(t, err)
		o.Config.Accounts = append(o.Config.Accounts, a)
	}
	return o
}

// Guards against keys that are added or removed in the source and not at daemons that don't
// read it.
func TestAccountsReachAllDaemons(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	a, b := followers[0], followers[1]
	sources[0].orders <- withAccounts(t, newOrders(2, 2, 5), 3, "old")
	waitVersion(t, a, 2)
	waitVersion(t, b, 2)
	sources[0].orders <- withAccounts(t, newOrders(3, 3, 5), 3, "new")
	waitVersion(t, a, 3)
	waitVersion(t, b, 3)
	for _, f := range followers {
		_, old := f.Current().Accounts.Lookup("old1")
		found, known := f.Current().Accounts.Lookup("new1")
		assert.Assert(t, !old && known)
		assert.Equal(t, found.Name, "account1")
	}
}

// Pattern: many accounts, and a change of one route that all daemons of a zone fetch. Guards
// against accounts that are sent again with each change.
func TestUnchangedAccountsAreNotSent(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	a, b := followers[0], followers[1]
	sources[0].orders <- withAccounts(t, newOrders(2, 2, 5), 500, "key")
	waitVersion(t, a, 2)
	waitVersion(t, b, 2)
	request := b.fetchRequest()
	next := withAccounts(t, newOrders(3, 3, 5), 500, "key")
	next.Config.Routes[1].Timeout = time.Minute
	sources[0].orders <- next
	waitVersion(t, a, 3)
	change := changedTables(a.Current(), request, nil)
	other := changedTables(a.Current(), &thwire.Fetch{From: 2}, nil)
	assert.Assert(t, change.SameAccounts && !other.SameAccounts)
	assert.Assert(t, change.Msgsize() < other.Msgsize()/10, "%d bytes, %d with accounts", change.Msgsize(), other.Msgsize())
	waitVersion(t, b, 3)
	assert.DeepEqual(t, a.Current().Digest, b.Current().Digest)
	assert.Equal(t, len(b.Current().Tables.Accounts), 500)
}
