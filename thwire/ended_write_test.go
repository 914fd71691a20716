package thwire

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// The response to a call ends while its request is still written, to a peer that reads no
// more of it. Guards against writers that wait for the deadline of the call, for credit or for
// room in the send queue.
func TestEndOfResponseEndsBlockedWrites(t *testing.T) {
	const streams = 10 // their windows exceed the soft limit of the send queue
	own, peer := net.Pipe()
	s := startSession(own, nil, clockwork.NewFakeClock(), nil) // the peer answers no pings
	var writers sync.WaitGroup
	var all []*Stream
	for range streams {
		st, err := s.open(t.Context(), &Open{Route: "r"})
		assert.NilError(t, err)
		all = append(all, st)
		writers.Go(func() {
			_, err := st.Write(make([]byte, 2*initialWindow))
			assert.Check(t, err != nil)
		})
	}
	blocked := func() bool {
		s.out.mutex.Lock()
		defer s.out.mutex.Unlock()
		return len(s.out.waiters) > 0
	}
	eventually(t, "no writer waits for the send queue", blocked)
	var b []byte
	for _, st := range all {
		var err error
		b, err = AppendFrame(b, TypeHead, &Head{Stream: st.id, Status: 200})
		assert.NilError(t, err)
		b, err = AppendFrame(b, TypeEnd, &End{Stream: st.id})
		assert.NilError(t, err)
	}
	_, err := peer.Write(b)
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		writers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("writes go on after the end of the response")
	}
	for _, st := range all {
		_, err := st.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
	}
	s.Close()
}

// A caller gives up a call after the response, with the request still being written. Guards
// against a write that is not woken by it.
func TestDiscardEndsBlockedWrite(t *testing.T) {
	p := listen(t, func(i *Incoming) {
		_ = i.WriteHead(Head{Status: 200})
		_ = i.End(nil, Load{})
	})
	d := newDialer(t)
	st, err := d.Open(t.Context(), p.address, Open{Route: "r"})
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := st.Write(make([]byte, maxDataFrame)); err != nil {
				return
			}
		}
	}()
	_, err = st.Head(t.Context())
	assert.NilError(t, err)
	_, err = io.ReadAll(st)
	assert.NilError(t, err)
	st.Cancel(therror.Cancelled)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the write goes on after the call")
	}
}
