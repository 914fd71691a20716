package thmember

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thcrash"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// crashRecord returns a valid record of request n at the time at.
func crashRecord(n int, at time.Time, crashes ...uint64) thwire.CrashRecord {
	return thwire.CrashRecord{Request: fmt.Sprintf("request-%08d", n), Crashes: crashes, Time: at.UnixMilli(), Alone: len(crashes) > 1}
}

// knownCrashes returns the number of crashes that the node knows of request n.
func (n *Node) knownCrashes(request int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.state.crashes[crashRecord(request, time.Time{}).Request].Crashes)
}

// Guards against crash records that don't reach every daemon, that a daemon which starts or
// was cut off does not get, and that stay after their expiry.
func TestCrashRecordsReachEveryDaemon(t *testing.T) {
	const limit = 3 * time.Second // within which a request that crashes servers must be known
	f := newFleet(t, 8)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	f.nodes[1].MergeCrashRecord(crashRecord(1, f.clock.Now(), 10))
	f.nodes[2].MergeCrashRecord(crashRecord(1, f.clock.Now(), 11))
	everyNode := func(request, crashes int) func() bool {
		return func() bool {
			for _, n := range f.nodes {
				if n.knownCrashes(request) != crashes {
					return false
				}
			}
			return true
		}
	}
	f.waitFor("the crashes are known everywhere", limit, everyNode(1, 2))

	var mutex sync.Mutex
	watched := map[string]int{}
	f.add("late", netip.MustParseAddrPort("127.0.0.1:0"), func(n *Node) {
		n.WatchCrashRecords(func(r thwire.CrashRecord) {
			mutex.Lock()
			defer mutex.Unlock()
			watched[r.Request] = len(r.Crashes)
		})
	})
	f.waitFor("a daemon that starts gets the record", limit, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return watched[crashRecord(1, time.Time{}).Request] == 2
	})

	f.partition(1, 4, 5, 6, 7)
	f.waitFor("the sides are apart", time.Minute, func() bool { return f.allSee("n05", thwire.MemberDead, 0, 1, 2, 3) })
	f.nodes[0].MergeCrashRecord(crashRecord(2, f.clock.Now(), 20, 21))
	f.partition(0, 4, 5, 6, 7)
	f.waitFor("the sides have merged", 2*time.Minute, everyNode(2, 2))

	almostExpired := f.clock.Now().Add(10*time.Second - 10*time.Minute)
	f.nodes[3].MergeCrashRecord(crashRecord(3, almostExpired, 30))
	f.waitFor("the suspect is known everywhere", limit, everyNode(3, 1))
	f.waitFor("the suspect is forgotten everywhere", 15*time.Second, everyNode(3, 0))
	assert.Assert(t, everyNode(2, 2)())
}

// Guards against checksums that differ for equal crash records, which would cause an exchange
// of summaries each second, and against a summary of full tables that exceeds the frame limit.
func TestCrashRecordsChecksum(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	const all = 2 * thcrash.MaxRecords
	a, b := newState(2), newState(2)
	record := func(n int) thwire.CrashRecord {
		return crashRecord(n, now.Add(time.Duration(n%5)*time.Millisecond), 1, 2, 3, 4, 5, 6, 7, uint64(8+n))
	}
	for n := range all {
		a.putCrashRecord(record(n), "", now)
		b.putCrashRecord(record(all-1-n), "", now)
	}
	assert.Equal(t, len(a.crashes), thcrash.MaxRecords)
	assert.Equal(t, a.checksum, b.checksum)
	summary, err := thwire.AppendFrame(nil, thwire.TypeSummary, a.summary())
	assert.NilError(t, err)
	t.Logf("summary of %d crash records: %d bytes", len(a.crashes), len(summary))
	assert.Assert(t, len(summary) < thwire.MaxFrame/2)
	assert.Equal(t, len(a.crashesMissingFrom(b.summary())), 0)
	a.removeExpiredCrashes(now.Add(10_000 * time.Hour))
	assert.Equal(t, a.checksum.Crashes, uint64(0))
}

// Guards against a neighbour that does not get what this daemon knows beyond its record, since
// the merged record counts as received from it.
func TestMergedCrashRecordGoesBack(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	s := newState(2)
	s.putCrashRecord(crashRecord(1, now, 11), "", now)
	received := crashRecord(1, now, 10)
	assert.Assert(t, s.putCrashRecord(received, "neighbour", now))
	assert.Equal(t, s.changed.crashes[received.Request], "")
	s.clearChanges()
	assert.Assert(t, s.putCrashRecord(crashRecord(1, now, 10, 11, 12), "neighbour", now))
	assert.Equal(t, s.changed.crashes[received.Request], "neighbour")
}
