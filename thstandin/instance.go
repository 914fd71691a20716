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

// ExecutedRequest is one request that an Instance has run.
type ExecutedRequest struct {
	RequestID, Caller, Method, Target, Body string
}

// Instance is a backend server of the users' platform: it runs requests, names
// itself in its answers, refuses those meant for another instance, and sends
// heartbeats. Set the exported fields before use.
type Instance struct {
	ID, Service, Version, Zone, Address string
	ControlAddress                      string // address for heartbeats
	Slots                               int
	ProcessingTime                      time.Duration // time of a request
	StartTime                           time.Time

	mutex    sync.Mutex
	sequence int
	runs     []ExecutedRequest
	active   int
	peak     int // requests at the same time
}

// ServeHTTP runs a request.
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
	})
	i.active++
	i.peak = max(i.peak, i.active)
	w.Header().Set("X-Server-Load", strconv.Itoa(i.active)+",0,"+strconv.Itoa(i.Slots))
	i.mutex.Unlock()
	time.Sleep(i.ProcessingTime)
	i.mutex.Lock()
	i.active--
	i.mutex.Unlock()
	w.Header().Set("X-Server-Stamp", i.ID)
	_, _ = fmt.Fprintf(w, "%s %s", i.Service, i.ID) // a caller that has gone reads nothing
}

// Runs returns the requests that were run.
func (i *Instance) Runs() []ExecutedRequest {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]ExecutedRequest(nil), i.runs...)
}

// PeakConcurrency returns how many requests ran at the same time at most.
func (i *Instance) PeakConcurrency() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.peak
}

// SendHeartbeat sends a heartbeat with a state; cold is how long the instance stays cold.
func (i *Instance) SendHeartbeat(state string, cold time.Duration) error {
	i.mutex.Lock()
	i.sequence++
	sequence := i.sequence
	i.mutex.Unlock()
	return i.post("Instances.Heartbeat", map[string]any{
		"address": i.Address, "born": i.StartTime.UnixMilli(),
		"info":   map[string]any{"service": i.Service, "version": i.Version, "zone": i.Zone, "slots": i.Slots},
		"status": map[string]any{"state": state, "sequence": sequence, "cold_remaining_s": cold.Seconds()},
	})
}

// Deregister deregisters the instance.
func (i *Instance) Deregister() error {
	return i.post("Instances.Deregister", map[string]any{"born": i.StartTime.UnixMilli()})
}

func (i *Instance) post(call string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	a, err := client.Post("http://"+i.ControlAddress+"/api/"+call+"/"+i.ID, "application/json", bytes.NewReader(body)) //nolint:noctx // the client has a timeout
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%s of %s answered %d", call, i.ID, a.StatusCode)
	}
	return nil
}
