// Package thadmin implements the daemon's admin HTTP interface and its client, which
// the operator commands use.
package thadmin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

// Admin serves /metrics, /health, /ready, /status, /poke and /release. All fields are
// optional: without Gatherer there is no /metrics, without Health and Ready the
// daemon counts as healthy and ready, without Status /status responds with 503,
// and without Poke /poke has no effect.
type Admin struct {
	Gatherer prometheus.Gatherer
	Health   func() error    // returns nil while the process is healthy
	Ready    func() []string // reasons why the daemon does not accept calls; empty when ready
	Status   func() Status
	Poke     func() // triggers an immediate read of the configuration's head
	// ReceiveChange is called with a change that an operator's command committed
	// and sent with /poke. If nil, /poke ignores its body.
	ReceiveChange func(thconfig.Change)
	// Release ends the quarantine of the request with a fingerprint; see thcrash. If nil,
	// no request is quarantined.
	Release func(fingerprint string) error
	Log     hclog.Logger
}

// Readiness is the response body of /ready.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// maxScrapes limits concurrent requests of /metrics, each of which gathers all metrics.
const maxScrapes = 4

// maxChangeSize limits the body of /poke, in bytes. Any change that the table service
// accepts is smaller.
const maxChangeSize = 400 << 10

// Handler returns the handler of the admin interface. It reads Gatherer once; the
// other fields are read on each request.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	if a.Gatherer != nil {
		mux.Handle("GET /metrics", promhttp.HandlerFor(a.Gatherer, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	}
	mux.HandleFunc("GET /health", a.health)
	mux.HandleFunc("GET /ready", a.ready)
	mux.HandleFunc("GET /status", a.status)
	mux.HandleFunc("POST /poke", a.poke)
	mux.HandleFunc("POST /release/{fingerprint}", a.release)
	return mux
}

func (a *Admin) health(w http.ResponseWriter, _ *http.Request) {
	if a.Health != nil {
		if err := a.Health(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	r := Readiness{Ready: true}
	if a.Ready != nil {
		r.Reasons = a.Ready()
		r.Ready = len(r.Reasons) == 0
	}
	status := http.StatusOK
	if !r.Ready {
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	}
	a.writeJSON(w, status, r)
}

func (a *Admin) status(w http.ResponseWriter, _ *http.Request) {
	if a.Status == nil {
		http.Error(w, "no status yet", http.StatusServiceUnavailable)
		return
	}
	a.writeJSON(w, http.StatusOK, a.Status())
}

// poke handles /poke. The optional body is a committed change in msgpack.
func (a *Admin) poke(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(body) > 0 && a.ReceiveChange != nil {
		var c thconfig.Change
		if _, err := c.UnmarshalMsg(body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a.ReceiveChange(c)
	}
	if a.Poke != nil {
		a.Poke()
	}
	w.WriteHeader(http.StatusNoContent)
}

// release handles /release. The response has the status of the error, or 204.
func (a *Admin) release(w http.ResponseWriter, r *http.Request) {
	err := error(therror.New(therror.Absent, "no request is quarantined"))
	if a.Release != nil {
		err = a.Release(r.PathValue("fingerprint"))
	}
	if err != nil {
		http.Error(w, err.Error(), therror.ResponseTo(therror.KindOf(err)).Status)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Admin) writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	if _, err := w.Write(append(body, '\n')); err != nil && a.Log != nil {
		a.Log.Debug("admin response not sent", "error", err)
	}
}
