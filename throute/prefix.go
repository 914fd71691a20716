package throute

import (
	"net"
	"net/http"
	"strings"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

// prefixes finds routes by exact host and the longest prefix of the path as it
// was sent. Prefixes end with a slash.
type prefixes map[string]map[string]*thconfig.Route

// CompilePrefixes returns a router that takes the paths of requests as they
// are, in place of cleaning them as net/http's mux does. All routes need a host
// and a prefix that ends with a slash. The error is of kind Refused.
func CompilePrefixes(t thconfig.Tables) (*Router, error) {
	r := &Router{prefixes: prefixes{}}
	for i := range t.Routes {
		e := &t.Routes[i]
		if e.Host == "" || !strings.HasSuffix(e.Path, "/") || e.Method != "" {
			return nil, therror.New(therror.Refused, "route %q: no host, a method, or a prefix without a slash at its end", e.Name)
		}
		byPath := r.prefixes[e.Host]
		if byPath == nil {
			byPath = map[string]*thconfig.Route{}
			r.prefixes[e.Host] = byPath
		}
		if other, taken := byPath[e.Path]; taken {
			return nil, therror.New(therror.Refused, "route %q: host and prefix are those of route %q", e.Name, other.Name)
		}
		byPath[e.Path] = e
	}
	return r, nil
}

// match returns the route with the longest prefix of the request's path.
func (p prefixes) match(q *http.Request) (*thconfig.Route, bool) {
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
