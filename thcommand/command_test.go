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

// fakeStore is a Store in memory.
type fakeStore struct {
	tables       thconfig.Tables
	changes      []thconfig.Change
	loseResponse bool  // the next Commit takes effect, but returns an error of kind Unknown
	failure      error // returned by all methods
	fleet        thstore.FleetVersion
	inconsistent bool // the tables don't have the digest of their head
}

func (s *fakeStore) Fleet(context.Context) (thstore.FleetVersion, error) { return s.fleet, s.failure }

func (s *fakeStore) Load(context.Context) (thconfig.Tables, []byte, error) {
	if s.inconsistent {
		return thconfig.Tables{}, nil, therror.New(therror.Diverged, "digests differ")
	}
	return s.tables, thconfig.Digest(s.tables), s.failure
}

func (s *fakeStore) Commit(_ context.Context, p Proposal) (thconfig.Change, error) {
	if s.failure != nil {
		return thconfig.Change{}, s.failure
	}
	if s.inconsistent != p.Repair {
		return thconfig.Change{}, therror.New(therror.Diverged, "digests differ: %t", s.inconsistent)
	}
	for _, c := range s.changes {
		if c.Request == p.Request {
			return c, nil
		}
	}
	edits, err := p.Edit(s.tables)
	if err != nil {
		return thconfig.Change{}, err
	}
	n, err := thconfig.Apply(s.tables, edits)
	if err != nil {
		return thconfig.Change{}, err
	}
	n.Version = max(n.Version, p.Above+1)
	if err := thconfig.Validate(n); err != nil {
		return thconfig.Change{}, err
	}
	c := thconfig.Change{Version: n.Version, Base: s.tables.Version, Request: p.Request, Digest: thconfig.Digest(n)}
	s.tables, s.changes = n, append(s.changes, c)
	if s.loseResponse {
		s.loseResponse = false
		return thconfig.Change{}, therror.New(therror.Unknown, "response lost")
	}
	return c, nil
}

// testEnv runs commands on a fakeStore and the admin interface of a daemon.
type testEnv struct {
	t              *testing.T
	store          *fakeStore
	program        Program
	stdout, stderr bytes.Buffer
	mu             sync.Mutex
	status         thadmin.Status
	pokes          int
	updatedOnPoke  []int // indexes of the members that a poke sets to the committed version
	admin          string
}

// newTestEnv returns a store with the sample tables of Ishikari at version 3 and the
// admin interface of a fleet in the zones sapporo and otaru.
func newTestEnv(t *testing.T) *testEnv {
	tables, err := thtable.Load(filepath.Join("..", "deploy", "ishikari.ini"))
	assert.NilError(t, err)
	tables.Version = 3
	env := &testEnv{t: t, store: &fakeStore{tables: tables}}
	settings := filepath.Join(t.TempDir(), "s.ini")
	assert.NilError(t, os.WriteFile(settings, []byte(thsettings.Sample), 0o600))
	env.program = Program{Out: &env.stdout, Err: &env.stderr, Settings: settings, Author: "tester", Clock: clockwork.NewFakeClock()}
	env.status = thadmin.Status{Self: thadmin.SelfStatus{Name: "a"}, Config: thadmin.ConfigStatus{Version: 3, Known: 3}}
	for _, m := range [][3]string{{"a", "sapporo", "slotboard"}, {"b", "otaru", "slotboard"}, {"c", "sapporo", "bookdesk"}} {
		env.status.Members = append(env.status.Members, thadmin.MemberEntry{
			Name: m[0], Zone: m[1], State: thadmin.StateAlive, Version: 3,
			Server: &thadmin.ServerEntry{Service: m[2], Version: "1", State: "ready"},
		})
	}
	server := httptest.NewServer((&thadmin.Admin{
		Status: func() thadmin.Status { env.mu.Lock(); defer env.mu.Unlock(); return env.status },
		Poke:   env.handlePoke,
	}).Handler())
	t.Cleanup(server.Close)
	env.admin = strings.TrimPrefix(server.URL, "http://")
	openStore := OpenStore
	OpenStore = func(thsettings.Settings) (Store, error) { return env.store, nil }
	t.Cleanup(func() { OpenStore = openStore })
	return env
}

func (e *testEnv) handlePoke() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pokes++
	for _, i := range e.updatedOnPoke {
		e.status.Members[i].Version = e.store.tables.Version
	}
}

// run runs a command line and returns its exit code. stdout and stderr then have the
// output of this run only.
func (e *testEnv) run(args ...string) int {
	e.stdout.Reset()
	e.stderr.Reset()
	return e.program.Run(context.Background(), args)
}

// expect runs a command line and checks its exit code, and that its output on stdout
// or stderr contains a text.
func (e *testEnv) expect(wantCode int, wantOutput string, args ...string) {
	e.t.Helper()
	exitCode := e.run(args...)
	assert.Equal(e.t, exitCode, wantCode, "%v: %s", args, e.stderr.String())
	assert.Assert(e.t, strings.Contains(e.stdout.String()+e.stderr.String(), wantOutput), "%v: %s%s", args, e.stdout.String(), e.stderr.String())
}

// Guards against commands that don't commit their edit, and against wrong exit codes of errors.
func TestEdits(t *testing.T) {
	env := newTestEnv(t)
	env.expect(0, "committed version 4", "pool", "set", "slots-two", "--service", "slotboard", "--version", "2")
	env.expect(0, "committed version 5", "route", "set", "slots", "--timeout", "1s")
	r, _ := env.store.tables.Route("slots")
	assert.Equal(t, r.Timeout, time.Second)
	assert.Equal(t, r.Pool, "slotboard", "an option left out changed its value")
	env.expect(3, `pool "slotboard" does not exist`, "pool", "remove", "slotboard")
	env.expect(3, `pool "none" does not exist`, "pool", "remove", "none")
	env.expect(2, "needs --path", "route", "set", "new")
	env.expect(2, "Invalid value", "route", "set", "slots", "--repeat", "twice")
	env.expect(3, "timeout", "route", "set", "slots", "--timeout", "11m")
	env.expect(0, "slots-two", "pool", "list")
	env.expect(0, "1s", "route", "list")
	env.expect(0, "committed version 6", "route", "remove", "roster")
	assert.Equal(t, env.store.changes[0].Request != env.store.changes[1].Request, true)
}

// Guards against a second move of a route, finished moves that remain after the
// next one starts, and a change of a route's pool during a move.
func TestMoves(t *testing.T) {
	env := newTestEnv(t)
	env.expect(0, "", "pool", "set", "slots-two", "--service", "slotboard", "--version", "2")
	env.expect(2, "--deadline", "move", "start", "slots", "slots-two", "--deadline", "soon")
	env.expect(2, "not in the future", "move", "start", "slots", "slots-two", "--deadline", "2001-01-01T00:00:00Z")
	env.expect(3, "does not exist", "move", "start", "slots", "none", "--deadline", "30m")
	env.expect(0, "committed version 5", "move", "start", "slots", "slots-two", "--deadline", "30m")
	m, found := env.store.tables.Move("slots-5")
	assert.Assert(t, found)
	assert.Equal(t, m.Deadline.Sub(m.Start), 30*time.Minute)
	env.expect(3, "is running", "move", "start", "slots", "slots-two", "--deadline", "30m")
	env.expect(3, "cancel the move first", "route", "set", "slots", "--pool", "slots-two")
	env.expect(3, "does not exist", "route", "remove", "slots")
	env.expect(0, "running", "move", "status", "slots")
	env.expect(0, "committed version 6", "move", "cancel", "slots")
	env.expect(3, "no running move", "move", "cancel", "slots")
	env.expect(0, "committed version 7", "move", "start", "slots", "slots-two", "-d", "30m")
	assert.Equal(t, len(env.store.tables.Moves), 1)
	assert.Equal(t, len(moveName(strings.Repeat("x", 63), 1<<60)), 63)
}

// Guards against a move to a version without running servers, which would only
// show as late at its deadline.
func TestMoveToPoolWithoutServersWarns(t *testing.T) {
	const warning = `warning: pool "slots-two" has no server: no live daemon has service "slotboard" version "2"`
	env := newTestEnv(t)
	env.expect(0, "", "pool", "set", "slots-two", "--service", "slotboard", "--version", "2")
	env.expect(0, warning, "move", "start", "slots", "slots-two", "--deadline", "30m", "--admin", env.admin)
	env.expect(0, "", "move", "cancel", "slots")
	env.status.Members[0].Server.Version = "2"
	env.expect(0, "committed", "move", "start", "slots", "slots-two", "--deadline", "30m", "--admin", env.admin)
	assert.Assert(t, !strings.Contains(env.stderr.String(), "warning"), env.stderr.String())
}

// Guards against showing 0% for a finished move, as if its new pool got no traffic.
func TestFinishedMoveShowsNoShare(t *testing.T) {
	env := newTestEnv(t)
	env.status.Moves = []thadmin.MoveEntry{
		{Name: "roster-3", Route: "roster", State: thconfig.MoveRunning, Share: 0.25, Step: 4},
		{Name: "slots-2", Route: "slots", State: thconfig.MoveDone},
	}
	env.expect(0, "25%", "move", "status", "roster", "--admin", env.admin)
	env.expect(0, "done", "move", "status", "slots", "--admin", env.admin)
	assert.Assert(t, !strings.Contains(env.stdout.String(), "%"), env.stdout.String())
}

// Guards against an operator who mistypes a zone or takes out the last servers of a pool.
func TestZoneOutNeedsForce(t *testing.T) {
	env := newTestEnv(t)
	env.expect(3, `pool "bookdesk" would have no server left`, "zone", "out", "sapporo", "--admin", env.admin)
	env.expect(3, `no daemon runs in zone "saporo"`, "zone", "out", "saporo", "--admin", env.admin)
	env.expect(0, "warning", "zone", "out", "sapporo", "--admin", env.admin, "--force")
	assert.Equal(t, env.pokes, 1)
	env.expect(3, "already out", "zone", "out", "sapporo")
	env.expect(0, "otaru", "zone", "list", "--admin", env.admin)
	env.expect(0, "committed version 5", "zone", "in", "sapporo")
	env.expect(3, "never taken out", "zone", "in", "otaru")
}

// Guards against a second commit when an operator retries a command after an unknown outcome.
func TestUnknownOutcomeIsRepeatable(t *testing.T) {
	env := newTestEnv(t)
	env.store.loseResponse = true
	env.expect(5, "--request", "zone", "out", "otaru")
	_, rest, _ := strings.Cut(env.stderr.String(), "--request ")
	id, _, _ := strings.Cut(rest, ":")
	env.expect(0, "an earlier command committed version 4", "zone", "out", "otaru", "--request", id)
	assert.Equal(t, len(env.store.changes), 1)
	env.store.failure = therror.New(therror.Down, "table service")
	env.expect(6, "down", "zone", "in", "otaru")
	env.store.failure = therror.New(therror.Conflict, "version 4 became 5")
	env.expect(4, "version 4 became 5", "zone", "in", "otaru")
}

// Guards against reporting success while live daemons still hold an older version.
func TestWait(t *testing.T) {
	env := newTestEnv(t)
	env.expect(2, "needs --admin", "zone", "out", "otaru", "--wait", "1s")
	clock := clockwork.NewFakeClock()
	env.program.Clock = clock
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(pollInterval)
		}
	}()
	env.updatedOnPoke = []int{0, 2}
	env.expect(9, "not in effect on 1 daemons: b", "zone", "out", "otaru", "--admin", env.admin, "--wait", "1s")
	assert.Assert(t, !strings.Contains(env.stderr.String(), "\x1b"), "progress shown without a terminal")
	env.status.Members[1].State = thadmin.StateDead
	env.expect(0, "in effect on every live daemon", "zone", "in", "otaru", "--admin", env.admin, "--wait", "1s")
	env.status.Members[1].State = thadmin.StateSuspect
	env.expect(9, "not in effect on 1 daemons: b", "zone", "out", "otaru", "--admin", env.admin, "--wait", "1s", "-o", "json")
	assert.Assert(t, strings.Contains(env.stdout.String(), `"lagging": [`))
}

// Guards against edits after the table was restored from a backup, which no daemon would accept.
func TestRestoredTableNeedsRecover(t *testing.T) {
	env := newTestEnv(t)
	env.status.Config.Known = 9
	env.expect(8, "turmerichaven recover", "zone", "out", "otaru", "--admin", env.admin)
	env.status.Config.Alarm = "diverged"
	env.expect(8, "turmerichaven recover", "zone", "out", "otaru", "--admin", env.admin)
	env.expect(8, "diverged", "status", "--admin", env.admin)
	assert.Equal(t, len(env.store.changes), 0)
	env.expect(2, "needs --admin", "recover")
	env.expect(0, "committed version 10", "recover", "--admin", env.admin)
	assert.Equal(t, env.store.changes[0].Base, uint64(3))
}

// Guards against a commit without --admin that no daemon accepts, because daemons
// announce a higher version than the head or the same version with other content.
// Edits must succeed if the announcements are older than the head.
func TestRestoredTableWithoutDaemon(t *testing.T) {
	env := newTestEnv(t)
	for _, f := range []thstore.FleetVersion{{Version: 4, Digests: []uint64{1}}, {Version: 3, Digests: []uint64{1, 2}}} {
		env.store.fleet = f
		env.expect(8, "turmerichaven recover", "zone", "out", "otaru")
		assert.Equal(t, len(env.store.changes), 0)
	}
	env.expect(0, "committed version 5", "recover", "--above", "4")
	for i, f := range []thstore.FleetVersion{{}, {Version: 2, Digests: []uint64{1}}, {Version: 7, Digests: []uint64{1}}} {
		env.store.fleet = f
		if f.Version == 7 {
			env.store.fleet.Digests = append(f.Digests, thmember.ShortDigest(thconfig.Digest(env.store.tables)))
		}
		env.expect(0, "committed version", "zone", []string{"out", "in", "out"}[i], "otaru")
	}
}

// Guards against tables with a wrong digest that the recover command can't repair or
// repairs without a warning, and against other commands that accept such tables.
func TestRecoverRepairsInconsistentTables(t *testing.T) {
	env := newTestEnv(t)
	env.store.inconsistent = true
	env.expect(8, "digests differ", "zone", "out", "otaru", "--admin", env.admin)
	env.expect(0, "committed version 4", "recover", "--admin", env.admin)
	assert.Assert(t, strings.Contains(env.stderr.String(), "compare them with your table file"), env.stderr.String())
}

// Guards against a diff that differs from the edits that apply commits, and against
// an apply that overwrites another operator's edit.
func TestDiffAndApply(t *testing.T) {
	env := newTestEnv(t)
	file := filepath.Join(t.TempDir(), "t.ini")
	target := env.store.tables
	target.Routes = slices.Clone(target.Routes[:3])
	target.Routes[0].Timeout = time.Second
	body, err := thtable.Format(target)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, body, 0o600))
	env.expect(0, "timeout: 10s -> 1s", "diff", file)
	assert.Assert(t, strings.Contains(env.stdout.String(), "remove route slots"))
	env.expect(0, "", "diff", file, "-o", "json")
	var v struct {
		Version uint64
		Edits   []map[string]any
	}
	assert.NilError(t, json.Unmarshal(env.stdout.Bytes(), &v))
	assert.Equal(t, len(v.Edits), 2)
	env.expect(4, "run diff again", "apply", file, "--base", "2")
	env.expect(0, "committed version 4", "apply", file, "--base", "3")
	assert.DeepEqual(t, env.store.tables.Routes, target.Routes)
	env.expect(3, "nothing to apply", "apply", file)
	env.expect(2, "open file", "apply", file+".missing")
}

// Guards against commands without help text, and against an error exit code of --help.
func TestEveryCommandHasHelp(t *testing.T) {
	env := newTestEnv(t)
	var walk func(path []string, list []command)
	walk = func(path []string, list []command) {
		for _, c := range list {
			args := append(slices.Clone(path), c.name)
			env.expect(0, "Usage:", append(args, "--help")...)
			assert.Assert(t, len(c.long) > 20 || c.name == "route", "%v", args)
			walk(args, c.subcommands)
		}
	}
	walk(nil, commands(&session{}))
	env.expect(2, "Unknown command", "fly")
	env.expect(2, "not an IP number", "status", "--admin", "localhost:1")
	env.expect(0, "valid", "settings", "check", filepath.Join("..", "deploy", "ikaze-daemon.ini"))
	env.expect(2, "unknown section", "settings", "check", filepath.Join("..", "deploy", "ikaze.ini"))
}
