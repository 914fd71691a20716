package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slots       = 18
	coldStart   = 3 * time.Second // cold_start_s
	healthPath  = "/health"
	stateReady  = "ready"
	stateDrains = "draining"

	// Fields of messages and of the record.
	fieldServer   = "server"
	fieldState    = "state"
	fieldSequence = "sequence"
	fieldStatus   = "status"
	fieldService  = "service"
	fieldVersion  = "version"
)

// backend is a backend server of the users' platform as PROTOCOL.md describes it.
type backend struct {
	*machine

	id      string
	version string
	born    int64 // ms since 1970
	bad     bool  // a third of the requests fail
	server  *http.Server
	once    sync.Once
	done    chan struct{}
	warmAt  time.Time // end of the cold start; zero for a server that started before the traffic
	active  atomic.Int64

	mutex        sync.Mutex
	state        string
	sequence     uint64
	acknowledged time.Time // when a daemon acknowledged that this server drains
	late         int       // requests that arrived later than drainTime after that
	arrivals     int
	badAnswers   []time.Time // when requests have failed
	sentAt       []time.Time // when the requests that have arrived were sent
}

// start serves requests and sends heartbeats.
func (b *backend) start() error {
	l, err := listen(b.at(portServer))
	if err != nil {
		return err
	}
	b.state = stateReady
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	go func() {
		for {
			_ = b.sendHeartbeat()
			select {
			case <-b.done:
				return
			case <-time.After(heartbeatPause):
			}
		}
	}()
	return nil
}

// exit ends the process that the backend server stands for.
func (b *backend) exit() {
	b.once.Do(func() {
		close(b.done)
		_ = b.server.Close()
	})
}

// drain reports that the server leaves, and returns when that is acknowledged.
func (b *backend) drain() error {
	b.mutex.Lock()
	b.state = stateDrains
	b.mutex.Unlock()
	return b.sendHeartbeat()
}

// leave deregisters the server and ends its process. The daemon beside it gets SIGTERM then.
func (b *backend) leave() {
	status, err := b.post("/api/Instances.Deregister/"+b.id, fmt.Appendf(nil, `{"born":%d}`, b.born))
	b.record.write("deregistered", map[string]any{fieldServer: b.id, fieldStatus: status, "failed": err != nil})
	b.exit()
	_ = b.daemon.Process.Signal(syscall.SIGTERM)
}

// coldTime returns how much longer the server is cold.
func (b *backend) coldTime() time.Duration { return max(0, time.Until(b.warmAt)) }

func (b *backend) isDraining() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state == stateDrains
}

// sendHeartbeat sends the next heartbeat.
func (b *backend) sendHeartbeat() error {
	b.mutex.Lock()
	b.sequence++
	state, sequence := b.state, b.sequence
	b.mutex.Unlock()
	body, err := json.Marshal(map[string]any{
		"address": b.at(portServer), "born": b.born,
		"info":      map[string]any{fieldService: b.service, fieldVersion: b.version, "zone": b.zone, "slots": slots},
		fieldStatus: map[string]any{fieldState: state, fieldSequence: sequence, "cold_remaining_s": b.coldTime().Seconds()},
	})
	if err != nil {
		return err
	}
	status, err := b.post("/api/Instances.Heartbeat/"+b.id, body)
	now := time.Now()
	b.record.write("heartbeat", map[string]any{fieldServer: b.id, fieldState: state, fieldSequence: sequence, "born": b.born, fieldStatus: status})
	switch {
	case err != nil:
		return err
	case status/100 != 2:
		return errors.New("heartbeat not acknowledged")
	case state == stateDrains:
		b.mutex.Lock()
		defer b.mutex.Unlock()
		if b.acknowledged.IsZero() {
			b.acknowledged = now
		}
	}
	return nil
}

// post sends a message to the control address of the own machine, within the second in which
// an acknowledgement counts.
func (b *backend) post(path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.at(portControl)+path, bytes.NewReader(body)) //nolint:gosec // a loopback address of this program
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r) //nolint:gosec // see above
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// ServeHTTP runs a request, unless it is for another instance or all slots are in use.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", b.id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", min(b.active.Load(), slots), slots))
	if b.isDraining() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == healthPath {
		b.answerHealth(w)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mutex.Lock()
	b.arrivals++
	b.sentAt = append(b.sentAt, b.sendTime(id))
	late := !b.acknowledged.IsZero() && arrived.Sub(b.acknowledged) > drainTime
	if late {
		b.late++
	}
	b.mutex.Unlock()
	run := b.active.Add(1) <= slots
	defer b.active.Add(-1)
	b.record.write("arrives", map[string]any{
		fieldServer: b.id, "id": id, "method": r.Method, "path": r.RequestURI, "caller": r.Header.Get("X-Caller-Service"), "run": run, "late": late,
	})
	if !run {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	work := 50 * time.Millisecond
	if b.coldTime() > 0 {
		work *= 2 // cold_x
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Stamp", b.id+"."+id)
	if b.isBad() && rand.IntN(3) == 0 {
		b.mutex.Lock()
		b.badAnswers = append(b.badAnswers, time.Now())
		b.mutex.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(append([]byte(id+" "), body...)) //nolint:gosec // read by clients of this program only
}

// answerHealth answers a health check, which isn't a request.
func (b *backend) answerHealth(w http.ResponseWriter) {
	w.Header().Set("X-Cold-Remaining-Ms", strconv.FormatInt(b.coldTime().Milliseconds(), 10))
	if b.isDraining() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// counts returns how many requests have arrived, and how many of them late.
func (b *backend) counts() (arrivals, late int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.arrivals, b.late
}

func (b *backend) setBad(bad bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.bad = bad
}

func (b *backend) isBad() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bad
}

// sentBetween returns how many requests that have arrived were sent in a time.
func (b *backend) sentBetween(from, to time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := 0
	for _, at := range b.sentAt {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

func (b *backend) badTimes() []time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.badAnswers)
}

// nth returns the n-th of the times, counted from 1; false if there are fewer.
func nth(times []time.Time, n int) (time.Time, bool) {
	if len(times) < n {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[n-1], true
}
