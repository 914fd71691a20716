package thconfig

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// Lint returns what is valid in a configuration and yet probably a mistake: entries that no
// request can match or reach, and limits that contradict each other. Each text names its
// entry. Call Validate for errors.
func (c *Config) Lint() []string {
	l := linter{config: c, used: map[string]bool{}}
	for _, r := range c.Routes {
		l.checkPattern(r)
		l.checkTimes(r)
		l.checkParts(r)
	}
	l.checkServices()
	l.checkAccounts()
	l.checkLimits()
	slices.Sort(l.warnings)
	return l.warnings
}

type linter struct {
	config   *Config
	used     map[string]bool // services that some route sends requests to
	warnings []string
}

func (l *linter) warn(format string, args ...any) {
	l.warnings = append(l.warnings, fmt.Sprintf(format, args...))
}

// checkPattern finds prefixes that no path of a request begins with: paths are matched in
// their escaped form, without query and fragment.
func (l *linter) checkPattern(r Route) {
	switch u, err := url.ParseRequestURI(r.Path); {
	case err != nil:
		l.warn("route %q: prefix %q can't match: %v", r.Name, r.Path, err)
	case u.RawQuery != "" || u.ForceQuery || strings.Contains(r.Path, "#"):
		l.warn("route %q: prefix %q can't match: a path has no ? or #", r.Name, r.Path)
	case u.EscapedPath() != r.Path:
		l.warn("route %q: prefix %q can't match: requests have it as %q", r.Name, r.Path, u.EscapedPath())
	}
	if r.Host != strings.TrimSpace(r.Host) || strings.ContainsAny(r.Host, "/?#@*") {
		l.warn("route %q: host %q can't match: it is not a host name", r.Name, r.Host)
	}
}

func (l *linter) checkTimes(r Route) {
	if r.Target > 0 && r.Target >= r.Timeout {
		l.warn("route %q: latency objective %s is not below the timeout %s", r.Name, r.Target, r.Timeout)
	}
}

// checkParts finds parts of a traffic split that get no requests.
func (l *linter) checkParts(r Route) {
	seen := map[string]bool{}
	for _, p := range r.WeightedPools() {
		if p.Weight > 0 {
			l.used[p.Pool] = true
		} else {
			l.warn("route %q: service %q has weight 0 and gets no requests", r.Name, p.Pool)
		}
		if seen[p.Pool] {
			l.warn("route %q: service %q is listed twice in the split", r.Name, p.Pool)
		}
		seen[p.Pool] = true
	}
}

func (l *linter) checkServices() {
	for _, s := range l.config.Services {
		if !l.used[s.Name] {
			l.warn("service %q: no route sends requests to it", s.Name)
		}
		if s.Rate > 0 && s.Cold == 0 {
			l.warn("service %q: cold rate %g a second without a cold start time", s.Name, s.Rate)
		}
		if s.Cold > 0 && s.Rate == 0 {
			l.warn("service %q: cold start time %s without a cold rate, so cold servers are not protected", s.Name, s.Cold)
		}
	}
}

func (l *linter) checkAccounts() {
	for _, a := range l.config.Accounts {
		if len(a.Keys) == 0 {
			l.warn("account %q: it has no key, so no request can belong to it", a.Name)
		}
	}
	anonymous := 0
	for _, r := range l.config.Routes {
		if r.Anonymous {
			anonymous++
		}
	}
	switch {
	case !l.config.Keyed && anonymous > 0:
		l.warn("%d routes are anonymous, but no request needs a key", anonymous)
	case l.config.Keyed && len(l.config.Accounts) == 0 && anonymous < len(l.config.Routes):
		l.warn("no account exists, so %d routes reject every request", len(l.config.Routes)-anonymous)
	}
}

// minHeader is the size of the header of an ordinary request, in bytes.
const minHeader = 1 << 10

func (l *linter) checkLimits() {
	limits := l.config.Limits
	if limits.Header > 0 && limits.Header < minHeader {
		l.warn("limits: a header limit of %d bytes rejects ordinary requests", limits.Header)
	}
	if limits.Idle > 0 && limits.Wait > limits.Idle {
		l.warn("limits: the time for a header, %s, is above the idle time, %s", limits.Wait, limits.Idle)
	}
}
