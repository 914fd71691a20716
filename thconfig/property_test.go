package thconfig

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/therror"
)

var names = rapid.StringMatching(`[a-z0-9][a-z0-9-]{0,4}`)

// drawTables generates random valid tables.
func drawTables(t *rapid.T) Tables {
	n := Tables{Version: rapid.Uint64Range(0, 1<<40).Draw(t, "version")}
	for _, name := range drawNames(t, 1, "pools") {
		n.Pools = append(n.Pools, Pool{Name: name, Service: names.Draw(t, "service"), Version: "v1", Floor: rapid.IntRange(0, 100).Draw(t, "floor")})
	}
	for i, name := range drawNames(t, 0, "routes") {
		n.Routes = append(n.Routes, Route{
			Name: name, Path: fmt.Sprintf("/%d", i), Pool: rapid.SampledFrom(n.Pools).Draw(t, "pool").Name,
			Repeat:  rapid.SampledFrom([]string{RepeatSafe, RepeatOnce}).Draw(t, "repeat"),
			Timeout: time.Duration(rapid.Int64Range(int64(MinTimeout), int64(MaxTimeout)).Draw(t, "timeout")),
			Retry:   rapid.IntRange(0, 100).Draw(t, "retry"),
		})
	}
	for _, name := range drawNames(t, 0, "zones") {
		n.Zones = append(n.Zones, Zone{name, rapid.Bool().Draw(t, "out"), drawTime(t)})
	}
	if len(n.Routes) > 0 && len(n.Pools) > 1 {
		r := n.Routes[0]
		for _, p := range n.Pools {
			if p.Name != r.Pool {
				start := drawTime(t)
				n.Moves = []Move{{Name: "move", Route: r.Name, From: r.Pool, To: p.Name, Start: start, Deadline: start.Add(time.Hour), State: MoveRunning}}
			}
		}
	}
	return n
}

func drawNames(t *rapid.T, minCount int, label string) []string {
	list := rapid.SliceOfNDistinct(names, minCount, 6, rapid.ID).Draw(t, label)
	slices.Sort(list)
	return list
}

func drawTime(t *rapid.T) time.Time {
	return time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "seconds"), rapid.Int64Range(0, 999_999_999).Draw(t, "ns")).UTC()
}

func encode(t assert.TestingT, n Tables) []byte {
	body, err := n.MarshalMsg(nil)
	assert.NilError(t, err)
	return body
}

// Guards against an Apply that modifies its input, which is shared with snapshots
// on the request path.
func TestApplyNeverChangesItsInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawTables(t), drawTables(t)
		before := encode(t, old)
		edits := Diff(old, next)
		for _, z := range next.Zones {
			edits = append(edits, SetZone{z})
		}
		for _, m := range old.Moves {
			edits = append(edits, SetMove{m}, RemoveMove{m.Name})
		}
		got, err := Apply(old, edits)
		assert.NilError(t, err)
		for i := range got.Routes {
			got.Routes[i].Path = "/changed"
		}
		assert.DeepEqual(t, encode(t, old), before)
	})
}

// Guards against applying a table file with a result that differs from the file,
// or with edits in an order that Apply rejects.
func TestDiffThenApplyGivesTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawTables(t), drawTables(t)
		got, err := Apply(old, Diff(old, next))
		assert.NilError(t, err)
		assert.Equal(t, got.Version, old.Version+1)
		next.Version, next.Zones, next.Moves = got.Version, got.Zones, got.Moves
		assert.DeepEqual(t, Digest(got), Digest(next))
		assert.Equal(t, len(Diff(got, next)), 0)
	})
}

// Guards against different digests of equal tables on two daemons, because one
// of them decoded the tables from the platform or has another time zone.
func TestDigestIsStableOverEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawTables(t)
		assert.NilError(t, Validate(n))
		var decoded Tables
		rest, err := decoded.UnmarshalMsg(encode(t, n))
		assert.NilError(t, err)
		assert.Equal(t, len(rest), 0)
		assert.DeepEqual(t, Digest(decoded), Digest(n))
		for i := range decoded.Zones {
			decoded.Zones[i].Changed = decoded.Zones[i].Changed.In(time.FixedZone("x", 3600))
		}
		assert.DeepEqual(t, Digest(decoded), Digest(n))
	})
}

// Guards against a corrupted change that takes effect, completely or in part.
func TestApplyChangeRejectsCorruptedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := drawTables(t)
		edits := []Edit{
			SetPool{Pool{Name: "added", Service: "s", Version: "2", Floor: 10}},
			SetZone{Zone{Name: "zone", Out: true, Changed: drawTime(t)}},
		}
		next, err := Apply(old, edits)
		assert.NilError(t, err)
		good := Change{Version: next.Version, Base: old.Version, Edits: EncodeEdits(edits), Digest: Digest(next)}
		got, err := ApplyChange(old, good)
		assert.NilError(t, err)
		assert.DeepEqual(t, Digest(got), good.Digest)

		body, err := good.MarshalMsg(nil)
		assert.NilError(t, err)
		body[rapid.IntRange(0, len(body)-1).Draw(t, "byte")] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		var bad Change
		if _, err := bad.UnmarshalMsg(body); err != nil {
			return
		}
		before := encode(t, old)
		got, err = ApplyChange(old, bad)
		if err == nil {
			// The flipped bit must be in a field that doesn't affect the tables.
			assert.DeepEqual(t, Digest(got), good.Digest)
		} else {
			assert.DeepEqual(t, encode(t, got), encode(t, Tables{}))
		}
		assert.DeepEqual(t, encode(t, old), before)
	})
}

// Guards against accepting corruptions that a flipped bit rarely produces.
func TestApplyChangeRejectsWrongBasesEditsAndDigests(t *testing.T) {
	old := Tables{Version: 5, Pools: []Pool{{Name: "a", Service: "s", Version: "1"}}}
	edits := []Edit{SetPool{Pool{Name: "b", Service: "s", Version: "1"}}}
	next, err := Apply(old, edits)
	assert.NilError(t, err)
	good := Change{Version: 6, Base: 5, Edits: EncodeEdits(edits), Digest: Digest(next)}
	for name, corrupt := range map[string]func(*Change){
		"base": func(c *Change) { c.Base = 4 }, "version": func(c *Change) { c.Version = 5 },
		"skipped version": func(c *Change) { c.Version = 7 }, "no digest": func(c *Change) { c.Digest = nil },
		"short digest": func(c *Change) { c.Digest = c.Digest[:8] }, "no edits": func(c *Change) { c.Edits = nil },
		"unknown edit":  func(c *Change) { c.Edits = []EditRecord{{Kind: "other"}} },
		"empty edit":    func(c *Change) { c.Edits = []EditRecord{{Kind: editSetPool}} },
		"absent entry":  func(c *Change) { c.Edits = EncodeEdits([]Edit{RemovePool{"none"}}) },
		"invalid entry": func(c *Change) { c.Edits = EncodeEdits([]Edit{SetPool{Pool{Name: "B"}}}) },
	} {
		c := good
		corrupt(&c)
		_, err := ApplyChange(old, c)
		assert.Assert(t, therror.Is(err, therror.Refused), "%s: %v", name, err)
	}
}

// Guards against accepting a path that net/http's mux rejects on every daemon, or
// that a table file can't contain.
func TestPathsThatCannotBeServedAreRefused(t *testing.T) {
	valid := func(path string) bool {
		r := Route{Name: "r", Path: path, Pool: "p", Repeat: RepeatSafe, Timeout: time.Second}
		return Validate(Tables{Pools: []Pool{{Name: "p", Service: "s", Version: "1"}}, Routes: []Route{r}}) == nil
	}
	for _, p := range []string{"", "a", "//", "/a/..", "/.", "/a/./b", "/../a", "/a\u00a0", "/a\x00", "/\xff", "/{a}", "/a b", "/%41"} {
		assert.Assert(t, !valid(p), "%q", p)
	}
	for _, p := range []string{"/", "/a", "/a/", "/a.b/..c", "/予約", "/a;b=\"c\""} {
		assert.Assert(t, valid(p), "%q", p)
		assert.Assert(t, func() (ok bool) {
			defer func() { ok = recover() == nil }()
			http.NewServeMux().Handle(p, http.NotFoundHandler())
			return
		}(), "%q", p)
	}
}

// Guards against a validation that stops at the first error.
func TestValidateListsEveryFault(t *testing.T) {
	now := time.Unix(1000, 0)
	err := Validate(Tables{
		Pools: []Pool{{Name: "b", Service: "S", Version: "", Floor: 101}, {Name: "a", Service: "s", Version: "1"}},
		Routes: []Route{
			{Name: "Bad", Host: "UP", Path: "x", Method: "GRAB", Pool: "none", Class: "C!", Repeat: "maybe", Retry: -1},
			{Name: "c", Path: "/", Pool: "a", Repeat: RepeatSafe, Timeout: time.Second},
			{Name: "d", Path: "/", Pool: "a", Repeat: RepeatSafe, Timeout: time.Hour},
		},
		Zones: []Zone{{Name: "-"}},
		Moves: []Move{
			{Name: "m", Route: "c", From: "x", To: "x", Start: now, Deadline: now, State: MoveRunning},
			{Name: "n", Route: "c", From: "a", To: "b", Start: now, Deadline: now.Add(1), State: MoveRunning},
			{Name: "o", Route: "none", From: "a", To: "b", Start: now, Deadline: now.Add(1), State: "lost"},
		},
	})
	assert.Assert(t, therror.Is(err, therror.Refused))
	for _, want := range []string{
		`pool "b": service "S"`, `pool "b": version ""`, `pool "b": floor 101`, `pool "a": listed twice or out of order`,
		`route "Bad": a name`, `route "Bad": host "UP"`, `route "Bad": path "x"`, `route "Bad": method "GRAB"`,
		`route "Bad": pool "none" does not exist`, `route "Bad": class "C!"`, `route "Bad": repeat "maybe"`,
		`route "Bad": timeout 0s`, `route "Bad": retry -1`, `route "d": host, path and method are those of route "c"`,
		`route "d": timeout 1h0m0s`, `zone "-": a name`, `move "m": route "c" uses pool "a"`, `move "m": pool "x" does not exist`,
		`move "m": both pools are "x"`, `move "m": the deadline`, `move "n": move "m" of route "c" is still running`,
		`move "o": unknown state "lost"`,
	} {
		assert.ErrorContains(t, err, want)
	}
	assert.Assert(t, strings.Count(err.Error(), "\n") >= 22)
}
