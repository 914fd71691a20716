package thproof

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thdynamo"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/thsettings"
)

// openTableService opens the table service without the store, to write items that no
// command would write.
func openTableService(t *testing.T, f *thfleet.Fleet) thplatform.TableService {
	t.Helper()
	s, err := thsettings.Load(f.Dir+"/operator.ini", thsettings.RoleCommand)
	assert.NilError(t, err)
	return thdynamo.New(thdynamo.Settings{
		Endpoint: s.Platform.Table, Table: s.Platform.Name, Region: s.Platform.Region,
		AccessKey: s.Platform.Access, Secret: s.Platform.Secret,
	})
}

// forgedVersion is a version that is written directly to the table service.
type forgedVersion struct {
	tables     thconfig.Tables
	base       uint64
	edits      []thconfig.Edit
	digest     []byte // digest of the tables if nil
	body       []byte // of the change; encoded from the fields if nil
	omitChange bool
}

func (g *forgedVersion) write(t *testing.T, f *thfleet.Fleet) {
	t.Helper()
	if g.digest == nil {
		g.digest = thconfig.Digest(g.tables)
	}
	version := g.tables.Version
	change := thconfig.Change{Version: version, Base: g.base, Request: fmt.Sprint("forged-", version), Time: time.Now().UTC(), Edits: thconfig.EncodeEdits(g.edits), Digest: g.digest}
	if g.body == nil {
		var err error
		g.body, err = change.MarshalMsg(nil)
		assert.NilError(t, err)
	}
	put := func(partition, sort string, body []byte) thplatform.Op {
		return thplatform.Op{Item: thplatform.Item{Key: thplatform.Key{Partition: partition, Sort: sort}, Number: version, Digest: g.digest, Body: body}}
	}
	ops := []thplatform.Op{put("config", "head", nil)}
	if !g.omitChange {
		ops = append(ops, put("change", fmt.Sprintf("%020d", version), g.body))
	}
	for name, part := range map[string]thconfig.Tables{
		"routes": {Routes: g.tables.Routes}, "pools": {Pools: g.tables.Pools}, "zones": {Zones: g.tables.Zones}, "moves": {Moves: g.tables.Moves},
	} {
		body, err := part.MarshalMsg(nil)
		assert.NilError(t, err)
		ops = append(ops, put("table", name, body))
	}
	assert.NilError(t, openTableService(t, f).Write(t.Context(), ops...))
}

// Guards against an invalid version that takes effect, wholly or partly, that isn't
// reported to operators, or that blocks the next valid version.
func TestInvalidVersionIsNeverApplied(t *testing.T) {
	t.Parallel()
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := recordVersions(t, f)
	dangling := []thconfig.Edit{
		thconfig.SetPool{Pool: thconfig.Pool{Name: "half", Service: "slotboard", Version: "1"}},
		thconfig.SetRoute{Route: thconfig.Route{Name: "half", Path: "/half", Pool: "nowhere", Repeat: thconfig.RepeatSafe, Timeout: time.Second}},
	}
	valid := dangling[:1]
	for _, c := range []struct {
		name  string
		forge func(g *forgedVersion)
	}{
		{"dangling reference", func(g *forgedVersion) { g.edits = dangling }},
		{"wrong digest", func(g *forgedVersion) { g.edits, g.digest = valid, bytes.Repeat([]byte{7}, thconfig.DigestSize) }},
		{"undecodable body", func(g *forgedVersion) {
			g.edits, g.body, g.digest = valid, []byte{0xc1, 1, 2}, bytes.Repeat([]byte{8}, thconfig.DigestSize)
		}},
		{"gap in the chain", func(g *forgedVersion) {
			g.edits, g.omitChange, g.digest = valid, true, bytes.Repeat([]byte{9}, thconfig.DigestSize)
		}},
	} {
		before, digest, err := openStore(t, f).Load(t.Context())
		assert.NilError(t, err)
		begin := time.Now()
		g := &forgedVersion{base: before.Version}
		c.forge(g)
		g.tables, err = thconfig.Apply(before, g.edits)
		assert.NilError(t, err)
		g.write(t, f)
		assert.NilError(t, f.Wait(t.Context(), 10*time.Second, "reporting the invalid version", func(_ *thfleet.Upstream, s thadmin.Status) bool {
			return s.Config.Error != ""
		}))
		reported := time.Since(begin)
		// Further reads of the platform must not apply the invalid version or clear the error.
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
			for _, u := range f.Upstreams {
				s, err := u.Status(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, s.Config.Version, before.Version, "%s: %s", c.name, u.Name)
				assert.Equal(t, s.Config.Digest, fmt.Sprintf("%x", digest), "%s: %s", c.name, u.Name)
				assert.Assert(t, s.Config.Error != "", "%s: %s reports no error", c.name, u.Name)
			}
		}
		out, _, err := f.RunCommand(t.Context(), "--admin", f.Upstreams[3].Admin(), "status")
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(out, "error  "), out)
		fix := &forgedVersion{base: g.tables.Version, tables: before, edits: []thconfig.Edit{}}
		fix.tables.Version = g.tables.Version + 1
		fix.write(t, f)
		begin = time.Now()
		assert.NilError(t, f.WaitVersion(t.Context(), fix.tables.Version, 10*time.Second))
		applied := time.Since(begin)
		assert.NilError(t, f.Wait(t.Context(), 10*time.Second, "without error", func(_ *thfleet.Upstream, s thadmin.Status) bool {
			return s.Config.Error == "" && s.Config.Alarm == ""
		}))
		t.Logf("%s: reported after %s, next valid version in effect everywhere after %s", c.name, reported.Round(time.Millisecond), applied.Round(time.Millisecond))
	}
	r.requireConsistentWithoutLog(t)
}

// Guards against a change that is applied partly because its connection breaks in the
// middle of the message.
func TestCutDeltaIsNeverApplied(t *testing.T) {
	t.Parallel()
	f := deployWithLinks(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := recordVersions(t, f)
	for i := range 10 {
		for j, u := range f.Upstreams {
			assert.NilError(t, u.PeerLink.Truncate(100+37*i+11*j))
		}
		o := setPool(t, f, f.Upstreams[i%9], i)
		assert.Equal(t, o.exitCode, 0, o.output)
		assert.NilError(t, f.WaitVersion(t.Context(), o.Version, 5*time.Second))
		for _, u := range f.Upstreams {
			u.PeerLink.ClearFaults(t.Context())
		}
	}
	assert.NilError(t, f.WaitReady(t.Context()))
	r.requireConsistent(t, f)
}
