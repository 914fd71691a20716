package throute

import (
	"net"
	"net/http"
	"strings"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

// prefixTable holds routes by exact host and path prefix. It matches the longest
// prefix of the escaped request path. Prefixes end with a slash.
type prefixTable map[string]map[string]*thconfig.Route

// CompilePrefixes returns a router that matches request paths unchanged, instead of
// cleaning them as http.ServeMux does. Each route needs a host and a prefix that ends
// with a slash, and no method. The error is of kind Refused and names the route.
func CompilePrefixes(t thconfig.Tables) (*Router, error) {
	r := &Router{prefixes: prefixTable{}}
	for i := range t.Routes {
		e := &t.Routes[i]
		if e.Host == "" || !strings.HasSuffix(e.Path, "/") || e.Method != "" {
			return nil, therror.New(therror.Refused, "route %q: host is missing, method is set, or prefix does not end with a slash", e.Name)
		}
		byPath := r.prefixes[e.Host]
		if byPath == nil {
			byPath = map[string]*thconfig.Route{}
			r.prefixes[e.Host] = byPath
		}
		if other, found := byPath[e.Path]; found {
			return nil, therror.New(therror.Refused, "route %q: host and prefix are those of route %q", e.Name, other.Name)
		}
		byPath[e.Path] = e
	}
	return r, nil
}

// match returns the route of the host with the longest prefix of the request path.
// Hosts are compared in lower case, with the port first and then without it.
func (p prefixTable) match(q *http.Request) (*thconfig.Route, bool) {
	byPath := p[strings.ToLower(q.Host)]
	if byPath == nil {
		if host, _, err := net.SplitHostPort(q.Host); err == nil {
			byPath = p[strings.ToLower(host)]
		}
	}
	if byPath == nil {
		return nil, false
	}
	path := q.URL.EscapedPath()
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := byPath[path[:end+1]]; found {
			return r, true
		}
	}
	return nil, false
}
