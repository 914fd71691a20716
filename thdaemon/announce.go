package thdaemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// Announcements in the table service let daemons discover each other. A fleet of
// 680 daemons makes 11 writes and 23 page reads a second for them.
const (
	announceInterval         = time.Minute
	announceTTL              = 3 * announceInterval
	announcePageSize         = 32 // rows
	announceTimeout          = 5 * time.Second
	initialDiscoveryInterval = 250 * time.Millisecond // doubled up to maxDiscoveryInterval
	maxIsolatedInterval      = time.Second            // maximum between reads without a neighbour
	minNeighbourInterval     = 2 * time.Second        // minimum between reads with a neighbour
	maxDiscoveryInterval     = 30 * time.Second
	enoughNeighbours         = 3
	// minConnectedInterval is the least delay of the first read after a daemon has
	// reached enoughNeighbours. The delay is random, up to maxDiscoveryInterval, since
	// one daemon that discovers another group connects its whole group.
	minConnectedInterval = 5 * time.Second
)

// announcer renews the daemon's announcement and discovers peers by reading the
// announcements of other daemons. It keeps reading when the daemon has neighbours,
// because groups that started separately would otherwise never connect.
type announcer struct {
	store *thstore.Store
	// spread is the time over which daemons that start together distribute their
	// first reads. A daemon that others have dialled by then skips its read.
	spread time.Duration
	// singleStart means that the other daemons are already running, so that this
	// daemon reads announcements immediately.
	singleStart bool
	// isReader reports whether this daemon keeps reading while it has enough
	// neighbours; nil means always.
	isReader func() bool
	node     *thmember.Node
	clock    clockwork.Clock
	log      hclog.Logger
	done     chan struct{}
	renew    chan struct{} // signals that the table may have lost the announcement
}

func (a *announcer) start(ctx context.Context) {
	a.done = make(chan struct{})
	go func() {
		defer close(a.done)
		a.run(ctx)
	}()
}

func (a *announcer) run(ctx context.Context) {
	var announceAt time.Time
	interval := initialDiscoveryInterval
	discoverAt := a.clock.Now().Add(rand.N(max(a.spread, 1)))
	// A read that was scheduled without neighbours is skipped if there is one by now.
	isolated, connected := true, false
	if a.singleStart {
		announceAt = a.discoverOnStart(ctx)
		discoverAt = a.clock.Now().Add(jitter(initialDiscoveryInterval))
	}
	for {
		if now := a.clock.Now(); !now.Before(announceAt) && a.announce(ctx) {
			announceAt = now.Add(jitter(announceInterval))
		}
		if !a.clock.Now().Before(discoverAt) {
			neighbours := len(a.node.Neighbours())
			if neighbours == 0 || (!isolated && (neighbours < enoughNeighbours || a.isReader == nil || a.isReader())) {
				from := ""
				if rand.IntN(2) > 0 {
					from = a.node.Self().Name
				}
				a.discover(ctx, from)
			}
			isolated = neighbours == 0
			interval = nextDiscoveryInterval(interval, neighbours)
			wait := jitter(interval)
			if neighbours >= enoughNeighbours && !connected {
				connected = true
				wait = minConnectedInterval + rand.N(maxDiscoveryInterval-minConnectedInterval)
			}
			discoverAt = a.clock.Now().Add(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.renew:
			announceAt = time.Time{}
		case <-a.clock.After(discoverAt.Sub(a.clock.Now())):
		}
	}
}

// renewNow makes the daemon announce itself immediately. After a restore from a
// backup the table contains no live daemon, and starting daemons would adopt the
// older tables without asking the fleet.
func (a *announcer) renewNow() {
	select {
	case a.renew <- struct{}{}:
	default:
	}
}

// nextDiscoveryInterval returns the time until the next read. A daemon with enough
// neighbours learns of other members from them and reads rarely, which limits the
// total of reads when the whole fleet starts.
func nextDiscoveryInterval(interval time.Duration, neighbours int) time.Duration {
	switch {
	case neighbours == 0:
		return min(2*interval, maxIsolatedInterval)
	case neighbours < enoughNeighbours:
		return min(max(2*interval, minNeighbourInterval), maxDiscoveryInterval)
	}
	return maxDiscoveryInterval
}

// discoverOnStart discovers daemons, starting at the daemon's own name. If the page contains a
// matching announcement of an earlier process of this daemon, it returns the time
// at which that announcement must be renewed; otherwise the zero time.
func (a *announcer) discoverOnStart(ctx context.Context) time.Time {
	self := a.node.Self()
	for _, f := range a.discover(ctx, self.Name) {
		if f.Name == self.Name && f.Peer == self.Peer && f.Zone == self.Zone {
			return f.Expiry.Add(announceInterval - announceTTL)
		}
	}
	return time.Time{}
}

// announce writes the announcement and reports success.
func (a *announcer) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	self := a.node.Self()
	held := a.node.View().Held[self.Name]
	err := a.store.Announce(ctx, thstore.Announcement{
		Name: self.Name, Zone: self.Zone, Region: self.Region, Peer: self.Peer, Version: held.Version, Digest: held.Digest,
	}, announceTTL)
	if err != nil {
		a.log.Debug("failed to write announcement", "error", err)
	}
	return err == nil
}

// discover reads a page of announcements and dials the daemons in it that are not
// yet known. A read from the daemon's own name distributes daemons that start together
// over the rows, with mostly full pages; a read of the first page connects all groups.
func (a *announcer) discover(ctx context.Context, from string) []thstore.Announcement {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	found, err := a.store.Announcements(ctx, from, announcePageSize)
	if err != nil {
		a.log.Debug("failed to read announcements", "error", err)
		return nil
	}
	view := a.node.View()
	var addresses []netip.AddrPort
	for _, f := range found {
		if known, ok := view.Member(f.Name); !ok || known.Peer != f.Peer {
			addresses = append(addresses, f.Peer)
		}
	}
	a.node.Join(addresses...)
	return found
}

func (a *announcer) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := a.store.Withdraw(ctx, a.node.Self().Name); err != nil {
		a.log.Debug("failed to withdraw announcement", "error", err)
	}
}

// jitter returns a random duration between 75% and 125% of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
