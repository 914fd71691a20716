package thproxy

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thhttp"
	"github.com/turmerichaven/turmerichaven/thonce"
	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fakeGate admits every call unless rejection is set.
type fakeGate struct {
	rejection   atomic.Pointer[therror.Error]
	active      atomic.Int32
	lastLatency atomic.Int64 // of the last finished call, in ns
}

func (g *fakeGate) Enter(context.Context, *thwire.Open) (Pass, error) {
	if e := g.rejection.Load(); e != nil {
		return nil, e
	}
	g.active.Add(1)
	return g, nil
}

func (g *fakeGate) Done(latency time.Duration, _ bool) {
	g.lastLatency.Store(int64(latency))
	g.active.Add(-1)
}
func (g *fakeGate) Load(string) thwire.Load { return thwire.Load{Limit: 20} }

// fakeClaims stores claims in memory.
type fakeClaims struct{ held sync.Map }

func (f *fakeClaims) Claim(_ context.Context, c thstore.Claim) error {
	if old, ok := f.held.LoadOrStore(c.Key, c); ok {
		return therror.Wrap(therror.Repeat, &thstore.ClaimedError{Claim: old.(thstore.Claim)}, "claim")
	}
	return nil
}

func (f *fakeClaims) Settle(_ context.Context, c thstore.Claim) error {
	f.held.Store(c.Key, c)
	return nil
}

func (f *fakeClaims) Release(_ context.Context, c thstore.Claim) error {
	f.held.Delete(c.Key)
	return nil
}

// fakeBalancer chooses the first member that is not excluded, from the one in turn on.
type fakeBalancer struct {
	members []thwire.Member
	reuse   bool // choose the first member if all are excluded, as if it had the least load
	inTurn  bool // choose the members in turn
	chosen  atomic.Int64
	mutex   sync.Mutex
	results []Result
}

type fakeChoice struct {
	*fakeBalancer
	member *thwire.Member
}

func (b *fakeBalancer) Choose(_ string, exclude []string) (Choice, error) {
	first := 0
	if b.inTurn {
		first = int(b.chosen.Add(1) - 1)
	}
	for i := range b.members {
		m := &b.members[(first+i)%len(b.members)]
		if !slices.Contains(exclude, m.Name) {
			return fakeChoice{b, m}, nil
		}
	}
	if b.reuse {
		return fakeChoice{b, &b.members[0]}, nil
	}
	return nil, therror.New(therror.Unready, "no server left")
}

// ChooseByKey chooses the last member that is not excluded, whatever the key.
func (b *fakeBalancer) ChoosePacked(pool, _ string, _ float64, exclude []string) (Choice, error) {
	return b.Choose(pool, exclude)
}

func (b *fakeBalancer) ChooseByKey(pool, _ string, exclude []string) (Choice, error) {
	for i := len(b.members) - 1; i >= 0; i-- {
		if !slices.Contains(exclude, b.members[i].Name) {
			return fakeChoice{b, &b.members[i]}, nil
		}
	}
	return b.Choose(pool, exclude)
}

func (c fakeChoice) Member() *thwire.Member { return c.member }
func (c fakeChoice) StatedRate() float64    { return 0 }
func (c fakeChoice) Begin()                 {}
func (c fakeChoice) Done(r Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.results) < 1000 {
		c.results = append(c.results, r)
	}
}

// mesh is an ingress with one target daemon and one backend server per handler.
type mesh struct {
	ingress  *Ingress
	balancer *fakeBalancer
	route    thconfig.Route
	targets  []*Target
	gates    []*fakeGate
	servers  []*httptest.Server
	front    *frontend
	client   *http.Client
	goAway   func() // sends GoAway on all sessions of the first target
}

func newMesh(t testing.TB, route thconfig.Route, handlers ...http.Handler) *mesh {
	route.Name, route.Pool, route.Path = "route", "pool", "/"
	if route.Repeat == "" {
		route.Repeat = thconfig.RepeatSafe
	}
	if route.Timeout == 0 {
		route.Timeout = 10 * time.Second
	}
	m := &mesh{balancer: &fakeBalancer{}, route: route}
	claims := &fakeClaims{}
	for i, h := range handlers {
		m.add(t, string(rune('a'+i)), h, claims)
	}
	d := &thwire.Dialer{}
	t.Cleanup(d.Close)
	m.ingress = &Ingress{Self: "ingress", Balancer: m.balancer, Dialer: d, Router: func() (uint64, func(*http.Request) (*thconfig.Route, bool), bool) {
		return 1, func(r *http.Request) (*thconfig.Route, bool) { return &m.route, r.URL.Path != "/none" }, true
	}}
	m.front = newFrontend(t, m.ingress)
	m.client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(m.client.CloseIdleConnections)
	return m
}

// newMeshBeside returns a mesh with one target beside the backend server at an address, whose
// responses have the headers of a platform of kind rows. With local set, the ingress is in the
// same daemon as the target.
func newMeshBeside(t testing.TB, address string, local bool) *mesh {
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler))
	headers := &Headers{RequestID: testIDHeader, Stamp: "X-Stamp", Deadline: HeaderDeadline}
	m.ingress.Headers, m.targets[0].Headers = headers, headers
	m.targets[0].Transport.(*DirectTransport).Headers = headers
	m.targets[0].Server = func() (thwire.Server, netip.AddrPort, bool) {
		return thwire.Server{State: thwire.ServerReady}, netip.MustParseAddrPort(address), true
	}
	if local {
		m.ingress.Local, m.ingress.Self = m.targets[0], m.balancer.members[0].Name
	}
	return m
}

// frontend serves callers over HTTP/1.1 and HTTP/2 in the same way as a daemon.
type frontend struct {
	URL      string
	Listener net.Listener
	calls    *thhttp.Server
	upgraded *http.Server
}

func newFrontend(t testing.TB, h http.Handler) *frontend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	handover := &thhttp.ConnListener{Address: l.Addr()}
	f := &frontend{URL: "http://" + l.Addr().String(), Listener: l, calls: &thhttp.Server{Handler: h, HTTP2: handover.Deliver}}
	f.upgraded = &http.Server{Handler: h, Protocols: new(http.Protocols), ErrorLog: log.New(testErrorLog{t}, "", 0)}
	f.upgraded.Protocols.SetHTTP1(true)
	f.upgraded.Protocols.SetUnencryptedHTTP2(true)
	f.calls.Log = hclog.New(&hclog.LoggerOptions{Level: hclog.Error, Output: testErrorLog{t}})
	go f.calls.Serve(l)
	go f.upgraded.Serve(handover)
	t.Cleanup(f.Close)
	return f
}

// Close waits for the handlers.
func (f *frontend) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = f.calls.Shutdown(ctx)
	_ = f.calls.Close()
	_ = f.upgraded.Close()
}

func (m *mesh) add(t testing.TB, name string, h http.Handler, claims thonce.ClaimStore) {
	server := httptest.NewServer(h)
	gate := &fakeGate{}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	transport := &DirectTransport{}
	transport.SetMaxConnections(100) // daemons have a limit too, by their settings
	target := &Target{
		Gate: gate, Guard: &thonce.Guard{Store: claims, Rate: 1e6}, Transport: transport,
		Server: func() (thwire.Server, netip.AddrPort, bool) {
			return thwire.Server{State: thwire.ServerReady}, address, true
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var mutex sync.Mutex
	var sessions []*thwire.Session
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mutex.Lock()
			sessions = append(sessions, thwire.ServeCalls(c, func(i *thwire.Incoming) { target.Serve(i) }, nil))
			mutex.Unlock()
		}
	}()
	if m.goAway == nil {
		m.goAway = func() {
			mutex.Lock()
			defer mutex.Unlock()
			for _, s := range sessions {
				s.GoAway("drain")
			}
		}
	}
	t.Cleanup(func() {
		l.Close()
		mutex.Lock()
		defer mutex.Unlock()
		for _, s := range sessions {
			s.Close()
		}
		transport.CloseIdle()
		server.CloseClientConnections()
		server.Close()
	})
	m.balancer.members = append(m.balancer.members, thwire.Member{Name: name, Peer: netip.MustParseAddrPort(l.Addr().String())})
	m.targets = append(m.targets, target)
	m.gates = append(m.gates, gate)
	m.servers = append(m.servers, server)
}

// testErrorLog fails the test on any log message of the callers' HTTP server, such
// as a panic of a handler.
type testErrorLog struct{ testing.TB }

func (l testErrorLog) Write(p []byte) (int, error) {
	l.Errorf("HTTP server: %s", p)
	return len(p), nil
}

func http2Client() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p}}
}
