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
	announceInterval = time.Minute
	announceLife     = 3 * announceInterval
	announcePage     = 32 // rows
	announceTimeout  = 5 * time.Second
	firstFind        = 250 * time.Millisecond // doubled up to findInterval
	lonelyInterval   = time.Second            // between reads without a neighbour
	pairInterval     = 2 * time.Second        // least time between reads with a neighbour
	findInterval     = 30 * time.Second
	enoughNeighbours = 3
	// A daemon that has found enoughNeighbours reads next between connectedLeast and
	// findInterval: any one of a group finds the others for all of it.
	connectedLeast = 5 * time.Second
)

// announcer keeps the daemon's announcement and finds peers through those of
// others. It goes on reading when the daemon has neighbours: groups that
// started apart would otherwise never learn of each other.
type announcer struct {
	store *thstore.Store
	// spread is the time over which daemons that start together spread their first
	// reads. A daemon that others have dialled meanwhile leaves its read out.
	spread time.Duration
	// alone says that this daemon starts by itself, among others that run: it
	// looks for them at once.
	alone bool
	// duty reports whether this daemon is one of the few that go on reading while
	// it has neighbours; nil means always.
	duty  func() bool
	node  *thmember.Node
	clock clockwork.Clock
	log   hclog.Logger
	done  chan struct{}
	lost  chan struct{} // the table may have lost the announcement
}

func (a *announcer) start(ctx context.Context) {
	a.done = make(chan struct{})
	go func() {
		defer close(a.done)
		a.run(ctx)
	}()
}

func (a *announcer) run(ctx context.Context) {
	var next time.Time
	interval := firstFind
	wake := a.clock.Now().Add(rand.N(max(a.spread, 1)))
	// A read that was due for want of a neighbour is left out once there is one.
	lonely, connected := true, false
	if a.alone {
		next = a.resume(ctx)
		wake = a.clock.Now().Add(jitter(firstFind))
	}
	for {
		if now := a.clock.Now(); !now.Before(next) && a.announce(ctx) {
			next = now.Add(jitter(announceInterval))
		}
		if !a.clock.Now().Before(wake) {
			neighbours := len(a.node.Neighbours())
			if neighbours == 0 || (!lonely && (neighbours < enoughNeighbours || a.duty == nil || a.duty())) {
				from := ""
				if rand.IntN(2) > 0 {
					from = a.node.Self().Name
				}
				a.find(ctx, from)
			}
			lonely = neighbours == 0
			interval = nextFind(interval, neighbours)
			wait := jitter(interval)
			if neighbours >= enoughNeighbours && !connected {
				connected = true
				wait = connectedLeast + rand.N(findInterval-connectedLeast)
			}
			wake = a.clock.Now().Add(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.lost:
			next = time.Time{}
		case <-a.clock.After(wake.Sub(a.clock.Now())):
		}
	}
}

// again announces at once, since a table restored from a backup lists no live
// daemon: those that start would follow the older tables without asking the
// fleet.
func (a *announcer) again() {
	select {
	case a.lost <- struct{}{}:
	default:
	}
}

// nextFind returns the time until the next read. A daemon with enough neighbours
// learns of the others from them, and reads seldom: when the whole fleet starts,
// the reads of all daemons add up.
func nextFind(interval time.Duration, neighbours int) time.Duration {
	switch {
	case neighbours == 0:
		return min(2*interval, lonelyInterval)
	case neighbours < enoughNeighbours:
		return min(max(2*interval, pairInterval), findInterval)
	}
	return findInterval
}

// resume looks for the others from the own name on. It returns until when the
// announcement of an earlier process of this daemon serves for this one.
func (a *announcer) resume(ctx context.Context) time.Time {
	self := a.node.Self()
	for _, f := range a.find(ctx, self.Name) {
		if f.Name == self.Name && f.Peer == self.Peer && f.Zone == self.Zone {
			return f.Expiry.Add(announceInterval - announceLife)
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
	}, announceLife)
	if err != nil {
		a.log.Debug("announcement not written", "error", err)
	}
	return err == nil
}

// find reads a page and joins the daemons in it: from the own name on, so that a
// herd spreads over the rows and a page is mostly full, or the first one, which
// joins all groups.
func (a *announcer) find(ctx context.Context, from string) []thstore.Announcement {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	found, err := a.store.Announcements(ctx, from, announcePage)
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
