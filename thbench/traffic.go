package thbench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thload"
)

// Number of parts of a streamed response, and the gap between them in ms.
const (
	streamParts = 5
	streamGap   = 2
)

// traffic collects the calls of load generators that run in the background.
type traffic struct {
	mutex   sync.Mutex
	calls   []thload.Call
	errs    error
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// startTraffic starts the generators. The caller must call stop or wait.
func startTraffic(ctx context.Context, generators ...*thload.Generator) *traffic {
	ctx, cancel := context.WithCancel(ctx)
	t := &traffic{cancel: cancel}
	for _, g := range generators {
		g.Record = t.add
		t.running.Go(func() {
			if err := g.Run(ctx); err != nil {
				t.mutex.Lock()
				t.errs = errors.Join(t.errs, err)
				t.mutex.Unlock()
			}
		})
	}
	return t
}

func (t *traffic) add(c thload.Call) {
	t.mutex.Lock()
	t.calls = append(t.calls, c)
	t.mutex.Unlock()
}

// stop stops sending, waits for the calls in flight, and returns all calls.
func (t *traffic) stop() ([]thload.Call, error) {
	t.cancel()
	return t.wait()
}

// wait waits until the generators' time is over and returns all calls.
func (t *traffic) wait() ([]thload.Call, error) {
	t.running.Wait()
	t.cancel()
	return t.calls, t.errs
}

// streamedCalls returns a generator of idempotent calls with streamed responses, at rate
// calls per second.
func (s *system) streamedCalls(rate float64) *thload.Generator {
	return &thload.Generator{
		Targets: s.ingresses(), Path: fmt.Sprintf("%s/stream?parts=%d&gap=%d", s.routes.readPath, streamParts, streamGap),
		Rate: rate, Concurrency: 64, Timeout: 5 * time.Second, Parts: streamParts,
	}
}

// keyedCalls returns a generator of non-idempotent calls with idempotency keys, at rate
// calls per second.
func (s *system) keyedCalls(rate float64) *thload.Generator {
	return &thload.Generator{
		Targets: s.ingresses(), Path: s.routes.writePath, Method: "POST", Rate: rate, Concurrency: 32, Timeout: 5 * time.Second,
		NonIdempotent: true, IdempotencyKeys: true, MaxRetries: 1,
	}
}

// tally counts calls by result.
type tally struct {
	calls, good, notRun, wrong, other int
	failures                          map[string]int // calls that are not good, by description
}

func tallyCalls(calls []thload.Call) tally {
	t := tally{calls: len(calls), failures: map[string]int{}}
	for i := range calls {
		c := &calls[i]
		switch {
		case c.Succeeded():
			t.good++
			continue
		case c.Wrong:
			t.wrong++
		case c.Outcome == thload.OutcomeNotRun:
			t.notRun++
		default:
			t.other++
		}
		text := c.Error
		// Transport errors contain addresses and ports that differ in each call; only the
		// text after the last colon is kept.
		if i := strings.LastIndex(text, ": "); i >= 0 {
			text = text[i+2:]
		}
		t.failures[fmt.Sprintf("status=%d outcome=%q cut=%t dropped=%t error=%q", c.Status, c.Outcome, c.Cut, c.Dropped, text)]++
	}
	return t
}

// frequentFailures lists the three most frequent failures with their counts.
func (t *tally) frequentFailures() string {
	names := make([]string, 0, len(t.failures))
	for n := range t.failures {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int { return t.failures[b] - t.failures[a] })
	names = names[:min(3, len(names))]
	list := make([]string, 0, len(names))
	for _, n := range names {
		list = append(list, fmt.Sprintf("%d × %s", t.failures[n], n))
	}
	return strings.Join(list, "; ")
}

// String returns the counts on one line.
func (t *tally) String() string {
	return fmt.Sprintf("%d calls: %d good, %d refused as not run, %d wrong, %d others", t.calls, t.good, t.notRun, t.wrong, t.other)
}
