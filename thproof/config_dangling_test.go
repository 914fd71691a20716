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

// responseCounts counts responses by status and body. The load generator does not
// keep the body, which is the only place that names a missing pool.
type responseCounts struct {
	mu     sync.Mutex
	byText map[string]int
}

// sendCalls starts three loops per address that call the path until the context ends.
func (c *responseCounts) sendCalls(ctx context.Context, group *sync.WaitGroup, addresses []string, path string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 5 * time.Second}
	for i := range 3 * len(addresses) {
		group.Add(1)
		go func() {
			defer group.Done()
			for ctx.Err() == nil {
				text := "no response"
				if r, err := client.Get("http://" + addresses[i%len(addresses)] + path); err == nil {
					body, _ := io.ReadAll(io.LimitReader(r.Body, 200))
					r.Body.Close()
					text = fmt.Sprint(r.StatusCode)
					if r.StatusCode != http.StatusOK {
						text += " " + string(body)
					}
				}
				c.mu.Lock()
				if c.byText == nil {
					c.byText = map[string]int{}
				}
				c.byText[text]++
				c.mu.Unlock()
			}
		}()
	}
}

// missingRouteOrPool matches the responses to calls whose route or pool was not found.
var missingRouteOrPool = regexp.MustCompile(`^404|no backend server|does not exist|not of pool`)

// operator runs edit commands in sequence and stops at the first error.
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

// Guards against a route that takes effect before its pool is added or stays in
// effect after its pool is removed. Calls to a route that exists in every version
// must find its pool while operators replace pools and routes, daemons join and
// leave, and links are cut.
func TestRouteAlwaysFindsItsPool(t *testing.T) {
	f := deployWithLinks(t, &thfleet.Ishikari, time.Millisecond)
	for _, args := range [][]string{
		{"pool", "set", "stable-0", "--service", "slotboard", "--version", "1"},
		{"route", "set", "stable", "--path", "/stable", "--pool", "stable-0", "--repeat", "safe", "--timeout", "3s"},
	} {
		_, err := f.Command(t.Context(), append([]string{"--admin", f.Upstreams[0].Admin()}, append(args, "--wait", "5s")...)...)
		assert.NilError(t, err)
	}
	warmUp(t, f, "/slots/now")
	r := recordVersions(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	var group sync.WaitGroup
	var responses responseCounts
	responses.sendCalls(ctx, &group, ingressAddresses(upstreamsOf(f, "bookdesk")), "/stable/now")
	first, second := &operator{fleet: f}, &operator{fleet: f}
	group.Add(2)
	go func() {
		defer group.Done()
		for i := 1; ctx.Err() == nil && first.err == nil; i++ {
			first.run(ctx, "pool", "set", fmt.Sprint("stable-", i), "--service", "slotboard", "--version", "1")
			first.run(ctx, "route", "set", "stable", "--path", "/stable", "--pool", fmt.Sprint("stable-", i), "--repeat", "safe", "--timeout", "3s")
			first.run(ctx, "pool", "remove", fmt.Sprint("stable-", i-1))
		}
	}()
	go func() {
		defer group.Done()
		for i := 1; ctx.Err() == nil && second.err == nil; i++ {
			name := fmt.Sprint("extra-", i)
			second.run(ctx, "pool", "set", name, "--service", "rosterbook", "--version", "1")
			second.run(ctx, "route", "set", name, "--path", "/"+name, "--pool", name, "--repeat", "safe", "--timeout", "3s")
			second.run(ctx, "route", "remove", name)
			second.run(ctx, "pool", "remove", name)
		}
	}()
	restarted := upstreamsOf(f, "rosterbook")
	for i := 0; ctx.Err() == nil; i++ {
		u := restarted[i%len(restarted)]
		switch i % 3 {
		case 0:
			killDaemons(u)
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
	assert.NilError(t, first.err)
	assert.NilError(t, second.err)
	bad, all := 0, 0
	for text, n := range responses.byText {
		all += n
		if missingRouteOrPool.MatchString(text) {
			bad += n
		}
	}
	t.Logf("%d calls during %d and %d commits, %d without route or pool: %v", all, first.commits, second.commits, bad, responses.byText)
	assert.Equal(t, bad, 0)
	assert.Assert(t, responses.byText["200"] > all*9/10)
	r.requireConsistent(t, f)
}
