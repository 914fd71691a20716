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

// Load: the network link of the peer is full with large responses on other connections, so that
// its replies to pings take longer than the limit for a silent peer. Guards against calls that
// end with 502 although their responses are on the way, and against a peer that is silent for
// good and is never given up.
func TestBusyLinkIsNoSilence(t *testing.T) {
	for _, link := range []time.Duration{0, time.Second, time.Hour} {
		a, b := net.Pipe()
		defer b.Close()
		go func() {
			r := bufio.NewReader(b)
			var buffer []byte
			for {
				if _, _, err := readFrame(r, &buffer); err != nil {
					return
				}
			}
		}()
		clock := clockwork.NewFakeClock()
		s := startSession(a, nil, clock, nil)
		defer s.Close()
		first, err := s.open(t.Context(), &Open{Ended: true})
		assert.NilError(t, err)
		call, err := s.open(t.Context(), &Open{Ended: true})
		assert.NilError(t, err)
		refusal, err := AppendFrame(nil, TypeRefuse, &Refuse{Stream: first.id, Kind: string(therror.Full), Load: Load{Link: int64(link)}})
		assert.NilError(t, err)
		_, err = b.Write(refusal)
		assert.NilError(t, err)
		_, err = first.Head(t.Context())
		assert.Assert(t, therror.Is(err, therror.Full), "%v", err)

		limit := silenceTimeout + min(link, maxLinkSilence)
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		for silence := time.Duration(0); silence+2*pingInterval < limit; silence += pingInterval {
			clock.Advance(pingInterval)
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, s.Active(), 1, "with a link that is busy for %s", link)
		}
		for range 5 {
			clock.Advance(pingInterval)
			time.Sleep(10 * time.Millisecond)
		}
		_, err = call.Head(t.Context())
		assert.ErrorContains(t, err, "silent")
	}
}
