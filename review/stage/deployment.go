package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

const (
	daemonBinary   = "target/turmerichaven" // built by the command of deploy/system.toml
	siteHost       = "site.example"
	firstVersion   = "v1"
	machineCount   = 9
	heartbeatPause = 1500 * time.Millisecond // provider.heartbeat_s
	drainTime      = 2 * time.Second         // drain_s
)

// The services and zones of the deployment. Each service has one backend server in each zone.
var (
	services = [...]string{"slotboard", "bookdesk", "rosterbook"}
	zones    = [...]string{"sapporo", "otaru", "ebetsu"}
)

// deployment is a store, and machines with a daemon and a backend server each.
type deployment struct {
	dir      string
	address  string // of the store
	store    *thstandin.RowStore
	record   *recorder
	machines []*machine
	server   *http.Server
}

// recorder writes what was sent, answered and run as JSON lines.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// write adds a line. Times are seconds since the start.
func (r *recorder) write(what string, fields map[string]any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fields["at"] = float64(time.Since(r.start).Microseconds()) / 1e6
	fields["what"] = what
	if line, err := json.Marshal(fields); err == nil {
		_, _ = r.file.Write(append(line, '\n'))
	}
}

// newDeployment starts the store, the daemons and the backend servers.
func newDeployment(recordFile string) (*deployment, error) {
	file, err := os.Create(recordFile) //nolint:gosec // the file of the case
	if err != nil {
		return nil, err
	}
	d := &deployment{record: &recorder{file: file, start: time.Now()}, store: &thstandin.RowStore{}}
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	d.store.Put("op", "", "config", configuration(1))
	l, err := listen("127.0.0.1:0")
	if err != nil {
		d.close()
		return nil, err
	}
	d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = d.server.Serve(l) }()
	d.address = l.Addr().String()
	for i := range machineCount {
		if _, err := d.add(zones[i%3], services[i/3], firstVersion); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// add adds a machine with a backend server.
func (d *deployment) add(zone, service, version string) (*machine, error) {
	n := len(d.machines) + 1
	m := &machine{
		deployment: d, name: fmt.Sprintf("sidecar-%s-%d", zone, (n+2)/3), zone: zone, service: service,
		ip: fmt.Sprintf("127.78.%d.%d", 16+os.Getpid()%200, n),
	}
	m.backend = &backend{
		machine: m, id: "i-" + m.name, version: version, born: time.Now().UnixMilli(), done: make(chan struct{}),
	}
	if n > machineCount { // it starts during the traffic
		m.backend.warmAt = time.Now().Add(coldStart)
	}
	if err := m.start(d.address); err != nil {
		return nil, err
	}
	d.machines = append(d.machines, m)
	return m, nil
}

func listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(context.Background(), "tcp", address)
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.end()
	}
	if d.server != nil {
		_ = d.server.Close()
	}
	_ = os.RemoveAll(d.dir) //nolint:gosec // of os.MkdirTemp
}

// awaitReady waits until all daemons answer the readiness question with 200.
func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			if m.isReady() {
				ready++
			}
		}
		switch {
		case ready == len(d.machines):
			return nil
		case time.Now().After(end):
			return fmt.Errorf("%d of %d daemons are ready after %s", ready, len(d.machines), limit)
		}
	}
}

// configuration returns the operator's row op/config.
func configuration(version int) []byte {
	rule := func(name, kind, prefix, service string, target, timeout float64) map[string]any {
		return map[string]any{
			"name": name, "kind": kind, "target_latency_s": target, "priority": 1, "match": map[string]any{"prefix": prefix},
			"action": map[string]any{fieldService: service, "timeout_s": timeout, "max_attempts": 2},
		}
	}
	clusters := make([]any, 0, len(services))
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"name": s, "health_path": healthPath, "max_connections": 110, "cold_start_s": 3.0, "cold_per_s": 18.0,
		})
	}
	body, _ := json.Marshal(map[string]any{
		fieldVersion: version,
		"limits":     map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"host": siteHost, "routing_rules": []any{
			rule("slot-view", "safe", "/slots/", services[0], 0.5, 1),
			rule("slot-book", "unsafe", "/book/", services[1], 0.6, 1.2),
			rule("roster-view", "safe", "/roster/", services[2], 1.2, 2.5),
		}}},
		"clusters": clusters,
	})
	return body
}

// machine is an instance with its daemon and its backend server.
type machine struct {
	*deployment

	name, zone, service, ip string
	daemon                  *exec.Cmd
	exited                  chan struct{}
	backend                 *backend
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// Ports of a machine.
const (
	portOutbound  = 8080
	portPeer      = 7600
	portControl   = 8082
	portServer    = 8084
	portReadiness = 8085
	portMetrics   = 9464
)

// start starts the daemon, with the settings that deploy/settings.template renders for a
// machine of the site, and the backend server.
func (m *machine) start(store string) error {
	text := fmt.Sprintf("[daemon]\nname = %s\nzone = %s\nregion = hokkaido\nbootstrap = true\n\n"+
		"[listen]\ningress = %s\npeer = %s\nlocal = %s\nready = %s\nadmin = %s\n\n"+
		"[platform]\nkind = rows\nstore = %s\napply = 2s\n\n[server]\nservice = %s\naddress = %s\ncold = 1.5\n\n"+
		"[limits]\nspill = 0.9\n\n[budget]\nratio = 0.2\nslack = 56\nwindow = 10s\n\n[move]\nexposure = 0.1\nslack = 50\n\n"+
		"[stop]\nnotice = 2200ms\nlimit = 6s\n\n[memory]\ngrowth = 50\nlimit = 284MiB\n",
		m.name, m.zone, m.at(portOutbound), m.at(portPeer), m.at(portControl), m.at(portReadiness), m.at(portMetrics),
		store, m.service, m.at(portServer))
	settings := filepath.Join(m.dir, m.name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil { //nolint:gosec // in the folder of os.MkdirTemp
		return err
	}
	if err := m.backend.start(); err != nil {
		return err
	}
	m.daemon = exec.CommandContext(context.Background(), daemonBinary, "daemon")
	m.daemon.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "TURMERICHAVEN_SETTINGS=" + settings}
	m.daemon.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.daemon.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func() {
		defer close(m.exited)
		_ = m.daemon.Wait()
	}()
	return nil
}

// end kills the daemon and closes the backend server.
func (m *machine) end() {
	if m.exited != nil {
		_ = m.daemon.Process.Kill()
		<-m.exited
	}
	m.backend.exit()
}

// get sends a GET request without a body and returns the status.
func get(url string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil) //nolint:gosec // a loopback address of this program
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(r) //nolint:gosec // see above
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func (m *machine) isReady() bool {
	status, err := get("http://" + m.at(portReadiness) + "/api/readiness")
	return err == nil && status == http.StatusOK
}
