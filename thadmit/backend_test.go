package thadmit_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmit"
	"github.com/turmerichaven/turmerichaven/thbackend"
)

// runCallers sends calls through the gate from the given number of concurrent
// callers for a duration, and returns the number of calls that the backend handled.
func runCallers(g *thadmit.Gate, b *thbackend.Backend, callers int, duration time.Duration) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var handled atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				p, err := g.Enter(ctx)
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				start := time.Now()
				w := httptest.NewRecorder()
				b.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
				p.Done(time.Since(start), w.Code == http.StatusOK)
				handled.Add(1)
			}
		})
	}
	wg.Wait()
	return handled.Load()
}

// Guards against overloading a cold server, at its start or when it becomes cold
// later, and against a limit that doesn't recover afterwards. The number of callers
// would overload even a warm server.
func TestColdBackend(t *testing.T) {
	for _, slots := range []int{5, 20} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			t.Parallel()
			b := &thbackend.Backend{Slots: slots, ProcessingTime: 5 * time.Millisecond, WarmupRequests: 200}
			g := &thadmit.Gate{Slots: slots}
			n := runCallers(g, b, 2*slots, 4*time.Second)
			s := b.Summary()
			t.Logf("cold start: handled=%d %+v load=%+v", n, s, g.Load())
			assert.Assert(t, !s.Cold && s.Overloads == 0)
			before := s.Strained
			assert.Assert(t, before < 60)
			assert.Assert(t, g.Load().Limit >= slots*3/4)
			b.SetCold()
			n = runCallers(g, b, 2*slots, 4*time.Second)
			s = b.Summary()
			t.Logf("suddenly cold: handled=%d strained=%d %+v load=%+v", n, s.Strained-before, s, g.Load())
			assert.Assert(t, s.Strained-before < 60+3*slots)
			assert.Assert(t, !s.Cold && s.Overloads == 0)
		})
	}
}
