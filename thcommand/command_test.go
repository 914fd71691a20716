package thcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thsettings"
	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thtable"
)

// fakeStore commits in memory; lose makes a commit take effect and lose its response.
type fakeStore struct {
	tables       thconfig.Tables
	changes      []thconfig.Change
	loseResponse bool
	failure      error
	fleet        thstore.Fleet
	inconsistent bool // the tables contradict the digest of their head
}

func (f *fakeStore) Fleet(context.Context) (thstore.Fleet, error) { return f.fleet, f.failure }

func (f *fakeStore) Load(context.Context) (thconfig.Tables, []byte, error) {
	if f.inconsistent {
		return thconfig.Tables{}, nil, therror.New(therror.Diverged, "digests differ")
	}
	return f.tables, thconfig.Digest(f.tables), f.failure
}

func (f *fakeStore) Commit(_ context.Context, p Proposal) (thconfig.Change, error) {
	if f.failure != nil {
		return thconfig.Change{}, f.failure
	}
	if f.inconsistent != p.Repair {
		return thconfig.Change{}, therror.New(therror.Diverged, "digests differ: %t", f.inconsistent)
	}
	for _, c := range f.changes {
		if c.Request == p.Request {
			return c, nil
		}
	}
	edits, err := p.Edit(f.tables)
	if err != nil {
		return thconfig.Change{}, err
	}
	n, err := thconfig.Apply(f.tables, edits)
	if err != nil {
		return thconfig.Change{}, err
	}
	n.Version = max(n.Version, p.Above+1)
	if err := thconfig.Validate(n); err != nil {
		return thconfig.Change{}, err
	}
	c := thconfig.Change{Version: n.Version, Base: f.tables.Version, Request: p.Request, Digest: thconfig.Digest(n)}
	f.tables, f.changes = n, append(f.changes, c)
	if f.loseResponse {
		f.loseResponse = false
		return thconfig.Change{}, therror.New(therror.Unknown, "response lost")
	}
	return c, nil
}

type testEnv struct {
	t             *testing.T
	store         *fakeStore
	program       Program
	out, err      bytes.Buffer
	mu            sync.Mutex
	status        thadmin.Status
	poked         int
	updatedOnPoke []int // members that hold the committed version after a poke
	admin         string
}

// newTestEnv prepares a store with the Ishikari tables and the admin interface of
// a fleet in zones sapporo and otaru.
func newTestEnv(t *testing.T) *testEnv {
	tables, err := thtable.Load(filepath.Join("..", "deploy", "ishikari.ini"))
	assert.NilError(t, err)
	tables.Version = 3
	b := &testEnv{t: t, store: &fakeStore{tables: tables}}
	settings := filepath.Join(t.TempDir(), "s.ini")
	assert.NilError(t, os.WriteFile(settings, []byte(thsettings.Sample), 0o600))
	b.program = Program{Out: &b.out, Err: &b.err, Settings: settings, Author: "tester", Clock: clockwork.NewFakeClock()}
	b.status = thadmin.Status{Self: thadmin.Self{Name: "a"}, Config: thadmin.ConfigStatus{Version: 3, Known: 3}}
	for _, m := range [][3]string{{"a", "sapporo", "slotboard"}, {"b", "otaru", "slotboard"}, {"c", "sapporo", "bookdesk"}} {
		b.status.Members = append(b.status.Members, thadmin.MemberEntry{
			Name: m[0], Zone: m[1], State: thadmin.StateAlive, Version: 3,
			Server: &thadmin.ServerEntry{Service: m[2], Version: "1", State: "ready"},
		})
	}
	server := httptest.NewServer((&thadmin.Admin{
		Status: func() thadmin.Status { b.mu.Lock(); defer b.mu.Unlock(); return b.status },
		Poke:   b.poke,
	}).Handler())
	t.Cleanup(server.Close)
	b.admin = strings.TrimPrefix(server.URL, "http://")
	open := OpenStore
	OpenStore = func(thsettings.Settings) (Store, error) { return b.store, nil }
	t.Cleanup(func() { OpenStore = open })
	return b
}

func (b *testEnv) poke() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.poked++
	for _, i := range b.updatedOnPoke {
		b.status.Members[i].Version = b.store.tables.Version
	}
}

// run returns the exit code; out and err hold the output of this run alone.
func (b *testEnv) run(args ...string) int {
	b.out.Reset()
	b.err.Reset()
	return b.program.Run(context.Background(), args)
}

func (b *testEnv) expect(code int, text string, args ...string) {
	b.t.Helper()
	got := b.run(args...)
	assert.Equal(b.t, got, code, "%v: %s", args, b.err.String())
	assert.Assert(b.t, strings.Contains(b.out.String()+b.err.String(), text), "%v: %s%s", args, b.out.String(), b.err.String())
}

// Guards against commands whose edit is lost, and against errors with a wrong exit code.
func TestEdits(t *testing.T) {
	b := newTestEnv(t)
	b.expect(0, "committed version 4", "pool", "set", "slots-two", "--service", "slotboard", "--version", "2")
	b.expect(0, "committed version 5", "route", "set", "slots", "--timeout", "1s")
	r, _ := b.store.tables.Route("slots")
	assert.Equal(t, r.Timeout, time.Second)
	assert.Equal(t, r.Pool, "slotboard", "an option left out changed its value")
	b.expect(3, `pool "slotboard" does not exist`, "pool", "remove", "slotboard")
	b.expect(3, `pool "none" does not exist`, "pool", "remove", "none")
	b.expect(2, "needs --path", "route", "set", "new")
	b.expect(2, "Invalid value", "route", "set", "slots", "--repeat", "twice")
	b.expect(3, "timeout", "route", "set", "slots", "--timeout", "11m")
	b.expect(0, "slots-two", "pool", "list")
	b.expect(0, "1s", "route", "list")
	b.expect(0, "committed version 6", "route", "remove", "roster")
	assert.Equal(t, b.store.changes[0].Request != b.store.changes[1].Request, true)
}

// Guards against a move that starts twice, keeps its predecessor or hides a changed pool.
func TestMoves(t *testing.T) {
	b := newTestEnv(t)
	b.expect(0, "", "pool", "set", "slots-two", "--service", "slotboard", "--version", "2")
	b.expect(2, "--deadline", "move", "start", "slots", "slots-two", "--deadline", "soon")
	b.expect(2, "not in the future", "move", "start", "slots", "slots-two", "--deadline", "2001-01-01T00:00:00Z")
	b.expect(3, "does not exist", "move", "start", "slots", "none", "--deadline", "30m")
	b.expect(0, "committed version 5", "move", "start", "slots", "slots-two", "--deadline", "30m")
	m, found := b.store.tables.Move("slots-5")
	assert.Assert(t, found)
	assert.Equal(t, m.Deadline.Sub(m.Start), 30*time.Minute)
	b.expect(3, "is running", "move", "start", "slots", "slots-two", "--deadline", "30m")
	b.expect(3, "cancel the move first", "route", "set", "slots", "--pool", "slots-two")
	b.expect(3, "does not exist", "route", "remove", "slots")
	b.expect(0, "running", "move", "status", "slots")
	b.expect(0, "committed version 6", "move", "cancel", "slots")
	b.expect(3, "no running move", "move", "cancel", "slots")
	b.expect(0, "committed version 7", "move", "start", "slots", "slots-two", "-d", "30m")
	assert.Equal(t, len(b.store.tables.Moves), 1)
	assert.Equal(t, len(moveName(strings.Repeat("x", 63), 1<<60)), 63)
}

// Guards against a move to a version that nobody has started, which would only
// show as late at its deadline.
func TestMoveToPoolWithoutServersWarns(t *testing.T) {
	const warning = `warning: pool "slots-two" has no server: no live daemon has service "slotboard" version "2"`
	b := newTestEnv(t)
	b.expect(0, "", "pool", "set", "slots-two", "--service", "slotboard", "--version", "2")
	b.expect(0, warning, "move", "start", "slots", "slots-two", "--deadline", "30m", "--admin", b.admin)
	b.expect(0, "", "move", "cancel", "slots")
	b.status.Members[0].Server.Version = "2"
	b.expect(0, "committed", "move", "start", "slots", "slots-two", "--deadline", "30m", "--admin", b.admin)
	assert.Assert(t, !strings.Contains(b.err.String(), "warning"), b.err.String())
}

// Guards against a finished move that seems to send no traffic to its new pool.
func TestFinishedMoveShowsNoShare(t *testing.T) {
	b := newTestEnv(t)
	b.status.Moves = []thadmin.MoveEntry{
		{Name: "roster-3", Route: "roster", State: thconfig.MoveRunning, Share: 0.25, Step: 4},
		{Name: "slots-2", Route: "slots", State: thconfig.MoveDone},
	}
	b.expect(0, "25%", "move", "status", "roster", "--admin", b.admin)
	b.expect(0, "done", "move", "status", "slots", "--admin", b.admin)
	assert.Assert(t, !strings.Contains(b.out.String(), "%"), b.out.String())
}

// Guards against an operator's typing error or haste that empties a pool.
func TestZoneOutNeedsForce(t *testing.T) {
	b := newTestEnv(t)
	b.expect(3, `pool "bookdesk" would have no server left`, "zone", "out", "sapporo", "--admin", b.admin)
	b.expect(3, `no daemon runs in zone "saporo"`, "zone", "out", "saporo", "--admin", b.admin)
	b.expect(0, "warning", "zone", "out", "sapporo", "--admin", b.admin, "--force")
	assert.Equal(t, b.poked, 1)
	b.expect(3, "already out", "zone", "out", "sapporo")
	b.expect(0, "otaru", "zone", "list", "--admin", b.admin)
	b.expect(0, "committed version 5", "zone", "in", "sapporo")
	b.expect(3, "never taken out", "zone", "in", "otaru")
}

// Guards against a second commit when an operator repeats a command whose outcome was unknown.
func TestUnknownOutcomeIsRepeatable(t *testing.T) {
	b := newTestEnv(t)
	b.store.loseResponse = true
	b.expect(5, "--request", "zone", "out", "otaru")
	_, rest, _ := strings.Cut(b.err.String(), "--request ")
	id, _, _ := strings.Cut(rest, ":")
	b.expect(0, "an earlier command committed version 4", "zone", "out", "otaru", "--request", id)
	assert.Equal(t, len(b.store.changes), 1)
	b.store.failure = therror.New(therror.Down, "table service")
	b.expect(6, "down", "zone", "in", "otaru")
	b.store.failure = therror.New(therror.Conflict, "version 4 became 5")
	b.expect(4, "version 4 became 5", "zone", "in", "otaru")
}

// Guards against a success reported while daemons still hold an older version.
func TestWait(t *testing.T) {
	b := newTestEnv(t)
	b.expect(2, "needs --admin", "zone", "out", "otaru", "--wait", "1s")
	clock := clockwork.NewFakeClock()
	b.program.Clock = clock
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(pollInterval)
		}
	}()
	b.updatedOnPoke = []int{0, 2}
	b.expect(9, "not in effect on 1 daemons: b", "zone", "out", "otaru", "--admin", b.admin, "--wait", "1s")
	assert.Assert(t, !strings.Contains(b.err.String(), "\x1b"), "progress shown without a terminal")
	b.status.Members[1].State = thadmin.StateDead
	b.expect(0, "in effect on every live daemon", "zone", "in", "otaru", "--admin", b.admin, "--wait", "1s")
	b.status.Members[1].State = thadmin.StateSuspect
	b.expect(9, "not in effect on 1 daemons: b", "zone", "out", "otaru", "--admin", b.admin, "--wait", "1s", "-o", "json")
	assert.Assert(t, strings.Contains(b.out.String(), `"lagging": [`))
}

// Guards against edits of a restored table, which no daemon would accept.
func TestRestoredTableNeedsRecover(t *testing.T) {
	b := newTestEnv(t)
	b.status.Config.Known = 9
	b.expect(8, "turmerichaven recover", "zone", "out", "otaru", "--admin", b.admin)
	b.status.Config.Alarm = "diverged"
	b.expect(8, "turmerichaven recover", "zone", "out", "otaru", "--admin", b.admin)
	b.expect(8, "diverged", "status", "--admin", b.admin)
	assert.Equal(t, len(b.store.changes), 0)
	b.expect(2, "needs --admin", "recover")
	b.expect(0, "committed version 10", "recover", "--admin", b.admin)
	assert.Equal(t, b.store.changes[0].Base, uint64(3))
}

// Guards against an edit without --admin that reports a commit which no daemon
// takes: announcements name a higher version than the head, or the same one with
// other content. It also guards against a refusal where they lag behind the head.
func TestRestoredTableWithoutDaemon(t *testing.T) {
	b := newTestEnv(t)
	for _, f := range []thstore.Fleet{{Version: 4, Digests: []uint64{1}}, {Version: 3, Digests: []uint64{1, 2}}} {
		b.store.fleet = f
		b.expect(8, "turmerichaven recover", "zone", "out", "otaru")
		assert.Equal(t, len(b.store.changes), 0)
	}
	b.expect(0, "committed version 5", "recover", "--above", "4")
	for i, f := range []thstore.Fleet{{}, {Version: 2, Digests: []uint64{1}}, {Version: 7, Digests: []uint64{1}}} {
		b.store.fleet = f
		if f.Version == 7 {
			b.store.fleet.Digests = append(f.Digests, thmember.ShortDigest(thconfig.Digest(b.store.tables)))
		}
		b.expect(0, "committed version", "zone", []string{"out", "in", "out"}[i], "otaru")
	}
}

// Guards against contradicting tables that recover cannot mend or mends in
// silence, and against another edit that takes them for right.
func TestRecoverMendsContradictingTables(t *testing.T) {
	b := newTestEnv(t)
	b.store.inconsistent = true
	b.expect(8, "digests differ", "zone", "out", "otaru", "--admin", b.admin)
	b.expect(0, "committed version 4", "recover", "--admin", b.admin)
	assert.Assert(t, strings.Contains(b.err.String(), "compare them with your table file"), b.err.String())
}

// Guards against a diff that differs from what apply commits, and against an apply over another operator's edit.
func TestDiffAndApply(t *testing.T) {
	b := newTestEnv(t)
	file := filepath.Join(t.TempDir(), "t.ini")
	target := b.store.tables
	target.Routes = slices.Clone(target.Routes[:3])
	target.Routes[0].Timeout = time.Second
	body, err := thtable.Format(target)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, body, 0o600))
	b.expect(0, "timeout: 10s -> 1s", "diff", file)
	assert.Assert(t, strings.Contains(b.out.String(), "remove route slots"))
	b.expect(0, "", "diff", file, "-o", "json")
	var v struct {
		Version uint64
		Edits   []map[string]any
	}
	assert.NilError(t, json.Unmarshal(b.out.Bytes(), &v))
	assert.Equal(t, len(v.Edits), 2)
	b.expect(4, "run diff again", "apply", file, "--base", "2")
	b.expect(0, "committed version 4", "apply", file, "--base", "3")
	assert.DeepEqual(t, b.store.tables.Routes, target.Routes)
	b.expect(3, "nothing to apply", "apply", file)
	b.expect(2, "open file", "apply", file+".missing")
}

// Guards against a subcommand without help, and against help reported as a failure.
func TestEveryCommandHasHelp(t *testing.T) {
	b := newTestEnv(t)
	var walk func(path []string, list []command)
	walk = func(path []string, list []command) {
		for _, c := range list {
			args := append(slices.Clone(path), c.name)
			b.expect(0, "Usage:", append(args, "--help")...)
			assert.Assert(t, len(c.long) > 20 || c.name == "route", "%v", args)
			walk(args, c.subcommands)
		}
	}
	walk(nil, commands(&session{}))
	b.expect(2, "Unknown command", "fly")
	b.expect(2, "not an IP number", "status", "--admin", "localhost:1")
	b.expect(0, "valid", "settings", "check", filepath.Join("..", "deploy", "ikaze-daemon.ini"))
	b.expect(2, "unknown section", "settings", "check", filepath.Join("..", "deploy", "ikaze.ini"))
}
