// Package thstandin holds stand-ins for the systems around the mesh: the platform's
// table and object services, and the store and backend servers of the users' platform.
package thstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmemory"
)

// FaultPath is the HTTP path that sets faults by POST and returns the PlatformStatus.
const FaultPath = "/fault"

const maxRequestBytes = 16 << 20 // bytes of a request body

// Platform serves the subset of the DynamoDB JSON API and of the S3 API that the
// adapters use, and FaultPath. Requests with the header X-Amz-Target go to DynamoDB's
// API, all others to S3's. State is in memory. The zero value is empty and ready to use.
type Platform struct {
	Clock   clockwork.Clock
	tables  tableAPI
	objects objectAPI
}

// Fault is the JSON form of thmemory.Faults; Delay is in the format of
// time.ParseDuration.
type Fault struct {
	Fail  bool    `json:"fail"`
	Delay string  `json:"delay,omitempty"`
	Lost  bool    `json:"lost"`
	Rate  float64 `json:"rate"`
}

// Faults is the body of a POST to FaultPath. The faults of a service that is left out
// don't change.
type Faults struct {
	Table  *Fault `json:"table,omitempty"`
	Object *Fault `json:"object,omitempty"`
	// State saves the items of the table service (StateSave) or restores the last
	// saved ones (StateRestore), like a backup. Empty does neither.
	State string `json:"state,omitempty"`
}

// The values of Faults.State.
const (
	StateSave    = "save"
	StateRestore = "restore"
)

// ServiceStatus holds the fault and the request counters of one service of the platform.
type ServiceStatus struct {
	Fault  Fault  `json:"fault"`
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// PlatformStatus is the response to GET and POST on FaultPath.
type PlatformStatus struct {
	Table  ServiceStatus `json:"table"`
	Object ServiceStatus `json:"object"`
}

// ServeHTTP serves both APIs and FaultPath.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	switch {
	case r.URL.Path == FaultPath:
		p.serveFault(w, r)
	case r.Header.Get("X-Amz-Target") != "":
		p.tables.serve(w, r, thclock.OrSystem(p.Clock).Now())
	default:
		p.objects.serve(w, r)
	}
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := p.SetFaults(f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	default:
		http.Error(w, "use GET or POST", http.StatusMethodNotAllowed)
		return
	}
	writeJSON(w, http.StatusOK, "application/json", p.Status())
}

// SetFaults replaces the faults of the services in f, and saves or restores the items
// as f.State says. On an error nothing is changed.
func (p *Platform) SetFaults(f Faults) error {
	table, err := f.Table.parse()
	if err != nil {
		return err
	}
	object, err := f.Object.parse()
	if err != nil {
		return err
	}
	switch f.State {
	case "":
	case StateSave:
		p.tables.save()
	case StateRestore:
		if err := p.tables.restore(); err != nil {
			return err
		}
	default:
		return therror.New(therror.Bad, "state is neither %s nor %s", StateSave, StateRestore)
	}
	if f.Table != nil {
		p.tables.faults.SetFaults(table)
	}
	if f.Object != nil {
		p.objects.faults.SetFaults(object)
	}
	return nil
}

// parse returns no faults for nil.
func (f *Fault) parse() (thmemory.Faults, error) {
	if f == nil {
		return thmemory.Faults{}, nil
	}
	var d time.Duration
	if f.Delay != "" {
		var err error
		if d, err = time.ParseDuration(f.Delay); err != nil {
			return thmemory.Faults{}, therror.Wrap(therror.Bad, err, "delay")
		}
	}
	return thmemory.Faults{Fail: f.Fail, Delay: d, Lost: f.Lost, Rate: f.Rate}, nil
}

// Status returns the active faults and the numbers of requests received.
func (p *Platform) Status() PlatformStatus {
	return PlatformStatus{Table: status(&p.tables.faults), Object: status(&p.objects.faults)}
}

func status(s *thmemory.FaultInjector) ServiceStatus {
	f, c := s.Faults(), s.Counts()
	delay := ""
	if f.Delay > 0 {
		delay = f.Delay.String()
	}
	return ServiceStatus{
		Fault: Fault{Fail: f.Fail, Delay: delay, Lost: f.Lost, Rate: f.Rate},
		Reads: c.Reads, Writes: c.Writes,
	}
}

func writeJSON(w http.ResponseWriter, code int, contentType string, v any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(code)
	// The client may have closed the connection; the error can't be reported to it.
	_ = json.NewEncoder(w).Encode(v)
}

// breakConnection closes the connection without a response.
func breakConnection() { panic(http.ErrAbortHandler) }
