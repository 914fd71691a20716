package thwire

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// Guards against a session that ends as though its peer did not read, when many streams wait
// for room in its send queue and all write as soon as there is some.
func TestManyBlockedWritersDoNotEndTheSession(t *testing.T) {
	const streams, rounds = 1000, 20
	for range rounds {
		own, peer := net.Pipe()
		s := startSession(own, nil, clockwork.NewFakeClock(), nil) // the peer answers no pings
		var writers sync.WaitGroup
		data := make([]byte, maxDataFrame)
		for range streams {
			st, err := s.open(t.Context(), &Open{Route: "r"})
			assert.NilError(t, err)
			writers.Go(func() {
				_, err := st.Write(data)
				assert.Check(t, err)
			})
		}
		read := make(chan struct{})
		go func() {
			defer close(read)
			_, _ = io.Copy(io.Discard, peer)
		}()
		writers.Wait()
		s.mutex.Lock()
		failure := s.failure
		s.mutex.Unlock()
		assert.NilError(t, failure)
		s.Close()
		<-read
	}
}
