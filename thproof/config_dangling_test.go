package thproof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thfleet"
)

// answers counts answers by status and text. The load generator keeps no text,
// and a missing pool shows only there.
type answers struct {
	mu     sync.Mutex
	counts map[string]int
}

// ask sends calls to a path in loops until the context ends.
func (a *answers) ask(ctx context.Context, group *sync.WaitGroup, addresses []string, path string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 5 * time.Second}
	for i := range 3 * len(addresses) {
		group.Add(1)
		go func() {
			defer group.Done()
			for ctx.Err() == nil {
				text := "no answer"
				if r, err := client.Get("http://" + addresses[i%len(addresses)] + path); err == nil {
					body, _ := io.ReadAll(io.LimitReader(r.Body, 200))
					r.Body.Close()
					text = fmt.Sprint(r.StatusCode)
					if r.StatusCode != http.StatusOK {
						text += " " + string(body)
					}
				}
				a.mu.Lock()
				if a.counts == nil {
					a.counts = map[string]int{}
				}
				a.counts[text]++
				a.mu.Unlock()
			}
		}()
	}
}

// missing matches the answers to calls whose route or pool was not found.
var missing = regexp.MustCompile(`^404|no backend server|does not exist|not of pool`)

// operator runs edit commands one after the other; each must succeed.
type operator struct {
	fleet   *thfleet.Fleet
	err     error
	commits int
}

func (o *operator) run(ctx context.Context, args ...string) {
	if o.err != nil || ctx.Err() != nil {
		return
	}
	if _, err := o.fleet.Command(context.WithoutCancel(ctx), args...); err != nil {
		o.err = err
		return
	}
	o.commits++
}

// Guards against a route in effect before its pool, or after it: calls to a
// route that exists at every version must find the pool while operators replace
// pools and routes, daemons join and leave, and links are cut.
func TestRouteAlwaysFindsItsPool(t *testing.T) {
	f := deployLinked(t, &thfleet.Ishikari, time.Millisecond)
	for _, args := range [][]string{
		{"pool", "set", "stable-0", "--service", "slotboard", "--version", "1"},
		{"route", "set", "stable", "--path", "/stable", "--pool", "stable-0", "--repeat", "safe", "--timeout", "3s"},
	} {
		_, err := f.Command(t.Context(), append([]string{"--admin", f.Upstreams[0].Admin()}, append(args, "--wait", "5s")...)...)
		assert.NilError(t, err)
	}
	warm(t, f, "/slots/now")
	r := record(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	var group sync.WaitGroup
	var a answers
	a.ask(ctx, &group, addresses(serviceOf(f, "bookdesk")), "/stable/now")
	one, two := &operator{fleet: f}, &operator{fleet: f}
	group.Add(2)
	go func() {
		defer group.Done()
		for i := 1; ctx.Err() == nil && one.err == nil; i++ {
			one.run(ctx, "pool", "set", fmt.Sprint("stable-", i), "--service", "slotboard", "--version", "1")
			one.run(ctx, "route", "set", "stable", "--path", "/stable", "--pool", fmt.Sprint("stable-", i), "--repeat", "safe", "--timeout", "3s")
			one.run(ctx, "pool", "remove", fmt.Sprint("stable-", i-1))
		}
	}()
	go func() {
		defer group.Done()
		for i := 1; ctx.Err() == nil && two.err == nil; i++ {
			name := fmt.Sprint("extra-", i)
			two.run(ctx, "pool", "set", name, "--service", "rosterbook", "--version", "1")
			two.run(ctx, "route", "set", name, "--path", "/"+name, "--pool", name, "--repeat", "safe", "--timeout", "3s")
			two.run(ctx, "route", "remove", name)
			two.run(ctx, "pool", "remove", name)
		}
	}()
	churn := serviceOf(f, "rosterbook")
	for i := 0; ctx.Err() == nil; i++ {
		u := churn[i%len(churn)]
		switch i % 3 {
		case 0:
			kill(u)
			assert.NilError(t, u.StartDaemon())
		case 1:
			assert.NilError(t, u.Daemon.Stop(20*time.Second))
			assert.NilError(t, u.StartDaemon())
		case 2:
			u = f.Upstreams[i%6]
			u.PeerLink.Disconnect()
			time.Sleep(200 * time.Millisecond)
			assert.NilError(t, u.PeerLink.Restore())
		}
		time.Sleep(300 * time.Millisecond)
	}
	group.Wait()
	assert.NilError(t, one.err)
	assert.NilError(t, two.err)
	bad, all := 0, 0
	for text, n := range a.counts {
		all += n
		if missing.MatchString(text) {
			bad += n
		}
	}
	t.Logf("%d calls during %d and %d commits, %d without route or pool: %v", all, one.commits, two.commits, bad, a.counts)
	assert.Equal(t, bad, 0)
	assert.Assert(t, a.counts["200"] > all*9/10)
	r.requireConsistent(t, f)
}
