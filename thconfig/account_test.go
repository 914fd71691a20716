package thconfig

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// accountConfig returns a valid configuration with accounts.
func accountConfig(accounts ...Account) Config {
	return Config{
		Revision: 1, Keyed: true, Accounts: accounts, Services: []Service{{Name: "page"}},
		Routes: []Route{{Name: "r", Host: "h", Path: "/", Pool: "page", Repeat: RepeatSafe, Timeout: time.Second, Attempts: 1}},
	}
}

func newAccount(t *testing.T, name string, keys ...string) Account {
	t.Helper()
	a, err := NewAccount(name, keys, 0)
	assert.NilError(t, err)
	return a
}

// Guards against names and keys that can't be sent in a header, and against errors that tell
// a key.
func TestAccountNamesAndKeysAreFieldValues(t *testing.T) {
	const secret = "secret"
	for _, c := range []struct{ name, key, want string }{
		{"", secret, `account ""`},
		{" a", secret, `account " a"`},
		{"a\r\nX: y", secret, `account "a\r\nX: y"`},
		{strings.Repeat("a", MaxAccountName+1), secret, "account"},
		{"a", "", `account "a": key 2`},
		{"a", secret + "\n", `account "a": key 2`},
		{"a", secret + " ", `account "a": key 2`},
		{"a", strings.Repeat(secret, MaxKeyLength), `account "a": key 2`},
	} {
		_, err := NewAccount(c.name, []string{"first", c.key}, 0)
		assert.ErrorContains(t, err, c.want)
		assert.Assert(t, !strings.Contains(err.Error(), secret) && !strings.Contains(err.Error(), "first"), "%v", err)
	}
	a := newAccount(t, "Bozi 300", "k1", "k2", "k1")
	assert.Equal(t, len(a.Keys), 2)
	assert.Equal(t, len(newAccount(t, "none").Keys), 0)
}

// Guards against a configuration in which a key belongs to two accounts, so that it would
// depend on their order whose it is, and against accounts that are listed twice.
func TestAccountsShareNoKeys(t *testing.T) {
	valid := accountConfig(newAccount(t, "a", "k1", "k2"), newAccount(t, "b", "k3"))
	assert.NilError(t, valid.Validate())
	shared := accountConfig(newAccount(t, "a", "k1", "secret"), newAccount(t, "b", "secret"))
	err := shared.Validate()
	assert.Assert(t, therror.Is(err, therror.Refused))
	assert.ErrorContains(t, err, `account "b": a key is also one of account "a"`)
	assert.Assert(t, !strings.Contains(err.Error(), "secret"))
	twice := accountConfig(newAccount(t, "a", "k1"), newAccount(t, "a", "k2"))
	assert.ErrorContains(t, twice.Validate(), `account "a": listed twice`)
}

// Guards against keys in the tables, which are logged and sent to other daemons, and against
// accounts that are lost on the way through the tables.
func TestTablesHoldHashesOfKeys(t *testing.T) {
	d := DesiredState{Version: 2, Config: accountConfig(newAccount(t, "b", "secret"), newAccount(t, "a", "other"))}
	tables := d.Tables()
	assert.Assert(t, tables.Keyed && tables.Accounts[0].Name == "a" && tables.Accounts[1].Name == "b")
	body, err := tables.MarshalMsg(nil)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(body), "secret"))
	var decoded Tables
	_, err = decoded.UnmarshalMsg(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Accounts, tables.Accounts)
	assert.DeepEqual(t, decoded.Config().Accounts, tables.Accounts)
}

// Guards against digests of accounts that are equal although an account or the need of keys
// differs.
func TestAccountsDigestTellsAccountsApart(t *testing.T) {
	a, b := newAccount(t, "a", "k1"), newAccount(t, "a", "k2")
	digests := map[uint64]bool{}
	for _, tables := range []Tables{{}, {Keyed: true}, {Keyed: true, Accounts: []Account{a}}, {Keyed: true, Accounts: []Account{b}}} {
		digests[AccountsDigest(&tables)] = true
	}
	assert.Equal(t, len(digests), 4)
	assert.Equal(t, AccountsDigest(&Tables{Keyed: true, Accounts: []Account{a}}), AccountsDigest(&Tables{Keyed: true, Version: 7, Accounts: []Account{a}}))
}
