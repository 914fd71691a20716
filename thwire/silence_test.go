package thwire

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// advance moves the clock over a silence of the peer.
func advance(clock *clockwork.FakeClock) {
	for range 4 {
		clock.Advance(pingInterval)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a call that must not be made again and fails because the daemon beside its
// backend server is silent for a while, although its response comes before the deadline; and
// against calls that could be made elsewhere and wait for it.
func TestSilentPeerKeepsCallsThatRunOnce(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	frames := make(chan Type, 64)
	go func() {
		r := bufio.NewReader(b)
		var buffer []byte
		for {
			kind, _, err := readFrame(r, &buffer)
			if err != nil {
				return
			}
			frames <- kind
		}
	}()
	clock := clockwork.NewFakeClock()
	s := startSession(a, nil, clock, nil)
	defer s.Close()
	once, err := s.open(t.Context(), &Open{Ended: true, Once: true})
	assert.NilError(t, err)
	idempotent, err := s.open(t.Context(), &Open{Ended: true})
	assert.NilError(t, err)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	advance(clock)
	_, err = idempotent.Head(t.Context())
	assert.Assert(t, therror.Is(err, therror.Broken), "%v", err)
	assert.ErrorContains(t, err, "silent")
	assert.Equal(t, s.Active(), 1)
	assert.Assert(t, s.silent.Load())

	response, err := AppendFrame(nil, TypeHead, &Head{Stream: once.id, Status: 200})
	assert.NilError(t, err)
	response, err = AppendFrame(response, TypeEnd, &End{Stream: once.id})
	assert.NilError(t, err)
	_, err = b.Write(response)
	assert.NilError(t, err)
	head, err := once.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, head.Status, 200)
	var got []Type
	for len(frames) > 0 {
		got = append(got, <-frames)
	}
	assert.Assert(t, func() bool {
		for _, kind := range got {
			if kind == TypeCancel {
				return true
			}
		}
		return false
	}(), "the peer isn't told of the call that was ended: %v", got)
}

// Guards against work of a backend server that is cancelled because the daemon of the caller
// is silent for a while, where it must not be made again.
func TestSilentIngressKeepsCallsThatRunOnce(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	go func() { // the ingress, which reads nothing while it is frozen
		open, err := AppendFrame(nil, TypeOpen, &Open{Stream: 1, Ended: true, Once: true})
		assert.Check(t, err)
		open, err = AppendFrame(open, TypeOpen, &Open{Stream: 2, Ended: true})
		assert.Check(t, err)
		_, err = b.Write(open)
		assert.Check(t, err)
	}()
	clock := clockwork.NewFakeClock()
	started, cancelled := make(chan uint32, 2), make(chan uint32, 2)
	s := startSession(a, func(i *Incoming) {
		started <- i.open.Stream
		<-i.Context().Done()
		cancelled <- i.open.Stream
	}, clock, nil)
	for range 2 {
		<-started
	}
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	advance(clock)
	assert.Equal(t, <-cancelled, uint32(2))
	assert.Equal(t, s.Active(), 1)
	assert.Equal(t, len(cancelled), 0)
	b.Close()
	assert.Equal(t, <-cancelled, uint32(1)) // the connection has ended
	s.Close()
}

// Guards against new calls on a connection of which the peer is silent, and against a peer
// that is never dialled again.
func TestSilentPeerGetsNoNewCalls(t *testing.T) {
	p := listen(t, echo)
	clock := clockwork.NewFakeClock()
	d := &Dialer{Clock: clock, Sessions: 1}
	defer d.Close()
	_, _, err := exchange(t.Context(), d, p.address, "r", []byte("x"))
	assert.NilError(t, err)
	d.mutex.Lock()
	d.peers[p.address].sessions[0].silent.Store(true)
	d.mutex.Unlock()
	_, err = d.Open(t.Context(), p.address, Open{Ended: true})
	assert.Assert(t, therror.Is(err, therror.Down), "%v", err)
	clock.Advance(silentPeerPause)
	_, _, err = exchange(t.Context(), d, p.address, "r", []byte("x"))
	assert.NilError(t, err)
}
