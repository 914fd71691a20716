package thproxy

import (
	"net/http"
	"strings"

	"github.com/turmerichaven/turmerichaven/thaccount"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// callerAccount is the client account that a call belongs to.
type callerAccount struct {
	required bool   // the configuration has accounts
	name     string // empty for an anonymous call
	rank     int    // priority of the account
}

// authenticate returns the account of the call. A nested call without a key has that of the
// call that made it, since backend servers don't know the keys of their callers. The error is
// of kind Unauthorized without a known key, and names no key.
func (c *call) authenticate(names *Headers) (callerAccount, error) {
	if c.Accounts == nil || names.ClientKey == "" {
		return callerAccount{}, nil
	}
	table := c.Accounts()
	if table == nil {
		return callerAccount{}, nil
	}
	keys := c.request.Header[names.ClientKey]
	switch {
	case len(keys) == 0 && c.parent != nil:
		return callerAccount{required: true, name: c.parent.account, rank: c.parent.rank}, nil
	case len(keys) == 0 && c.route.Anonymous:
		return callerAccount{required: true, rank: table.LowestRank()}, nil
	case len(keys) == 0 && c.mayBeNested(names):
		// The daemon may have restarted since it sent the call that made this one.
		return callerAccount{}, therror.New(therror.Unready, "request has no key, and the call that made it is not in progress here")
	case len(keys) == 0:
		return callerAccount{}, therror.New(therror.Unauthorized, "request has no key")
	case len(keys) > 1:
		return callerAccount{}, therror.New(therror.Unauthorized, "request has %d keys", len(keys))
	}
	a, found := table.Lookup(keys[0])
	if !found {
		return callerAccount{}, therror.New(therror.Unauthorized, "key of the request is unknown")
	}
	return callerAccount{required: true, name: a.Name, rank: a.Priority}, nil
}

// countAccount counts the finished call for its account. Nested calls belong to the work of
// their request.
func (c *call) countAccount(err error) {
	switch {
	case c.AccountStats == nil:
	case therror.Is(err, therror.Unauthorized):
		c.AccountStats.CountUnauthorized()
	case c.open.Account == "" || c.parent != nil:
	case err == nil && c.status < http.StatusInternalServerError:
		c.AccountStats.Count(c.open.Account, thaccount.Served)
	case therror.IsNotRun(err):
		c.AccountStats.Count(c.open.Account, thaccount.Rejected)
	default:
		c.AccountStats.Count(c.open.Account, thaccount.Failed)
	}
}

// mayBeNested reports whether the request ID has the form of one of a nested call.
func (c *call) mayBeNested(names *Headers) bool {
	return c.ActiveCalls != nil && names.ChildSeparator != "" && strings.LastIndex(c.id(), names.ChildSeparator) > 0
}

// withAccount removes the client's key and account from a list of headers and adds the name
// of the account, unless it is empty.
func (n *Headers) withAccount(list []thwire.Header, account string) []thwire.Header {
	list = withoutHeader(withoutHeader(list, n.ClientKey), n.Account)
	if account == "" {
		return list
	}
	return append(list, thwire.Header{Name: n.Account, Value: account})
}
