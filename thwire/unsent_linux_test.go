package thwire

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against frames that wait in the kernel, where urgent ones can't overtake them.
func TestKernelHoldsFewUnsentBytes(t *testing.T) {
	accepted := func(limited bool) int {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close()
		c, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		peer, err := listener.Accept()
		assert.NilError(t, err)
		defer peer.Close()
		assert.NilError(t, peer.(*net.TCPConn).SetReadBuffer(16<<10))
		if limited {
			limitUnsent(c)
		}
		assert.NilError(t, c.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		total := 0
		for {
			n, err := c.Write(make([]byte, maxWrite))
			total += n
			if err != nil {
				assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
				return total
			}
		}
	}
	without, with := accepted(false), accepted(true)
	t.Logf("accepted without a reader: %d bytes, with the limit %d", without, with)
	assert.Assert(t, with < without/2, "%d, %d", with, without)
}
