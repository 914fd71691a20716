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

// Ports of an upstream. They are the same for all upstreams, because each has a
// loopback address of its own.
const (
	portIngress = 8080
	portPeer    = 8081
	portLocal   = 8082
	portAdmin   = 8083
	portServer  = 8084
)

// networkStride is the distance between the loopback networks of two fleets of one
// process. It keeps them apart from the networks of other processes that run at the
// same time, whose process ids are close to each other.
const networkStride = 61

// fleetCount is the number of fleets that this process has started.
var fleetCount atomic.Int64

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Fleet runs a platform stand-in and upstreams as processes. Set the exported
// fields, then call Start.
type Fleet struct {
	Dir               string        // directory of settings files and logs
	Binary            string        // path of program turmerichaven
	Standin           string        // path of program turmerichaven-standin
	LogLevel          string        // log level of the daemons; info when empty
	StopGrace         time.Duration // grace period of a stopping daemon; the default setting when zero
	InitialReadSpread time.Duration // spread of the daemons' first reads of the platform; the default setting when zero
	WriteJournals     bool          // backend servers write their records to files, which remain after a kill
	UseLinks          bool          // start fault-injecting proxies in front of each upstream's addresses
	SeparableRegions  bool          // with UseLinks: PartitionRegions can separate the regions

	Platform        *Process
	Upstreams       []*Upstream
	platformAddress string
	network         [2]byte
	partition       *partition // nil without SeparableRegions
}

// Upstream is a daemon with its local backend server. Set the exported fields up to
// ChainAddress, then pass it to Fleet.Add.
type Upstream struct {
	Name, Zone, Region string
	Service, Version   string
	Slots              int
	ProcessingTime     time.Duration // processing time of a request
	WarmupRequests     int           // requests that the server needs to become warm; always warm when zero
	ExtraAge           time.Duration // added to the age that the server announces
	PlatformAddress    string        // that of the fleet when empty
	NoServer           bool          // run the daemon without a backend server
	Env                []string      // variables added to the daemon's environment
	ChainAddress       func() string // address that the server's /chain requests call; the upstream's own ingress when nil

	// Set by Fleet.Add with Fleet.UseLinks, else nil. Other daemons reach this one
	// through PeerLink; the daemon reaches its backend server through ServerLink
	// and the platform through PlatformLink.
	PeerLink, ServerLink, PlatformLink *Link

	Address netip.Addr
	Daemon  *Process
	Server  *Process
	fleet   *Fleet
	admin   thadmin.Client
}

// Build compiles the programs turmerichaven and turmerichaven-standin into dir and
// returns their paths; race enables the race detector. The current directory must be
// inside the module.
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

// Start starts the platform stand-in; upstreams are added with Add.
func (f *Fleet) Start() error {
	// Fleets that run at the same time, in this process or in others, use
	// different loopback networks.
	pid := os.Getpid() + networkStride*int(fleetCount.Add(1)-1)
	f.network = [2]byte{byte(16 + pid%200), byte(pid / 200)}
	return f.StartPlatform("127.0.0.1:0")
}

// StartPlatform starts the platform stand-in with no data on an address, and waits
// until it serves. Use it to restart the platform.
func (f *Fleet) StartPlatform(listen string) error {
	p, err := startProcess("platform", filepath.Join(f.Dir, "platform.log"), f.Standin, nil, "platform", "--listen", listen)
	if err != nil {
		return err
	}
	f.Platform = p
	if f.platformAddress, err = p.waitAddress(startTimeout); err != nil {
		return err
	}
	// The file isn't rewritten for each command, since concurrent commands read it.
	return os.WriteFile(f.operatorSettings(), []byte(platformSection(f.platformAddress)), 0o600)
}

// operatorSettings returns the path of the operator commands' settings file.
func (f *Fleet) operatorSettings() string { return filepath.Join(f.Dir, "operator.ini") }

// PlatformAddress returns the host and port at which the platform listens.
func (f *Fleet) PlatformAddress() string { return f.platformAddress }

// Add starts an upstream's daemon and backend server and returns without waiting for
// them; see WaitReady.
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

// Ingress returns the daemon's address for calls.
func (u *Upstream) Ingress() string { return u.addrPort(portIngress).String() }

// Peer returns the daemon's address for connections from other daemons, behind
// PeerLink.
func (u *Upstream) Peer() string { return u.addrPort(portPeer).String() }

// Admin returns the daemon's admin address.
func (u *Upstream) Admin() string { return u.addrPort(portAdmin).String() }

// ServerAddress returns the backend server's address, behind ServerLink.
func (u *Upstream) ServerAddress() string { return u.addrPort(portServer).String() }

// StartDaemon starts the daemon, or restarts it after it has exited.
func (u *Upstream) StartDaemon() (err error) {
	u.Daemon, err = startProcess(u.Name, u.path("daemon.log"), u.fleet.Binary, u.Env, "daemon", "--settings", u.writeSettings())
	return err
}

// StartServer starts the backend server, or restarts it after it has exited.
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

// JournalPath returns the path of the file with the backend server's records, which
// exists only with Fleet.WriteJournals.
func (u *Upstream) JournalPath() string { return u.path("journal") }

func (u *Upstream) path(suffix string) string {
	return filepath.Join(u.fleet.Dir, u.Name+"."+suffix)
}

// writeSettings writes the daemon's settings file and returns its path.
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

// Status reads the daemon's status from its admin address.
func (u *Upstream) Status(ctx context.Context) (thadmin.Status, error) { return u.admin.Status(ctx) }

// RunCommand runs an operator command and returns its combined output and exit code.
// A non-zero exit code is no error.
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

// Command runs an operator command and returns an error if its exit code isn't zero.
func (f *Fleet) Command(ctx context.Context, args ...string) (string, error) {
	out, code, err := f.RunCommand(ctx, args...)
	if err == nil && code != 0 {
		err = therror.New(therror.Internal, "turmerichaven %s: exit code %d: %s", strings.Join(args, " "), code, out)
	}
	return out, err
}

// Wait polls until the condition holds for the status of every running daemon, at
// most until the timeout; description names the condition in the error.
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

// Wait polls until the condition holds for the daemon's status or the daemon has
// exited, which is no error. When ctx ends it returns an error of kind Late.
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
			return therror.New(therror.Late, "%s: timed out waiting to be %s; version %d, %d members, ready %t, error %v",
				u.Name, description, s.Config.Version, len(s.Members), s.Self.Ready, err)
		case <-time.After(pollInterval):
		}
	}
}

// WaitReady waits until every daemon is ready and its membership lists every backend
// server.
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

// WaitVersion waits until every running daemon has a configuration version in effect
// that isn't below version.
func (f *Fleet) WaitVersion(ctx context.Context, version uint64, timeout time.Duration) error {
	return f.Wait(ctx, timeout, fmt.Sprintf("at version %d", version), func(_ *Upstream, s thadmin.Status) bool {
		return s.Config.Version >= version
	})
}

// SetFault posts a fault to the /fault path of the stand-in at address. The type of
// fault is thbackend.Fault for a backend server, thstandin.Faults for the platform.
func SetFault(ctx context.Context, address string, fault any) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	return post(ctx, "http://"+address+"/fault", body)
}

// Drain makes the backend server notify its daemon that it leaves.
func (u *Upstream) Drain(ctx context.Context) error {
	return post(ctx, "http://"+u.ServerAddress()+"/drain", nil)
}

func post(ctx context.Context, url string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<12))
	if response.StatusCode >= http.StatusBadRequest {
		return therror.New(therror.Refused, "%s: %s: %s", url, response.Status, text)
	}
	return nil
}

// Stop stops the daemons, then the backend servers, then the platform, and returns
// the errors of processes that did not exit cleanly. Processes that have exited
// already are skipped.
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

// Kill kills all processes without a graceful stop and closes all links.
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

// stopAll stops processes concurrently and joins their errors.
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
