package thproxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Load: more large responses than the link can send, and clients who return after a rejection
// when their objective has passed. Guards against late responses that are sent in place of new
// ones, so that all become late: in a play of such a day 204 of 4,393 were in time.
func TestLateDownloadsGoLast(t *testing.T) {
	d, clock := newDownloads()
	deadline := clock.Now().Add(5 * time.Second)
	enter := func(late bool, priority int) *Download {
		o := &thwire.Open{Route: "download", Late: late, Priority: priority}
		if !late {
			o.Goal = int64(downloadGoal)
		}
		x, err := d.enter(o, deadline)
		assert.NilError(t, err)
		return x
	}
	for range 4 {
		enter(true, 1)
	}
	waiting := len(d.queue)
	assert.Assert(t, waiting > 0)
	first := enter(false, 1)
	urgent := enter(true, 0)
	second := enter(false, 1)
	assert.Equal(t, d.queue[0], urgent)
	assert.Equal(t, d.queue[1], first)
	assert.Equal(t, d.queue[2], second)
	assert.Equal(t, len(d.queue), waiting+3)
	assert.Assert(t, d.queue[3].late)
}

// Guards against a link that looks idle although the responses to callers fill it: callers of
// an ingress are reached over the same link as the other daemons.
func TestResponsesToCallersCountOnTheLink(t *testing.T) {
	const size = 90 << 10
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	}))
	m.ingress.Link = &thwire.Link{Speed: 10, Clock: clockwork.NewFakeClock()}
	_, body, err := do(t, m.client, "GET", m.front.URL+"/x", nil)
	assert.NilError(t, err)
	assert.Equal(t, len(body), size)
	queued := m.ingress.Link.Queued()
	assert.Assert(t, queued > size*9/10 && queued < size*11/10, "%d bytes", queued)
}
