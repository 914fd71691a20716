package thwire

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// callers is the calling side of sessions that share a BufferLimit. Each response has 90 KB.
type callers struct {
	buffers  *BufferLimit
	sessions []*Session
}

func newCallers(t *testing.T, sessions int, limit int64) *callers {
	c := &callers{buffers: &BufferLimit{Bytes: limit}}
	body := make([]byte, largeBody)
	for range sessions {
		own, peer := net.Pipe()
		server := startSession(peer, func(i *Incoming) {
			_ = i.WriteHead(Head{Status: 200})
			_, _ = i.Write(body)
			_ = i.End(nil, Load{})
		}, clockwork.NewFakeClock(), nil)
		client := startSession(own, nil, clockwork.NewFakeClock(), c.buffers)
		t.Cleanup(func() {
			client.Close()
			server.Close()
		})
		c.sessions = append(c.sessions, client)
	}
	return c
}

func (c *callers) held() int64 {
	total := int64(0)
	for _, s := range c.sessions {
		total += s.buffered.Load()
	}
	return total
}

// open starts a call and waits for the head of the response, or the failure of the call.
func (c *callers) open(t *testing.T, session int) *Stream {
	st, err := c.sessions[session].open(t.Context(), &Open{Route: "r", Ended: true})
	assert.NilError(t, err)
	_, _ = st.Head(t.Context())
	return st
}

// Load: 200 callers on two sessions read nothing of responses of 90 KB, of which 10 MB are held
// at most; others read. Guards against bytes for slow readers beyond the bound, and against
// calls of others that end because of them.
func TestSlowReadersEndNoOtherCalls(t *testing.T) {
	const limit = 10 << 20
	c := newCallers(t, 2, limit)
	var slow []*Stream
	for i := range 200 {
		slow = append(slow, c.open(t, i%2))
		fast := c.open(t, i%2)
		body, err := io.ReadAll(fast)
		assert.NilError(t, err, "call %d", i)
		assert.Equal(t, len(body), largeBody)
		fast.Cancel(therror.Cancelled)
		assert.Assert(t, c.held() <= limit+2*maxDataFrame, "%d bytes held after %d calls", c.held(), i)
	}
	for _, st := range slow {
		st.Cancel(therror.Cancelled)
	}
	assert.Equal(t, c.held(), int64(0))
}

// Load: slow readers on 100 sessions, of which none holds much. Guards against a limit that
// counts only the sessions with many bytes.
func TestSlowReadersOfManySessionsAreBounded(t *testing.T) {
	const limit = 4 << 20
	c := newCallers(t, 100, limit)
	for i := range c.sessions {
		c.open(t, i)
	}
	time.Sleep(50 * time.Millisecond) // for bytes that are still on their way
	assert.Assert(t, c.held() <= limit, "%d bytes held", c.held())
}

// Load: the bytes for slow readers are more than half of the limit. Guards against a target that
// goes on to read from the backend server for callers that do not read, and against a response
// that is cut or stops because of a small window.
func TestSlowReadersHoldBackTheServer(t *testing.T) {
	c := newCallers(t, 1, 1<<20)
	for c.held() <= 1<<19 {
		c.open(t, 0)
		time.Sleep(time.Millisecond)
	}
	st := c.open(t, 0)
	time.Sleep(50 * time.Millisecond) // for bytes beyond the window
	assert.Equal(t, st.unreadBytes(), smallWindow)
	body, err := io.ReadAll(st)
	assert.NilError(t, err)
	assert.Equal(t, len(body), largeBody)
	st.Cancel(therror.Cancelled)
}

// Guards against calls that stay in memory after they have ended, in any order.
func TestEndedCallsAreForgotten(t *testing.T) {
	c := newCallers(t, 1, 100<<20)
	var all []*Stream
	for i := range 9 {
		all = append(all, c.open(t, 0))
		if i%2 == 0 {
			_, err := io.ReadAll(all[i])
			assert.NilError(t, err)
		}
	}
	for _, i := range []int{4, 0, 8, 1, 7, 3, 2, 6, 5} {
		all[i].Cancel(therror.Cancelled)
	}
	s := c.sessions[0]
	eventually(t, "a call is kept", func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.unread == nil && len(s.streams) == 0
	})
	assert.Equal(t, c.held(), int64(0))
	assert.Equal(t, c.buffers.total.Load(), int64(0))
}
