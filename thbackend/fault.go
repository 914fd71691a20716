package thbackend

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Fault is the body of POST /fault and selects the faults that the server injects. The
// zero value ends all faults.
type Fault struct {
	Share   float64 `json:"share"`   // fraction of requests that fail
	Status  int     `json:"status"`  // status of failed requests; 500 when zero
	Cut     bool    `json:"cut"`     // truncates the response of failed requests
	Drop    bool    `json:"drop"`    // closes the connection of failed requests without a response, after they have run
	Latency int     `json:"latency"` // added latency in ms
	After   int     `json:"after"`   // delay in ms from the POST until the fault starts
	Above   int     `json:"above"`   // applies only with more concurrent requests than this
	Path    string  `json:"path"`    // applies only to requests with this path prefix

	Health int  `json:"health"` // status of /health; the actual health when zero
	Load   *int `json:"load"`   // load that /load reports; the actual load when nil
	Hang   bool `json:"hang"`   // probes get no response
}

// activeFault is a Fault with the time from which it applies.
type activeFault struct {
	Fault
	startTime time.Time
}

// SetFault replaces the fault. It applies f.After ms from now.
func (b *Backend) SetFault(f Fault) {
	b.fault.Store(&activeFault{f, b.clock().Now().Add(time.Duration(f.After) * time.Millisecond)})
}

// faultFor returns the fault that applies to a request, or nil; active is the number of
// concurrent requests, this one included.
func (b *Backend) faultFor(path string, active int64) *activeFault {
	f := b.fault.Load()
	if f == nil || b.clock().Now().Before(f.startTime) || active <= int64(f.Above) || !strings.HasPrefix(path, f.Path) {
		return nil
	}
	return f
}

func (f *activeFault) shouldFail() bool { return f != nil && f.Share > 0 && rand.Float64() < f.Share }

func (f *activeFault) delay() time.Duration {
	if f == nil {
		return 0
	}
	return time.Duration(f.Latency) * time.Millisecond
}

func (b *Backend) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// probe serves /health and /load.
func (b *Backend) probe(w http.ResponseWriter, r *http.Request) {
	b.journal.countProbe()
	if b.ProbeTime > 0 {
		b.clock().Sleep(b.ProbeTime)
	}
	f := b.fault.Load()
	if f == nil {
		f = &activeFault{}
	}
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/load" {
		load := int(b.active.Load())
		if f.Load != nil {
			load = *f.Load
		}
		writeJSON(w, map[string]int{"load": load})
		return
	}
	switch {
	case f.Health != 0:
		w.WriteHeader(f.Health)
	case b.draining.Load() || b.capacity() < b.slots():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
