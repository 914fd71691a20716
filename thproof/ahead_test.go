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

// aheadCaller keeps sending three requests at once on a connection, and opens a
// new one when the daemon has closed it.
type aheadCaller struct {
	name              string
	answered, missing map[string]bool // by request id
}

// run calls until the daemon accepts no connection any more.
func (c *aheadCaller) run(t *testing.T, address string) {
	for n := 0; ; n++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.connection(t, conn, n)
		conn.Close()
	}
}

// connection sends requests ahead until the connection closes.
func (c *aheadCaller) connection(t *testing.T, conn net.Conn, n int) {
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	for batch := 0; ; batch++ {
		var ids []string
		var b strings.Builder
		for i := range 3 {
			id := fmt.Sprintf("%s-%d-%d-%d", c.name, n, batch, i)
			ids = append(ids, id)
			c.missing[id] = true
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
			assert.Check(t, err, "answer to %s cut", id)
			assert.Check(t, a.StatusCode == http.StatusOK || a.StatusCode == http.StatusServiceUnavailable, "%s answered %d", id, a.StatusCode)
			delete(c.missing, id)
			if a.StatusCode == http.StatusOK {
				assert.Check(t, a.Header.Get("X-Request-Id") == id, "%s got the answer of %s", id, a.Header.Get("X-Request-Id"))
				c.answered[id] = true
			}
			if a.Close {
				return
			}
		}
	}
}

// Pattern: callers that send ahead while a daemon gets SIGHUP and then SIGTERM.
// Guards against requests that were passed on and are not answered, answers in
// another order, and a stop that waits for connections without requests.
func TestHostedStopWithRequestsSentAhead(t *testing.T) {
	h := newHosted(t, 2)
	h.configure(1)
	h.waitServed()
	n := h.nodes[0]
	var callers []*aheadCaller
	var group sync.WaitGroup
	for i := range 4 {
		c := &aheadCaller{name: fmt.Sprint("ahead", i), answered: map[string]bool{}, missing: map[string]bool{}}
		callers = append(callers, c)
		group.Go(func() { c.run(t, fmt.Sprintf("%s:%d", n.ip(), hostedOutbound)) })
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, n.daemon.Signal(syscall.SIGHUP))
	time.Sleep(300 * time.Millisecond)
	begun := time.Now()
	assert.NilError(t, n.daemon.Stop(10*time.Second))
	assert.Assert(t, time.Since(begun) < 3*time.Second, "stopped after %s", time.Since(begun))
	group.Wait()
	ran := map[string]int{}
	for _, o := range h.nodes {
		for _, r := range o.instance.Runs() {
			ran[r.RequestID]++
		}
	}
	good := 0
	for _, c := range callers {
		good += len(c.answered)
		for id := range c.answered {
			assert.Assert(t, ran[id] > 0, "%s answered and not run", id)
		}
		for id := range c.missing {
			assert.Equal(t, ran[id], 0, "%s ran and got no answer", id)
		}
	}
	assert.Assert(t, good > 100, "%d good answers", good)
}
