package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a backend server as PROTOCOL.md describes it. It runs each request for work and
// tells the daemon beside it of itself.
type upstream struct {
	machine *machine
	id      string
	version string
	slots   int
	work    time.Duration
	born    int64

	mutex    sync.Mutex
	running  int
	sequence int
	state    string    // of heartbeats; none are sent while it is empty
	warm     time.Time // until then the server is cold
	leaving  bool
	server   *http.Server
	gone     bool
	fails    float64 // share of the requests that fail
}

// startUpstream starts a backend server beside the daemon of a machine.
func startUpstream(m *machine, id, version string, work time.Duration) (*upstream, error) {
	u := &upstream{machine: m, id: id, version: version, slots: 18, work: work, born: time.Now().UnixMilli(), state: "ready"}
	if m.fleet.serving {
		u.warm = time.Now().Add(coldTime)
	}
	l, err := net.Listen("tcp", m.at(portApp)) //nolint:noctx // closed by end
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	go u.beat(m.fleet.ctx)
	return u, nil
}

// end ends the process: its connections break.
func (u *upstream) end() {
	u.mutex.Lock()
	u.state, u.gone = "", true
	u.mutex.Unlock()
	_ = u.server.Close()
}

func (u *upstream) beat(ctx context.Context) {
	for ctx.Err() == nil {
		u.mutex.Lock()
		state, gone := u.state, u.gone
		u.mutex.Unlock()
		if gone {
			return
		}
		if state != "" {
			_, _ = u.say("Heartbeat", u.nextBeat(state))
		}
		time.Sleep(beatTime)
	}
}

// nextBeat returns the body of the next heartbeat.
func (u *upstream) nextBeat(state string) []byte {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.sequence++
	b, _ := json.Marshal(map[string]any{
		"address": u.machine.at(portApp), "born": u.born,
		"info":   map[string]any{"service": u.machine.service, "version": u.version, "zone": u.machine.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": u.sequence, "cold_remaining_s": max(0, time.Until(u.warm).Seconds())},
	})
	return b
}

// say sends a call to the daemon beside the server and reports whether it was acknowledged within
// a second.
func (u *upstream) say(call string, body []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(u.machine.fleet.ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.machine.at(portControl)+"/api/Instances."+call+"/"+u.id, bytes.NewReader(body)) //nolint:gosec // addresses and folders of this program
	if err != nil {
		return false, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r) //nolint:gosec // addresses and folders of this program
	if err != nil {
		return false, err
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2, nil
}

// deregister tells that the server leaves, as the first and last word about it.
func (u *upstream) deregister() (bool, error) {
	u.mutex.Lock()
	u.state, u.leaving = "", true
	u.mutex.Unlock()
	return u.say("Deregister", fmt.Appendf(nil, `{"born":%d}`, u.born))
}

// setFails sets the share of the requests that fail.
func (u *upstream) setFails(share float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.fails = share
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h["X-Request-Id"] = []string{id}
	h.Set("X-Instance-Id", u.id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mutex.Lock()
	full := u.running >= u.slots
	if !full {
		u.running++
	}
	running, leaving, work := u.running, u.leaving, u.work
	if time.Now().Before(u.warm) {
		work *= 2
	}
	u.mutex.Unlock()
	if leaving {
		h.Set("Connection", "close")
	}
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, u.slots))
	if full {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mutex.Lock()
		u.running--
		u.mutex.Unlock()
	}()
	u.machine.fleet.record.ran(u, id, r, body)
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		u.machine.fleet.record.printf("cut    %s at %s", id, u.id)
		return
	}
	answer := answerTo(id)
	h.Set("X-Server-Stamp", u.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	u.mutex.Lock()
	fails := rand.Float64() < u.fails
	u.mutex.Unlock()
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(answer)
}

// answerTo returns the body of the answer to a request.
func answerTo(id string) []byte {
	return fmt.Appendf(nil, "answer to %s %08x\n", id, crc32.ChecksumIEEE([]byte(id)))
}
