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

// run starts the generators.
func run(ctx context.Context, generators ...*thload.Generator) *traffic {
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

// end stops the sending and returns the calls once all are answered.
func (t *traffic) end() ([]thload.Call, error) {
	t.cancel()
	return t.wait()
}

// wait returns the calls once the generators' time is over.
func (t *traffic) wait() ([]thload.Call, error) {
	t.running.Wait()
	t.cancel()
	return t.calls, t.failed
}

// streams is a load of streamed calls that may be repeated.
func (s *stage) streams(rate float64) *thload.Generator {
	return &thload.Generator{
		Targets: s.ingresses(), Path: fmt.Sprintf("%s/stream?parts=%d&gap=%d", s.paths.read, streamParts, streamGap),
		Rate: rate, Concurrency: 64, Timeout: 5 * time.Second, Parts: streamParts,
	}
}

// keyed is a load of calls that may run at most once, with keys.
func (s *stage) keyed(rate float64) *thload.Generator {
	return &thload.Generator{
		Targets: s.ingresses(), Path: s.paths.once, Method: "POST", Rate: rate, Concurrency: 32, Timeout: 5 * time.Second,
		NonIdempotent: true, IdempotencyKeys: true, MaxRetries: 1,
	}
}

// tally counts the results of calls.
type tally struct {
	calls, good, refused, wrong, other int
	kinds                              map[string]int // of those that are not good
}

func count(calls []thload.Call) tally {
	t := tally{calls: len(calls), kinds: map[string]int{}}
	for i := range calls {
		c := &calls[i]
		switch {
		case c.Succeeded():
			t.good++
			continue
		case c.Wrong:
			t.wrong++
		case c.Outcome == thload.OutcomeNotRun:
			t.refused++
		default:
			t.other++
		}
		text := c.Error
		// Errors of the transport hold addresses and ports that differ each time.
		if i := strings.LastIndex(text, ": "); i >= 0 {
			text = text[i+2:]
		}
		t.kinds[fmt.Sprintf("status=%d outcome=%q cut=%t dropped=%t error=%q", c.Status, c.Outcome, c.Cut, c.Dropped, text)]++
	}
	return t
}

// sample lists the most frequent kinds of results that are not good.
func (t *tally) sample() string {
	names := make([]string, 0, len(t.kinds))
	for n := range t.kinds {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int { return t.kinds[b] - t.kinds[a] })
	names = names[:min(3, len(names))]
	list := make([]string, 0, len(names))
	for _, n := range names {
		list = append(list, fmt.Sprintf("%d × %s", t.kinds[n], n))
	}
	return strings.Join(list, "; ")
}

// String is the counts on one line.
func (t *tally) String() string {
	return fmt.Sprintf("%d calls: %d good, %d refused as not run, %d wrong, %d others", t.calls, t.good, t.refused, t.wrong, t.other)
}
