// Package thlog writes log lines without ever holding up the caller.
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
	// DefaultRate bounds the volume in bytes a second. A line of a failed call has
	// about 400 bytes, so this is some 300 of them a second and daemon.
	DefaultRate    = 128 << 10
	maxBurst       = 1 << 20 // bytes that may be written at once after a quiet time
	maxQueuedLines = 4096    // lines that wait for the reader
	reportInterval = time.Second
)

// Writer passes lines on to Out from a goroutine of its own. Lines above the
// rate, or while the reader of Out has stopped reading, are dropped and
// counted; the count is written as a line of its own. Set the exported fields
// before the first Write; Close ends it.
type Writer struct {
	Out   io.Writer
	Rate  int // bytes a second; zero means DefaultRate
	Clock clockwork.Clock

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

// Write takes one line and never waits. It reports success also for a line
// that is dropped: there is nothing that a logger could do about it.
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
		_, _ = w.Out.Write(p) // there is no other place to report a failure
		if now := w.Clock.Now(); now.Sub(reported) >= reportInterval {
			reported = now
			w.report()
		}
	}
	w.report()
}

// report writes how many lines were dropped since the last report.
func (w *Writer) report() {
	w.mutex.Lock()
	n := w.dropped
	w.dropped = 0
	w.mutex.Unlock()
	if n > 0 {
		_, _ = fmt.Fprintf(w.Out, "log lines dropped: count=%d\n", n)
	}
}

// Close writes the lines that wait, at most for the given time, and drops all
// later ones.
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
