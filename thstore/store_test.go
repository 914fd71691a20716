package thstore_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmemory"
	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// Guards against a restore from a snapshot that differs from the tables in the
// table service, or that fails when the object store does.
func TestRestoreEqualsLoad(t *testing.T) {
	objects := &thmemory.Objects{}
	s := &thstore.Store{Table: &thmemory.Table{}, Objects: objects}
	for n := range 40 {
		mustCommit(t, s, fmt.Sprint(n), pool(fmt.Sprint("p", n%7)), thconfig.SetZone{Zone: thconfig.Zone{
			Name: "otaru", Out: n%2 == 0, Changed: time.Unix(int64(n), 0).UTC(),
		}})
		check := func() {
			t.Helper()
			want, digest, err := s.Load(t.Context())
			assert.NilError(t, err)
			got, restored, err := s.Restore(t.Context())
			assert.NilError(t, err)
			assert.DeepEqual(t, restored, digest)
			assert.DeepEqual(t, thconfig.Digest(got), thconfig.Digest(want))
		}
		check()
		if n == 35 {
			assert.Assert(t, objects.Counts().Reads > 0)
			objects.SetFaults(thmemory.Faults{Fail: true})
			check()
			objects.SetFaults(thmemory.Faults{})
			assert.NilError(t, objects.Put(t.Context(), "snapshot/32", []byte{0x81}))
			check()
		}
	}
}

// Guards against a panic, or a configuration that was never committed, when an
// item of the table service is corrupt or partly overwritten.
func TestCorruptItems(t *testing.T) {
	keys := []thplatform.Key{
		{Partition: "config", Sort: "head"},
		{Partition: "table", Sort: "routes"},
		{Partition: "table", Sort: "pools"},
		{Partition: "change", Sort: fmt.Sprintf("%020d", 1)},
	}
	rapid.Check(t, func(t *rapid.T) {
		table := &thmemory.Table{}
		s := &thstore.Store{Table: table}
		c, err := s.Commit(t.Context(), propose("1", pool("a"), thconfig.SetRoute{Route: thconfig.Route{
			Name: "r", Path: "/", Pool: "a", Repeat: thconfig.RepeatOnce, Timeout: time.Second,
		}}))
		assert.NilError(t, err)
		items, err := table.Get(t.Context(), rapid.SampledFrom(keys).Draw(t, "key"))
		assert.NilError(t, err)
		i := items[0]
		switch rapid.IntRange(0, 3).Draw(t, "damage") {
		case 0:
			i.Number = rapid.Uint64().Draw(t, "number")
		case 1:
			i.Digest = rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "digest")
		case 2:
			i.Body = rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		case 3:
			for range min(len(i.Body), 3) {
				i.Body[rapid.IntRange(0, len(i.Body)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		assert.NilError(t, table.Write(t.Context(), thplatform.Op{Item: i}))
		tables, _, err := s.Load(t.Context())
		if err == nil {
			assert.DeepEqual(t, thconfig.Digest(tables), c.Digest)
		} else {
			assert.Assert(t, therror.Is(err, therror.Refused) || therror.Is(err, therror.Diverged), "%v", err)
		}
		if _, err = s.Changes(t.Context(), 0, 10); err != nil {
			assert.Assert(t, therror.Is(err, therror.Refused), "%v", err)
		}
		_, err = s.Commit(t.Context(), propose("2", pool("b")))
		k := therror.KindOf(err)
		assert.Assert(t, k == "" || k == therror.Refused || k == therror.Diverged || k == therror.Conflict, "%v", err)
	})
}

// Guards against a read that does not wrap around at the last name, and one that
// returns expired or withdrawn announcements.
func TestAnnouncements(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &thstore.Store{Table: &thmemory.Table{FaultInjector: thmemory.FaultInjector{Clock: clock}}, Clock: clock}
	for n, name := range []string{"a", "b", "c", "d"} {
		ttl := time.Hour
		if name == "d" {
			ttl = time.Minute
		}
		a := thstore.Announcement{Name: name, Zone: "otaru", Region: "hokkaido", Peer: netip.AddrPortFrom(netip.IPv6Loopback(), uint16(n+1))}
		assert.NilError(t, s.Announce(t.Context(), a, ttl))
	}
	names := func(from string, limit int) string {
		t.Helper()
		list, err := s.Announcements(t.Context(), from, limit)
		assert.NilError(t, err)
		out := ""
		for _, a := range list {
			out += a.Name
		}
		return out
	}
	assert.Equal(t, names("c", 3), "cda")
	assert.Equal(t, names("c", 10), "cdab")
	clock.Advance(2 * time.Minute)
	assert.NilError(t, s.Withdraw(t.Context(), "b"))
	assert.Equal(t, names("c", 10), "ca")
}

// Guards against a table restored from a backup that looks current. The fleet's
// version is the highest announced one with all its digests; expired announcements
// and daemons without a version do not count.
func TestFleetVersion(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &thstore.Store{Table: &thmemory.Table{FaultInjector: thmemory.FaultInjector{Clock: clock}}, Clock: clock}
	fleet := func() thstore.FleetVersion {
		t.Helper()
		f, err := s.Fleet(t.Context())
		assert.NilError(t, err)
		return f
	}
	assert.DeepEqual(t, fleet(), thstore.FleetVersion{})
	for n, a := range []thstore.Announcement{{Name: "a", Version: 6, Digest: 1 << 63}, {Name: "b", Version: 5, Digest: 2}, {Name: "c"}, {Name: "d", Version: 6, Digest: 1 << 63}, {Name: "z", Version: 9, Digest: 3}} {
		ttl := time.Hour
		if a.Name == "z" {
			ttl = time.Minute
		}
		a.Peer = netip.AddrPortFrom(netip.IPv6Loopback(), uint16(n+1))
		assert.NilError(t, s.Announce(t.Context(), a, ttl))
	}
	assert.DeepEqual(t, fleet(), thstore.FleetVersion{Version: 9, Digests: []uint64{3}})
	clock.Advance(2 * time.Minute)
	assert.DeepEqual(t, fleet(), thstore.FleetVersion{Version: 6, Digests: []uint64{1 << 63}})
}

// Guards against a non-idempotent call that runs twice because two attempts claim
// its key, and against a lost response that blocks the attempt that owns the claim.
func TestClaims(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &thmemory.Table{FaultInjector: thmemory.FaultInjector{Clock: clock}}
	s := &thstore.Store{Table: table, Clock: clock}
	first := thstore.Claim{Route: "book", Key: "k", Token: "1"}
	second := thstore.Claim{Route: "book", Key: "k", Token: "2"}
	taken := func() *thstore.ClaimedError {
		t.Helper()
		err := s.Claim(t.Context(), second)
		assert.Assert(t, therror.Is(err, therror.Repeat), "%v", err)
		var claimed *thstore.ClaimedError
		assert.Assert(t, errors.As(err, &claimed))
		return claimed
	}
	table.SetFaults(thmemory.Faults{Lost: true})
	assert.NilError(t, s.Claim(t.Context(), first))
	assert.Assert(t, !taken().Claim.Done)
	table.SetFaults(thmemory.Faults{})
	assert.NilError(t, s.Release(t.Context(), second)) // not the owner's token: no effect
	taken()
	first.Status = 201
	assert.NilError(t, s.Settle(t.Context(), first))
	claimed := taken().Claim
	assert.Assert(t, claimed.Done && claimed.Status == 201 && claimed.Token == "1")
	assert.Assert(t, therror.Is(s.Settle(t.Context(), second), therror.Conflict))
	assert.NilError(t, s.Release(t.Context(), first))
	assert.NilError(t, s.Claim(t.Context(), second))
	clock.Advance(25 * time.Hour)
	assert.NilError(t, s.Claim(t.Context(), first))
	table.SetFaults(thmemory.Faults{Fail: true})
	assert.Assert(t, therror.Is(s.Claim(t.Context(), second), therror.Down))
}
