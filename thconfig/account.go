package thconfig

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Limits of the texts of an account, in bytes.
const (
	MaxAccountName = 200
	MaxKeyLength   = 256
)

// HashKey returns the hash of a key. Keys above MaxKeyLength belong to no account, and the
// result is false.
func HashKey(key string) (KeyHash, bool) {
	var buffer [MaxKeyLength]byte // on the stack, where a conversion of the key would allocate
	if len(key) > len(buffer) {
		return KeyHash{}, false
	}
	sum := sha256.Sum256(buffer[:copy(buffer[:], key)])
	return KeyHash(sum[:len(KeyHash{})]), true
}

// NewAccount returns an account with the hashes of its keys. The error names the account and
// the position of a key that can't be sent in a header, but no key.
func NewAccount(name string, keys []string, priority int) (Account, error) {
	if !isFieldText(name, MaxAccountName) {
		return Account{}, fmt.Errorf("account %q: a name is 1 to %d bytes that a header can hold", name, MaxAccountName)
	}
	a := Account{Name: name, Priority: priority}
	for i, k := range keys {
		if !isFieldText(k, MaxKeyLength) {
			return Account{}, fmt.Errorf("account %q: key %d is not 1 to %d bytes that a header can hold", name, i+1, MaxKeyLength)
		}
		hash, _ := HashKey(k)
		a.Keys = append(a.Keys, hash)
	}
	slices.SortFunc(a.Keys, compareKeys)
	a.Keys = slices.Compact(a.Keys)
	return a, nil
}

// isFieldText reports whether a text arrives unchanged as the value of a header: 1 to limit
// bytes, without control bytes and without blanks at its ends.
func isFieldText(text string, limit int) bool {
	return text != "" && len(text) <= limit && strings.Trim(text, " \t") == text && httpguts.ValidHeaderFieldValue(text)
}

func compareKeys(a, b KeyHash) int { return bytes.Compare(a[:], b[:]) }

// checkAccounts reports accounts that are listed twice or out of range, and keys that two
// accounts hold.
func (c *checker) checkAccounts(accounts []Account) {
	names, holders := map[string]bool{}, map[KeyHash]string{}
	for _, a := range accounts {
		if names[a.Name] {
			c.addError("account %q: listed twice", a.Name)
		}
		names[a.Name] = true
		if a.Priority < 0 {
			c.addError("account %q: priority %d is negative", a.Name, a.Priority)
		}
		for _, k := range a.Keys {
			if other, taken := holders[k]; taken && other != a.Name {
				c.addError("account %q: a key is also one of account %q", a.Name, other)
			}
			holders[k] = a.Name
		}
	}
}

// AccountsDigest returns the first 8 bytes of the SHA-256 of the accounts, in the order of the
// tables. Daemons with equal digests have the same accounts.
func AccountsDigest(t *Tables) uint64 {
	body, err := (&Tables{Keyed: t.Keyed, Accounts: t.Accounts}).MarshalMsg(nil)
	if err != nil {
		// Encoding plain structs into memory cannot fail.
		panic(err)
	}
	sum := sha256.Sum256(body)
	var digest uint64
	for _, b := range sum[:8] {
		digest = digest<<8 | uint64(b)
	}
	return digest
}

// sortAccounts sorts accounts by name.
func sortAccounts(accounts []Account) {
	slices.SortFunc(accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
}
