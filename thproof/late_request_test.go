package thproof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a planned stop that accepts a request late on an open connection, sends it
// to a backend server and cuts it at the end of the grace time.
func TestStopRefusesLateRequests(t *testing.T) {
	const (
		processing = 2800 * time.Millisecond
		notice     = 500 * time.Millisecond // in the settings of hostedFleet
		grace      = 3 * time.Second
	)
	h := &hostedFleet{t: t, size: 2, slots: 4, processingTime: processing, routeTimeout: 10 * time.Second}
	h.startNodes()
	h.configure(1)
	for _, n := range h.nodes {
		waitUntil(t, n.name+" is ready", n.isReady)
	}
	n := h.nodes[0]
	connection, err := net.Dial("tcp", net.JoinHostPort(n.ip(), strconv.Itoa(hostedIngressPort)))
	assert.NilError(t, err)
	defer connection.Close()
	send := func(id string) {
		_, err := fmt.Fprintf(connection, "POST /book/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n", id)
		assert.NilError(t, err)
	}
	send("early")
	time.Sleep(processing / 2)
	assert.NilError(t, n.daemon.Signal(syscall.SIGTERM))
	time.Sleep(notice + 300*time.Millisecond)
	send("late") // behind the early request, which keeps the connection open
	reader := bufio.NewReader(connection)
	status := map[string]int{}
	for _, id := range []string{"early", "late"} {
		assert.NilError(t, connection.SetReadDeadline(time.Now().Add(notice+grace)))
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "the connection ended without a response to %q", id)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		status[id] = response.StatusCode
	}
	assert.Equal(t, status["early"], http.StatusOK)
	assert.Equal(t, status["late"], http.StatusServiceUnavailable)
	for _, o := range h.nodes {
		for _, r := range o.instance.Runs() {
			assert.Assert(t, r.RequestID != "late", "answered as not run, and has run")
		}
	}
}
