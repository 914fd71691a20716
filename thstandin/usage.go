package thstandin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

const (
	// usageRate is the number of calls in a second that the API of the users' platform accepts.
	usageRate = 50
	// usageLease is the default of UsageAPI.Lease.
	usageLease = 3 * time.Second
)

// UsageCall is one call of a UsageAPI, in order of arrival.
type UsageCall struct {
	Time     time.Time
	Holder   string
	Token    uint64
	Window   int64
	Counts   map[string]uint64
	Remote   string // address of the client without port
	Accepted bool   // the report was taken, whether the client got an answer or not
}

// UsageFaults are the faults that a UsageAPI injects. Calls are recorded all the same.
type UsageFaults struct {
	Unavailable  bool          // every call gets status 503
	Limited      bool          // every call gets status 429
	Hang         bool          // no call gets a response or is accepted
	Reset        bool          // connections are reset without a response, calls not accepted
	LoseResponse bool          // calls are accepted, but their connections are closed without a response
	Latency      time.Duration // added to each call before it is accepted
	RejectedIPs  []string      // addresses of clients that get status 503
}

// UsageAPI serves the platform's POST /usage. The zero value is ready to use.
type UsageAPI struct {
	Clock clockwork.Clock
	Rate  int           // calls in a second above which calls get status 429; 50 when zero
	Lease time.Duration // in which holders must not alternate; 3 s when zero

	mutex  sync.Mutex
	faults UsageFaults
	calls  []UsageCall
	recent []time.Time // arrivals of the last second that were not limited
}

// SetFaults replaces the faults. Calls in progress are not affected.
func (a *UsageAPI) SetFaults(f UsageFaults) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.faults = f
}

// Calls returns all calls so far that could be read.
func (a *UsageAPI) Calls() []UsageCall {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Clone(a.calls)
}

// Reports returns the counts of the accepted windows, as first reported.
func (a *UsageAPI) Reports() map[int64]map[string]uint64 {
	reports := map[int64]map[string]uint64{}
	for _, c := range a.Calls() {
		if _, found := reports[c.Window]; c.Accepted && !found {
			reports[c.Window] = maps.Clone(c.Counts)
		}
	}
	return reports
}

// ServeHTTP serves POST /usage.
func (a *UsageAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/usage" {
		http.NotFound(w, r)
		return
	}
	var body struct {
		Window *int64            `json:"window_id"`
		Counts map[string]uint64 `json:"counts"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err == nil {
		err = json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&body)
	}
	holder := r.Header.Get("X-Lease-Holder")
	if err != nil || body.Window == nil || body.Counts == nil || holder == "" || r.Header.Get("Content-Type") != "application/json" {
		http.Error(w, "malformed report", http.StatusBadRequest)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	clock := thclock.OrSystem(a.Clock)
	index, f, limited := a.record(UsageCall{
		Time: clock.Now(), Holder: holder, Token: token, Window: *body.Window, Counts: body.Counts, Remote: host,
	})
	switch {
	case f.Hang:
		<-r.Context().Done()
		return
	case f.Reset:
		resetConnection(w)
		return
	}
	if f.Latency > 0 {
		clock.Sleep(f.Latency)
	}
	switch {
	case f.Unavailable || slices.Contains(f.RejectedIPs, host):
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	case f.Limited || limited:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return
	}
	a.mutex.Lock()
	a.calls[index].Accepted = true
	a.mutex.Unlock()
	if f.LoseResponse {
		breakConnection()
	}
	w.WriteHeader(http.StatusOK)
}

// record adds a call and returns its index, the faults at its arrival, and whether it exceeds
// the rate.
func (a *UsageAPI) record(c UsageCall) (index int, f UsageFaults, limited bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.calls = append(a.calls, c)
	a.recent = slices.DeleteFunc(a.recent, func(t time.Time) bool { return c.Time.Sub(t) >= time.Second })
	rate := a.Rate
	if rate == 0 {
		rate = usageRate
	}
	if limited = len(a.recent) >= rate; !limited {
		a.recent = append(a.recent, c.Time)
	}
	return len(a.calls) - 1, a.faults, limited
}

// resetConnection closes the connection of a request with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		breakConnection()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the client sees an end of the stream
	}
	_ = conn.Close()
}

// Breaches describes each breach of the rules for reports and holders. Calls that were not
// accepted count too.
func (a *UsageAPI) Breaches() []string {
	lease := a.Lease
	if lease == 0 {
		lease = usageLease
	}
	var breaches []string
	counts := map[int64]map[string]uint64{}
	holders := map[uint64]string{}
	highest := uint64(0)
	last := map[string]time.Time{}     // last call of each holder
	returned := map[string]time.Time{} // last call of a holder before that of another one
	previous := ""
	for i, c := range a.Calls() {
		if known, found := counts[c.Window]; !found {
			counts[c.Window] = c.Counts
		} else if !maps.Equal(known, c.Counts) {
			breaches = append(breaches, fmt.Sprintf("call %d: window %d has other counts than before", i, c.Window))
		}
		if known, found := holders[c.Token]; !found {
			holders[c.Token] = c.Holder
		} else if known != c.Holder {
			breaches = append(breaches, fmt.Sprintf("call %d: token %d of %s was used by %s", i, c.Token, c.Holder, known))
		}
		if c.Token < highest {
			breaches = append(breaches, fmt.Sprintf("call %d: token %d of %s after %d", i, c.Token, c.Holder, highest))
		}
		highest = max(highest, c.Token)
		if previous != "" && previous != c.Holder {
			returned[previous] = last[previous]
			if t, found := returned[c.Holder]; found && c.Time.Sub(t) < lease {
				breaches = append(breaches, fmt.Sprintf("call %d: %s acts again within the lease, after %s", i, c.Holder, previous))
			}
		}
		previous, last[c.Holder] = c.Holder, c.Time
	}
	return breaches
}
