package thload

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thbackend"
)

// load runs the generator against a handler and returns the recorded calls.
func load(t *testing.T, g *Generator, h http.HandlerFunc) []Call {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	var mutex sync.Mutex
	var calls []Call
	g.Record = func(c Call) {
		mutex.Lock()
		defer mutex.Unlock()
		calls = append(calls, c)
	}
	g.Targets = []string{server.Listener.Addr().String()}
	assert.NilError(t, g.Run(context.Background()))
	return calls
}

// Guards against lost calls, duplicate request ids, and counts that differ from the
// recorded calls.
func TestEveryCallIsRecorded(t *testing.T) {
	b := &thbackend.Backend{}
	g := &Generator{Path: "/stream?parts=3&gap=1", Parts: 3, Rate: 500, Duration: 200 * time.Millisecond}
	calls := load(t, g, b.ServeHTTP)
	assert.Equal(t, len(calls), 100)
	ids, sum := map[string]bool{}, 0
	for i := range calls {
		ids[calls[i].ID] = true
		assert.Assert(t, calls[i].Succeeded(), "%+v", calls[i])
	}
	for _, s := range g.StatsBySecond() {
		sum += s.Good
	}
	assert.Equal(t, len(ids), 100)
	assert.Equal(t, sum, 100)
	assert.Equal(t, g.Histogram(time.Time{}, time.Time{}).TotalCount(), int64(100))
}

// Guards against a closed loop: a slow server must not reduce the rate, and the time
// in the generator's queue must count as latency.
func TestOpenLoop(t *testing.T) {
	g := &Generator{Path: "/", Rate: 100, Duration: 100 * time.Millisecond, Concurrency: 1}
	calls := load(t, g, (&thbackend.Backend{ProcessingTime: 30 * time.Millisecond}).ServeHTTP)
	assert.Equal(t, len(calls), 10)
	last := calls[len(calls)-1]
	assert.Assert(t, last.End.Sub(last.Due) > 100*time.Millisecond, "%+v", last)
}

// Guards against cancelling calls in progress at the end of a run, which would look
// like failures of the mesh.
func TestEndCutsNoCall(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cancel()
		time.Sleep(20 * time.Millisecond)
		w.Write(thbackend.ResponsePart(r.Header.Get("X-Request-Id"), 0))
	}))
	defer server.Close()
	g := &Generator{Path: "/", Rate: 100, Targets: []string{server.Listener.Addr().String()}}
	assert.NilError(t, g.Run(ctx))
	for _, s := range g.StatsBySecond() {
		assert.Assert(t, s.Calls > 0 && s.Good == s.Calls, "%+v", s)
	}
}

// Guards against counting a foreign, incomplete, empty or truncated response as
// successful.
func TestResponsesAreChecked(t *testing.T) {
	responses := map[string]http.HandlerFunc{
		"another caller's": func(w http.ResponseWriter, _ *http.Request) { w.Write(thbackend.ResponsePart("other", 0)) },
		"short": func(w http.ResponseWriter, r *http.Request) {
			w.Write(thbackend.ResponsePart(r.Header.Get("X-Request-Id"), 0))
		},
		"empty": func(http.ResponseWriter, *http.Request) {},
		"truncated": func(w http.ResponseWriter, r *http.Request) {
			w.Write(thbackend.ResponsePart(r.Header.Get("X-Request-Id"), 0))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	for name, h := range responses {
		calls := load(t, &Generator{Path: "/", Parts: 2, Rate: 100, Duration: 10 * time.Millisecond}, h)
		assert.Equal(t, len(calls), 1)
		c := calls[0]
		assert.Assert(t, !c.Succeeded(), name)
		assert.Equal(t, c.Wrong, name != "truncated", name)
		assert.Equal(t, c.Cut, name == "truncated", name)
	}
}

// Guards against retries with another key, and against retries after a known outcome.
func TestRetriesKeepTheKey(t *testing.T) {
	var keys sync.Map
	g := &Generator{Path: "/", Rate: 100, Duration: 10 * time.Millisecond, IdempotencyKeys: true, MaxRetries: 3}
	calls := load(t, g, func(w http.ResponseWriter, r *http.Request) {
		_, seen := keys.LoadOrStore(r.Header.Get("Idempotency-Key"), true)
		if !seen {
			w.Header().Set("Th-Outcome", OutcomeUnknown)
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		w.Write(thbackend.ResponsePart(r.Header.Get("X-Request-Id"), 0))
	})
	assert.Equal(t, len(calls), 2)
	assert.Equal(t, calls[0].Key, calls[1].Key)
	assert.Assert(t, calls[0].ID != calls[1].ID && calls[1].Succeeded())
}

// Guards against net/http's automatic retry after a failed keep-alive connection,
// which would look like a call that the mesh ran twice.
func TestClientDoesNotRepeat(t *testing.T) {
	var mutex sync.Mutex
	runs := map[string]int{}
	g := &Generator{Path: "/", Method: http.MethodPost, Rate: 100, Duration: 100 * time.Millisecond, Concurrency: 1, IdempotencyKeys: true, NonIdempotent: true}
	calls := load(t, g, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		mutex.Lock()
		runs[id]++
		aborts := len(runs)%2 == 0
		mutex.Unlock()
		if aborts {
			panic(http.ErrAbortHandler)
		}
		w.Write(thbackend.ResponsePart(id, 0))
	})
	assert.Equal(t, len(calls), 10)
	for id, n := range runs {
		assert.Equal(t, n, 1, id)
	}
}
