package thsync

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against a daemon that reverts to an older version, applies anything but a
// committed version, or does not catch up, under reordered, duplicated, lost and
// corrupted messages, restarts, outages and invalid versions.
func TestVersionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(t, 5)
		index := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		take := func() packet {
			k := index("packet", len(m.queue))
			p := m.queue[k]
			m.queue = append(append([]packet(nil), m.queue[:k]...), m.queue[k+1:]...)
			return p
		}
		actions := map[string]func(*rapid.T){
			"":       func(*rapid.T) {},
			"commit": func(*rapid.T) { m.platform.commitPool(index("pool", 4)) },
			"invalid": func(*rapid.T) {
				if _, found := m.tables().Route("bad"); found {
					m.platform.commit(thconfig.RemoveRoute{Name: "bad"})
				} else {
					m.platform.commitInvalid()
				}
			},
			"read": func(*rapid.T) {
				if len(m.pendingReads) > 0 {
					m.completeRead(index("read", len(m.pendingReads)))
				}
			},
			"outage":  func(*rapid.T) { m.platform.down = !m.platform.down },
			"stale":   func(*rapid.T) { m.platform.lag = index("lag", 4) },
			"wrong":   func(*rapid.T) { m.platform.corrupt = !m.platform.corrupt },
			"restart": func(*rapid.T) { m.start(index("replica", len(m.replicas))) },
			"time":    func(*rapid.T) { m.clock.Advance(time.Duration(index("ms", 400)) * time.Millisecond) },
			"tick":    func(*rapid.T) { m.tick(index("replica", len(m.replicas))) },
		}
		for _, name := range []string{"deliver", "deliver more", "repeat", "lose", "corrupt"} {
			actions[name] = func(*rapid.T) {
				if len(m.queue) == 0 {
					return
				}
				p := take()
				switch name {
				case "lose":
					return
				case "repeat":
					m.queue = append(m.queue, p)
				case "corrupt":
					p.payload = append([]byte(nil), p.payload...)
					p.payload[index("byte", len(p.payload))] ^= byte(1 + index("bits", 255))
				}
				m.deliver(p)
			}
		}
		t.Repeat(actions)
		m.platform.down, m.platform.lag, m.platform.corrupt = false, 0, false
		if _, found := m.tables().Route("bad"); found {
			m.platform.commit(thconfig.RemoveRoute{Name: "bad"})
		}
		m.platform.commitPool(0)
		m.run(15*time.Second, nil)
		for i, r := range m.replicas {
			s := r.Status()
			assert.Equal(t, s.Version, m.platform.last().Version, "replica %d: %+v", i, s)
			assert.Equal(t, s.Alarm, therror.Kind(""))
			assert.Assert(t, r.Ready())
		}
	})
}

func (m *mesh) tables() *thconfig.Tables {
	t := m.platform.last()
	return &t
}

func newSettledMesh(t *testing.T, size int) *mesh {
	m := newMesh(t, size)
	m.platform.commitPool(0)
	m.run(4*time.Second, nil)
	m.assertAll(t, 1)
	for _, r := range m.replicas {
		assert.Assert(t, r.Ready())
	}
	return m
}

// Guards against slow convergence: a commit must be in effect everywhere within a
// second. Without lost messages it takes at most two poll intervals.
func TestPush(t *testing.T) {
	m := newSettledMesh(t, 12)
	m.platform.commitPool(1)
	m.run(2*pollInterval, nil)
	m.assertAll(t, 2)
	polling := 0
	for _, r := range m.replicas {
		if r.Status().Polling {
			polling++
		}
	}
	assert.Equal(t, polling, 9)
}

// Guards against a daemon that does not catch up after lost deltas when only peers
// have the missed changes.
func TestLostDeltaRepaired(t *testing.T) {
	m := newSettledMesh(t, 4)
	lose := func(p packet) bool { return p.kind == thwire.TypeDelta || p.kind == thwire.TypeKnownVersion }
	for i := range 3 {
		m.platform.commitPool(i)
		m.run(time.Second, lose)
	}
	behind := 0
	for _, v := range m.versions() {
		if v == 1 {
			behind++
		}
	}
	assert.Equal(t, behind, 1, "%v", m.versions()) // the daemon that does not poll
	m.platform.down = true
	m.run(3*time.Second, nil)
	m.assertAll(t, 4)
}

// Guards against a version in effect that only one daemon stores: a restart of that
// daemon would revert it to the older version.
func TestAppliedAfterAcknowledgement(t *testing.T) {
	m := newSettledMesh(t, 2)
	m.platform.commitPool(1)
	r := m.replicas[0]
	for range 10 {
		if r.Status().Highest == 2 {
			break
		}
		m.clock.Advance(tickInterval)
		m.tick(0)
		for len(m.pendingReads) > 0 {
			m.completeRead(0)
		}
	}
	assert.Equal(t, r.Status().Highest, uint64(2))
	for range 5 {
		assert.Equal(t, r.Current().Tables.Version, uint64(1), "in effect before a peer stores it")
		m.clock.Advance(tickInterval)
		m.tick(0)
	}
	for len(m.queue) > 0 {
		p := m.queue[0]
		m.queue = m.queue[1:]
		m.deliver(p)
		if p.kind == thwire.TypeDelta && p.from == 0 {
			assert.Equal(t, m.replicas[1].Current().Tables.Version, uint64(2), "not in effect although the sender stores it too")
		}
	}
	assert.Equal(t, r.Current().Tables.Version, uint64(2))
}

// Guards against a restored table or a stale read that reverts the fleet.
func TestOldHeadRefused(t *testing.T) {
	m := newSettledMesh(t, 4)
	m.platform.commitPool(1)
	m.run(2*time.Second, nil)
	m.platform.head = &thstore.Head{Version: 1, Digest: m.platform.digests[1]}
	m.run(time.Second, nil)
	m.assertAll(t, 2)
	assert.Equal(t, m.replicas[0].Status().Alarm, therror.Older)
	m.platform.head = &thstore.Head{Version: 2, Digest: m.platform.digests[1]}
	m.run(time.Second, nil)
	assert.Equal(t, m.replicas[0].Status().Alarm, therror.Diverged)
	// A restarted daemon waits for the fleet's version although it reads older tables.
	m.platform.head, m.platform.lag, m.minReady[0] = nil, 1, 2
	m.start(0)
	m.replicas[0].poller.nextRead = m.clock.Now() // the older tables arrive before the peers' replies
	m.run(600*time.Millisecond, func(packet) bool { return true })
	assert.Assert(t, m.replicas[0].Status().Highest >= 1)
	assert.Assert(t, m.replicas[0].Current() == nil, "in effect with a version older than before the restart")
	m.run(4*time.Second, func(p packet) bool { return p.kind == thwire.TypeBatch || p.kind == thwire.TypeDelta })
	assert.Assert(t, !m.replicas[0].Ready())
	m.run(4*time.Second, nil)
	assert.Assert(t, m.replicas[0].Ready())
	m.assertAll(t, 2)
	m.platform.lag = 0
	m.run(time.Second, nil)
	assert.Equal(t, m.replicas[0].Status().Alarm, therror.Kind(""))
}

// Guards against a full read that reverts the daemon, or whose tables do not match
// the committed digest.
func TestFullReadChecked(t *testing.T) {
	m := newSettledMesh(t, 2)
	m.platform.commitPool(1)
	m.run(2*time.Second, nil)
	r := m.replicas[0]
	assert.NilError(t, r.replace(m.platform.history[1], m.platform.digests[1]))
	assert.Equal(t, r.versions.latest.Tables.Version, uint64(2))
	m.platform.corrupt = true
	m.start(0)
	m.run(4*time.Second, func(packet) bool { return true })
	assert.Assert(t, m.replicas[0].Current() == nil)
	m.platform.corrupt = false
	m.run(4*time.Second, nil)
	m.assertAll(t, 2)
}

// Guards against an invalid version that is applied in part, and against one that
// blocks the next valid version.
func TestInvalidVersionKeptOut(t *testing.T) {
	m := newSettledMesh(t, 5)
	m.platform.commitInvalid()
	m.run(3*time.Second, nil)
	m.assertAll(t, 1)
	assert.Assert(t, m.replicas[0].Status().Error != "")
	m.platform.commit(thconfig.RemoveRoute{Name: "bad"})
	m.run(5*time.Second, nil)
	m.assertAll(t, 3)
	assert.Equal(t, m.replicas[0].Status().Error, "")
}

// Guards against a daemon that restarts during a platform outage and serves an older
// version, or never becomes ready although peers store the version.
func TestRestartDuringOutage(t *testing.T) {
	m := newSettledMesh(t, 5)
	m.platform.commitPool(1)
	m.run(2*time.Second, nil)
	m.platform.down = true
	m.start(2)
	m.run(3*time.Second, func(p packet) bool { return p.to == 2 || p.from == 2 })
	assert.Assert(t, !m.replicas[2].Ready(), "ready without platform and peers")
	m.run(3*time.Second, func(p packet) bool { return p.to == 2 && p.from != 1 })
	assert.Equal(t, m.replicas[2].Status().Highest, uint64(2))
	assert.Assert(t, m.replicas[2].Current() == nil, "in effect before the gate passed")
	assert.Assert(t, !m.replicas[2].Ready(), "ready after the reply of one peer of four")
	m.run(3*time.Second, nil)
	assert.Assert(t, m.replicas[2].Ready())
	m.assertAll(t, 2)
}

// Guards against a daemon that starts while its peers lag and applies a version
// older than the held records show, and against one that does not wait for slow
// peers after it has read a restored table.
func TestStartBesideLaggingPeers(t *testing.T) {
	m := newSettledMesh(t, 5)
	m.platform.commitPool(1)
	m.run(2*time.Second, nil)
	m.platform.lag = 1
	m.start(0)
	m.replicas[0].poller.nextRead = m.clock.Now()
	// The first request is sent 600 ms after the start, and replies take a second.
	m.run(600*time.Millisecond, func(packet) bool { return true })
	m.replicas[0].gate.nextAsk, m.replicas[0].gate.firstAsked = m.clock.Now(), time.Time{}
	m.run(700*time.Millisecond, func(packet) bool { return true })
	assert.Assert(t, m.replicas[0].Current() == nil, "in effect before peers had time to reply")

	m.view.Held = map[string]thwire.HeldVersion{"n04": {Name: "n04", Version: 2, Digest: thmember.ShortDigest(m.platform.digests[2])}}
	m.start(0)
	m.replicas[0].poller.nextRead = m.clock.Now()
	m.run(3*time.Second, func(packet) bool { return true })
	assert.Assert(t, m.replicas[0].Current() == nil, "in effect although a held record has a higher version")
	m.run(4*time.Second, nil)
	m.assertAll(t, 2)
	assert.Assert(t, m.replicas[0].Ready())
}

// Guards against tables above the frame limit that peers cannot fetch.
func TestLargeTablesInParts(t *testing.T) {
	m := newMesh(t, 2)
	edits := []thconfig.Edit{thconfig.SetPool{Pool: thconfig.Pool{Name: "p", Service: "s", Version: "1"}}}
	path := fmt.Sprintf("/%0400d/", 0)
	for i := range 4000 {
		edits = append(edits, thconfig.SetRoute{Route: thconfig.Route{
			Name: fmt.Sprintf("r%d", i), Path: fmt.Sprint(path, i), Pool: "p", Repeat: thconfig.RepeatSafe, Timeout: time.Second,
		}})
	}
	m.platform.commit(edits...)
	m.dead[1] = true
	m.run(3*time.Second, nil)
	m.platform.down = true
	m.dead[1] = false
	m.run(3*time.Second, nil)
	m.assertAll(t, 1)
	for _, b := range splitTables(m.replicas[0].versions.latest) {
		assert.Assert(t, b.Msgsize() < thwire.MaxFrame)
	}
}

// Guards against a missing snapshot object, without which each restart reads a long
// chain of changes.
func TestSnapshotObject(t *testing.T) {
	m := newSettledMesh(t, 4)
	for i := range 16 {
		m.platform.commitPool(i % 3)
	}
	m.run(2*time.Second, nil)
	m.assertAll(t, 17)
	assert.DeepEqual(t, m.platform.snapshots, []uint64{16})
}

// Guards against goroutines that outlive Stop, and against a start that requires a
// peer.
func TestStartAndStop(t *testing.T) {
	m := newMesh(t, 1)
	m.platform.commitPool(0)
	r := &Replica{Platform: m.platform, Peers: peers{m, 0}}
	seen := make(chan uint64, 1)
	r.Watch(func(s *Snapshot) { seen <- s.Tables.Version })
	assert.NilError(t, r.Start(context.Background()))
	r.Poke()
	assert.Equal(t, <-seen, uint64(1))
	r.Stop()
	<-r.Done()
	r.Stop()
}

// Guards against a starting daemon that applies a restored table because the first
// member that it discovers is also starting and repeats the table's version.
func TestStartBesideStartingPeer(t *testing.T) {
	m := newSettledMesh(t, 5)
	m.platform.commitPool(1)
	m.run(2*time.Second, nil)
	m.platform.lag = 1
	all := m.view.Members
	found := slices.Clone(all) // the other members are not discovered yet
	for i := 2; i < len(found); i++ {
		found[i].State = thwire.MemberDead
	}
	m.view = &thmember.View{Members: found}
	for i := range 2 {
		m.start(i)
		m.replicas[i].poller.nextRead = m.clock.Now()
	}
	m.run(700*time.Millisecond, func(p packet) bool { return p.to > 1 || p.from > 1 })
	assert.Assert(t, m.replicas[0].Current() == nil)
	m.view = &thmember.View{Members: all, Held: map[string]thwire.HeldVersion{"n02": {Name: "n02", Version: 2, Digest: thmember.ShortDigest(m.platform.digests[2])}}}
	m.run(4*time.Second, nil)
	m.assertAll(t, 2)
	assert.Assert(t, m.replicas[0].Ready())
}

// Guards against a starting daemon that applies a version from a restored table
// whose number is the fleet's but whose history differs.
func TestStartBesideDivergedPlatform(t *testing.T) {
	m := newSettledMesh(t, 5)
	m.platform.commitPool(1)
	m.run(2*time.Second, nil)
	digest := m.platform.digests[2]
	m.view.Held = map[string]thwire.HeldVersion{}
	for i, o := range m.view.Members {
		if i > 0 {
			m.view.Held[o.Name] = thwire.HeldVersion{Name: o.Name, Version: 2, Digest: thmember.ShortDigest(digest)}
		}
	}
	fork := newPlatform()
	fork.commitPool(0)
	fork.commitPool(3)
	m.platform.history, m.platform.changes = fork.history, fork.changes
	r := &Replica{Platform: fork, Peers: peers{m, 0}, Clock: m.clock, Seed: 1}
	r.startRead = func(f func()) {
		m.pendingReads = append(m.pendingReads, func() {
			f()
			m.drain(r)
		})
	}
	r.Watch(func(s *Snapshot) { assert.DeepEqual(t, s.Digest, digest) })
	r.init(context.Background())
	m.replicas[0] = r
	r.poller.nextRead = m.clock.Now() // the platform responds before the peers
	m.run(8*time.Second, nil)
	assert.Assert(t, r.Ready())
	assert.Equal(t, r.Status().Alarm, therror.Diverged)
	assert.DeepEqual(t, r.Status().Digest, digest)
}

// Guards against a commit that does not take effect during an outage although the
// command that made it has reached a daemon, and against an offered change that
// does not follow the latest version or is invalid.
func TestOfferedChange(t *testing.T) {
	m := newSettledMesh(t, 5)
	m.platform.commitPool(1)
	c := m.platform.changes[1]
	m.platform.down = true
	m.replicas[3].Offer(c)
	m.replicas[3].Offer(c) // offering it twice has no effect
	m.drain(m.replicas[3])
	m.run(time.Second, nil)
	m.assertAll(t, 2)
	m.platform.commitPool(2)
	m.platform.commitPool(3)
	m.replicas[3].Offer(m.platform.changes[3]) // the preceding change is missing
	bad := m.platform.changes[2]
	bad.Digest = m.platform.digests[1]
	m.replicas[3].Offer(bad)
	m.drain(m.replicas[3])
	m.run(time.Second, nil)
	m.assertAll(t, 2)
	m.platform.down = false
	m.run(4*time.Second, nil)
	m.assertAll(t, 4)
}
