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
	bodyMax  = 4096
	slotsMax = 10000
	pathMax  = 200
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// warmAge is the age in seconds from which a server that this daemon has not
// seen before counts as warm: its daemon restarted beside it.
const warmAge = 60

// announcement is the body of /announce. Health and Load are paths on Address;
// either may be empty. Age is the time in seconds since the server began to
// serve, zero when it does not say.
type announcement struct {
	Service string  `json:"service"`
	Version string  `json:"version"`
	Address string  `json:"address"`
	Slots   int     `json:"slots"`
	Health  string  `json:"health"`
	Load    string  `json:"load"`
	Age     float64 `json:"age"`
}

// ServeHTTP answers /announce and /leave.
func (w *Watcher) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var err error
	switch {
	case r.URL.Path != "/announce" && r.URL.Path != "/leave":
		http.NotFound(rw, r)
		return
	case r.Method != http.MethodPost:
		rw.Header().Set("Allow", http.MethodPost)
		http.Error(rw, "only POST is answered here", http.StatusMethodNotAllowed)
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

func (w *Watcher) announce(rw http.ResponseWriter, r *http.Request) error {
	var a announcement
	if err := decode(rw, r, &a); err != nil {
		return err
	}
	address, err := w.checkAnnouncement(&a)
	if err != nil {
		return err
	}
	w.change(func() *record {
		now := thclock.OrSystem(w.Clock).Now()
		n := &record{announcement: a, address: address, state: thwire.ServerStarting, first: now, last: now}
		c := w.current
		switch {
		case c == nil && a.Age >= warmAge:
			n.state = thwire.ServerReady
		case c == nil:
		case c.address != address && address == w.replaced && now.Sub(c.last) < missed*interval:
			return c
		case c.address != address:
			w.replaced = c.address
		case a.restarted(c, now):
		case c.Service == a.Service && c.Version == a.Version && (!c.refused || a.Age > c.Age):
			n.state, n.first = c.state, c.first
		}
		return n
	})
	return nil
}

// restarted reports whether the announcement is that of a process younger than
// the one of the record. A daemon that was frozen reads the announcements that
// have queued up in any order: only an age that fits into the time since the last
// one, with an interval for its delay, belongs to another process.
func (a *announcement) restarted(c *record, now time.Time) bool {
	age := time.Duration(a.Age * float64(time.Second))
	return a.Age < c.Age && age <= now.Sub(c.last)+interval
}

func decode(rw http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, bodyMax))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return therror.Wrap(therror.Bad, err, "body")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return therror.New(therror.Bad, "body: more than one JSON value")
	}
	return nil
}

func (w *Watcher) checkAnnouncement(a *announcement) (netip.AddrPort, error) {
	var faults []string
	fault := func(wrong bool, text string) {
		if wrong {
			faults = append(faults, text)
		}
	}
	fault(!nameForm.MatchString(a.Service), "service is not a name")
	fault(!nameForm.MatchString(a.Version), "version is not a name")
	fault(a.Slots < 1 || a.Slots > slotsMax, "slots is not within 1 to 10000")
	fault(a.Age < 0, "age is negative")
	fault(!validPath(a.Health), "health is not a path")
	fault(!validPath(a.Load), "load is not a path")
	address, err := netip.ParseAddrPort(a.Address)
	fault(err != nil || address.Port() == 0, "address is not an IP address with a port")
	fault(err == nil && !w.own(address.Addr()), "address is neither loopback nor an own address")
	if len(faults) > 0 {
		return netip.AddrPort{}, therror.New(therror.Bad, "announcement: %s", strings.Join(faults, "; "))
	}
	return address, nil
}

func validPath(p string) bool {
	return p == "" || p[0] == '/' && len(p) <= pathMax && !strings.ContainsAny(p, " \r\n#")
}

// leave marks the server as leaving. The body may be empty or name the server's
// address; a server that another one has replaced then changes nothing.
func (w *Watcher) leave(rw http.ResponseWriter, r *http.Request) error {
	var l struct {
		Address string `json:"address"`
	}
	if r.ContentLength != 0 {
		if err := decode(rw, r, &l); err != nil {
			return err
		}
	}
	w.change(func() *record {
		c := w.current
		if c == nil || l.Address != "" && l.Address != c.Address {
			return c
		}
		n := *c
		n.state = thwire.ServerLeaving
		return &n
	})
	return nil
}
