// Package thaccount finds the client account that holds a key.
package thaccount

import "github.com/turmerichaven/turmerichaven/thconfig"

// Table finds accounts by their keys. It is immutable. A nil *Table means that requests need
// no key.
type Table struct {
	accounts   []thconfig.Account
	byKey      map[thconfig.KeyHash]int32 // index in accounts
	lowestRank int
	digest     uint64
}

// Compile returns the table of the accounts of a configuration, nil if it needs no keys.
func Compile(t *thconfig.Tables) *Table {
	if !t.Keyed {
		return nil
	}
	n := &Table{accounts: t.Accounts, byKey: make(map[thconfig.KeyHash]int32, len(t.Accounts)), digest: thconfig.AccountsDigest(t)}
	for i, a := range t.Accounts {
		n.lowestRank = max(n.lowestRank, a.Priority)
		for _, k := range a.Keys {
			n.byKey[k] = int32(i)
		}
	}
	return n
}

// Lookup returns the account that holds a key.
func (t *Table) Lookup(key string) (*thconfig.Account, bool) {
	hash, ok := thconfig.HashKey(key)
	if !ok {
		return nil, false
	}
	i, found := t.byKey[hash]
	if !found {
		return nil, false
	}
	return &t.accounts[i], true
}

// LowestRank returns the priority of the least urgent accounts. Anonymous requests have it,
// so that they don't go before those of an account.
func (t *Table) LowestRank() int { return t.lowestRank }

// Digest returns the digest of the accounts; zero for a nil Table.
func (t *Table) Digest() uint64 {
	if t == nil {
		return 0
	}
	return t.digest
}

// Len returns the number of accounts; zero for a nil Table.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.accounts)
}
