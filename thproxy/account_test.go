package thproxy

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thaccount"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	testKeyHeader     = "X-Key"
	testAccountHeader = "X-Account"
)

// accountMesh is a mesh whose requests need the key of an account.
type accountMesh struct {
	*mesh

	gate  *recordingGate
	mutex sync.Mutex
	table *thaccount.Table
	got   []http.Header // of the requests at the backend server
}

func newAccountMesh(t *testing.T, accounts ...thconfig.Account) *accountMesh {
	m := &accountMesh{gate: &recordingGate{}}
	m.mesh = newMesh(t, thconfig.Route{}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.got = append(m.got, r.Header.Clone())
	}))
	m.targets[0].Gate = m.gate
	m.ingress.Headers = &Headers{RequestID: testIDHeader, ClientKey: testKeyHeader, Account: testAccountHeader, ChildSeparator: "."}
	m.ingress.ActiveCalls = &ActiveCalls{}
	m.ingress.Accounts = func() *thaccount.Table {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		return m.table
	}
	m.setAccounts(accounts...)
	return m
}

func (m *accountMesh) setAccounts(accounts ...thconfig.Account) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table = thaccount.Compile(&thconfig.Tables{Keyed: true, Accounts: accounts})
}

// last returns the header of the last request at the backend server.
func (m *accountMesh) last() http.Header {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.got[len(m.got)-1]
}

func testAccount(t *testing.T, name string, priority int, keys ...string) thconfig.Account {
	a, err := thconfig.NewAccount(name, keys, priority)
	assert.NilError(t, err)
	return a
}

// Guards against a key that leaves the ingress, an account's name that the caller has forged,
// and a call whose account is lost on the way to the backend server's queue.
func TestKeyStaysAtTheIngress(t *testing.T) {
	m := newAccountMesh(t, testAccount(t, "acme", 1, "k1"), testAccount(t, "other", 2, "k2"))
	for _, local := range []bool{false, true} {
		if local {
			m.ingress.Local, m.ingress.Self = m.targets[0], "a"
		}
		for _, client := range []*http.Client{m.client, http2Client()} {
			resp, body, err := do(t, client, "GET", m.front.URL+"/x", nil, testIDHeader, "1", testKeyHeader, "k1", testAccountHeader, "forged")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, body)
			assert.DeepEqual(t, m.last()[testAccountHeader], []string{"acme"})
			_, found := m.last()[testKeyHeader]
			assert.Assert(t, !found, "key at the backend server")
		}
	}
	for _, o := range m.gate.opens {
		assert.Equal(t, o.Account, "acme")
		assert.Equal(t, o.Rank, 1)
	}
}

// Guards against requests that run without a known key, against 401 in place of 404, and
// against a key in a response or a log.
func TestUnknownKeysAreRejected(t *testing.T) {
	m := newAccountMesh(t, testAccount(t, "acme", 0, "k1"))
	m.ingress.AccountStats = &thaccount.Stats{}
	var log bytes.Buffer
	m.ingress.Log = hclog.New(&hclog.LoggerOptions{Output: &log, Level: hclog.Trace})
	for _, header := range [][]string{{}, {testKeyHeader, "secret"}, {testKeyHeader, ""}, {testKeyHeader, strings.Repeat("secret", 100)}} {
		resp, body, err := do(t, m.client, "GET", m.front.URL+"/x", nil, append(header, testIDHeader, "1")...)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
		assert.Assert(t, resp.Header.Get("WWW-Authenticate") != "" && resp.Header.Get("Retry-After") == "")
		assert.Assert(t, !strings.Contains(body, "secret"))
	}
	two, err := http.NewRequestWithContext(t.Context(), http.MethodGet, m.front.URL+"/x", nil)
	assert.NilError(t, err)
	two.Header[testKeyHeader] = []string{"k1", "k1"}
	resp, err := m.client.Do(two)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	resp, _, err = do(t, m.client, "GET", m.front.URL+"/none", nil, testKeyHeader, "secret")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Equal(t, len(m.got), 0)
	assert.Equal(t, m.ingress.AccountStats.Unauthorized(), uint64(5))
	assert.Assert(t, strings.Contains(log.String(), "unauthorized") && !strings.Contains(log.String(), "secret"), log.String())

	m.ingress.Router = func() (uint64, func(*http.Request) (*thconfig.Route, bool), bool) { return 0, nil, false }
	resp, _, err = do(t, m.client, "GET", m.front.URL+"/x", nil, testKeyHeader, "secret")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

// Guards against a key that still works on an open connection after it was removed, and
// against one that was added and doesn't.
func TestRemovedKeyIsRejectedOnOpenConnections(t *testing.T) {
	m := newAccountMesh(t, testAccount(t, "acme", 0, "old"))
	send := func(key string) int {
		resp, _, err := do(t, m.client, "GET", m.front.URL+"/x", nil, testKeyHeader, key)
		assert.NilError(t, err)
		return resp.StatusCode
	}
	assert.Equal(t, send("old"), http.StatusOK)
	m.setAccounts(testAccount(t, "acme", 0, "new"))
	assert.Equal(t, send("old"), http.StatusUnauthorized)
	assert.Equal(t, send("new"), http.StatusOK)
	m.setAccounts()
	assert.Equal(t, send("new"), http.StatusUnauthorized)
}

// Guards against anonymous routes that need a key, that accept a wrong one, or that let a
// caller name an account; and against anonymous calls that go before those of accounts.
func TestAnonymousRoutes(t *testing.T) {
	m := newAccountMesh(t, testAccount(t, "acme", 0, "k1"), testAccount(t, "low", 3, "k2"))
	m.route.Anonymous = true
	resp, _, err := do(t, m.client, "GET", m.front.URL+"/x", nil, testAccountHeader, "forged")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, len(m.last()[testAccountHeader]), 0)
	assert.Equal(t, m.gate.opens[0].Rank, 3)
	resp, _, err = do(t, m.client, "GET", m.front.URL+"/x", nil, testKeyHeader, "k1")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, m.last().Get(testAccountHeader), "acme")
	resp, _, err = do(t, m.client, "GET", m.front.URL+"/x", nil, testKeyHeader, "wrong")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
}

// A backend server makes calls without a key for a request. Guards against calls that fail
// with 401 or run without the account of their request, and against a 401, which is final,
// while a daemon that has just started doesn't know the request.
func TestNestedCallsHaveTheAccountOfTheirRequest(t *testing.T) {
	m := newAccountMesh(t, testAccount(t, "acme", 2, "k1"))
	end := m.ingress.ActiveCalls.add("run", &thwire.Open{Account: "acme", Rank: 2})
	resp, _, err := do(t, m.client, "GET", m.front.URL+"/x", nil, testIDHeader, "run.1", testAccountHeader, "forged")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, m.last().Get(testAccountHeader), "acme")
	assert.Equal(t, m.gate.opens[0].Rank, 2)
	end()
	resp, _, err = do(t, m.client, "GET", m.front.URL+"/x", nil, testIDHeader, "run.2")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(m.got), 1)
}

// Guards against deployments without accounts in which headers of these names are changed.
func TestHeadersWithoutAccountsPassUnchanged(t *testing.T) {
	m := newAccountMesh(t)
	m.mutex.Lock()
	m.table = nil
	m.mutex.Unlock()
	resp, _, err := do(t, m.client, "GET", m.front.URL+"/x", nil, testKeyHeader, "k1", testAccountHeader, "a")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, m.last().Get(testKeyHeader)+m.last().Get(testAccountHeader), "k1a")
}

// Guards against counts of requests that did not begin at the backend server or are part of a
// counted one, and against requests that began and are not counted.
func TestBegunCallsAreCounted(t *testing.T) {
	const rejected = "X-Rejected"
	var mutex sync.Mutex
	counts := map[string]int{}
	m := newMesh(t, thconfig.Route{Attempts: 1}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/rejected":
			w.Header().Set(rejected, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/broken":
			panic(http.ErrAbortHandler)
		}
	}))
	m.targets[0].Headers = &Headers{Rejected: rejected, Deadline: HeaderDeadline}
	count := func(account string, n int) {
		mutex.Lock()
		defer mutex.Unlock()
		counts[account] += n
	}
	m.targets[0].OnBegin = func(account string) func() {
		count(account, 1)
		return func() { count(account, -1) }
	}
	m.ingress.Headers = &Headers{ClientKey: testKeyHeader, Account: testAccountHeader}
	m.ingress.Headers.RequestID, m.ingress.Headers.ChildSeparator, m.ingress.ActiveCalls = testIDHeader, ".", &ActiveCalls{}
	defer m.ingress.ActiveCalls.add("run", &thwire.Open{Account: "acme"})()
	table := thaccount.Compile(&thconfig.Tables{Keyed: true, Accounts: []thconfig.Account{testAccount(t, "acme", 0, "k1")}})
	m.ingress.Accounts = func() *thaccount.Table { return table }
	for _, path := range []string{"/served", "/rejected", "/broken", "/nested"} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, m.front.URL+path, nil)
		assert.NilError(t, err)
		if path == "/nested" {
			request.Header.Set(testIDHeader, "run.1")
		} else {
			request.Header.Set(testKeyHeader, "k1")
		}
		resp, err := m.client.Do(request)
		assert.NilError(t, err)
		resp.Body.Close()
		cancel()
	}
	mutex.Lock()
	defer mutex.Unlock()
	assert.DeepEqual(t, counts, map[string]int{"acme": 2})
}
