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

// Announcements in the table service let daemons find each other. At 680
// daemons they cost 11 writes and 23 reads of a page a second.
const (
	announceInterval          = time.Minute
	announceTTL               = 3 * announceInterval
	announcePageSize          = 32 // rows
	announceTimeout           = 5 * time.Second
	initialDiscoveryInterval  = 250 * time.Millisecond // doubled up to maxDiscoveryInterval
	isolatedDiscoveryInterval = time.Second            // between reads without a neighbour
	minDiscoveryInterval      = 2 * time.Second        // least time between reads with a neighbour
	maxDiscoveryInterval      = 30 * time.Second
	enoughNeighbours          = 3
	// A daemon that has found enoughNeighbours reads next between minConnectedInterval and
	// maxDiscoveryInterval: any one of a group finds the others for all of it.
	minConnectedInterval = 5 * time.Second
)

// announcer keeps the daemon's announcement and finds peers through those of
// others. It goes on reading when the daemon has neighbours: groups that
// started apart would otherwise never learn of each other.
type announcer struct {
	store *thstore.Store
	// spread is the time over which daemons that start together spread their first
	// reads. A daemon that others have dialled meanwhile leaves its read out.
	spread time.Duration
	// singleStart says that this daemon starts by itself, among others that run: it
	// looks for them at once.
	singleStart bool
	// isReader reports whether this daemon is one of the few that go on reading while
	// it has neighbours; nil means always.
	isReader func() bool
	node     *thmember.Node
	clock    clockwork.Clock
	log      hclog.Logger
	done     chan struct{}
	renew    chan struct{} // the table may have lost the announcement
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
	// A read that was due for want of a neighbour is left out once there is one.
	isolated, connected := true, false
	if a.singleStart {
		announceAt = a.discoverAtStart(ctx)
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

// renewNow announces at once, since a table restored from a backup lists no live
// daemon: those that start would follow the older tables without asking the
// fleet.
func (a *announcer) renewNow() {
	select {
	case a.renew <- struct{}{}:
	default:
	}
}

// nextDiscoveryInterval returns the time until the next read. A daemon with enough neighbours
// learns of the others from them, and reads seldom: when the whole fleet starts,
// the reads of all daemons add up.
func nextDiscoveryInterval(interval time.Duration, neighbours int) time.Duration {
	switch {
	case neighbours == 0:
		return min(2*interval, isolatedDiscoveryInterval)
	case neighbours < enoughNeighbours:
		return min(max(2*interval, minDiscoveryInterval), maxDiscoveryInterval)
	}
	return maxDiscoveryInterval
}

// discoverAtStart looks for the others from the own name on. It returns until when the
// announcement of an earlier process of this daemon serves for this one.
func (a *announcer) discoverAtStart(ctx context.Context) time.Time {
	self := a.node.Self()
	for _, f := range a.discover(ctx, self.Name) {
		if f.Name == self.Name && f.Peer == self.Peer && f.Zone == self.Zone {
			return f.Expiry.Add(announceInterval - announceTTL)
		}
	}
	return time.Time{}
}

func (a *announcer) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	self := a.node.Self()
	held := a.node.View().Held[self.Name]
	err := a.store.Announce(ctx, thstore.Announcement{
		Name: self.Name, Zone: self.Zone, Region: self.Region, Peer: self.Peer, Version: held.Version, Digest: held.Digest,
	}, announceTTL)
	if err != nil {
		a.log.Debug("announcement not written", "error", err)
	}
	return err == nil
}

// discover reads a page and joins the daemons in it: from the own name on, so that a
// herd spreads over the rows and a page is mostly full, or the first one, which
// joins all groups.
func (a *announcer) discover(ctx context.Context, from string) []thstore.Announcement {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	found, err := a.store.Announcements(ctx, from, announcePageSize)
	if err != nil {
		a.log.Debug("announcements not read", "error", err)
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
		a.log.Debug("announcement not withdrawn", "error", err)
	}
}

// jitter spreads an interval by a quarter to each side.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
