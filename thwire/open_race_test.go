package thwire

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Guards against a session that fails while a call is opened, and ends the process: the call
// was known to the session before it had a context to cancel. Seen by the race detector.
func TestSessionFailsWhileCallIsOpened(t *testing.T) {
	open, err := AppendFrame(nil, TypeOpen, &Open{Stream: 1, Deadline: int64(time.Second)})
	assert.NilError(t, err)
	for range 200 {
		a, c := net.Pipe()
		s := ServeCalls(a, func(i *Incoming) { <-i.Context().Done() }, nil)
		go io.Copy(io.Discard, c)
		go c.Write(open)
		for s.Active() == 0 {
		}
		s.fail(therror.New(therror.Broken, "peer silent"))
		s.Close()
		c.Close()
	}
}
