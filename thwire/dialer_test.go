package thwire

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Guards against a GoAway that interrupts streams in progress or doesn't prevent new
// ones.
func TestGoAway(t *testing.T) {
	release := make(chan struct{})
	p := listen(t, func(i *Incoming) {
		<-release
		echo(i)
	})
	d := newDialer(t)
	s, err := d.Open(t.Context(), p.address, Open{Route: "r", Ended: true})
	assert.NilError(t, err)
	eventually(t, "stream not seen", func() bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return len(p.sessions) > 0 && p.sessions[0].Active() == 1
	})
	p.mutex.Lock()
	for _, s := range p.sessions {
		s.GoAway("drain")
	}
	p.mutex.Unlock()
	eventually(t, "no GoAway", func() bool { return d.SeenGoAway(p.address) })
	_, err = d.Open(t.Context(), p.address, Open{Ended: true})
	assert.Assert(t, therror.Is(err, therror.Leaving))
	close(release)
	_, err = io.ReadAll(s)
	assert.NilError(t, err)
}

// Guards against calls that hang on a peer that doesn't reply to pings.
func TestFrozenPeer(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	go io.Copy(io.Discard, b)
	clock := clockwork.NewFakeClock()
	s := startSession(a, nil, clock, nil)
	defer s.Close()
	st, err := s.open(t.Context(), &Open{Ended: true})
	assert.NilError(t, err)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	go func() {
		for range 20 {
			clock.Advance(pingInterval)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	_, err = st.Head(t.Context())
	assert.Assert(t, therror.Is(err, therror.Broken))
	assert.ErrorContains(t, err, "silent")
}

// Guards against idle sessions that stay open, and against a peer that isn't dialled
// again after its sessions have ended.
func TestIdleCloseAndRedial(t *testing.T) {
	p := listen(t, echo)
	clock := clockwork.NewFakeClock()
	d := &Dialer{Clock: clock}
	defer d.Close()
	_, _, err := exchange(t.Context(), d, p.address, "r", []byte("x"))
	assert.NilError(t, err)
	open := func() (n int) {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		for _, s := range d.peers[p.address].sessions {
			if s.alive() {
				n++
			}
		}
		return n
	}
	assert.Assert(t, open() >= 1)
	clock.Advance(idleTimeout / 2)
	assert.Assert(t, open() >= 1)
	eventually(t, "idle sessions stay", func() bool {
		clock.Advance(idleTimeout / 4)
		return open() == 0
	})
	_, _, err = exchange(t.Context(), d, p.address, "r", []byte("x"))
	assert.NilError(t, err)
	d.mutex.Lock()
	for _, s := range d.peers[p.address].sessions {
		s.lastID = maxStreamID
	}
	d.mutex.Unlock()
	_, s, err := exchange(t.Context(), d, p.address, "r", []byte("x"))
	assert.NilError(t, err)
	assert.Assert(t, s.id < maxStreamID)
	eventually(t, "broken sessions stay", func() bool {
		// Repeated in each round, since the peer may accept a session later than it was
		// dialled.
		p.mutex.Lock()
		defer p.mutex.Unlock()
		for _, s := range p.sessions {
			s.fail(io.ErrClosedPipe)
		}
		return open() == 0
	})
	// A session that was being dialled meanwhile may have been broken by the peer too.
	eventually(t, "no session replaces the broken ones", func() bool {
		_, _, err = exchange(t.Context(), d, p.address, "r", []byte("x"))
		return err == nil
	})
}

// Guards against a daemon that dials an unreachable peer again for each call.
func TestDialBackoff(t *testing.T) {
	dials := 0
	d := &Dialer{Clock: clockwork.NewFakeClock(), Dial: func(context.Context, string, string) (net.Conn, error) {
		dials++
		return nil, io.ErrClosedPipe
	}}
	for range 20 {
		_, err := d.Open(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), Open{})
		assert.Assert(t, therror.Is(err, therror.Down) && therror.IsNotRun(err))
	}
	assert.Equal(t, dials, 1)
}

// Guards against calls that wait until near their deadlines for the dial of an address
// that doesn't respond, as after a power loss, and against a dial that is aborted with
// the first call that waited for it.
func TestCallDoesNotWaitForLongDial(t *testing.T) {
	release := make(chan struct{})
	d := &Dialer{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case <-release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		a, b := net.Pipe()
		go io.Copy(io.Discard, b)
		return a, nil
	}}
	defer d.Close()
	address := netip.MustParseAddrPort("127.0.0.1:1")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	start := time.Now()
	_, err := d.Open(ctx, address, Open{Ended: true})
	assert.Equal(t, therror.KindOf(err), therror.Down)
	assert.Assert(t, therror.IsNotRun(err))
	assert.Assert(t, time.Since(start) < 2*dialWaitTimeout, "%s", time.Since(start))
	close(release)
	_, err = d.Open(ctx, address, Open{Ended: true})
	assert.NilError(t, err)
}

// Guards against a stop that waits for a dial to a peer that doesn't answer, until the
// platform kills the process.
func TestCloseCancelsDialsInProgress(t *testing.T) {
	dialling, ended := make(chan struct{}), make(chan error, 1)
	d := &Dialer{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialling)
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return nil, ctx.Err()
	}}
	opened := make(chan error, 1)
	go func() {
		_, err := d.Open(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), Open{})
		opened <- err
	}()
	<-dialling
	d.Close()
	assert.ErrorIs(t, <-ended, context.Canceled)
	assert.Assert(t, <-opened != nil)
}
