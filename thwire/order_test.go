package thwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// slowConn holds its writes until it is opened, and records the frames that are written.
type slowConn struct {
	net.Conn
	open    chan struct{}
	mutex   sync.Mutex
	written []byte
}

func (c *slowConn) Write(b []byte) (int, error) {
	<-c.open
	c.mutex.Lock()
	c.written = append(c.written, b...)
	c.mutex.Unlock()
	return c.Conn.Write(b)
}

// patterned returns bytes that show a wrong order.
func patterned(stream uint32, n int) []byte {
	var b []byte
	for i := uint32(0); len(b) < n; i++ {
		b = binary.BigEndian.AppendUint32(b, stream<<20|i)
	}
	return b[:n]
}

// Large and small responses wait at a connection that takes nothing for a while. Guards against
// small ones that are written after the rest of large ones, against frames of a stream out of
// order, and against bytes that are lost or kept when a stream ends early.
func TestResponsesOverASlowConnection(t *testing.T) {
	const streams = 24 // the large ones exceed the soft limit of the send queue
	own, peer := net.Pipe()
	conn := &slowConn{Conn: own, open: make(chan struct{})}
	var smallOnes sync.WaitGroup
	smallOnes.Add(streams / 2)
	serve := func(i *Incoming) {
		id := i.Open().Stream
		head := Head{Status: 200}
		switch {
		case id%2 == 0: // small
			_ = i.WriteHead(head)
			_, _ = i.Write(patterned(id, smallBody))
			_ = i.End(nil, Load{})
			smallOnes.Done()
			return
		case id%3 != 0: // large from the start; the others turn out to be large
			head.Header = []Header{{"Content-Length", fmt.Sprint(largeBody)}}
		}
		_ = i.WriteHead(head)
		if id%8 == 7 {
			_, _ = i.Write(patterned(id, largeBody)[:2*maxDataFrame])
			_ = i.Refuse(therror.New(therror.Broken, "response cut"), Load{})
			return
		}
		for b := patterned(id, largeBody); len(b) > 0; b = b[min(len(b), smallBytes/2):] {
			_, _ = i.Write(b[:min(len(b), smallBytes/2)])
		}
		_ = i.End(nil, Load{})
	}
	server := startSession(conn, serve, clockwork.NewFakeClock(), nil)
	client := startSession(peer, nil, clockwork.NewFakeClock(), nil)
	var all []*Stream
	for range streams {
		st, err := client.open(t.Context(), &Open{Route: "r", Ended: true})
		assert.NilError(t, err)
		all = append(all, st)
	}
	smallOnes.Wait()
	eventually(t, "no large response waits for room", func() bool {
		server.out.mutex.Lock()
		defer server.out.mutex.Unlock()
		return len(server.out.waiters) > 0
	})
	all[4].Cancel(therror.Cancelled) // stream 5: large
	eventually(t, "the cancelled stream goes on", func() bool { return server.stream(5) == nil })
	close(conn.open)
	for _, st := range all {
		got, err := io.ReadAll(st)
		switch size := largeBody; {
		case st.id == 5:
			assert.Assert(t, therror.Is(err, therror.Cancelled), "%v", err)
		case st.id%8 == 7:
			assert.Assert(t, therror.Is(err, therror.Broken), "%v", err)
		default:
			if st.id%2 == 0 {
				size = smallBody
			}
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, patterned(st.id, size)), "stream %d", st.id)
		}
	}
	assert.Equal(t, client.buffered.Load(), int64(0))
	assert.Equal(t, server.out.take() == nil, true)
	client.Close()
	server.Close()
	checkWritten(t, conn.written, streams)
}

// checkWritten checks the order of the frames of each stream, and that all small responses end
// before the first large one.
func checkWritten(t *testing.T, b []byte, streams int) {
	t.Helper()
	head, ended, body := map[uint32]bool{}, map[uint32]bool{}, map[uint32][]byte{}
	largeEnds := 0
	for r := bytes.NewReader(b); r.Len() > 0; {
		kind, payload, _, err := ReadFrame(r, nil)
		assert.NilError(t, err)
		id := uint32(0)
		switch kind {
		case TypeHead:
			var h Head
			assert.NilError(t, Decode(payload, &h))
			id = h.Stream
			assert.Assert(t, !head[id])
			head[id] = true
		case TypeResponseBody:
			part, data, err := SplitRaw(payload)
			assert.NilError(t, err)
			id = part
			body[id] = append(body[id], data...)
		case TypeEnd:
			var e End
			assert.NilError(t, Decode(payload, &e))
			id = e.Stream
		case TypeRefuse:
			var e Refuse
			assert.NilError(t, Decode(payload, &e))
			id = e.Stream
		default:
			continue
		}
		assert.Assert(t, head[id] && !ended[id], "stream %d", id)
		if kind == TypeEnd || kind == TypeRefuse {
			ended[id] = true
			if id%2 == 0 {
				assert.Equal(t, largeEnds, 0, "stream %d ends after a large response", id)
			} else {
				largeEnds++
			}
		}
	}
	for id := range uint32(streams) {
		assert.Assert(t, bytes.HasPrefix(patterned(id+1, largeBody), body[id+1]), "stream %d", id+1)
	}
}
