package thwire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	// DefaultAcceptRate is the default number of connections accepted per second. It
	// limits the load of a reconnect storm.
	DefaultAcceptRate = 50
	// helloTimeout is how long the listener waits for Hello.
	helloTimeout = 2 * time.Second
	// maxHello is the maximum size of a Hello in bytes: a connection must not make the
	// daemon allocate a full frame before the handshake.
	maxHello = 4 << 10
	// acceptPause is the delay after a failed accept, as when the process is out of file
	// descriptors.
	acceptPause = 50 * time.Millisecond
)

// Listener accepts connections of other daemons. Set the fields before Start.
type Listener struct {
	Address netip.AddrPort
	Control func(net.Conn, Hello) // handles and owns connections of the kinds control and direct
	Call    func(net.Conn, Hello) // handles and owns connections of the kind call
	Rate    int                   // accepted connections per second; 0 means DefaultAcceptRate
	Log     hclog.Logger

	listener net.Listener
	cancel   context.CancelFunc
	group    sync.WaitGroup
	done     chan struct{}
}

// Start starts listening and returns; connections are accepted in the background until
// Stop or the end of ctx.
func (l *Listener) Start(ctx context.Context) error {
	if l.Log == nil {
		l.Log = hclog.NewNullLogger()
	}
	if l.Rate == 0 {
		l.Rate = DefaultAcceptRate
	}
	var c net.ListenConfig
	n, err := c.Listen(ctx, "tcp", l.Address.String())
	if err != nil {
		return therror.Wrap(therror.Bad, err, "listen on peer address %s", l.Address)
	}
	ctx, l.cancel = context.WithCancel(ctx)
	l.listener = n
	l.done = make(chan struct{})
	l.group.Add(1)
	go l.accept(ctx)
	go func() {
		l.group.Wait()
		close(l.done)
	}()
	return nil
}

// Addr returns the address in use, which has the actual port if that of Address is 0.
func (l *Listener) Addr() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop stops accepting and waits for the handshakes in progress. It does nothing before
// Start.
func (l *Listener) Stop() {
	if l.done == nil {
		return
	}
	l.cancel()
	_ = l.listener.Close()
	<-l.done
}

// Done returns a channel that is closed when all goroutines have ended.
func (l *Listener) Done() <-chan struct{} { return l.done }

func (l *Listener) accept(ctx context.Context) {
	defer l.group.Done()
	limiter := rate.NewLimiter(rate.Limit(l.Rate), l.Rate)
	for limiter.Wait(ctx) == nil {
		c, err := l.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return
			}
			l.Log.Warn("accept failed", "error", err)
			select {
			case <-time.After(acceptPause):
			case <-ctx.Done():
			}
			continue
		}
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			l.handshake(ctx, c)
		}()
	}
}

func (l *Listener) handshake(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	h, err := ReadHello(ctx, c)
	cancel()
	if err != nil {
		l.Log.Debug("connection rejected", "remote", c.RemoteAddr(), "error", err)
		_ = c.Close()
		return
	}
	switch {
	case (h.Kind == KindControl || h.Kind == KindDirect) && l.Control != nil:
		l.Control(c, h)
	case h.Kind == KindCall && l.Call != nil:
		l.Call(c, h)
	default:
		l.Log.Debug("connection rejected", "remote", c.RemoteAddr(), "kind", h.Kind)
		_ = c.Close()
	}
}
