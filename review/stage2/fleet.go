package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

// The bounds of the deployment ishikari-ovens, as its page states them.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	graceTime   = 6 * time.Second
	applyTime   = 2 * time.Second
	beatTime    = 1500 * time.Millisecond
	answerTime  = 4 * time.Millisecond // of the store
	coldTime    = 3 * time.Second      // of a server that starts during the traffic
	// restartDelay is the pause between the end of a process and its next start.
	restartDelay = 500 * time.Millisecond
)

// The ports of a machine. Each machine has a loopback address of its own.
const (
	portOutbound = 8629
	portReady    = 8625
	portControl  = 8620
	portApp      = 8628
	portPeer     = 7600
)

// fleet is a small deployment: a store, and machines with a daemon and a backend server each.
type fleet struct {
	ctx      context.Context
	record   *record
	dir      string
	network  string // first three bytes of the machines' addresses
	store    *storeStandin
	machines []*machine
	serving  bool // the traffic has begun: the system starts no more for the first time
}

// machine is a daemon process and what stands beside it.
type machine struct {
	fleet   *fleet
	name    string
	zone    string
	service string
	ip      string
	door    *door // to the store

	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
	out     []span // in which the machine was not in touch
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// newFleet starts the store. The caller calls stop.
func newFleet(ctx context.Context, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "stage2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{ctx: ctx, record: r, dir: dir}
	for i := range 200 {
		n := (os.Getpid() + 7*i) % 200
		f.network = fmt.Sprintf("127.%d.%d", 30+n, 1+os.Getpid()/200%250)
		if isFree(f.network+".1", portOutbound) && isFree(f.network+".1", portPeer) {
			break
		}
	}
	f.store, err = startStore()
	return f, err
}

func isFree(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port)) //nolint:noctx // closed at once
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// add adds a machine. Its daemon is started with start.
func (f *fleet) add(zone, service string) (*machine, error) {
	i := len(f.machines) + 1
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, i), zone: zone, service: service, ip: fmt.Sprintf("%s.%d", f.network, i)}
	var err error
	if m.door, err = openDoor(f.store.address); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, nil
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.kill()
	}
	f.store.close()
	_ = os.RemoveAll(f.dir) //nolint:gosec // addresses and folders of this program
}

// fields are those of the page DEPLOY.md which the template uses.
func (m *machine) fields() map[string]string {
	return map[string]string{
		"node": m.name, "zone": m.zone, "region": "hokkaido", "ip": m.ip,
		"bootstrap":       fmt.Sprint(m.starts == 0 && !m.fleet.serving),
		"listen.outbound": m.at(portOutbound), "listen.control": m.at(portControl), "listen.ready": m.at(portReady),
		"port_range.0": fmt.Sprint(portPeer), "provider.address": m.door.address(),
		"service": m.service, "app_addr": m.at(portApp), "limits.link_mbps": "1000.0", "limits.memory_mb": "284",
		"bounds.config_apply_s": "2", "bounds.cold_over": "1.5", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "56",
		"bounds.budget_window_s": "10", "bounds.expose_share": "0.1", "bounds.expose_slack": "50", "bounds.grace_s": "6",
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/([a-z0-9_.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
)

// render fills in a template as DEPLOY.md describes it, as far as deploy/settings.template needs it.
func render(template string, fields map[string]string) string {
	out := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		p := sectionPattern.FindStringSubmatch(s)
		v, found := fields[p[1]]
		if !found {
			return ""
		}
		return strings.ReplaceAll(p[2], "{{.}}", v)
	})
	return valuePattern.ReplaceAllStringFunc(out, func(s string) string { return fields[valuePattern.FindStringSubmatch(s)[1]] })
}

// place places the settings file, as the platform does at every start and whenever the settings
// change. It returns the path.
func (m *machine) place() (string, error) {
	template, err := os.ReadFile("deploy/settings.template")
	if err != nil {
		return "", err
	}
	path := filepath.Join(m.fleet.dir, m.name+".conf")
	return path, os.WriteFile(path, []byte(render(string(template), m.fields())), 0o600) //nolint:gosec // addresses and folders of this program
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	path, err := m.place()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // a folder of this program
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.CommandContext(m.fleet.ctx, "target/turmerichaven", "daemon") //nolint:gosec // addresses and folders of this program
	c.Env = []string{"TURMERICHAVEN_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	m.starts++
	m.process, m.exited = c, make(chan struct{})
	exited := m.exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill ends the daemon at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait(10 * time.Second)
}

// wait waits for the end of the daemon and reports whether it has ended.
func (m *machine) wait(d time.Duration) bool {
	m.mutex.Lock()
	exited := m.exited
	m.mutex.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// log returns the log of the daemon so far.
func (m *machine) log() string {
	b, _ := os.ReadFile(filepath.Join(m.fleet.dir, m.name+".log"))
	return string(b)
}

// awaitReady waits until the daemons answer the question of the platform with 200.
func (f *fleet) awaitReady(machines []*machine, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) isReady() bool {
	r, err := http.NewRequestWithContext(m.fleet.ctx, http.MethodGet, "http://"+m.at(portReady)+"/api/readiness", nil) //nolint:gosec // addresses and folders of this program
	if err != nil {
		return false
	}
	response, err := (&http.Client{Timeout: time.Second}).Do(r) //nolint:gosec // addresses and folders of this program
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// storeStandin is the platform's store.
type storeStandin struct {
	rows    *thstandin.RowStore
	address string
	server  *http.Server
}

func startStore() (*storeStandin, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // lives as long as the program
	if err != nil {
		return nil, err
	}
	s := &storeStandin{rows: &thstandin.RowStore{}, address: l.Addr().String()}
	s.rows.SetFaults(thstandin.RowStoreFaults{Latency: answerTime})
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// ServeHTTP answers a call, without the header that the pages in force don't name.
func (s *storeStandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.rows.ServeHTTP(&plainWriter{w}, r)
}

// plainWriter leaves out the header Store-Era.
type plainWriter struct{ http.ResponseWriter }

// WriteHeader writes the head of an answer.
func (w *plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (s *storeStandin) close() { _ = s.server.Close() }

// put writes a row of the operator.
func (s *storeStandin) put(key, value string) {
	s.rows.Put("op", "", key, bytes.TrimSpace([]byte(value)))
}
