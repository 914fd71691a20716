package thstandin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// usage sends a report to the handler and returns the response.
func usage(a *UsageAPI, holder string, token int, window int, counts string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/usage", strings.NewReader(fmt.Sprintf(`{"window_id":%d,"counts":%s}`, window, counts)))
	r.Header.Set("X-Lease-Holder", holder)
	r.Header.Set("X-Fencing-Token", fmt.Sprint(token))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r)
	return w
}

// Guards against a stand-in that misses a breach of the rules, and against one that takes
// repeats, changes of the holder and a return after the lease for breaches.
func TestUsageBreaches(t *testing.T) {
	type call struct {
		pause  time.Duration
		holder string
		token  int
		window int
		counts string
	}
	for name, c := range map[string]struct {
		calls    []call
		breaches int
	}{
		"repeat":                 {[]call{{0, "a", 1, 1, `{"x":1}`}, {0, "a", 1, 1, `{"x":1}`}}, 0},
		"repeat by another":      {[]call{{0, "a", 1, 1, `{"x":1}`}, {0, "b", 2, 1, `{"x":1}`}}, 0},
		"other counts":           {[]call{{0, "a", 1, 1, `{"x":1}`}, {0, "b", 2, 1, `{"x":2}`}}, 1},
		"other accounts":         {[]call{{0, "a", 1, 1, `{"x":1}`}, {0, "a", 1, 1, `{}`}}, 1},
		"token of two":           {[]call{{0, "a", 1, 1, `{}`}, {0, "b", 1, 2, `{}`}}, 1},
		"lower token":            {[]call{{0, "a", 2, 1, `{}`}, {0, "b", 1, 2, `{}`}}, 1},
		"alternate":              {[]call{{0, "a", 1, 1, `{}`}, {time.Second, "b", 2, 2, `{}`}, {1999 * time.Millisecond, "a", 3, 3, `{}`}}, 1},
		"return after the lease": {[]call{{0, "a", 1, 1, `{}`}, {time.Second, "b", 2, 2, `{}`}, {2 * time.Second, "a", 3, 3, `{}`}}, 0},
		"return after two":       {[]call{{0, "a", 1, 1, `{}`}, {0, "b", 2, 2, `{}`}, {0, "c", 3, 3, `{}`}, {time.Second, "a", 4, 4, `{}`}}, 1},
	} {
		clock := clockwork.NewFakeClock()
		a := &UsageAPI{Clock: clock}
		for _, call := range c.calls {
			clock.Advance(call.pause)
			assert.Equal(t, usage(a, call.holder, call.token, call.window, call.counts).Code, http.StatusOK)
		}
		assert.Equal(t, len(a.Breaches()), c.breaches, "%s: %v", name, a.Breaches())
	}
}

// Guards against a stand-in that accepts more calls a second than the platform's API, or none
// after it rejected some.
func TestUsageRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := &UsageAPI{Clock: clock}
	codes := map[int]int{}
	for range 2 {
		for i := range usageRate + 10 {
			codes[usage(a, "a", 1, i, `{}`).Code]++
		}
		clock.Advance(time.Second)
	}
	assert.DeepEqual(t, codes, map[int]int{http.StatusOK: 2 * usageRate, http.StatusTooManyRequests: 20})
	assert.Equal(t, len(a.Reports()), usageRate)
}

// Guards against malformed reports that count as calls.
func TestMalformedReports(t *testing.T) {
	a := &UsageAPI{}
	assert.Equal(t, usage(a, "", 1, 1, `{}`).Code, http.StatusBadRequest)
	assert.Equal(t, usage(a, "a", -1, 1, `{}`).Code, http.StatusBadRequest)
	assert.Equal(t, usage(a, "a", 1, 1, `null`).Code, http.StatusBadRequest)
	assert.Equal(t, usage(a, "a", 1, 1, `{"x":-1}`).Code, http.StatusBadRequest)
	assert.Equal(t, len(a.Calls()), 0)
}

// Guards against an instance that does not record the account of a request, or a key that came
// through.
func TestInstanceRecordsAccounts(t *testing.T) {
	i := &Instance{ID: "i"}
	for _, header := range []http.Header{{}, {"X-Tenant-Id": {"t"}}, {"X-Tenant-Id": {"t"}, "X-Api-Key": {""}}} {
		r := httptest.NewRequest(http.MethodGet, "/p", nil)
		r.Header = header
		i.ServeHTTP(httptest.NewRecorder(), r)
	}
	request := ExecutedRequest{Method: "GET", Target: "/p"}
	account, keyed := request, request
	account.Account = "t"
	keyed.Account, keyed.Keyed = "t", true
	assert.DeepEqual(t, i.Runs(), []ExecutedRequest{request, account, keyed})
}
