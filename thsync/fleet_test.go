package thsync

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// lockedPlatform makes a fakePlatform safe for concurrent use.
type lockedPlatform struct {
	mutex sync.Mutex
	fakePlatform
}

func (p *lockedPlatform) Head(ctx context.Context) (thstore.Head, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fakePlatform.Head(ctx)
}

func (p *lockedPlatform) Load(ctx context.Context) (thconfig.Tables, []byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fakePlatform.Load(ctx)
}

func (p *lockedPlatform) Restore(ctx context.Context) (thconfig.Tables, []byte, error) {
	return p.Load(ctx)
}

func (p *lockedPlatform) Changes(ctx context.Context, after uint64, limit int) ([]thconfig.Change, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fakePlatform.Changes(ctx, after, limit)
}

func (p *lockedPlatform) PutSnapshot(ctx context.Context, t thconfig.Tables) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fakePlatform.PutSnapshot(ctx, t)
}

// Guards against parts that work alone but not together: on real nodes over
// loopback TCP with the real clock, a commit must take effect everywhere and show
// in the held versions.
func TestFleet(t *testing.T) {
	const size = 12
	p := &lockedPlatform{fakePlatform: *newPlatform()}
	p.commitPool(0)
	replicas := make([]*Replica, size)
	nodes := make([]*thmember.Node, size)
	for i := range size {
		n := &thmember.Node{}
		l := &thwire.Listener{Address: netip.MustParseAddrPort("127.0.0.1:0"), Control: func(c net.Conn, h thwire.Hello) { n.Serve(c, &h) }}
		assert.NilError(t, l.Start(context.Background()))
		t.Cleanup(l.Stop)
		n.Member = thwire.Member{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprintf("z%d", i%2), Peer: l.Addr()}
		r := &Replica{Platform: p, Peers: n}
		assert.NilError(t, r.Start(context.Background()))
		assert.NilError(t, n.Start(context.Background()))
		t.Cleanup(n.Stop)
		t.Cleanup(r.Stop)
		if i > 0 {
			n.Join(nodes[0].Member.Peer)
		}
		replicas[i], nodes[i] = r, n
	}
	everywhere := func(version uint64) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			for i, r := range replicas {
				if !r.Ready() || r.Status().Version != version {
					return poll.Continue("replica %d: %+v", i, r.Status())
				}
			}
			for _, h := range nodes[size-1].View().Held {
				if h.Version != version {
					return poll.Continue("%s holds %d", h.Name, h.Version)
				}
			}
			if len(nodes[size-1].View().Held) != size {
				return poll.Continue("%d held records", len(nodes[size-1].View().Held))
			}
			return poll.Success()
		}
	}
	poll.WaitOn(t, everywhere(1), poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	p.mutex.Lock()
	p.commitPool(1)
	p.mutex.Unlock()
	start := time.Now()
	poll.WaitOn(t, everywhere(2), poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
	t.Logf("%d daemons hold the new version after %s", size, time.Since(start))
}
