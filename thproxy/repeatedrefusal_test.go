package thproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// A faulty backend server writes its refusal of a request once more on the kept
// connection, when the request is sent to it again. Guards against "not run" for a request
// that the backend server has run.
func TestRefusalWrittenTwiceIsNoAnswerToTheRepeat(t *testing.T) {
	var runs atomic.Int32
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + testIDHeader + ": %s\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		refused := ""
		for id := readRequest(r); id != ""; id = readRequest(r) {
			if refused == "" && runs.Load() == 0 {
				refused = id
				fmt.Fprintf(c, refusal, id)
				continue
			}
			if refused != "" {
				fmt.Fprintf(c, refusal, refused)
				time.Sleep(10 * time.Millisecond)
			}
			runs.Add(1)
			writeResponse(c, id, "done", "")
		}
	})
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler))
	m.balancer.reuse = true // the only server of the pool
	headers := &Headers{RequestID: testIDHeader, Rejected: "X-Rejected", Deadline: HeaderDeadline}
	m.ingress.Headers, m.targets[0].Headers = headers, headers
	m.targets[0].Transport.(*DirectTransport).Headers = headers
	m.targets[0].Server = func() (thwire.Server, netip.AddrPort, bool) {
		return thwire.Server{State: thwire.ServerReady}, netip.MustParseAddrPort(address), true
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, m.front.URL+"/x", nil)
	assert.NilError(t, err)
	request.Header.Set(testIDHeader, "book-1")
	response, err := m.client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	notRun := response.StatusCode == http.StatusServiceUnavailable
	assert.Assert(t, !notRun || runs.Load() == 0, "answered %d %q, but ran %d times", response.StatusCode, body, runs.Load())
	assert.Assert(t, runs.Load() <= 1, "ran %d times", runs.Load())
}
