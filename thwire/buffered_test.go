package thwire

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a peer whose unread bytes take the memory of the calls of other peers, or end
// those calls: only the session with the most unread bytes ends when all have too many.
func TestTooLargeBuffersEndTheLargestSession(t *testing.T) {
	const limit = 1 << 20
	buffers := &BufferLimit{Bytes: limit}
	serve := func() (*Session, net.Conn) {
		a, c := net.Pipe()
		s := ServeCalls(a, func(i *Incoming) { <-i.Context().Done() }, buffers)
		t.Cleanup(s.Close)
		go io.Copy(io.Discard, c)
		return s, c
	}
	call := func(c net.Conn, stream uint32, size int) error {
		b, err := AppendFrame(nil, TypeOpen, &Open{Stream: stream, Deadline: int64(time.Minute)})
		assert.NilError(t, err)
		for sent := 0; sent < size; sent += maxDataFrame {
			b, err = AppendRaw(b, TypeRequestBody, stream, make([]byte, min(maxDataFrame, size-sent)))
			assert.NilError(t, err)
		}
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, err = c.Write(b)
		return err
	}
	small, smallConn := serve()
	assert.NilError(t, call(smallConn, 1, initialWindow))
	large, largeConn := serve()
	var err error
	for stream := uint32(1); err == nil && stream < 100; stream++ {
		err = call(largeConn, stream, initialWindow)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	select {
	case <-large.Done():
	case <-ctx.Done():
		t.Fatal("the session with the most unread bytes goes on")
	}
	assert.Assert(t, small.alive())
	assert.Equal(t, small.Active(), 1)
	// The frame that exceeds the limit may belong to the smaller session.
	later, laterConn := serve()
	for stream := uint32(1); stream <= 3; stream++ {
		assert.NilError(t, call(laterConn, stream, initialWindow))
	}
	assert.NilError(t, call(smallConn, 2, initialWindow))
	select {
	case <-later.Done():
	case <-ctx.Done():
		t.Fatal("the session with the most unread bytes goes on")
	}
	assert.Assert(t, small.alive())
}
