package thcheck

import (
	"encoding/hex"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

func observed(daemon string, second int, version uint64) VersionObservation {
	return VersionObservation{Daemon: daemon, Time: at(second), Version: version}
}

// Guards against missing a decreased version, also after a restart without a version,
// and against comparing versions of different daemons.
func TestVersions(t *testing.T) {
	got := CheckVersions([]VersionObservation{observed("a", 0, 3), observed("b", 0, 1), observed("a", 1, 3), observed("b", 1, 2), observed("a", 2, 2)})
	assert.DeepEqual(t, kinds(got), []Kind{VersionDecreased})
	assert.Equal(t, got[0].ID, "a")
	assert.Equal(t, len(CheckVersions([]VersionObservation{observed("a", 0, 3), observed("a", 1, 0), observed("a", 2, 3)})), 0)
	assert.DeepEqual(t, kinds(CheckVersions([]VersionObservation{observed("a", 0, 3), observed("a", 1, 0), observed("a", 2, 2)})), []Kind{VersionDecreased})
	assert.DeepEqual(t, kinds(CheckVersions([]VersionObservation{{Daemon: "a", Ready: true}})), []Kind{ReadyWithoutVersion})
}

// Guards against missing daemons that have different tables with the same version.
func TestDigests(t *testing.T) {
	a, b := observed("a", 0, 3), observed("b", 1, 3)
	a.Digest, b.Digest = "x", "x"
	assert.Equal(t, len(CheckDigests([]VersionObservation{a, b, observed("c", 1, 0), observed("c", 2, 2)})), 0)
	b.Digest = "y"
	got := CheckDigests([]VersionObservation{a, b})
	assert.DeepEqual(t, kinds(got), []Kind{Diverged})
	assert.Equal(t, got[0].ID, "b")
}

// Guards against missing a committed version with a dangling reference, or a version in
// effect that was never committed.
func TestLog(t *testing.T) {
	commit := func(before thconfig.Tables, edits ...thconfig.Edit) (thconfig.Tables, thconfig.Change) {
		n, err := thconfig.Apply(before, edits)
		assert.NilError(t, err)
		return n, thconfig.Change{Version: n.Version, Base: before.Version, Edits: thconfig.EncodeEdits(edits), Digest: thconfig.Digest(n)}
	}
	t1, c1 := commit(thconfig.Tables{}, thconfig.SetPool{Pool: thconfig.Pool{Name: "p", Service: "s", Version: "1"}})
	route := thconfig.Route{Name: "r", Path: "/", Pool: "p", Repeat: thconfig.RepeatSafe, Timeout: time.Second}
	t2, c2 := commit(t1, thconfig.SetRoute{Route: route})
	_, c3 := commit(t2, thconfig.RemovePool{Name: "p"})
	h := observed("a", 0, 2)
	h.Digest = hex.EncodeToString(c2.Digest)
	assert.Equal(t, len(CheckChangeLog(thconfig.Tables{}, []thconfig.Change{c1, c2}, []VersionObservation{h})), 0)
	assert.DeepEqual(t, kinds(CheckChangeLog(thconfig.Tables{}, []thconfig.Change{c1, c2, c3}, []VersionObservation{h})), []Kind{Dangling})
	assert.DeepEqual(t, kinds(CheckChangeLog(t1, []thconfig.Change{c2}, []VersionObservation{observed("a", 0, 2), h})), []Kind{Diverged})
	assert.DeepEqual(t, kinds(CheckChangeLog(t1, []thconfig.Change{c2}, []VersionObservation{observed("a", 0, 3)})), []Kind{Diverged})
}
