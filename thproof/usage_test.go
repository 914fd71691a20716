package thproof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

const (
	usageLease  = time.Second
	usageWindow = time.Second
)

// newUsageFleet starts nodes that serve two accounts and report their usage to a stand-in.
func newUsageFleet(t *testing.T, nodes int) (*hostedFleet, *thstandin.UsageAPI) {
	api := &thstandin.UsageAPI{Lease: usageLease}
	server := httptest.NewServer(api)
	t.Cleanup(server.CloseClientConnections)
	h := &hostedFleet{
		t: t, size: nodes, slots: 4, processingTime: 5 * time.Millisecond,
		tenants: `[{"name":"acme","api_keys":["key1"],"priority":1},{"name":"other","api_keys":["key2"],"priority":1}]`,
		settings: fmt.Sprintf("[usage]\napi = %s\nwindow = %s\nlate = 4s\nlease = %s\n",
			strings.TrimPrefix(server.URL, "http://"), usageWindow, usageLease),
	}
	h.startNodes()
	for i, n := range h.nodes {
		n.key = fmt.Sprintf("key%d", 1+i%2)
	}
	// The first window that is reported is the one in which the first holder was elected.
	waitUntil(t, "a report", func() bool { return len(api.Calls()) > 0 })
	h.configure(1)
	h.waitServing()
	return h, api
}

// reported returns the requests of all accepted reports by account.
func reported(api *thstandin.UsageAPI) map[string]uint64 {
	sum := map[string]uint64{}
	for _, counts := range api.Reports() {
		for account, n := range counts {
			sum[account] += n
		}
	}
	return sum
}

// ran returns the requests that backend servers ran by account. It fails the test if a key came
// through.
func (h *hostedFleet) ran() map[string]uint64 {
	h.t.Helper()
	sum := map[string]uint64{}
	for _, n := range h.nodes {
		for _, r := range n.instance.Runs() {
			assert.Assert(h.t, !r.Keyed, "the key of %s reached a backend server", r.RequestID)
			sum[r.Account]++
		}
	}
	return sum
}

// sendCalls sends calls over all running nodes except one, which may be nil.
func (h *hostedFleet) sendCalls(count int, label string, except *hostedNode) {
	h.t.Helper()
	for i := range count {
		n := h.nodes[i%len(h.nodes)]
		if n == except {
			continue
		}
		status, body, err := n.call("GET", "/view/x", fmt.Sprint(label, i), "")
		assert.NilError(h.t, err)
		assert.Equal(h.t, status, http.StatusOK, body)
	}
}

// holder waits until a node has reported and returns the one that reported last.
func (h *hostedFleet) holder(api *thstandin.UsageAPI) *hostedNode {
	h.t.Helper()
	waitUntil(h.t, "a report", func() bool { return len(api.Calls()) > 0 })
	calls := api.Calls()
	for _, n := range h.nodes {
		if n.name == calls[len(calls)-1].Holder {
			return n
		}
	}
	h.t.Fatalf("no node is the holder %q", calls[len(calls)-1].Holder)
	return nil
}

// waitReported waits until the reports have all requests that have run.
func (h *hostedFleet) waitReported(api *thstandin.UsageAPI) {
	h.t.Helper()
	waitUntil(h.t, "all usage is reported", func() bool { return fmt.Sprint(reported(api)) == fmt.Sprint(h.ran()) })
	assert.Equal(h.t, len(api.Breaches()), 0, "%v", api.Breaches())
}

// Guards against usage that is lost or counted twice on the way from the daemons to the
// platform, and against keys and forged accounts at backend servers.
func TestHostedUsageIsReported(t *testing.T) {
	h, api := newUsageFleet(t, 3)
	h.sendCalls(60, "usage", nil)
	h.waitReported(api)
	ran := h.ran()
	assert.Assert(t, ran["acme"] >= 40 && ran["other"] >= 20 && len(ran) == 2, "%v", ran)
}

// Guards against a key that was removed and still works on the open connection of a client, and
// against a connection that is cut instead.
func TestHostedKeyRemovedFromConnectedClient(t *testing.T) {
	h, _ := newUsageFleet(t, 2)
	n := h.nodes[0]
	conn, err := net.Dial("tcp", net.JoinHostPort(n.ip(), fmt.Sprint(hostedIngressPort)))
	assert.NilError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	sent := 0
	send := func() int {
		sent++
		_, err := fmt.Fprintf(conn, "GET /view/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: open-%d\r\nX-Deadline-Ms: 2000\r\nX-Api-Key: key1\r\nX-Tenant-Id: other\r\n\r\n", sent)
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		return response.StatusCode
	}
	assert.Equal(t, send(), http.StatusOK)
	h.tenants = `[{"name":"acme","api_keys":["key3"],"priority":1},{"name":"other","api_keys":["key2"],"priority":1}]`
	h.configure(2)
	waitUntil(t, "the key is rejected", func() bool { return send() == http.StatusUnauthorized })
	for range 20 {
		assert.Equal(t, send(), http.StatusUnauthorized)
	}
	for _, r := range h.ranBy("open-") {
		assert.Equal(t, r.Account, "acme")
	}
	n.key = "key3"
	status, body, err := n.call("GET", "/view/x", "new", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, body)
}

// ranBy returns the requests with an id that begins with prefix.
func (h *hostedFleet) ranBy(prefix string) []thstandin.ExecutedRequest {
	var list []thstandin.ExecutedRequest
	for _, n := range h.nodes {
		for _, r := range n.instance.Runs() {
			if strings.HasPrefix(r.RequestID, prefix) {
				list = append(list, r)
			}
		}
	}
	return list
}

// frozenWindows returns the number of windows that are stored and not yet reported.
func (h *hostedFleet) frozenWindows() int {
	return len(h.store.Keys("turmerichaven", "duty/usage", "w/"))
}

// The holder is killed after it has stored the counts of a window and before the platform has
// taken them. Guards against a second report of the window with other counts, and against a
// window that nobody reports.
func TestHostedHolderKilledBetweenWriteAndReport(t *testing.T) {
	h, api := newUsageFleet(t, 4)
	h.sendCalls(40, "before", nil)
	h.waitReported(api)
	holder := h.holder(api)
	api.SetFaults(thstandin.UsageFaults{Unavailable: true})
	h.sendCalls(40, "stored", holder)
	waitUntil(t, "windows are stored", func() bool { return h.frozenWindows() >= 2 })
	holder.daemon.Kill()
	api.SetFaults(thstandin.UsageFaults{})
	h.waitReported(api)
	waitUntil(t, "another node reports", func() bool { return h.holder(api) != holder })
	// It starts again and must not repeat what the other one has reported.
	holder.clearBootstrap(h)
	holder.start(h)
	h.sendCalls(40, "after", holder)
	h.waitReported(api)
}

// The holder is frozen for longer than its lease and wakes while another one holds the duty.
// Guards against reports of two holders in turn, and against a lower fencing token after a
// higher one.
func TestHostedHolderFrozenPastItsLease(t *testing.T) {
	h, api := newUsageFleet(t, 4)
	h.sendCalls(20, "before", nil)
	holder := h.holder(api)
	assert.NilError(t, holder.daemon.Signal(syscall.SIGSTOP))
	waitUntil(t, "another node reports", func() bool { return h.holder(api) != holder })
	reports := len(api.Reports())
	assert.NilError(t, holder.daemon.Signal(syscall.SIGCONT))
	h.sendCalls(20, "woken", holder)
	waitUntil(t, "three more windows are reported", func() bool { return len(api.Reports()) >= reports+3 })
	assert.Equal(t, len(api.Breaches()), 0, "%v", api.Breaches())
}
