// Package thlog implements a log writer that never blocks its callers.
package thlog

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Limits of a Writer.
const (
	// DefaultRate is the default rate limit, in bytes per second. The log line of a
	// failed call has about 400 bytes, so it allows some 300 of them per second and
	// daemon.
	DefaultRate    = 128 << 10
	maxBurst       = 1 << 20 // burst size of the rate limit, in bytes
	maxQueuedLines = 4096    // lines that are queued while Out blocks
	reportInterval = time.Second
)

// Writer writes lines to Out asynchronously, from a goroutine of its own. Lines above
// the rate limit, or while the queue is full because Out blocks, are dropped; their
// number is written to Out as a separate line. Set the exported fields before the
// first Write. Close ends the goroutine.
type Writer struct {
	Out   io.Writer
	Rate  int             // bytes per second; zero means DefaultRate
	Clock clockwork.Clock // nil means the system clock

	once    sync.Once
	lines   chan []byte
	limiter *rate.Limiter
	mutex   sync.Mutex
	dropped int
	closed  bool
	done    chan struct{}
}

func (w *Writer) initialise() {
	w.once.Do(func() {
		w.Clock = thclock.OrSystem(w.Clock)
		if w.Rate == 0 {
			w.Rate = DefaultRate
		}
		w.limiter = rate.NewLimiter(rate.Limit(w.Rate), maxBurst)
		w.lines = make(chan []byte, maxQueuedLines)
		w.done = make(chan struct{})
		go w.run()
	})
}

// Write queues one line and never blocks. It reports success for dropped lines too,
// since a logger could not handle the error.
func (w *Writer) Write(p []byte) (int, error) {
	w.initialise()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || !w.limiter.AllowN(w.Clock.Now(), min(len(p), maxBurst)) {
		w.dropped++
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped++
	}
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.done)
	var reported time.Time
	for p := range w.lines {
		_, _ = w.Out.Write(p) // a failure cannot be reported elsewhere
		if now := w.Clock.Now(); now.Sub(reported) >= reportInterval {
			reported = now
			w.report()
		}
	}
	w.report()
}

// report writes the number of lines dropped since the last report, if any.
func (w *Writer) report() {
	w.mutex.Lock()
	n := w.dropped
	w.dropped = 0
	w.mutex.Unlock()
	if n > 0 {
		_, _ = fmt.Fprintf(w.Out, "log lines dropped: count=%d\n", n)
	}
}

// Close writes the queued lines, for at most the given time. Lines written after
// Close are dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.initialise()
	w.mutex.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mutex.Unlock()
	t := w.Clock.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.Chan():
	}
}
