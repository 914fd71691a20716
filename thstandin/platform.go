// Package thstandin holds stand-ins for the systems around the mesh: the
// platform, backend servers and load.
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

// FaultPath is the HTTP path that sets and shows faults.
const FaultPath = "/fault"

const maxRequestBytes = 16 << 20 // bytes of a request body

// Platform serves the subset of the DynamoDB JSON API and of the S3 API that
// the adapters use, and the control path for faults. Requests with the header
// X-Amz-Target are DynamoDB's, all others S3's. State is in memory. The zero
// value is empty and works.
type Platform struct {
	Clock   clockwork.Clock
	tables  tableAPI
	objects objectAPI
}

// Fault is the JSON form of thmemory.Faults; Delay is a Go duration.
type Fault struct {
	Fail  bool    `json:"fail"`
	Delay string  `json:"delay,omitempty"`
	Lost  bool    `json:"lost"`
	Rate  float64 `json:"rate"`
}

// Faults is the body of a POST to FaultPath. A part that is left out stays as
// it is.
type Faults struct {
	Table  *Fault `json:"table,omitempty"`
	Object *Fault `json:"object,omitempty"`
	// State saves the items of the table service (StateSave) or restores those
	// saved last (StateRestore), as an operator does from a backup.
	State string `json:"state,omitempty"`
}

// The values of Faults.State.
const (
	StateSave    = "save"
	StateRestore = "restore"
)

// ServiceStatus is the state of one service of the platform.
type ServiceStatus struct {
	Fault  Fault  `json:"fault"`
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// PlatformStatus is the answer to GET and POST on FaultPath.
type PlatformStatus struct {
	Table  ServiceStatus `json:"table"`
	Object ServiceStatus `json:"object"`
}

// ServeHTTP serves both APIs and the control path.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	switch {
	case r.URL.Path == FaultPath:
		p.serveFault(w, r)
	case r.Header.Get("X-Amz-Target") != "":
		p.tables.serve(w, r, thclock.Or(p.Clock).Now())
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

// SetFaults replaces the faults of the services that f names, and saves or
// restores the items where f says so. On an error nothing is changed.
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

// Status returns the faults in force and the number of requests received.
func (p *Platform) Status() PlatformStatus {
	return PlatformStatus{Table: status(&p.tables.faults), Object: status(&p.objects.faults)}
}

func status(s *thmemory.Switch) ServiceStatus {
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
	// The client may have gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// breakConnection breaks the connection in place of an answer.
func breakConnection() { panic(http.ErrAbortHandler) }
