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

// commandRun is one run of an edit command.
type commandRun struct {
	request string
	args    []string
	commandResult
}

// runCommands runs the commands at once; those in kill are killed after a random
// time in which a commit takes place.
func runCommands(t *testing.T, f *thfleet.Fleet, random *rand.Rand, all []*commandRun, isKilled func(int) bool) {
	t.Helper()
	var group sync.WaitGroup
	for i, a := range all {
		timeout := time.Minute
		if isKilled(i) {
			timeout = time.Duration(5+random.IntN(60)) * time.Millisecond
		}
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			args := append([]string{"--output", "json"}, append(a.args, "--request", a.request)...)
			out, code, err := f.Commander(ctx, args...)
			if err != nil {
				code = -1
			}
			a.commandResult = parseResult(out, code)
		}()
	}
	group.Wait()
}

// requireMatchesChangeLog compares what the commands told with the change log.
func requireMatchesChangeLog(t *testing.T, f *thfleet.Fleet, all []*commandRun) {
	t.Helper()
	committed := map[string][]uint64{}
	for _, c := range readChangeLog(t, f) {
		committed[c.Request] = append(committed[c.Request], c.Version)
	}
	for _, a := range all {
		v := committed[a.request]
		assert.Assert(t, len(v) <= 1, "request %s was committed as %v", a.request, v)
		what := fmt.Sprintf("%v: exit code %d, committed as %v: %s", a.args, a.exitCode, v, a.output)
		switch a.exitCode {
		case 0:
			assert.Equal(t, len(v), 1, what)
			assert.Equal(t, a.Version, v[0], what)
		case 3, 4, 6:
			assert.Equal(t, len(v), 0, what)
		case 5:
			assert.Assert(t, strings.Contains(a.output, "--request "+a.request), what)
		case -1: // killed
		default:
			t.Fatal(what)
		}
	}
}

// Guards against operators at the same time whose commands tell something else
// than what was committed, and against a command that is committed twice: with
// lost answers of the table service and commands killed in the middle.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
	assert.NilError(t, err)
	random := rand.New(rand.NewPCG(*seed, 5))
	codes := map[int]int{}
	repeated := 0
	for round := range 60 {
		var all []*commandRun
		add := func(args ...string) {
			all = append(all, &commandRun{request: fmt.Sprintf("r%d-%d", round, len(all)), args: args})
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
			// Removal of the pool needs the route of the round before gone; that
			// route may have been refused.
			out, code, err := f.Commander(t.Context(), "route", "remove", "shared")
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
					_ = thfleet.Fault(t.Context(), f.PlatformAddress(), map[string]any{"table": map[string]any{"lost": lost}})
					select {
					case <-stop:
						_ = thfleet.Fault(t.Context(), f.PlatformAddress(), map[string]any{"table": map[string]any{}})
						return
					case <-time.After(time.Duration(10+round) * time.Millisecond):
					}
				}
			}()
		}
		runCommands(t, f, random, all, func(i int) bool { return round%4 >= 2 && i%3 == 0 })
		close(stop)
		toggler.Wait()
		requireMatchesChangeLog(t, f, all)
		var again []*commandRun
		for _, a := range all {
			codes[a.exitCode]++
			if a.exitCode == 0 || a.exitCode == 5 || a.exitCode == -1 {
				again = append(again, &commandRun{request: a.request, args: a.args})
			}
		}
		repeated += len(again)
		runCommands(t, f, random, again, func(int) bool { return false })
		requireMatchesChangeLog(t, f, again)
	}
	t.Logf("exit codes of the first runs (-1 is killed): %v; %d repeated with their request id", codes, repeated)
	assert.Assert(t, codes[0] > 0 && codes[-1] > 0)
}
