package thproof

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

const (
	slowWork = 50 * time.Millisecond // of a call; few calls fill the slots
	// queueLimit is the design's bound of a call's time in one queue.
	queueLimit = 50 * time.Millisecond
	// attemptsMost is the number of servers that the mesh may try for a call.
	attemptsMost = 4
)

// between returns the calls that were due in a window.
func (c *calls) between(from, to time.Time) []thload.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []thload.Call
	for _, k := range c.all {
		if !k.Due.Before(from) && k.Due.Before(to) {
			all = append(all, k)
		}
	}
	return all
}

// quantile returns the time of calls that match, from their start.
func quantile(all []thload.Call, q float64, match func(*thload.Call) bool) time.Duration {
	var list []time.Duration
	for i := range all {
		if match(&all[i]) {
			list = append(list, all[i].End.Sub(all[i].Start))
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func goodOf(all []thload.Call) int {
	n := 0
	for i := range all {
		if all[i].Succeeded() {
			n++
		}
	}
	return n
}

// Guards against overload that lowers the answered calls, refusals that are
// late, untrue or without Retry-After, answers that wait longer than the queue
// allows, and servers that get more calls than their slots.
func TestTwiceTheLoad(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, slowWork)
	warm(t, f, "/slots/now")
	const window = 4 * time.Second
	capacity := float64(3*thfleet.Ishikari.Slots) / slowWork.Seconds()
	var both []thload.Call
	run := func(rate float64) []thload.Call {
		r := send(t, f, &thload.Generator{Path: "/slots/now", Rate: rate, Concurrency: 1500})
		time.Sleep(time.Second) // the limits and the retry budgets settle
		from := time.Now()
		time.Sleep(window)
		to := time.Now()
		r.stop(t)
		both = append(both, r.all...)
		return r.between(from, to)
	}
	full := run(capacity)
	time.Sleep(time.Second)
	twice := run(2 * capacity)
	refused := func(c *thload.Call) bool { return c.Outcome == thload.OutcomeNotRun }
	p99 := quantile(twice, 0.99, (*thload.Call).Succeeded)
	t.Logf("capacity %.0f/s; at full load %d of %d answered, p99 %s; at twice %d of %d answered, p99 %s, refusals p50 %s p99 %s",
		capacity, goodOf(full), len(full), quantile(full, 0.99, (*thload.Call).Succeeded),
		goodOf(twice), len(twice), p99, quantile(twice, 0.5, refused), quantile(twice, 0.99, refused))
	all := calls{all: both}
	t.Logf("not answered: %v", all.kinds())
	for i := range both {
		c := &both[i]
		assert.Assert(t, c.Succeeded() || refused(c) && c.Retry != "" && (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests),
			"status=%d outcome=%q retry=%q error=%q", c.Status, c.Outcome, c.Retry, c.Error)
	}
	all.requireHeld(t, f)
	over := thcheck.CheckPeaks(records(t, f), thfleet.Ishikari.Slots)
	assert.Assert(t, len(over) == 0, "%v", over)
	assert.Assert(t, float64(goodOf(twice)) >= 0.8*float64(goodOf(full)))
	// A call may wait in the queue of each server that it tries.
	assert.Assert(t, p99 <= slowWork+attemptsMost*queueLimit)
	assert.Assert(t, quantile(twice, 0.99, refused) <= attemptsMost*queueLimit)
}

// Guards against chains whose levels each repeat a failing call, so that the
// tries multiply with the depth: the last service breaks half of its calls after they ran.
func TestChainsDoNotMultiplyTries(t *testing.T) {
	d, path := chain(t, 10)
	f := deploy(t, d, 2*time.Millisecond)
	g := &thload.Generator{Targets: ingresses(f), Path: path, Rate: 50, Duration: 4 * time.Second, Concurrency: 4}
	assert.NilError(t, g.Run(t.Context()))
	for _, u := range serviceOf(f, "s9") {
		assert.NilError(t, thfleet.SetFault(t.Context(), u.ServerAddress(), thbackend.Fault{Share: 0.5, Drop: true}))
	}
	const window = 5 * time.Second
	r := send(t, f, &thload.Generator{Path: path, Rate: 50, Timeout: 2 * time.Second})
	time.Sleep(window)
	r.stop(t)
	r.requireHeld(t, f)
	ids := map[string]bool{}
	for i := range r.all {
		ids[r.all[i].ID] = true
	}
	tries, reached := 0, map[string]bool{}
	for _, k := range records(t, f) {
		if k.Service == "s9" && ids[first(k.ID)] && strings.HasSuffix(k.ID, ".0") {
			tries++
			reached[k.ID] = true
		}
	}
	// The retry budget: 20% of first calls, earlier ones included, and 3 a second
	// in each of the two daemons whose backend servers call the last service, with
	// a second's worth at the start.
	most := float64(len(r.all)) + 0.2*(float64(len(r.all))+g.Rate*g.Duration.Seconds()) + 2*3*(window.Seconds()+1)
	t.Logf("%d tries of the last service for %d chains, %d reached it; others %v", tries, len(r.all), len(reached), r.kinds())
	assert.Assert(t, float64(tries) <= most, "%d tries, at most %.0f", tries, most)
	assert.Assert(t, float64(len(reached)) >= 0.8*float64(len(r.all)))
	assert.Assert(t, tries > len(reached), "no call was tried again")
}

// first returns the id of the call that began a chain.
func first(id string) string {
	id, _, _ = strings.Cut(id, ".")
	return id
}

// chain returns a deployment of services that call each other in turn, and the
// path of a call through all of them.
func chain(t *testing.T, levels int) (*thfleet.Deployment, string) {
	t.Helper()
	var text strings.Builder
	var paths []string
	d := &thfleet.Deployment{
		Name: "chain", Region: "hokkaido", Zones: []string{"sapporo", "otaru"}, Slots: 20,
	}
	for i := range levels {
		name := fmt.Sprintf("s%d", i)
		d.Services = append(d.Services, thfleet.Service{Name: name, Upstreams: 2})
		paths = append(paths, "/"+name+"/chain")
		fmt.Fprintf(&text, "[pool %s]\nservice = %s\nversion = 1\n\n[route %s]\npath = /%s\npool = %s\nclass = chain\nrepeat = safe\ntimeout = 5s\n\n",
			name, name, name, name, name)
	}
	d.TablesFile = filepath.Join(t.TempDir(), "chain.ini")
	assert.NilError(t, os.WriteFile(d.TablesFile, []byte(text.String()), 0o600))
	return d, fmt.Sprintf("%s?depth=%d&next=%s", paths[0], levels-1, strings.Join(append(paths[1:], paths[0]), ","))
}
