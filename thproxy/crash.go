package thproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Timing of the probe of a backend server that broke a connection.
const (
	crashProbeTimeout = 250 * time.Millisecond
	// crashProbeRead is the time for which a connection must stay open to show that the server
	// runs. A process that ends may close its connections before its listener, one by one.
	crashProbeRead = 20 * time.Millisecond
	// crashProbeValidity is how long the result of a probe holds for further calls that
	// the same process broke.
	crashProbeValidity = 100 * time.Millisecond
	// minRestartTime is the time within which a server without an instance id counts as the
	// process that has crashed.
	minRestartTime = time.Second
)

// crashDetector tells whether a backend server that broke a connection has crashed. A
// crashed server has no listener, unlike one that only reset a connection.
type crashDetector struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error) // nil means net.Dialer

	mutex   sync.Mutex // also serialises probes
	server  thwire.Server
	checked time.Time // when the server was probed; zero before the first probe
	crashed bool
}

// hasCrashed probes the server, unless it was probed just before. first is set for the
// call whose probe found the crash.
func (d *crashDetector) hasCrashed(server thwire.Server, address netip.AddrPort, clock clockwork.Clock) (crashed, first bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	age := clock.Since(d.checked)
	sameProcess := d.server.Instance == server.Instance && d.server.Born == server.Born && (server.Instance != "" || age < minRestartTime)
	if sameProcess && age < crashProbeValidity {
		return d.crashed, false
	}
	known := sameProcess && d.crashed
	d.server, d.crashed = server, d.refusesConnections(address)
	d.checked = clock.Now()
	return d.crashed, d.crashed && !known
}

// refusesConnections reports whether no process listens at the address.
func (d *crashDetector) refusesConnections(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	dial := d.dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	for range 2 {
		conn, err := dial(ctx, "tcp", address.String())
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		closed := closesWithin(ctx, conn, crashProbeRead)
		_ = conn.Close()
		if !closed {
			return false
		}
	}
	return false
}

// closesWithin reports whether the peer closes a connection within d.
func closesWithin(ctx context.Context, conn net.Conn, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if err := conn.SetReadDeadline(deadline); err != nil {
		return true
	}
	var b [1]byte
	_, err := conn.Read(b[:])
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// checkCrash returns an error of kind Crashed for a call that the backend server ended by
// closing its connection, if the server has crashed. Other errors are returned unchanged.
func (t *Target) checkCrash(c Call, server thwire.Server, address netip.AddrPort, err error) error {
	if c.Context().Err() != nil || !therror.Is(err, therror.Broken) || !isDisconnect(err) {
		return err
	}
	if current, _, ok := t.Server(); !ok || current.State == thwire.ServerLeaving {
		return err // the end of a server that leaves is no crash
	}
	if t.keepsIdleConn(c.Context(), address) {
		return err // without a probe, which would cost the server a connection
	}
	crashed, first := t.crashes.hasCrashed(server, address, thclock.OrSystem(t.Clock))
	if first && t.OnCrash != nil {
		t.OnCrash()
	}
	if first && t.Log != nil {
		t.Log.Warn("backend server crashed", "instance", server.Instance, "version", server.Version, "born", server.Born, "address", address)
	}
	if !crashed {
		return err
	}
	return therror.Wrap(therror.Crashed, err, "backend server crashed")
}

// keepsIdleConn reports whether the server keeps an idle connection open for crashProbeRead.
func (t *Target) keepsIdleConn(ctx context.Context, address netip.AddrPort) bool {
	d, ok := t.Transport.(*DirectTransport)
	if !ok || !d.hasOpenIdleConn(address.String()) {
		return false
	}
	timer := thclock.OrSystem(t.Clock).NewTimer(crashProbeRead)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return d.hasOpenIdleConn(address.String())
}

// isDisconnect reports whether err says that the peer closed or reset the connection.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
