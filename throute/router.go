// Package throute compiles the routes of the configuration into a request router
// based on http.ServeMux.
package throute

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

// anyMethod is the key of the mux for methods that no route names.
const anyMethod = ""

// Router finds the route of a request. It is immutable. A route with a host takes
// precedence over one without, then the longer path, then a route with a method.
type Router struct {
	muxes    map[string]*http.ServeMux // by method; anyMethod for all other methods
	prefixes prefixTable               // used instead of muxes unless nil
}

// routeHandler is registered in the mux to look up a route; it never serves a request.
type routeHandler struct{ route *thconfig.Route }

// ServeHTTP implements http.Handler.
func (t *routeHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNotImplemented)
}

// Compile returns the router for the routes of the tables. The error is of kind
// Refused and names the route.
func Compile(t thconfig.Tables) (*Router, error) {
	r := &Router{muxes: map[string]*http.ServeMux{}}
	methods := map[string]bool{anyMethod: true}
	for _, e := range t.Routes {
		methods[e.Method] = true
	}
	// A GET route also serves HEAD, as in net/http.
	if methods[http.MethodGet] {
		methods[http.MethodHead] = true
	}
	// One mux per method lets the path decide before the method. In a single
	// ServeMux "GET /" and "/a/" conflict, because neither is more specific.
	for m := range methods {
		mux, err := compileMethod(t.Routes, m)
		if err != nil {
			return nil, err
		}
		r.muxes[m] = mux
	}
	return r, nil
}

// compileMethod returns the mux for requests with a method.
func compileMethod(routes []thconfig.Route, method string) (*http.ServeMux, error) {
	mux := http.NewServeMux()
	registered := map[string]*thconfig.Route{}
	for _, m := range methodOrder(method) {
		for i := range routes {
			e := &routes[i]
			if e.Method != m {
				continue
			}
			if err := register(mux, registered, e); err != nil {
				return nil, err
			}
		}
	}
	return mux, nil
}

// methodOrder returns the values of Route.Method that serve a method, the most
// specific first.
func methodOrder(method string) []string {
	switch method {
	case anyMethod:
		return []string{anyMethod}
	case http.MethodHead:
		return []string{http.MethodHead, http.MethodGet, anyMethod}
	}
	return []string{method, anyMethod}
}

// register adds a route to a mux unless a route with a more specific method already
// has its host and path.
func register(mux *http.ServeMux, registered map[string]*thconfig.Route, e *thconfig.Route) (err error) {
	if !strings.HasPrefix(e.Path, "/") {
		return therror.New(therror.Refused, "route %q: path %q does not begin with a slash", e.Name, e.Path)
	}
	base := strings.TrimSuffix(e.Path, "/")
	if base != "" && path.Clean(base) != base {
		return therror.New(therror.Refused, "route %q: path %q is not clean", e.Name, e.Path)
	}
	key := e.Host + base
	if other, found := registered[key]; found {
		if other.Method == e.Method {
			return therror.New(therror.Refused, "route %q: host, path and method are those of route %q", e.Name, other.Name)
		}
		return nil // a route with a more specific method already has the pattern
	}
	registered[key] = e
	// ServeMux panics on a malformed pattern.
	defer func() {
		if p := recover(); p != nil {
			err = therror.New(therror.Refused, "route %q: %v", e.Name, p)
		}
	}()
	h := &routeHandler{route: e}
	mux.Handle(key+"/", h)
	if base != "" {
		mux.Handle(key, h)
	}
	return nil
}

// Match returns the route of a request. A path that is not clean is cleaned first.
// An unclean path that was sent with escapes (URL.RawPath) has no route, since a
// backend server could interpret it as the path of another route. A router of
// CompilePrefixes matches the path as it is. CONNECT requests have no route.
func (r *Router) Match(q *http.Request) (*thconfig.Route, bool) {
	if q.Method == http.MethodConnect {
		return nil, false
	}
	if r.prefixes != nil {
		return r.prefixes.match(q)
	}
	q, ok := normalise(q)
	if !ok {
		return nil, false
	}
	mux, found := r.muxes[q.Method]
	if !found {
		mux = r.muxes[anyMethod]
	}
	h, _ := mux.Handler(q)
	if t, ok := h.(*routeHandler); ok {
		return t.route, true
	}
	return nil, false
}

// normalise returns q itself if its path is clean and its host in lower case,
// otherwise a copy with both normalised. It returns false for a path that cannot be
// cleaned safely.
func normalise(q *http.Request) (*http.Request, bool) {
	clean := isClean(q.URL.Path)
	lower := strings.ToLower(q.Host) // q.Host itself if it is already in lower case
	if clean && lower == q.Host {
		return q, true
	}
	p := q.URL.Path
	if !clean {
		if q.URL.RawPath != "" || (p != "" && p[0] != '/') {
			return nil, false
		}
		trailing := strings.HasSuffix(p, "/") || strings.HasSuffix(p, "/.") || strings.HasSuffix(p, "/..")
		p = path.Clean("/" + p)
		if trailing && p != "/" {
			p += "/"
		}
	}
	u := url.URL{Path: p, RawPath: q.URL.RawPath}
	return &http.Request{Method: q.Method, Host: lower, URL: &u}, true
}

// isClean reports whether p begins with a slash and has no empty, dot or dot-dot segment.
func isClean(p string) bool {
	if p == "" || p[0] != '/' {
		return false
	}
	return !strings.Contains(p, "//") && !hasSegment(p, "/.") && !hasSegment(p, "/..")
}

// hasSegment reports whether p contains s followed by a slash or the end.
func hasSegment(p, s string) bool {
	return strings.HasSuffix(p, s) || (strings.Contains(p, "/.") && strings.Contains(p, s+"/"))
}
