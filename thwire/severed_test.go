package thwire

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// severedConn is a connection that may fall silent for good in both directions.
type severedConn struct {
	net.Conn

	severed atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (c *severedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.severed.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *severedConn) Write(p []byte) (int, error) {
	if c.severed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *severedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// severedDialer returns a Dialer with one session to a peer, and a function that severs the
// connections opened so far and returns their number.
func severedDialer(t *testing.T) (d *Dialer, sever func() int) {
	var mutex sync.Mutex
	var conns []*severedConn
	d = &Dialer{Sessions: 1, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &severedConn{Conn: n, closed: make(chan struct{})}
		mutex.Lock()
		defer mutex.Unlock()
		conns = append(conns, c)
		return c, nil
	}}
	t.Cleanup(d.Close)
	return d, func() int {
		mutex.Lock()
		defer mutex.Unlock()
		for _, c := range conns {
			c.severed.Store(true)
		}
		return len(conns)
	}
}

// Pattern: a call each 20 ms; then the connection falls silent for good, without a reset, while
// the peer accepts new ones. Guards against calls that go on over the silent connection, or are
// rejected, until the timeout of a silent peer and the pause after it have passed.
func TestCallsLeaveASilentConnection(t *testing.T) {
	p := listen(t, echo)
	d, sever := severedDialer(t)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		body, _, err := exchange(ctx, d, p.address, "r", []byte("x"))
		if err == nil && string(body) != "x" {
			err = errors.New("wrong response")
		}
		return err
	}
	assert.NilError(t, call())
	time.Sleep(2 * stallPingDelay)
	sever()
	start := time.Now()
	var calls sync.WaitGroup
	var late atomic.Int32
	const margin = 300 * time.Millisecond
	for time.Since(start) < silenceTimeout+silentPeerPause {
		begun := time.Since(start)
		calls.Go(func() {
			if err := call(); err != nil && begun > stallTimeout+margin {
				late.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	assert.Equal(t, late.Load(), int32(0))
}

// Guards against a busy peer whose connection is replaced again and again: its calls take long,
// and it replies to pings.
func TestBusyConnectionIsKept(t *testing.T) {
	release := make(chan struct{})
	p := listen(t, func(i *Incoming) {
		<-release
		echo(i)
	})
	d, sever := severedDialer(t)
	for range 2 * (silenceTimeout + stallTimeout) / (100 * time.Millisecond) {
		s, err := d.Open(t.Context(), p.address, Open{Route: "r", Ended: true})
		assert.NilError(t, err)
		go io.Copy(io.Discard, s)
		time.Sleep(100 * time.Millisecond)
	}
	close(release)
	assert.Equal(t, sever(), 1)
}
