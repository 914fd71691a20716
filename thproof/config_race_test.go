package thproof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thfleet"
)

// commandRun is one run of an edit command and its result.
type commandRun struct {
	request string
	args    []string
	commandResult
}

// runCommands runs the commands concurrently. Those for which isKilled reports true are
// killed after 5 to 64 ms, a range in which a commit takes place.
func runCommands(t *testing.T, f *thfleet.Fleet, random *rand.Rand, commands []*commandRun, isKilled func(int) bool) {
	t.Helper()
	var group sync.WaitGroup
	for i, run := range commands {
		timeout := time.Minute
		if isKilled(i) {
			timeout = time.Duration(5+random.IntN(60)) * time.Millisecond
		}
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			args := append([]string{"--output", "json"}, append(run.args, "--request", run.request)...)
			out, code, err := f.RunCommand(ctx, args...)
			if err != nil {
				code = -1
			}
			run.commandResult = parseResult(out, code)
		}()
	}
	group.Wait()
}

// requireMatchesChangeLog fails the test when the result of a command contradicts the
// change log, or when a request was committed more than once.
func requireMatchesChangeLog(t *testing.T, f *thfleet.Fleet, commands []*commandRun) {
	t.Helper()
	committed := map[string][]uint64{}
	for _, c := range readChangeLog(t, f) {
		committed[c.Request] = append(committed[c.Request], c.Version)
	}
	for _, run := range commands {
		versions := committed[run.request]
		assert.Assert(t, len(versions) <= 1, "request %s was committed as %v", run.request, versions)
		what := fmt.Sprintf("%v: exit code %d, committed as %v: %s", run.args, run.exitCode, versions, run.output)
		switch run.exitCode {
		case 0:
			assert.Equal(t, len(versions), 1, what)
			assert.Equal(t, run.Version, versions[0], what)
		case 3, 4, 6:
			assert.Equal(t, len(versions), 0, what)
		case 5:
			assert.Assert(t, strings.Contains(run.output, "--request "+run.request), what)
		case -1: // killed
		default:
			t.Fatal(what)
		}
	}
}

// Guards against concurrent edit commands that report a result other than what was
// committed, and against a command that is committed twice. Responses of the table
// service are lost, commands are killed while they run, and commands are repeated with
// the same request id.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
	assert.NilError(t, err)
	random := rand.New(rand.NewPCG(*seed, 5))
	codes := map[int]int{}
	repeated := 0
	for round := range 60 {
		var commands []*commandRun
		add := func(args ...string) {
			commands = append(commands, &commandRun{request: fmt.Sprintf("r%d-%d", round, len(commands)), args: args})
		}
		value := func(i int) string { return fmt.Sprintf("%d.%d", round, i) }
		for i := range 2 {
			add("pool", "set", "shared", "--service", "shared", "--version", value(i))
			add("pool", "set", fmt.Sprint("own-", i), "--service", "own", "--version", value(i))
		}
		if round%2 == 0 {
			add("pool", "remove", "shared")
			add("pool", "remove", "shared")
		} else {
			add("pool", "set", "own-2", "--service", "own", "--version", value(2))
			add("route", "set", "shared", "--path", "/shared", "--pool", "shared", "--repeat", "safe", "--timeout", fmt.Sprint(round+1)+"s")
		}
		if round%2 == 0 && round > 0 {
			// The pool can be removed only after the route of the previous round, which
			// exists unless its command was rejected.
			out, code, err := f.RunCommand(t.Context(), "route", "remove", "shared")
			assert.NilError(t, err)
			assert.Assert(t, code == 0 || strings.Contains(out, "absent: route"), out)
		}
		stop := make(chan struct{})
		var toggler sync.WaitGroup
		if round%3 != 0 {
			toggler.Add(1)
			go func() {
				defer toggler.Done()
				for lost := true; ; lost = !lost {
					_ = thfleet.SetFault(t.Context(), f.PlatformAddress(), map[string]any{"table": map[string]any{"lost": lost}})
					select {
					case <-stop:
						_ = thfleet.SetFault(t.Context(), f.PlatformAddress(), map[string]any{"table": map[string]any{}})
						return
					case <-time.After(time.Duration(10+round) * time.Millisecond):
					}
				}
			}()
		}
		runCommands(t, f, random, commands, func(i int) bool { return round%4 >= 2 && i%3 == 0 })
		close(stop)
		toggler.Wait()
		requireMatchesChangeLog(t, f, commands)
		var repeats []*commandRun
		for _, run := range commands {
			codes[run.exitCode]++
			if run.exitCode == 0 || run.exitCode == 5 || run.exitCode == -1 {
				repeats = append(repeats, &commandRun{request: run.request, args: run.args})
			}
		}
		repeated += len(repeats)
		runCommands(t, f, random, repeats, func(int) bool { return false })
		requireMatchesChangeLog(t, f, repeats)
	}
	t.Logf("exit codes of the first runs (-1 is killed): %v; %d repeated with the same request id", codes, repeated)
	assert.Assert(t, codes[0] > 0 && codes[-1] > 0)
}
