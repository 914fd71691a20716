package thconfig

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Limits on values and sizes of a valid configuration.
const (
	MinTimeout = time.Millisecond
	MaxTimeout = 10 * time.Minute
	// MaxEntries is the maximum number of entries of each table, so that a table
	// fits into one item of the table service.
	MaxEntries    = 4096
	maxPathLength = 512 // bytes
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hostPattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions,
}

// Validate checks names, references, patterns and ranges. The error is of kind
// Refused and lists all errors, one per line.
func Validate(t Tables) error {
	c := checker{tables: &t}
	c.checkSizes()
	c.checkPools()
	c.checkRoutes()
	c.checkZones()
	c.checkMoves()
	if len(c.errors) == 0 {
		return nil
	}
	return therror.New(therror.Refused, "invalid configuration:\n%s", strings.Join(c.errors, "\n"))
}

// checker collects the errors found in tables or in a Config.
type checker struct {
	tables *Tables
	errors []string
}

func (c *checker) addError(format string, args ...any) {
	c.errors = append(c.errors, fmt.Sprintf(format, args...))
}

func (c *checker) checkSizes() {
	for kind, n := range map[string]int{
		"routes": len(c.tables.Routes), "pools": len(c.tables.Pools),
		"zones": len(c.tables.Zones), "moves": len(c.tables.Moves),
	} {
		if n > MaxEntries {
			c.addError("%d %s, at most %d are allowed", n, kind, MaxEntries)
		}
	}
}

// checkName reports an invalid name, and a name that is not greater than the
// previous one, because tables are sorted and names are unique.
func (c *checker) checkName(kind, previous, name string) {
	if !namePattern.MatchString(name) {
		c.addError("%s %q: a name is 1 to 63 of a-z, 0-9 and hyphen and does not begin with a hyphen", kind, name)
	}
	if previous != "" && previous >= name {
		c.addError("%s %q: listed twice or out of order", kind, name)
	}
}

func (c *checker) checkPools() {
	previous := ""
	for _, p := range c.tables.Pools {
		c.checkName("pool", previous, p.Name)
		previous = p.Name
		if !namePattern.MatchString(p.Service) {
			c.addError("pool %q: service %q is not a name", p.Name, p.Service)
		}
		if !labelPattern.MatchString(p.Version) {
			c.addError("pool %q: version %q is not 1 to 63 of letters, digits, dot, underscore and hyphen", p.Name, p.Version)
		}
		if p.Floor < 0 || p.Floor > 100 {
			c.addError("pool %q: floor %d is not a percentage from 0 to 100", p.Name, p.Floor)
		}
	}
}

func (c *checker) checkRoutes() {
	previous := ""
	patterns := map[string]string{}
	for _, r := range c.tables.Routes {
		c.checkName("route", previous, r.Name)
		previous = r.Name
		c.checkPattern(r)
		key := patternKey(r.Method, r.Host, strings.TrimSuffix(r.Path, "/"))
		if other, taken := patterns[key]; taken {
			c.addError("route %q: host, path and method are those of route %q", r.Name, other)
		}
		patterns[key] = r.Name
		if _, found := c.tables.Pool(r.Pool); !found {
			c.addError("route %q: pool %q does not exist", r.Name, r.Pool)
		}
		c.checkPolicy(r)
	}
}

// patternKey identifies the calls that a route matches. base is the path without
// trailing slash, because the prefixes /a and /a/ match the same calls.
func patternKey(method, host, base string) string { return method + " " + host + base }

func (c *checker) checkPattern(r Route) {
	if r.Host != "" && !hostPattern.MatchString(r.Host) {
		c.addError("route %q: host %q is not a lower-case host name without port", r.Name, r.Host)
	}
	if !isCleanPath(r.Path) {
		c.addError("route %q: path %q is not a clean prefix that begins with a slash", r.Name, r.Path)
	}
	if r.Method != "" && !slices.Contains(methods, r.Method) {
		c.addError("route %q: method %q is not one of %s", r.Name, r.Method, strings.Join(methods, ", "))
	}
}

// isCleanPath reports whether net/http's mux matches the path unmodified and a
// table file can contain it: no dot segments, empty segments, spaces or
// non-printable characters.
func isCleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") || len(p) > maxPathLength || !utf8.ValidString(p) {
		return false
	}
	if strings.ContainsAny(p, "{} ?#%\\") || strings.ContainsFunc(p, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return false
	}
	if strings.Contains(p, "//") {
		return false
	}
	for segment := range strings.SplitSeq(p, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

func (c *checker) checkPolicy(r Route) {
	if r.Repeat != RepeatSafe && r.Repeat != RepeatOnce {
		c.addError("route %q: repeat %q is neither %s nor %s", r.Name, r.Repeat, RepeatSafe, RepeatOnce)
	}
	if r.Timeout < MinTimeout || r.Timeout > MaxTimeout {
		c.addError("route %q: timeout %s is not between %s and %s", r.Name, r.Timeout, MinTimeout, MaxTimeout)
	}
	if r.Retry < 0 || r.Retry > 100 {
		c.addError("route %q: retry %d is not a percentage from 0 to 100", r.Name, r.Retry)
	}
	if r.Class != "" && !namePattern.MatchString(r.Class) {
		c.addError("route %q: class %q is not a name", r.Name, r.Class)
	}
}

func (c *checker) checkZones() {
	previous := ""
	for _, z := range c.tables.Zones {
		c.checkName("zone", previous, z.Name)
		previous = z.Name
	}
}

func (c *checker) checkMoves() {
	previous := ""
	running := map[string]string{}
	for _, m := range c.tables.Moves {
		c.checkName("move", previous, m.Name)
		previous = m.Name
		switch m.State {
		case MoveRunning:
			c.checkRunningMove(m, running)
		case MoveDone, MoveReverted, MoveCancelled:
		default:
			c.addError("move %q: unknown state %q", m.Name, m.State)
		}
	}
}

func (c *checker) checkRunningMove(m Move, running map[string]string) {
	if other, taken := running[m.Route]; taken {
		c.addError("move %q: move %q of route %q is still running", m.Name, other, m.Route)
	}
	running[m.Route] = m.Name
	r, found := c.tables.Route(m.Route)
	switch {
	case !found:
		c.addError("move %q: route %q does not exist", m.Name, m.Route)
	case r.Pool != m.From:
		c.addError("move %q: route %q uses pool %q, the move starts from %q; cancel the move first", m.Name, m.Route, r.Pool, m.From)
	}
	for _, p := range []string{m.From, m.To} {
		if _, found := c.tables.Pool(p); !found {
			c.addError("move %q: pool %q does not exist", m.Name, p)
		}
	}
	if m.From == m.To {
		c.addError("move %q: both pools are %q", m.Name, m.From)
	}
	if !m.Deadline.After(m.Start) {
		c.addError("move %q: the deadline is not after the start", m.Name)
	}
}
