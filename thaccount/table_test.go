package thaccount

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

func tables(t testing.TB, accounts int) *thconfig.Tables {
	n := &thconfig.Tables{Keyed: true}
	for i := range accounts {
		a, err := thconfig.NewAccount(fmt.Sprint("account", i), []string{key(i, 0), key(i, 1)}, i%3)
		assert.NilError(t, err)
		n.Accounts = append(n.Accounts, a)
	}
	return n
}

func key(account, number int) string { return fmt.Sprintf("key%dof%d", number, account) }

// Guards against keys that find no account or the one of another key.
func TestKeysFindTheirAccounts(t *testing.T) {
	n := Compile(tables(t, 85))
	assert.Equal(t, n.Len(), 85)
	assert.Equal(t, n.LowestRank(), 2)
	for i := range 85 {
		for k := range 2 {
			a, found := n.Lookup(key(i, k))
			assert.Assert(t, found)
			assert.Equal(t, a.Name, fmt.Sprint("account", i))
		}
	}
	for _, unknown := range []string{"", "key0of0 ", "KEY0of0", "key2of0", strings.Repeat("x", thconfig.MaxKeyLength+1)} {
		_, found := n.Lookup(unknown)
		assert.Assert(t, !found, "%q", unknown)
	}
}

// Guards against tables that need no key and reject requests, and against routes that open
// when the last account is removed.
func TestTablesWithoutAccounts(t *testing.T) {
	assert.Assert(t, Compile(&thconfig.Tables{}) == nil)
	empty := Compile(&thconfig.Tables{Keyed: true})
	_, found := empty.Lookup("key0of0")
	assert.Assert(t, empty != nil && !found)
	var none *Table
	assert.Equal(t, none.Digest(), uint64(0))
	assert.Equal(t, none.Len(), 0)
}

// Guards against lookups that allocate, or take longer in a larger table.
func TestLookupAllocatesNothing(t *testing.T) {
	n := Compile(tables(t, 100))
	k := key(50, 1)
	assert.Equal(t, testing.AllocsPerRun(100, func() { n.Lookup(k) }), 0.0)
}

func BenchmarkLookup(b *testing.B) {
	for _, keys := range []int{85, 100_000} {
		b.Run(fmt.Sprint(keys, "keys"), func(b *testing.B) {
			n := Compile(tables(b, (keys+1)/2))
			k := key(keys/4, 1)
			b.ReportAllocs()
			for b.Loop() {
				if _, found := n.Lookup(k); !found {
					b.Fatal("not found")
				}
			}
		})
	}
}
