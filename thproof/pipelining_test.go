package thproof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pipeliningClient sends batches of three pipelined requests on one connection
// and reconnects when the daemon closes it.
type pipeliningClient struct {
	name                 string
	answered, unanswered map[string]bool // keyed by request id
}

// run sends requests until the daemon no longer accepts connections.
func (c *pipeliningClient) run(t *testing.T, address string) {
	for n := 0; ; n++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.sendBatches(t, conn, n)
		conn.Close()
	}
}

// sendBatches sends pipelined batches until the connection closes, and checks that
// the responses come in the order of the requests.
func (c *pipeliningClient) sendBatches(t *testing.T, conn net.Conn, n int) {
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	for batch := 0; ; batch++ {
		var ids []string
		var b strings.Builder
		for i := range 3 {
			id := fmt.Sprintf("%s-%d-%d-%d", c.name, n, batch, i)
			ids = append(ids, id)
			c.unanswered[id] = true
			fmt.Fprintf(&b, "GET /view/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", id)
		}
		if _, err := io.WriteString(conn, b.String()); err != nil {
			return
		}
		for _, id := range ids {
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, err = io.ReadAll(a.Body)
			assert.Check(t, err, "response to %s truncated", id)
			assert.Check(t, a.StatusCode == http.StatusOK || a.StatusCode == http.StatusServiceUnavailable, "%s answered %d", id, a.StatusCode)
			delete(c.unanswered, id)
			if a.StatusCode == http.StatusOK {
				assert.Check(t, a.Header.Get("X-Request-Id") == id, "%s got the response to %s", id, a.Header.Get("X-Request-Id"))
				c.answered[id] = true
			}
			if a.Close {
				return
			}
		}
	}
}

// Guards against pipelined requests that are forwarded and never answered, responses
// in the wrong order, and a stop that waits for idle connections. Clients pipeline
// requests while the daemon gets SIGHUP and then SIGTERM.
func TestHostedStopWithRequestsSentAhead(t *testing.T) {
	h := newHostedFleet(t, 2)
	h.configure(1)
	h.waitServing()
	n := h.nodes[0]
	var clients []*pipeliningClient
	var group sync.WaitGroup
	for i := range 4 {
		c := &pipeliningClient{name: fmt.Sprint("ahead", i), answered: map[string]bool{}, unanswered: map[string]bool{}}
		clients = append(clients, c)
		group.Go(func() { c.run(t, fmt.Sprintf("%s:%d", n.ip(), hostedIngressPort)) })
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, n.daemon.Signal(syscall.SIGHUP))
	time.Sleep(300 * time.Millisecond)
	stopStart := time.Now()
	assert.NilError(t, n.daemon.Stop(10*time.Second))
	assert.Assert(t, time.Since(stopStart) < 3*time.Second, "stopped after %s", time.Since(stopStart))
	group.Wait()
	ran := map[string]int{}
	for _, o := range h.nodes {
		for _, r := range o.instance.Runs() {
			ran[r.RequestID]++
		}
	}
	good := 0
	for _, c := range clients {
		good += len(c.answered)
		for id := range c.answered {
			assert.Assert(t, ran[id] > 0, "%s was answered but did not run", id)
		}
		for id := range c.unanswered {
			assert.Equal(t, ran[id], 0, "%s ran but was not answered", id)
		}
	}
	assert.Assert(t, good > 100, "%d good responses", good)
}
