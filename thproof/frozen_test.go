package thproof

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bookings that are given up, and answered as of unknown outcome, because the
// daemon beside their backend server does not run for a moment.
func TestFrozenDaemonKeepsBookings(t *testing.T) {
	const bookings, frozen = 4, 2 * time.Second
	h := &hostedFleet{t: t, size: 2, slots: 8, processingTime: 500 * time.Millisecond, routeTimeout: 6 * time.Second}
	h.startNodes()
	h.configure(1)
	h.waitServing()
	ingress, target := h.nodes[0], h.nodes[1]
	ingress.setState("")
	assert.NilError(t, ingress.instance.SendHeartbeat("draining", 0)) // calls go to the other server
	var clients sync.WaitGroup
	for i := range bookings {
		clients.Go(func() {
			request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/book/x", ingress.ip(), hostedIngressPort), strings.NewReader("order"))
			assert.Check(t, err)
			request.Host = "site.example"
			request.Header.Set("X-Request-Id", fmt.Sprint("frozen-", i))
			request.Header.Set("X-Deadline-Ms", "5000")
			response, err := http.DefaultClient.Do(request)
			if assert.Check(t, err) {
				assert.Check(t, response.StatusCode == http.StatusOK, "answered %d", response.StatusCode)
				response.Body.Close()
			}
		})
	}
	waitUntil(t, "the bookings run", func() bool { return len(target.instance.Runs()) >= bookings })
	assert.NilError(t, target.daemon.Signal(syscall.SIGSTOP))
	time.Sleep(frozen)
	assert.NilError(t, target.daemon.Signal(syscall.SIGCONT))
	clients.Wait()
	runs := map[string]int{}
	for _, n := range h.nodes {
		for _, r := range n.instance.Runs() {
			runs[r.RequestID]++
		}
	}
	for i := range bookings {
		assert.Equal(t, runs[fmt.Sprint("frozen-", i)], 1)
	}
}
