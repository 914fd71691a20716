package thserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	maxBodyBytes = 4096
	maxSlots     = 10000
	maxPathBytes = 200
)

// namePattern matches valid names of services and versions.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// minWarmAgeSeconds is the age from which the first server that announces itself counts
// as warm: it kept running while this daemon restarted.
const minWarmAgeSeconds = 60

// announcement is the request body of /announce. Health and Load are the paths of the
// endpoints at Address; either may be empty. Age is the time in seconds since the
// server began to serve, zero if unknown.
type announcement struct {
	Service string  `json:"service"`
	Version string  `json:"version"`
	Address string  `json:"address"`
	Slots   int     `json:"slots"`
	Health  string  `json:"health"`
	Load    string  `json:"load"`
	Age     float64 `json:"age"`
}

// ServeHTTP handles POST requests to /announce and /leave. Success is status 204.
func (w *Watcher) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var err error
	switch {
	case r.URL.Path != "/announce" && r.URL.Path != "/leave":
		http.NotFound(rw, r)
		return
	case r.Method != http.MethodPost:
		rw.Header().Set("Allow", http.MethodPost)
		http.Error(rw, "only POST is allowed", http.StatusMethodNotAllowed)
		return
	case r.URL.Path == "/announce":
		err = w.announce(rw, r)
	default:
		err = w.leave(rw, r)
	}
	if err != nil {
		http.Error(rw, err.Error(), therror.ResponseTo(therror.KindOf(err)).Status)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

// announce registers the announced server. It returns once all callbacks have run. A
// server at another address replaces the current one; announcements of the replaced
// server are ignored while the current one announces itself.
func (w *Watcher) announce(rw http.ResponseWriter, r *http.Request) error {
	var a announcement
	if err := decode(rw, r, &a); err != nil {
		return err
	}
	address, err := w.validateAnnouncement(&a)
	if err != nil {
		return err
	}
	w.update(func() *registration {
		now := thclock.OrSystem(w.Clock).Now()
		n := &registration{announcement: a, address: address, state: thwire.ServerStarting, firstSeen: now, lastSeen: now}
		c := w.current
		switch {
		case c == nil && a.Age >= minWarmAgeSeconds:
			n.state = thwire.ServerReady
		case c == nil:
		case c.address != address && address == w.replacedAddress && now.Sub(c.lastSeen) < maxMissedAnnouncements*announceInterval:
			return c
		case c.address != address:
			w.replacedAddress = c.address
		case a.isRestart(c, now):
		case c.Service == a.Service && c.Version == a.Version && (!c.connRefused || a.Age > c.Age):
			n.state, n.firstSeen = c.state, c.firstSeen
		}
		return n
	})
	return nil
}

// isRestart reports whether the announcement comes from a process that started after
// the registered one. A smaller age alone is not enough, since a daemon that was frozen
// reads queued announcements in any order: the process must also have started after the
// last announcement, with a tolerance of one announceInterval for its delay.
func (a *announcement) isRestart(c *registration, now time.Time) bool {
	age := time.Duration(a.Age * float64(time.Second))
	return a.Age < c.Age && age <= now.Sub(c.lastSeen)+announceInterval
}

// decode decodes a body that is exactly one JSON value without unknown fields. The error
// is of kind Bad.
func decode(rw http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return therror.Wrap(therror.Bad, err, "decode request body")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return therror.New(therror.Bad, "request body contains more than one JSON value")
	}
	return nil
}

// validateAnnouncement returns the parsed address, or an error of kind Bad that lists
// all faults.
func (w *Watcher) validateAnnouncement(a *announcement) (netip.AddrPort, error) {
	var faults []string
	check := func(invalid bool, text string) {
		if invalid {
			faults = append(faults, text)
		}
	}
	check(!namePattern.MatchString(a.Service), "service is not a valid name")
	check(!namePattern.MatchString(a.Version), "version is not a valid name")
	check(a.Slots < 1 || a.Slots > maxSlots, "slots is out of range 1 to 10000")
	check(a.Age < 0, "age is negative")
	check(!validPath(a.Health), "health is not a valid path")
	check(!validPath(a.Load), "load is not a valid path")
	address, err := netip.ParseAddrPort(a.Address)
	check(err != nil || address.Port() == 0, "address is not an IP address with a port")
	check(err == nil && !w.isLocal(address.Addr()), "address is neither loopback nor an address of this machine")
	if len(faults) > 0 {
		return netip.AddrPort{}, therror.New(therror.Bad, "invalid announcement: %s", strings.Join(faults, "; "))
	}
	return address, nil
}

// validPath reports whether p is empty or a usable request path.
func validPath(p string) bool {
	return p == "" || p[0] == '/' && len(p) <= maxPathBytes && !strings.ContainsAny(p, " \r\n#")
}

// leave marks the current server as leaving. The body is empty or contains the address
// of the server; with an address other than that of the current server, the request has
// no effect.
func (w *Watcher) leave(rw http.ResponseWriter, r *http.Request) error {
	var body struct {
		Address string `json:"address"`
	}
	if r.ContentLength != 0 {
		if err := decode(rw, r, &body); err != nil {
			return err
		}
	}
	w.update(func() *registration {
		c := w.current
		if c == nil || body.Address != "" && body.Address != c.Address {
			return c
		}
		n := *c
		n.state = thwire.ServerLeaving
		return &n
	})
	return nil
}
