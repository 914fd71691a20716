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

// attempt is one run of an edit command.
type attempt struct {
	request string
	args    []string
	outcome
}

// runAll runs the commands at once; those in kill are killed after a random
// time in which a commit takes place.
func runAll(t *testing.T, f *thfleet.Fleet, random *rand.Rand, all []*attempt, killed func(int) bool) {
	t.Helper()
	var group sync.WaitGroup
	for i, a := range all {
		life := time.Minute
		if killed(i) {
			life = time.Duration(5+random.IntN(60)) * time.Millisecond
		}
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(t.Context(), life)
			defer cancel()
			args := append([]string{"--output", "json"}, append(a.args, "--request", a.request)...)
			out, code, err := f.RunCommand(ctx, args...)
			if err != nil {
				code = -1
			}
			a.outcome = parseOutcome(out, code)
		}()
	}
	group.Wait()
}

// requireTrue compares what the commands told with the change log.
func requireTrue(t *testing.T, f *thfleet.Fleet, all []*attempt) {
	t.Helper()
	committed := map[string][]uint64{}
	for _, c := range changeLog(t, f) {
		committed[c.Request] = append(committed[c.Request], c.Version)
	}
	for _, a := range all {
		v := committed[a.request]
		assert.Assert(t, len(v) <= 1, "request %s was committed as %v", a.request, v)
		what := fmt.Sprintf("%v: exit code %d, committed as %v: %s", a.args, a.code, v, a.text)
		switch a.code {
		case 0:
			assert.Equal(t, len(v), 1, what)
			assert.Equal(t, a.Version, v[0], what)
		case 3, 4, 6:
			assert.Equal(t, len(v), 0, what)
		case 5:
			assert.Assert(t, strings.Contains(a.text, "--request "+a.request), what)
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
	f := fleet(t)
	_, err := f.Command(t.Context(), "apply", tablesOf(&thfleet.Ishikari))
	assert.NilError(t, err)
	random := rand.New(rand.NewPCG(*seed, 5))
	codes := map[int]int{}
	repeated := 0
	for round := range 60 {
		var all []*attempt
		add := func(args ...string) {
			all = append(all, &attempt{request: fmt.Sprintf("r%d-%d", round, len(all)), args: args})
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
		runAll(t, f, random, all, func(i int) bool { return round%4 >= 2 && i%3 == 0 })
		close(stop)
		toggler.Wait()
		requireTrue(t, f, all)
		var again []*attempt
		for _, a := range all {
			codes[a.code]++
			if a.code == 0 || a.code == 5 || a.code == -1 {
				again = append(again, &attempt{request: a.request, args: a.args})
			}
		}
		repeated += len(again)
		runAll(t, f, random, again, func(int) bool { return false })
		requireTrue(t, f, again)
	}
	t.Logf("exit codes of the first runs (-1 is killed): %v; %d repeated with their request id", codes, repeated)
	assert.Assert(t, codes[0] > 0 && codes[-1] > 0)
}
