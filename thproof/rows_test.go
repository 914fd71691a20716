package thproof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thstandin"
)

// hostedFleet is a fleet on the users' platform (kind rows): a stand-in of the store and,
// for each zone, a daemon process with the stand-in of its local backend server.
type hostedFleet struct {
	t      *testing.T
	dir    string
	store  *thstandin.RowStore
	server *httptest.Server

	storeHandler *endlessHandler // serves store
	nodes        []*hostedNode

	newVersions    int           // number of the last backend servers that are of version v2
	size           int           // number of nodes
	slots          int           // of each backend server
	processingTime time.Duration // of a request
	routeTimeout   time.Duration // of the routes view and book; one second when shorter
	settings       string        // further settings of the daemons
	limits         string        // of the configuration, as JSON; empty for the usual ones
	tenants        string        // of the configuration, as JSON; empty for requests without keys
}

// hostedNode is a daemon process and the stand-in of its backend server.
type hostedNode struct {
	name     string
	daemon   *thfleet.Process
	instance *thstandin.Instance
	settings string
	key      string // sent with requests; none when empty

	mutex  sync.Mutex
	state  string // sent in heartbeats; no heartbeats are sent while it is empty
	server *http.Server
}

const (
	hostedPeerPort    = 8081
	hostedControlPort = 8082
	hostedAdminPort   = 8083
	hostedServerPort  = 8084
	hostedReadyPort   = 8085
	hostedIngressPort = 8080
)

// newHostedFleet starts the store and the nodes. Daemons are killed when the test ends,
// and their logs are printed if it failed.
func newHostedFleet(t *testing.T, nodes int) *hostedFleet {
	h := &hostedFleet{t: t, size: nodes, slots: 4, processingTime: 5 * time.Millisecond}
	h.startNodes()
	return h
}

// versionOf returns the version of the backend server of node i.
func (h *hostedFleet) versionOf(i int) string {
	if i > h.size-h.newVersions {
		return "v2"
	}
	return "v1"
}

// startNodes starts the store and the nodes.
func (h *hostedFleet) startNodes() {
	t := h.t
	h.dir, h.store = t.TempDir(), &thstandin.RowStore{}
	h.storeHandler = &endlessHandler{Handler: h.store}
	h.server = httptest.NewServer(h.storeHandler)
	t.Cleanup(h.server.CloseClientConnections)
	for i := range h.size {
		h.add(i + 1)
	}
	t.Cleanup(func() {
		for _, n := range h.nodes {
			n.daemon.Kill()
			if t.Failed() {
				log, _ := os.ReadFile(n.daemon.LogFile)
				t.Logf("log of %s:\n%s", n.name, log)
			}
		}
	})
}

// add starts the daemon and the backend server of node i, in a zone of their own.
func (h *hostedFleet) add(i int) {
	// The addresses differ from those of thfleet, which start at 127.16.
	ip := fmt.Sprintf("127.%d.%d.%d", 8+os.Getpid()%7, os.Getpid()/7%250, i)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n := &hostedNode{name: fmt.Sprintf("node-%d", i), state: "ready"}
	n.settings = filepath.Join(h.dir, n.name+".ini")
	content := fmt.Sprintf("[daemon]\nname = %s\nzone = zone-%d\nregion = here\nbootstrap = true\n[listen]\ningress = %s\npeer = %s\nlocal = %s\nready = %s\nadmin = %s\n"+
		"[platform]\nkind = rows\nstore = %s\n[server]\nservice = page\naddress = %s\n[stop]\nnotice = 500ms\ngrace = 3s\n%s",
		n.name, i, at(hostedIngressPort), at(hostedPeerPort), at(hostedControlPort), at(hostedReadyPort), at(hostedAdminPort),
		strings.TrimPrefix(h.server.URL, "http://"), at(hostedServerPort), h.settings)
	assert.NilError(h.t, os.WriteFile(n.settings, []byte(content), 0o600))
	n.instance = h.newInstance(i, ip)
	assert.NilError(h.t, n.serveInstance())
	h.t.Cleanup(n.closeInstance)
	n.start(h)
	go n.sendHeartbeats(h.t.Context())
	h.nodes = append(h.nodes, n)
}

// newInstance returns a backend server for node i that starts now.
func (h *hostedFleet) newInstance(i int, ip string) *thstandin.Instance {
	return &thstandin.Instance{
		ID: fmt.Sprintf("i-%d", i), Service: "page", Version: h.versionOf(i), Zone: fmt.Sprintf("zone-%d", i), Slots: h.slots,
		Address: fmt.Sprintf("%s:%d", ip, hostedServerPort), ControlAddress: fmt.Sprintf("%s:%d", ip, hostedControlPort),
		ProcessingTime: h.processingTime, StartTime: time.Now(),
	}
}

// serveInstance serves the requests of the backend server.
func (n *hostedNode) serveInstance() error { return n.serve(n.instance) }

// serve serves the requests of the backend server with a handler.
func (n *hostedNode) serve(handler http.Handler) error {
	l, err := net.Listen("tcp", n.instance.Address)
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.server = &http.Server{Handler: handler}
	go n.server.Serve(l)
	return nil
}

// closeInstance breaks all connections of the backend server and refuses new ones.
func (n *hostedNode) closeInstance() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	_ = n.server.Close()
}

func (n *hostedNode) start(h *hostedFleet) {
	var err error
	n.daemon, err = thfleet.StartDaemon(n.name, filepath.Join(h.dir, n.name+".log"), programPath, n.settings)
	assert.NilError(h.t, err)
}

// sendHeartbeats sends a heartbeat every 100 ms until the test ends.
func (n *hostedNode) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		n.mutex.Lock()
		state, instance := n.state, n.instance
		n.mutex.Unlock()
		if state != "" {
			_ = instance.SendHeartbeat(state, 0)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (n *hostedNode) setState(state string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.state = state
}

func (n *hostedNode) ip() string {
	host, _, _ := net.SplitHostPort(n.instance.Address)
	return host
}

func (n *hostedNode) isReady() bool {
	a, err := http.Get(fmt.Sprintf("http://%s:%d/api/readiness", n.ip(), hostedReadyPort))
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// call sends a request with a forged X-Caller-Service header to the daemon's ingress and
// returns the response's status and body.
func (n *hostedNode) call(method, path, id, body string) (int, string, error) {
	response, err := n.send(method, path, id, body)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return response.StatusCode, string(got), err
}

// send is call that returns the response, whose body the caller closes.
func (n *hostedNode) send(method, path, id, body string) (*http.Response, error) {
	return n.sendContext(context.Background(), method, path, id, body)
}

// sendContext is send with a context.
func (n *hostedNode) sendContext(ctx context.Context, method, path, id, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip(), hostedIngressPort, path), bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	request.Host = "site.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("X-Caller-Service", "forged")
	if n.key != "" {
		request.Header.Set("X-Api-Key", n.key)
	}
	return http.DefaultClient.Do(request)
}

// configure writes a configuration with the routes view and book and an additional route
// for each name in extra.
func (h *hostedFleet) configure(version int, extra ...string) {
	timeout := max(h.routeTimeout, time.Second).Seconds()
	rules := fmt.Sprintf(`{"name":"view","kind":"safe","target_latency_s":0.5,"priority":2,"match":{"prefix":"/view/"},"action":{"service":"page","timeout_s":%[1]v,"max_attempts":2}},`+
		`{"name":"book","kind":"unsafe","target_latency_s":0.5,"priority":1,"match":{"prefix":"/book/"},"action":{"service":"page","timeout_s":%[1]v,"max_attempts":2}}`, timeout)
	for _, e := range extra {
		rules += fmt.Sprintf(`,{"name":"%s","kind":"safe","priority":2,"match":{"prefix":"/%s/"},"action":{"service":"page","timeout_s":1,"max_attempts":1}}`, e, e)
	}
	limits := h.limits
	if limits == "" {
		limits = `{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}`
	}
	tenants := ""
	if h.tenants != "" {
		tenants = `"tenants":` + h.tenants + ","
	}
	h.store.Put("op", "", "config", []byte(fmt.Sprintf(`{"version":%d,"limits":%s,`+tenants+
		`"listeners":[{"host":"site.example","routing_rules":[%s]}],"clusters":[{"name":"page","health_path":"/h","max_connections":50,"cold_start_s":1,"cold_per_s":20}]}`, version, limits, rules)))
}

// waitUntil fails the test unless the condition becomes true within 15 s.
func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not within 15 s: %s", what)
}

// waitServing waits until every daemon is ready and serves a call.
func (h *hostedFleet) waitServing() {
	h.t.Helper()
	for i, n := range h.nodes {
		waitUntil(h.t, n.name+" serves", func() bool {
			status, _, err := n.call("GET", "/view/x", fmt.Sprintf("wait-%d-%d", i, time.Now().UnixNano()), "")
			return n.isReady() && err == nil && status == http.StatusOK
		})
	}
}

// Guards against a daemon that doesn't work end to end on the users' platform. Covers a
// missing configuration, headers, routes, instances that leave, zones that are taken out,
// and configurations that are changed, older or invalid.
func TestHostedPath(t *testing.T) {
	h := newHostedFleet(t, 3)
	n := h.nodes[0]
	waitUntil(t, "the ingress answers", func() bool {
		status, _, err := n.call("GET", "/view/x", "early", "")
		return err == nil && status == http.StatusServiceUnavailable
	})
	assert.Assert(t, !n.isReady())
	h.configure(7)
	h.waitServing()

	status, body, err := n.call("POST", "/book/a%2Fb//c?q=%20", "b1", "order")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, body)
	var runs []thstandin.ExecutedRequest
	for _, o := range h.nodes {
		for _, r := range o.instance.Runs() {
			if r.RequestID == "b1" {
				runs = append(runs, r)
			}
		}
	}
	assert.DeepEqual(t, runs, []thstandin.ExecutedRequest{{RequestID: "b1", Caller: "page", Method: "POST", Target: "/book/a%2Fb//c?q=%20", Body: "order"}})
	status, _, err = n.call("GET", "/none/x", "n1", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)

	h.configure(9, "new")
	waitUntil(t, "the new route is in effect everywhere", func() bool {
		for _, o := range h.nodes {
			if status, _, err := o.call("GET", "/new/x", fmt.Sprint(time.Now().UnixNano()), ""); err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	})
	h.configure(8) // older than version 9, must be ignored
	h.store.Put("op", "", "config", []byte(`{"version":10,"listeners":[{`))
	time.Sleep(300 * time.Millisecond)
	status, _, err = n.call("GET", "/new/x", "n2", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)

	h.checkLeaving(h.nodes[1])
	h.checkZoneOut(h.nodes[2])
}

// countServed sends 30 calls over all daemons, which must succeed, and returns how many of
// them the node's instance ran.
func (h *hostedFleet) countServed(n *hostedNode, label string) int {
	h.t.Helper()
	before := len(n.instance.Runs())
	for i := range 30 {
		status, body, err := h.nodes[i%len(h.nodes)].call("GET", "/view/x", fmt.Sprint(label, i), "")
		assert.NilError(h.t, err)
		assert.Equal(h.t, status, http.StatusOK, body)
	}
	return len(n.instance.Runs()) - before
}

// checkLeaving fails the test when an instance that is draining gets calls, also after a
// late heartbeat and a restart of its daemon.
func (h *hostedFleet) checkLeaving(n *hostedNode) {
	h.t.Helper()
	n.setState("")
	assert.NilError(h.t, n.instance.SendHeartbeat("draining", 0))
	assert.Equal(h.t, h.countServed(n, "leaving"), 0)
	row, found := h.store.Row("turmerichaven", "left", n.instance.ID)
	assert.Assert(h.t, found, "%+v", row)
	// A heartbeat sent before the instance left arrives late, after a restart of the daemon.
	n.daemon.Kill()
	n.clearBootstrap(h)
	n.start(h)
	waitUntil(h.t, "the daemon is back", func() bool { return n.instance.SendHeartbeat("ready", 0) == nil })
	waitUntil(h.t, "the daemon is ready", n.isReady)
	// The daemon has no local backend server and must have the other nodes' servers by now.
	for i := range 10 {
		status, body, err := n.call("GET", "/view/x", fmt.Sprint("joined", i), "")
		assert.NilError(h.t, err)
		assert.Equal(h.t, status, http.StatusOK, body)
	}
	h.waitServing()
	assert.Equal(h.t, h.countServed(n, "late"), 0)
}

// clearBootstrap rewrites the daemon's settings with bootstrap = false, as for a daemon
// that isn't part of the fleet's first start.
func (n *hostedNode) clearBootstrap(h *hostedFleet) {
	content, err := os.ReadFile(n.settings)
	assert.NilError(h.t, err)
	content = bytes.Replace(content, []byte("bootstrap = true"), []byte("bootstrap = false"), 1)
	assert.NilError(h.t, os.WriteFile(n.settings, content, 0o600))
}

// checkZoneOut fails the test unless the node's instance gets no calls while its zone is
// taken out, and gets calls again afterwards.
func (h *hostedFleet) checkZoneOut(n *hostedNode) {
	h.t.Helper()
	h.store.Put("op", "", "evacuate/"+n.instance.Zone, []byte(`{}`))
	waitUntil(h.t, "the zone gets nothing", func() bool { return h.countServed(n, fmt.Sprint("out", time.Now().UnixNano())) == 0 })
	h.store.Put("op", "", "evacuate/"+n.instance.Zone, nil)
	waitUntil(h.t, "the zone is back", func() bool { return h.countServed(n, fmt.Sprint("in", time.Now().UnixNano())) > 0 })
}

// Guards against daemons that stop serving, or return to an older configuration, while
// the store is down, rejects one of them or drops its history. Also guards against a
// daemon that ends on SIGHUP.
func TestHostedStoreFaults(t *testing.T) {
	h := newHostedFleet(t, 3)
	h.configure(1)
	h.waitServing()
	h.store.SetFaults(thstandin.RowStoreFaults{Unavailable: true})
	h.countServed(h.nodes[0], "down")
	for _, n := range h.nodes {
		assert.NilError(t, n.daemon.Signal(syscall.SIGHUP))
	}
	n := h.nodes[0]
	n.daemon.Kill()
	n.start(h)
	h.waitServing() // the restarted daemon gets its tables from its peers
	h.store.SetFaults(thstandin.RowStoreFaults{RejectedIPs: []string{n.ip()}})
	h.store.DropHistory()
	h.configure(2, "later")
	for i, o := range h.nodes {
		waitUntil(t, "the change is in effect on "+o.name, func() bool {
			status, _, err := o.call("GET", "/later/x", fmt.Sprint(i, time.Now().UnixNano()), "")
			return err == nil && status == http.StatusOK
		})
	}
}

// Guards against truncated calls and bookings that run twice while daemons stop and start
// one after the other under traffic.
func TestHostedRollingStop(t *testing.T) {
	h := newHostedFleet(t, 3)
	h.configure(1)
	h.waitServing()
	ctx, cancel := context.WithCancel(t.Context())
	var mutex sync.Mutex
	statuses := map[string]int{}
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				n := h.nodes[(c+i)%len(h.nodes)]
				if !n.isReady() {
					continue
				}
				id := fmt.Sprintf("c%d-%d", c, i)
				status, _, err := n.call("POST", "/book/x", id, "order")
				if err != nil {
					status = -1
				}
				mutex.Lock()
				statuses[id] = status
				mutex.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for _, n := range h.nodes {
		time.Sleep(300 * time.Millisecond)
		assert.NilError(t, n.daemon.Stop(10*time.Second))
		n.start(h)
		h.waitServing()
	}
	cancel()
	clients.Wait()
	runs := map[string]int{}
	for _, n := range h.nodes {
		for _, r := range n.instance.Runs() {
			runs[r.RequestID]++
		}
	}
	good := 0
	for id, status := range statuses {
		assert.Assert(t, runs[id] <= 1, "%s ran %d times", id, runs[id])
		switch status {
		case http.StatusOK:
			good++
			assert.Equal(t, runs[id], 1)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			assert.Equal(t, runs[id], 0, "%s answered %d", id, status)
		case -1: // the daemon stopped before it read the request
			assert.Equal(t, runs[id], 0, "%s ran and its connection broke", id)
		default:
			t.Errorf("%s answered %d", id, status)
		}
	}
	assert.Assert(t, good > 100, "%d good responses", good)
}

// Guards against a stop that waits for a store that doesn't respond and so takes longer
// than the time after which the platform kills the process.
func TestHostedStopWithoutStore(t *testing.T) {
	const notice, tolerance = 500 * time.Millisecond, 400 * time.Millisecond
	h := newHostedFleet(t, 2)
	h.configure(1)
	h.waitServing()
	h.store.SetFaults(thstandin.RowStoreFaults{Hang: true})
	stopStart := time.Now()
	assert.NilError(t, h.nodes[0].daemon.Signal(syscall.SIGTERM))
	select {
	case <-h.nodes[0].daemon.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the daemon didn't stop within 10 s")
	}
	took := time.Since(stopStart)
	assert.Assert(t, took <= notice+tolerance, "stopped after %s", took)
}
