package thstandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ExecutedRequest is one request that an Instance has run. RequestID and Caller are its
// headers X-Request-Id and X-Caller-Service, Target its request URI. Account is its header
// X-Tenant-Id, empty if it has none. Keyed means that it has a header X-Api-Key, which a daemon
// must not pass on.
type ExecutedRequest struct {
	RequestID, Caller, Method, Target, Body string
	Account                                 string
	Keyed                                   bool
}

// Instance is a backend server of the users' platform: it runs requests, sends its id
// in the responses, rejects requests that expect another instance, and sends heartbeats.
// Set the exported fields before use.
type Instance struct {
	ID, Service, Version, Zone, Address string
	ControlAddress                      string // the daemon's address for heartbeats
	Slots                               int
	ProcessingTime                      time.Duration // processing time of a request
	StartTime                           time.Time

	mutex    sync.Mutex
	sequence int
	limit    string // value of header Server-Limit; no header when empty
	leaving  bool   // responses have header Server-Leaving
	runs     []ExecutedRequest
	arrivals []time.Time // when the runs began
	active   int
	peak     int    // maximum of active
	crashOn  string // request target that crashes the instance; empty for none
	crash    func()
	crashes  []time.Time
}

// ServeHTTP runs a request. It responds with status 421 if header X-Expect-Instance
// names another instance.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Instance-Id", i.ID)
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != i.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.mutex.Lock()
	i.runs = append(i.runs, ExecutedRequest{
		RequestID: r.Header.Get("X-Request-Id"), Caller: r.Header.Get("X-Caller-Service"),
		Method: r.Method, Target: r.RequestURI, Body: string(body),
		Account: r.Header.Get("X-Tenant-Id"), Keyed: len(r.Header.Values("X-Api-Key")) > 0,
	})
	i.arrivals = append(i.arrivals, time.Now())
	i.active++
	i.peak = max(i.peak, i.active)
	w.Header().Set("X-Server-Load", strconv.Itoa(i.active)+",0,"+strconv.Itoa(i.Slots))
	crash := i.crash
	if i.crashOn != r.RequestURI {
		crash = nil
	}
	if crash != nil {
		i.crashes = append(i.crashes, time.Now())
		i.active--
	}
	i.mutex.Unlock()
	if crash != nil {
		crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(i.ProcessingTime)
	i.mutex.Lock()
	i.active--
	if i.limit != "" {
		w.Header().Set("Server-Limit", i.limit)
	}
	if i.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	i.mutex.Unlock()
	w.Header().Set("X-Server-Stamp", i.ID)
	_, _ = fmt.Fprintf(w, "%s %s", i.Service, i.ID) // the client may have closed the connection
}

// Runs returns the requests that were run, rejected ones excluded.
func (i *Instance) Runs() []ExecutedRequest {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]ExecutedRequest(nil), i.runs...)
}

// Arrivals returns when each of the requests that were run has arrived.
func (i *Instance) Arrivals() []time.Time {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]time.Time(nil), i.arrivals...)
}

// SetLimit makes responses state a limit of requests per second. The text is sent as it
// is; an empty one ends the statement.
func (i *Instance) SetLimit(text string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.limit = text
}

// SetLeaving makes responses state that the instance is leaving. Heartbeats are unaffected.
func (i *Instance) SetLeaving(leaving bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.leaving = leaving
}

// CrashOn makes each request of a target call crash, which must break all connections and
// refuse new ones, as the end of the process does.
func (i *Instance) CrashOn(target string, crash func()) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.crashOn, i.crash = target, crash
}

// Crashes returns when requests have crashed the instance.
func (i *Instance) Crashes() []time.Time {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]time.Time(nil), i.crashes...)
}

// Restart makes the instance a new process of the same id.
func (i *Instance) Restart() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.StartTime, i.sequence = time.Now(), 0
}

// PeakConcurrency returns the maximum of concurrently run requests.
func (i *Instance) PeakConcurrency() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.peak
}

// SendHeartbeat sends a heartbeat with a state; cold is the remaining time until the
// instance is warm.
func (i *Instance) SendHeartbeat(state string, cold time.Duration) error {
	i.mutex.Lock()
	i.sequence++
	sequence, born := i.sequence, i.StartTime.UnixMilli()
	i.mutex.Unlock()
	return i.post("Instances.Heartbeat", map[string]any{
		"address": i.Address, "born": born,
		"info":   map[string]any{"service": i.Service, "version": i.Version, "zone": i.Zone, "slots": i.Slots},
		"status": map[string]any{"state": state, "sequence": sequence, "cold_remaining_s": cold.Seconds()},
	})
}

// Deregister notifies the daemon that the instance is gone.
func (i *Instance) Deregister() error {
	i.mutex.Lock()
	born := i.StartTime.UnixMilli()
	i.mutex.Unlock()
	return i.post("Instances.Deregister", map[string]any{"born": born})
}

// post sends a call of the control API and returns an error unless the status is 200.
func (i *Instance) post(call string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+i.ControlAddress+"/api/"+call+"/"+i.ID, "application/json", bytes.NewReader(body)) //nolint:noctx // the client has a timeout
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s of instance %s: status %d", call, i.ID, response.StatusCode)
	}
	return nil
}
