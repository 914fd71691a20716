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

// Parts of a streamed answer and the gap between them in ms.
const (
	streamParts = 5
	streamGap   = 2
)

// traffic is the calls of load generators that run in the background.
type traffic struct {
	mutex   sync.Mutex
	calls   []thload.Call
	failed  error
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// startTraffic starts the generators.
func startTraffic(ctx context.Context, generators ...*thload.Generator) *traffic {
	ctx, cancel := context.WithCancel(ctx)
	t := &traffic{cancel: cancel}
	for _, g := range generators {
		g.Record = t.add
		t.running.Go(func() {
			if err := g.Run(ctx); err != nil {
				t.mutex.Lock()
				t.failed = errors.Join(t.failed, err)
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

// stop stops the sending and returns the calls once all are answered.
func (t *traffic) stop() ([]thload.Call, error) {
	t.cancel()
	return t.wait()
}

// wait returns the calls once the generators' time is over.
func (t *traffic) wait() ([]thload.Call, error) {
	t.running.Wait()
	t.cancel()
	return t.calls, t.failed
}

// streamedCalls is a load of streamed calls that may be repeated.
func (s *system) streamedCalls(rate float64) *thload.Generator {
	return &thload.Generator{
		Targets: s.ingresses(), Path: fmt.Sprintf("%s/stream?parts=%d&gap=%d", s.routes.readPath, streamParts, streamGap),
		Rate: rate, Callers: 64, Timeout: 5 * time.Second, Parts: streamParts,
	}
}

// keyedCalls is a load of calls that may run at most once, with keys.
func (s *system) keyedCalls(rate float64) *thload.Generator {
	return &thload.Generator{
		Targets: s.ingresses(), Path: s.routes.writePath, Method: "POST", Rate: rate, Callers: 32, Timeout: 5 * time.Second,
		Once: true, Keyed: true, Repeats: 1,
	}
}

// tally counts the results of calls.
type tally struct {
	calls, good, notRun, wrong, other int
	failures                          map[string]int // of those that are not good
}

func tallyCalls(calls []thload.Call) tally {
	t := tally{calls: len(calls), failures: map[string]int{}}
	for i := range calls {
		c := &calls[i]
		switch {
		case c.Good():
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
		// Errors of the transport hold addresses and ports that differ each time.
		if i := strings.LastIndex(text, ": "); i >= 0 {
			text = text[i+2:]
		}
		t.failures[fmt.Sprintf("status=%d outcome=%q cut=%t dropped=%t error=%q", c.Status, c.Outcome, c.Cut, c.Dropped, text)]++
	}
	return t
}

// frequentFailures lists the most frequent kinds of results that are not good.
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

// String is the counts on one line.
func (t *tally) String() string {
	return fmt.Sprintf("%d calls: %d good, %d refused as not run, %d wrong, %d others", t.calls, t.good, t.notRun, t.wrong, t.other)
}
