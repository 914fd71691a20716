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

// hosted is a fleet on the users' platform: the store's stand-in, and for each
// zone a daemon process with the stand-in of a backend server beside it.
type hosted struct {
	t      *testing.T
	dir    string
	store  *thstandin.RowStore
	server *httptest.Server
	nodes  []*hostedNode
}

type hostedNode struct {
	name     string
	daemon   *thfleet.Process
	instance *thstandin.Instance
	settings string

	mutex sync.Mutex
	state string // of the heartbeats; empty sends none
}

const (
	hostedPeer     = 8081
	hostedControl  = 8082
	hostedAdmin    = 8083
	hostedServer   = 8084
	hostedReady    = 8085
	hostedOutbound = 8080
)

func newHosted(t *testing.T, nodes int) *hosted {
	h := &hosted{t: t, dir: t.TempDir(), store: &thstandin.RowStore{}}
	h.server = httptest.NewServer(h.store)
	t.Cleanup(h.server.CloseClientConnections)
	for i := range nodes {
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
	return h
}

func (h *hosted) add(i int) {
	// The network differs from those of thfleet, which begin at 127.16.
	ip := fmt.Sprintf("127.%d.%d.%d", 8+os.Getpid()%7, os.Getpid()/7%250, i)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n := &hostedNode{name: fmt.Sprintf("node-%d", i), state: "ready"}
	n.settings = filepath.Join(h.dir, n.name+".ini")
	content := fmt.Sprintf("[daemon]\nname = %s\nzone = zone-%d\nregion = here\nbootstrap = true\n[listen]\ningress = %s\npeer = %s\nlocal = %s\nready = %s\nadmin = %s\n"+
		"[platform]\nkind = rows\nstore = %s\n[server]\nservice = page\naddress = %s\n[stop]\nnotice = 500ms\ngrace = 3s\n",
		n.name, i, at(hostedOutbound), at(hostedPeer), at(hostedControl), at(hostedReady), at(hostedAdmin),
		strings.TrimPrefix(h.server.URL, "http://"), at(hostedServer))
	assert.NilError(h.t, os.WriteFile(n.settings, []byte(content), 0o600))
	n.instance = &thstandin.Instance{
		ID: fmt.Sprintf("i-%d", i), Service: "page", Version: "v1", Zone: fmt.Sprintf("zone-%d", i), Slots: 4,
		Address: at(hostedServer), ControlAddress: at(hostedControl), ProcessingTime: 5 * time.Millisecond, StartTime: time.Now(),
	}
	l, err := net.Listen("tcp", at(hostedServer))
	assert.NilError(h.t, err)
	server := &http.Server{Handler: n.instance}
	go server.Serve(l)
	h.t.Cleanup(func() { server.Close() })
	n.start(h)
	go n.beat(h.t.Context())
	h.nodes = append(h.nodes, n)
}

func (n *hostedNode) start(h *hosted) {
	var err error
	n.daemon, err = thfleet.StartDaemon(n.name, filepath.Join(h.dir, n.name+".log"), binary, n.settings)
	assert.NilError(h.t, err)
}

// beat sends heartbeats until the test ends.
func (n *hostedNode) beat(ctx context.Context) {
	for ctx.Err() == nil {
		n.mutex.Lock()
		state := n.state
		n.mutex.Unlock()
		if state != "" {
			_ = n.instance.SendHeartbeat(state, 0)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (n *hostedNode) set(state string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.state = state
}

func (n *hostedNode) ip() string {
	host, _, _ := net.SplitHostPort(n.instance.Address)
	return host
}

func (n *hostedNode) ready() bool {
	a, err := http.Get(fmt.Sprintf("http://%s:%d/api/readiness", n.ip(), hostedReady))
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// call sends a request to the daemon's ingress.
func (n *hostedNode) call(method, path, id, body string) (int, string, error) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.ip(), hostedOutbound, path), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	r.Host = "site.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "2000")
	r.Header.Set("X-Caller-Service", "forged")
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	return a.StatusCode, string(got), err
}

// configure writes a configuration with an extra route for each name.
func (h *hosted) configure(version int, extra ...string) {
	rules := `{"name":"view","kind":"safe","target_latency_s":0.5,"priority":2,"match":{"prefix":"/view/"},"action":{"service":"page","timeout_s":1,"max_attempts":2}},` +
		`{"name":"book","kind":"unsafe","target_latency_s":0.5,"priority":1,"match":{"prefix":"/book/"},"action":{"service":"page","timeout_s":1,"max_attempts":2}}`
	for _, e := range extra {
		rules += fmt.Sprintf(`,{"name":"%s","kind":"safe","priority":2,"match":{"prefix":"/%s/"},"action":{"service":"page","timeout_s":1,"max_attempts":1}}`, e, e)
	}
	h.store.Put("op", "", "config", []byte(fmt.Sprintf(`{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15},`+
		`"listeners":[{"host":"site.example","routing_rules":[%s]}],"clusters":[{"name":"page","health_path":"/h","max_connections":50,"cold_start_s":1,"cold_per_s":20}]}`, version, rules)))
}

// until waits for a condition.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not within 15 s: %s", what)
}

func (h *hosted) waitServed() {
	h.t.Helper()
	for i, n := range h.nodes {
		until(h.t, n.name+" serves", func() bool {
			status, _, err := n.call("GET", "/view/x", fmt.Sprintf("wait-%d-%d", i, time.Now().UnixNano()), "")
			return n.ready() && err == nil && status == http.StatusOK
		})
	}
}

// Guards against a program that does not serve the users' platform end to end:
// no configuration yet, headers, routes, instances that leave, zones that are
// taken out, and configurations that are changed or spoiled.
func TestHostedPath(t *testing.T) {
	h := newHosted(t, 3)
	n := h.nodes[0]
	until(t, "the ingress answers", func() bool {
		status, _, err := n.call("GET", "/view/x", "early", "")
		return err == nil && status == http.StatusServiceUnavailable
	})
	assert.Assert(t, !n.ready())
	h.configure(7)
	h.waitServed()

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
	until(t, "the new route is in effect everywhere", func() bool {
		for _, o := range h.nodes {
			if status, _, err := o.call("GET", "/new/x", fmt.Sprint(time.Now().UnixNano()), ""); err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	})
	h.configure(8) // older
	h.store.Put("op", "", "config", []byte(`{"version":10,"listeners":[{`))
	time.Sleep(300 * time.Millisecond)
	status, _, err = n.call("GET", "/new/x", "n2", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)

	h.checkLeaving(h.nodes[1])
	h.checkZoneOut(h.nodes[2])
}

// served returns how many requests an instance runs while calls go to all daemons.
func (h *hosted) served(n *hostedNode, label string) int {
	h.t.Helper()
	before := len(n.instance.Runs())
	for i := range 30 {
		status, body, err := h.nodes[i%len(h.nodes)].call("GET", "/view/x", fmt.Sprint(label, i), "")
		assert.NilError(h.t, err)
		assert.Equal(h.t, status, http.StatusOK, body)
	}
	return len(n.instance.Runs()) - before
}

func (h *hosted) checkLeaving(n *hostedNode) {
	h.t.Helper()
	n.set("")
	assert.NilError(h.t, n.instance.SendHeartbeat("draining", 0))
	assert.Equal(h.t, h.served(n, "leaving"), 0)
	row, found := h.store.Row("turmerichaven", "left", n.instance.ID)
	assert.Assert(h.t, found, "%+v", row)
	// A heartbeat that was under way arrives late, also after a restart of the daemon.
	n.daemon.Kill()
	n.settingsAgain(h)
	n.start(h)
	until(h.t, "the daemon is back", func() bool { return n.instance.SendHeartbeat("ready", 0) == nil })
	until(h.t, "the daemon is ready", n.ready)
	// It has no backend server of its own and must know those of the others by now.
	for i := range 10 {
		status, body, err := n.call("GET", "/view/x", fmt.Sprint("joined", i), "")
		assert.NilError(h.t, err)
		assert.Equal(h.t, status, http.StatusOK, body)
	}
	h.waitServed()
	assert.Equal(h.t, h.served(n, "late"), 0)
}

// settingsAgain writes the settings of a daemon that is not part of a first start.
func (n *hostedNode) settingsAgain(h *hosted) {
	content, err := os.ReadFile(n.settings)
	assert.NilError(h.t, err)
	content = bytes.Replace(content, []byte("bootstrap = true"), []byte("bootstrap = false"), 1)
	assert.NilError(h.t, os.WriteFile(n.settings, content, 0o600))
}

func (h *hosted) checkZoneOut(n *hostedNode) {
	h.t.Helper()
	h.store.Put("op", "", "evacuate/"+n.instance.Zone, []byte(`{}`))
	until(h.t, "the zone gets nothing", func() bool { return h.served(n, fmt.Sprint("out", time.Now().UnixNano())) == 0 })
	h.store.Put("op", "", "evacuate/"+n.instance.Zone, nil)
	until(h.t, "the zone is back", func() bool { return h.served(n, fmt.Sprint("in", time.Now().UnixNano())) > 0 })
}

// Guards against daemons that stop serving, or go back, while the store is down,
// turns one of them away or drops its history, and against one that SIGHUP ends.
func TestHostedStoreFaults(t *testing.T) {
	h := newHosted(t, 3)
	h.configure(1)
	h.waitServed()
	h.store.SetFaults(thstandin.RowStoreFaults{Unavailable: true})
	h.served(h.nodes[0], "down")
	for _, n := range h.nodes {
		assert.NilError(t, n.daemon.Signal(syscall.SIGHUP))
	}
	n := h.nodes[0]
	n.daemon.Kill()
	n.start(h)
	h.waitServed() // its tables come from the others
	h.store.SetFaults(thstandin.RowStoreFaults{RejectedIPs: []string{n.ip()}})
	h.store.DropHistory()
	h.configure(2, "later")
	for i, o := range h.nodes {
		until(t, "the change is in effect on "+o.name, func() bool {
			status, _, err := o.call("GET", "/later/x", fmt.Sprint(i, time.Now().UnixNano()), "")
			return err == nil && status == http.StatusOK
		})
	}
}

// Guards against calls that are cut, and bookings that run twice, while daemons
// stop and start in turn under traffic.
func TestHostedRollingStop(t *testing.T) {
	h := newHosted(t, 3)
	h.configure(1)
	h.waitServed()
	ctx, cancel := context.WithCancel(t.Context())
	var mutex sync.Mutex
	answers := map[string]int{}
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				n := h.nodes[(c+i)%len(h.nodes)]
				if !n.ready() {
					continue
				}
				id := fmt.Sprintf("c%d-%d", c, i)
				status, _, err := n.call("POST", "/book/x", id, "order")
				if err != nil {
					status = -1
				}
				mutex.Lock()
				answers[id] = status
				mutex.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for _, n := range h.nodes {
		time.Sleep(300 * time.Millisecond)
		assert.NilError(t, n.daemon.Stop(10*time.Second))
		n.start(h)
		h.waitServed()
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
	for id, status := range answers {
		assert.Assert(t, runs[id] <= 1, "%s ran %d times", id, runs[id])
		switch status {
		case http.StatusOK:
			good++
			assert.Equal(t, runs[id], 1)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			assert.Equal(t, runs[id], 0, "%s answered %d", id, status)
		case -1: // the daemon had stopped before it read the request
			assert.Equal(t, runs[id], 0, "%s cut", id)
		default:
			t.Errorf("%s answered %d", id, status)
		}
	}
	assert.Assert(t, good > 100, "%d good answers", good)
}

// Guards against a stop that waits for a store that does not answer, and so
// outlives the time after which the platform kills the process.
func TestHostedStopWithoutStore(t *testing.T) {
	const notice, slack = 500 * time.Millisecond, 400 * time.Millisecond
	h := newHosted(t, 2)
	h.configure(1)
	h.waitServed()
	h.store.SetFaults(thstandin.RowStoreFaults{Hang: true})
	began := time.Now()
	assert.NilError(t, h.nodes[0].daemon.Signal(syscall.SIGTERM))
	select {
	case <-h.nodes[0].daemon.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the daemon does not stop")
	}
	took := time.Since(began)
	assert.Assert(t, took <= notice+slack, "stopped after %s", took)
}
