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

// Guards against a GoAway that interrupts streams or lets new ones in.
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

// Guards against calls that hang on a frozen peer.
func TestFrozenPeer(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	go io.Copy(io.Discard, b)
	clock := clockwork.NewFakeClock()
	s := startSession(a, nil, clock)
	defer s.Close()
	st, err := s.open(t.Context(), &Open{Ended: true})
	assert.NilError(t, err)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	go func() {
		for range 20 {
			clock.Advance(pingEvery)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	_, err = st.Head(t.Context())
	assert.Assert(t, therror.Is(err, therror.Broken))
	assert.ErrorContains(t, err, "silent")
}

// Guards against sessions that are kept without use, and against a peer that
// is not reached again after its sessions broke.
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
	clock.Advance(idleLimit / 2)
	assert.Assert(t, open() >= 1)
	eventually(t, "idle sessions stay", func() bool {
		clock.Advance(idleLimit / 4)
		return open() == 0
	})
	_, _, err = exchange(t.Context(), d, p.address, "r", []byte("x"))
	assert.NilError(t, err)
	d.mutex.Lock()
	for _, s := range d.peers[p.address].sessions {
		s.last = lastStream
	}
	d.mutex.Unlock()
	_, s, err := exchange(t.Context(), d, p.address, "r", []byte("x"))
	assert.NilError(t, err)
	assert.Assert(t, s.id < lastStream)
	eventually(t, "broken sessions stay", func() bool {
		// Again in each round: the peer may accept a dialled session later.
		p.mutex.Lock()
		defer p.mutex.Unlock()
		for _, s := range p.sessions {
			s.fail(io.ErrClosedPipe)
		}
		return open() == 0
	})
	_, _, err = exchange(t.Context(), d, p.address, "r", []byte("x"))
	assert.NilError(t, err)
}

// Guards against a daemon that redials a dead peer for each call.
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

// Pattern: an instance loses power and its address swallows connections.
// Guards against calls that wait for the dial until near their deadlines, and
// against a dial that is given up with the first call that waited for it.
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
	began := time.Now()
	_, err := d.Open(ctx, address, Open{Ended: true})
	assert.Equal(t, therror.KindOf(err), therror.Down)
	assert.Assert(t, therror.IsNotRun(err))
	assert.Assert(t, time.Since(began) < 2*openWait, "%s", time.Since(began))
	close(release)
	_, err = d.Open(ctx, address, Open{Ended: true})
	assert.NilError(t, err)
}
