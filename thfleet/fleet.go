package thfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/therror"
)

// Ports of an upstream; each upstream has a loopback address of its own.
const (
	portIngress = 8080
	portPeer    = 8081
	portLocal   = 8082
	portAdmin   = 8083
	portServer  = 8084
)

// networkStride is the distance between the networks of two fleets of one
// process; the process ids of programs that run at the same time are close.
const networkStride = 61

// fleetCount counts the fleets of this process.
var fleetCount atomic.Int64

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Fleet is a platform with upstreams. Set the exported fields, then call Start.
type Fleet struct {
	Dir               string        // for settings and logs
	Binary            string        // turmerichaven
	Standin           string        // turmerichaven-standin
	LogLevel          string        // log level of daemons, info when empty
	StopGrace         time.Duration // of a stopping daemon, the standard when zero
	InitialReadSpread time.Duration // of the first reads of the platform, the standard when zero
	WriteJournals     bool          // backend servers write their records to files, which outlive a kill
	UseLinks          bool          // puts a fault-injecting proxy before each upstream's addresses
	SeparableRegions  bool          // with Links: Part can separate the regions

	Platform        *Process
	Upstreams       []*Upstream
	platformAddress string // of the platform
	network         [2]byte
	partition       *partition // with Regions
}

// Upstream is a daemon with the backend server beside it.
type Upstream struct {
	Name, Zone, Region string
	Service, Version   string
	Slots              int
	ProcessingTime     time.Duration // time of a request
	WarmupRequests     int           // requests until the server is warm
	ExtraAge           time.Duration // added to the age that the server announces
	PlatformAddress    string        // address of the platform, that of the fleet when empty
	NoServer           bool          // no backend server
	Env                []string      // added to the environment of the daemon
	ChainAddress       func() string // address that the server's chains call, the own ingress when nil

	// Set with Fleet.Links. Other daemons reach this one through PeerLink, the
	// daemon reaches its backend server through ServerLink and the platform
	// through PlatformLink.
	PeerLink, ServerLink, PlatformLink *Link

	Address netip.Addr
	Daemon  *Process
	Server  *Process
	fleet   *Fleet
	admin   thadmin.Client
}

// Build builds the programs of this module into dir. The current directory is
// in the module.
func Build(ctx context.Context, dir string, race bool) (binary, standin string, err error) {
	binary, standin = filepath.Join(dir, "turmerichaven"), filepath.Join(dir, "turmerichaven-standin")
	const module = "github.com/turmerichaven/turmerichaven"
	for name, pkg := range map[string]string{binary: module, standin: module + "/cmd/standin"} {
		args := []string{"build", "-o", name}
		if race {
			args = append(args, "-race")
		}
		out, err := exec.CommandContext(ctx, "go", append(args, pkg)...).CombinedOutput() //nolint:gosec // fixed arguments
		if err != nil {
			return "", "", therror.Wrap(therror.Internal, err, "build %s: %s", pkg, out)
		}
	}
	return binary, standin, nil
}

// Start starts the platform.
func (f *Fleet) Start() error {
	// Loopback networks differ between fleets that run at the same time, in
	// this process and in others.
	pid := os.Getpid() + networkStride*int(fleetCount.Add(1)-1)
	f.network = [2]byte{byte(16 + pid%200), byte(pid / 200)}
	return f.StartPlatform("127.0.0.1:0")
}

// StartPlatform starts the platform on an address; it begins empty.
func (f *Fleet) StartPlatform(listen string) error {
	p, err := startProcess("platform", filepath.Join(f.Dir, "platform.log"), f.Standin, nil, "platform", "--listen", listen)
	if err != nil {
		return err
	}
	f.Platform = p
	if f.platformAddress, err = p.waitAddress(startTimeout); err != nil {
		return err
	}
	// Written once: commands that run at the same time read it.
	return os.WriteFile(f.operatorSettings(), []byte(platformSection(f.platformAddress)), 0o600)
}

// operatorSettings names the settings file of the operator commands.
func (f *Fleet) operatorSettings() string { return filepath.Join(f.Dir, "operator.ini") }

// PlatformAddress returns the address of the platform.
func (f *Fleet) PlatformAddress() string { return f.platformAddress }

// Add starts an upstream; see WaitReady.
func (f *Fleet) Add(u *Upstream) error {
	n := len(f.Upstreams) + 1
	u.fleet = f
	u.Address = netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], byte(n)})
	if n > 250 {
		u.Address = netip.AddrFrom4([4]byte{127, f.network[0], f.network[1] + 1 + byte(n/250), byte(n%250 + 1)})
	}
	u.admin = thadmin.Client{Address: u.addrPort(portAdmin)}
	f.Upstreams = append(f.Upstreams, u)
	if f.UseLinks {
		if err := u.startLinks(); err != nil {
			return err
		}
	}
	if err := u.StartDaemon(); err != nil {
		return err
	}
	if u.NoServer {
		return nil
	}
	return u.StartServer()
}

func (u *Upstream) addrPort(port uint16) netip.AddrPort { return netip.AddrPortFrom(u.Address, port) }

// Ingress returns the address that takes calls.
func (u *Upstream) Ingress() string { return u.addrPort(portIngress).String() }

// Peer returns the address that takes connections of other daemons.
func (u *Upstream) Peer() string { return u.addrPort(portPeer).String() }

// Admin returns the admin address.
func (u *Upstream) Admin() string { return u.addrPort(portAdmin).String() }

// ServerAddress returns the address of the backend server.
func (u *Upstream) ServerAddress() string { return u.addrPort(portServer).String() }

// StartDaemon starts the daemon, again after it has ended.
func (u *Upstream) StartDaemon() (err error) {
	u.Daemon, err = startProcess(u.Name, u.path("daemon.log"), u.fleet.Binary, u.Env, "daemon", "--settings", u.writeSettings())
	return err
}

// StartServer starts the backend server, again after it has ended.
func (u *Upstream) StartServer() (err error) {
	announce, chain := "", u.Ingress()
	if u.ServerLink != nil {
		announce = u.addrPort(portServerLink).String()
	}
	if u.ChainAddress != nil {
		chain = u.ChainAddress()
	}
	journal := ""
	if u.fleet.WriteJournals {
		journal = u.JournalPath()
	}
	u.Server, err = startProcess(u.Name+"-server", u.path("server.log"), u.fleet.Standin, nil, "server",
		"--name", u.Name, "--service", u.Service, "--backend-version", u.Version, "--announce", announce,
		"--slots", fmt.Sprint(u.Slots), "--listen", u.ServerAddress(), "--daemon", u.addrPort(portLocal).String(),
		"--ingress", chain, "--work", u.ProcessingTime.String(), "--cold", fmt.Sprint(u.WarmupRequests), "--age", u.ExtraAge.String(),
		"--journal", journal)
	return err
}

// JournalPath returns the file with the records of the backend server, see Fleet.Journal.
func (u *Upstream) JournalPath() string { return u.path("journal") }

func (u *Upstream) path(suffix string) string {
	return filepath.Join(u.fleet.Dir, u.Name+"."+suffix)
}

// writeSettings writes the daemon's settings file and returns its name.
func (u *Upstream) writeSettings() string {
	platform := u.PlatformAddress
	if platform == "" {
		platform = u.fleet.platformAddress
	}
	level := u.fleet.LogLevel
	if level == "" {
		level = "info"
	}
	announce := ""
	if u.PeerLink != nil {
		announce = "announce = " + u.addrPort(portPeerLink).String() + "\n"
	}
	text := fmt.Sprintf("[daemon]\nname = %s\nzone = %s\nregion = %s\n\n"+
		"[listen]\ningress = %s\npeer = %s\n%slocal = %s\nadmin = %s\n\n%s\n[log]\nlevel = %s\n",
		u.Name, u.Zone, u.Region, u.Ingress(), u.Peer(), announce, u.addrPort(portLocal), u.Admin(), platformSection(platform), level)
	if d := u.fleet.InitialReadSpread; d > 0 {
		text += "\n[peers]\nspread = " + d.String() + "\n"
	}
	if g := u.fleet.StopGrace; g > 0 {
		text += "\n[stop]\ngrace = " + g.String() + "\n"
	}
	name := u.path("ini")
	_ = os.WriteFile(name, []byte(text), 0o600)
	return name
}

func platformSection(address string) string {
	return fmt.Sprintf("[platform]\ntable = http://%s\nobject = http://%s\naccess = local\nsecret = local\n", address, address)
}

// Status returns the daemon's status.
func (u *Upstream) Status(ctx context.Context) (thadmin.Status, error) { return u.admin.Status(ctx) }

// RunCommand runs an operator command and returns its output and exit code.
func (f *Fleet) RunCommand(ctx context.Context, args ...string) (string, int, error) {
	args = append([]string{"--settings", f.operatorSettings()}, args...)
	cmd := exec.CommandContext(ctx, f.Binary, args...) //nolint:gosec // the module's own program
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return out.String(), exit.ExitCode(), nil
	}
	return out.String(), 0, err
}

// Command runs an operator command that must succeed.
func (f *Fleet) Command(ctx context.Context, args ...string) (string, error) {
	out, code, err := f.RunCommand(ctx, args...)
	if err == nil && code != 0 {
		err = therror.New(therror.Internal, "turmerichaven %s: exit code %d: %s", strings.Join(args, " "), code, out)
	}
	return out, err
}

// Wait polls until the condition holds for the status of every running daemon.
func (f *Fleet) Wait(ctx context.Context, timeout time.Duration, description string, condition func(*Upstream, thadmin.Status) bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, u := range f.Upstreams {
		if err := u.Wait(ctx, description, condition); err != nil {
			return err
		}
	}
	return nil
}

// Wait polls until the condition holds for the daemon's status.
func (u *Upstream) Wait(ctx context.Context, description string, condition func(*Upstream, thadmin.Status) bool) error {
	for {
		select {
		case <-u.Daemon.done:
			return nil
		default:
		}
		s, err := u.Status(ctx)
		if err == nil && condition(u, s) {
			return nil
		}
		select {
		case <-ctx.Done():
			return therror.New(therror.Late, "%s: not yet %s; version %d, %d members, ready %t, error %v",
				u.Name, description, s.Config.Version, len(s.Members), s.Self.Ready, err)
		case <-time.After(pollInterval):
		}
	}
}

// WaitReady waits until every daemon is ready and knows every backend server.
func (f *Fleet) WaitReady(ctx context.Context) error {
	servers := 0
	for _, u := range f.Upstreams {
		if !u.NoServer {
			servers++
		}
	}
	return f.Wait(ctx, startTimeout, "ready", func(_ *Upstream, s thadmin.Status) bool {
		known := 0
		for _, m := range s.Members {
			if m.Live() && m.Server != nil {
				known++
			}
		}
		return s.Self.Ready && known >= servers
	})
}

// WaitVersion waits until every running daemon has at least the version in effect.
func (f *Fleet) WaitVersion(ctx context.Context, version uint64, timeout time.Duration) error {
	return f.Wait(ctx, timeout, fmt.Sprintf("at version %d", version), func(_ *Upstream, s thadmin.Status) bool {
		return s.Config.Version >= version
	})
}

// SetFault sets the faults of a stand-in at address; see its /fault path.
func SetFault(ctx context.Context, address string, fault any) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	return post(ctx, "http://"+address+"/fault", body)
}

// Drain makes the backend server announce that it leaves.
func (u *Upstream) Drain(ctx context.Context) error {
	return post(ctx, "http://"+u.ServerAddress()+"/drain", nil)
}

func post(ctx context.Context, url string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(a.Body, 1<<12))
	if a.StatusCode >= http.StatusBadRequest {
		return therror.New(therror.Refused, "%s: %s: %s", url, a.Status, text)
	}
	return nil
}

// Stop stops daemons, backend servers and the platform, and returns the errors
// of processes that did not stop cleanly.
func (f *Fleet) Stop() error {
	daemons := make([]*Process, 0, len(f.Upstreams))
	servers := make([]*Process, 0, len(f.Upstreams))
	for _, u := range f.Upstreams {
		daemons = append(daemons, u.Daemon)
		if u.Server != nil {
			servers = append(servers, u.Server)
		}
	}
	err := errors.Join(stopAll(daemons), stopAll(servers))
	if f.Platform != nil {
		err = errors.Join(err, stopAll([]*Process{f.Platform}))
	}
	return err
}

// Kill ends all processes at once.
func (f *Fleet) Kill() {
	for _, u := range f.Upstreams {
		for _, p := range []*Process{u.Daemon, u.Server} {
			if p != nil {
				p.Kill()
			}
		}
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
	for _, u := range f.Upstreams {
		for _, l := range []*Link{u.PeerLink, u.ServerLink, u.PlatformLink} {
			if l != nil {
				l.Disconnect()
			}
		}
	}
}

func stopAll(all []*Process) error {
	errs := make([]error, len(all))
	done := make(chan struct{})
	for i, p := range all {
		go func() {
			defer func() { done <- struct{}{} }()
			select {
			case <-p.done:
			default:
				errs[i] = p.Stop(stopTimeout)
			}
		}()
	}
	for range all {
		<-done
	}
	return errors.Join(errs...)
}
