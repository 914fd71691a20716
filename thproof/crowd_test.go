package thproof

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The limits of the daemon in the tests of crowds, and the bounds that it must keep.
const (
	crowdConnectionLimit = 100
	crowdByteLimit       = 4 << 20
	crowdMaxDescriptors  = 220      // connections, twice, and a few of the daemon's own
	crowdMaxMemory       = 64 << 20 // resident
	crowdTime            = 4 * time.Second
	crowdPause           = 200 * time.Millisecond // before a client connects again
	crowdTimeout         = 15 * time.Second       // for the ordinary request afterwards
)

// crowdHeadSize is the size of large heads within the limit of the configuration, in bytes.
const crowdHeadSize = 15 << 10

// crowdCase is a crowd of uncontrolled clients.
type crowdCase struct {
	name    string
	clients int
	attack  func(c *crowdClient)
}

// crowdClient is a connection of an uncontrolled client. It closes at the end of the crowd.
type crowdClient struct {
	net.Conn

	ctx context.Context
}

// send writes the text. It reports whether the connection is still open.
func (c *crowdClient) send(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// sendEndlessly writes the text until the connection closes.
func (c *crowdClient) sendEndlessly(text string) {
	text = strings.Repeat(text, max(1, (4<<10)/len(text)))
	for c.send(text) {
	}
}

// awaitClose reads until the connection closes.
func (c *crowdClient) awaitClose() { _, _ = io.Copy(io.Discard, c) }

// awaitEnd waits for the end of the crowd without reading.
func (c *crowdClient) awaitEnd() { <-c.ctx.Done() }

// crowdHead returns a head without its last empty line.
func crowdHead(method, path, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Deadline-Ms: 3000\r\n" + fields
}

// smallFields returns distinct header lines of a few bytes each, which take the most memory
// for their size.
func smallFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "X%x:\r\n", i)
	}
	return b.String()
}

// longField returns one header line.
func longField(size int) string { return "X-Fill: " + strings.Repeat("x", size) + "\r\n" }

// crowdCases returns the crowds that speak HTTP/1.1.
func crowdCases() []crowdCase {
	return []crowdCase{
		{"heads over the limit", 300, func(c *crowdClient) {
			c.send(crowdHead("GET", "/view/x", longField(61<<10)) + "\r\n")
			c.awaitEnd()
		}},
		{"one header line without end", 300, func(c *crowdClient) {
			c.send(crowdHead("GET", "/view/x", "X-Fill: "))
			c.sendEndlessly("x")
		}},
		{"header lines without end", 300, func(c *crowdClient) {
			c.send(crowdHead("GET", "/view/x", ""))
			c.sendEndlessly("X: y\r\n")
		}},
		{"empty lines without end", 300, func(c *crowdClient) { c.sendEndlessly("\r\n") }},
		{"unfinished heads", 300, func(c *crowdClient) {
			c.send(crowdHead("GET", "/view/x", longField(crowdHeadSize)))
			c.awaitClose()
		}},
		{"unfinished heads of small fields", 300, func(c *crowdClient) {
			c.send(crowdHead("GET", "/view/x", smallFields(crowdHeadSize)))
			c.awaitClose()
		}},
		{"heads sent ahead", 300, func(c *crowdClient) {
			c.send(strings.Repeat(crowdHead("POST", "/book/slow", longField(crowdHeadSize)+"Content-Length: 0\r\n")+"\r\n", 24))
			c.awaitClose()
		}},
		{"heads of small fields sent ahead", 90, func(c *crowdClient) {
			c.send(strings.Repeat(crowdHead("POST", "/book/slow", smallFields(crowdHeadSize)+"Content-Length: 0\r\n")+"\r\n", 24))
			c.awaitClose()
		}},
		{"bodies that never come", 300, func(c *crowdClient) {
			c.send(crowdHead("POST", "/book/x", longField(crowdHeadSize)+"Content-Length: 100000\r\n") + "\r\n")
			c.awaitClose()
		}},
		{"responses that are never read", 300, func(c *crowdClient) {
			_ = c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			c.send(strings.Repeat(crowdHead("GET", "/view/large", "")+"\r\n", 8))
			c.awaitEnd()
		}},
		{"no byte", 300, func(c *crowdClient) { c.awaitClose() }},
	}
}

// Guards against clients that together take the memory or the descriptors of the process, so
// that it ends or ordinary callers get no answers: each client stays within the limits of a
// single connection, or sends without end.
func TestCrowdKeepsMemoryAndDescriptorsBounded(t *testing.T) {
	runCrowds(t, crowdCases())
}

func runCrowds(t *testing.T, cases []crowdCase) {
	for _, x := range cases {
		t.Run(strings.ReplaceAll(x.name, " ", "-"), func(t *testing.T) {
			h := newCrowdFleet(t)
			defer h.nodes[0].daemon.Kill()
			h.runCrowd(x)
		})
	}
}

// newCrowdFleet starts a daemon with lowered limits of clients.
func newCrowdFleet(t *testing.T) *hostedFleet {
	h := &hostedFleet{t: t, size: 1, slots: 18, processingTime: 5 * time.Millisecond, routeTimeout: 3 * time.Second}
	h.settings = fmt.Sprintf("[memory]\ngrowth = 50\nlimit = %dMiB\n[clients]\nconnections = %d\nbytes = %dB\n",
		memoryLimit>>20, crowdConnectionLimit, crowdByteLimit)
	h.startNodes()
	h.configure(1)
	h.waitServing() // a server that does not serve yet can't be replaced
	n := h.nodes[0]
	n.closeInstance()
	assert.NilError(t, n.serve(&crowdServer{n.instance}))
	h.waitServing()
	return h
}

// crowdServer is a backend server with slow and large responses.
type crowdServer struct{ http.Handler }

func (s *crowdServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/slow"):
		time.Sleep(500 * time.Millisecond)
	case strings.HasSuffix(r.URL.Path, "/large"):
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		_, _ = io.CopyN(w, zeroReader{}, 1<<20)
		return
	}
	s.Handler.ServeHTTP(w, r)
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// runCrowd connects the clients for crowdTime, and checks the daemon's bounds and that it
// answers an ordinary request afterwards.
func (h *hostedFleet) runCrowd(x crowdCase) {
	t, n := h.t, h.nodes[0]
	t.Helper()
	before := countDescriptors(t, n.daemon.PID())
	resetPeakMemory(t, n.daemon)
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var clients sync.WaitGroup
	var connected atomic.Int64
	for range x.clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				if n.attack(ctx, x) {
					connected.Add(1)
				}
				time.Sleep(crowdPause)
			}
		})
	}
	descriptors := 0
	for ctx.Err() == nil {
		descriptors = max(descriptors, countDescriptors(t, n.daemon.PID()))
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	select {
	case <-n.daemon.Done():
		t.Fatalf("%s: the daemon has ended", x.name)
	default:
	}
	memory := peakMemory(t, n.daemon)
	t.Logf("%s: %d connections, %d descriptors (%d before), %d MiB", x.name, connected.Load(), descriptors, before, memory>>20)
	assert.Check(t, descriptors < crowdMaxDescriptors, "%d descriptors", descriptors)
	assert.Check(t, memory < crowdMaxMemory, "%d MiB", memory>>20)
	h.requireOrdinaryRequest()
}

// attack connects one client. It reports whether the connection was accepted.
func (n *hostedNode) attack(ctx context.Context, x crowdCase) bool {
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(ctx, "tcp", fmt.Sprintf("%s:%d", n.ip(), hostedIngressPort))
	if err != nil {
		return false
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	x.attack(&crowdClient{c, ctx})
	return true
}

// requireOrdinaryRequest fails the test unless a request is answered. The ones before it may be
// rejected, since the requests of the crowd are still ending.
func (h *hostedFleet) requireOrdinaryRequest() {
	h.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	var last string
	for i, start := 0, time.Now(); time.Since(start) < crowdTimeout; i++ {
		request, err := http.NewRequestWithContext(h.t.Context(), "GET", fmt.Sprintf("http://%s:%d/view/x", h.nodes[0].ip(), hostedIngressPort), http.NoBody)
		assert.NilError(h.t, err)
		request.Host = "site.example"
		request.Header.Set("X-Request-Id", fmt.Sprint("ordinary-", i))
		request.Header.Set("X-Deadline-Ms", "1000")
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
			last = response.Status
		} else {
			last = err.Error()
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.t.Fatalf("no ordinary request is answered: %s", last)
}

// countDescriptors returns the number of open descriptors of a process, zero if it has ended.
func countDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
