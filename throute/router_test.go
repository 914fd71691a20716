package throute

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

func tables(routes ...thconfig.Route) thconfig.Tables {
	return thconfig.Tables{Version: 1, Routes: routes}
}

// Guards against calls that reach the pool of another route: prefixes must match
// only at segment boundaries, and host takes precedence over path, path over method.
func TestMatch(t *testing.T) {
	r, err := Compile(tables(
		thconfig.Route{Name: "all", Path: "/"},
		thconfig.Route{Name: "book", Path: "/book"},
		thconfig.Route{Name: "get", Path: "/", Method: http.MethodGet},
		thconfig.Route{Name: "host", Host: "a.example", Path: "/"},
		thconfig.Route{Name: "put", Path: "/book/", Method: http.MethodPut},
	))
	assert.NilError(t, err)
	for _, c := range []struct{ method, target, want string }{
		{"POST", "http://x/", "all"},
		{"POST", "http://x/book", "book"},
		{"POST", "http://x/book/1/2", "book"},
		{"POST", "http://x/bookings", "all"},
		{"GET", "http://x/book/1", "book"},
		{"GET", "http://x/other", "get"},
		{"HEAD", "http://x/other", "get"},
		{"PUT", "http://x/book/1", "put"},
		{"PUT", "http://x/other", "all"},
		{"GET", "http://A.example:80/book", "host"},
		{"POST", "http://x//book//1", "book"},
		{"POST", "http://x/a/../book/./1", "book"},
		{"POST", "http://x/a/%2e%2e/book", ""},
		{"POST", "http://x/a%2F%2Fb", ""},
		{"CONNECT", "http://x/", ""},
		{"BREW", "http://x/book", "book"},
	} {
		got, found := r.Match(httptest.NewRequest(c.method, c.target, nil))
		name := ""
		if found {
			name = got.Name
		}
		assert.Equal(t, name, c.want, "%s %s", c.method, c.target)
	}
	_, found := r.Match(httptest.NewRequest(http.MethodOptions, "*", nil))
	assert.Assert(t, !found)
}

// Guards against a configuration version that crashes the daemon: ServeMux panics
// on a malformed pattern, while Compile must return an error that names the route.
func TestCompileNamesRoute(t *testing.T) {
	for _, routes := range [][]thconfig.Route{
		{{Name: "bad", Path: "/{x"}},
		{{Name: "bad", Path: "x"}},
		{{Name: "bad", Path: "/a/.."}},
		{{Name: "other", Path: "/a"}, {Name: "bad", Path: "/a/"}},
	} {
		_, err := Compile(tables(routes...))
		assert.ErrorContains(t, err, `route "bad"`)
		assert.Assert(t, therror.Is(err, therror.Refused))
	}
}

func BenchmarkMatch(b *testing.B) {
	r, _ := Compile(tables(thconfig.Route{Name: "all", Path: "/"}, thconfig.Route{Name: "book", Path: "/book"}))
	q := httptest.NewRequest(http.MethodGet, "http://x/book/1", nil)
	b.ReportAllocs()
	for b.Loop() {
		r.Match(q)
	}
}
