package thusage

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newCounter returns a counter that counts by window from time zero, and its time.
func newCounter() (*Counter, *time.Duration) {
	now := new(time.Duration)
	c := &Counter{}
	c.start(func() time.Duration { return *now }, defaultWindow)
	c.settle(0, 0)
	return c, now
}

func finalCounts(c *Counter, window int64) (map[string]uint64, bool) {
	for _, w := range c.changes(0, nil) {
		if w.number == window && w.final {
			return w.counts, true
		}
	}
	return nil, false
}

// Guards against a zero value that panics.
func TestZeroCounter(t *testing.T) {
	var c Counter
	c.Began("a")()
	assert.Equal(t, len(c.counts(0)), 0)
}

// Guards against allocations for each request.
func TestCountingAllocatesNothing(t *testing.T) {
	c, _ := newCounter()
	c.Began("a")
	undo := func() {}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { undo = c.Began("a") }), 0.0)
	undo()
	assert.Equal(t, c.counts(0)["a"], uint64(1001))
}

// Guards against counts that are lost between goroutines or at the end of a window.
func TestConcurrentCounts(t *testing.T) {
	c := &Counter{}
	var mutex sync.Mutex
	now := time.Duration(0)
	clock := func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		now += time.Millisecond
		return now
	}
	c.start(clock, defaultWindow)
	c.settle(0, 0)
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for k := range 5000 {
				undo := c.Began(fmt.Sprint("account", i%2))
				if k%10 == 0 {
					undo()
				}
				if k%100 == 0 {
					c.snapshot()
				}
			}
		})
	}
	group.Wait()
	c.finish(now + defaultWindow)
	total := uint64(0)
	for w := range int64(5) {
		counts, found := finalCounts(c, w)
		assert.Assert(t, found)
		for _, n := range counts {
			total += n
		}
	}
	assert.Equal(t, total, uint64(4*4500))
}

// Guards against requests in the wrong window, and against a final window that changes.
func TestWindowsOfACounter(t *testing.T) {
	c, now := newCounter()
	*now = defaultWindow - 1
	undo := c.Began("a")
	c.Began("a")
	*now = defaultWindow
	c.Began("b")
	c.finish(*now)
	counts, _ := finalCounts(c, 0)
	assert.DeepEqual(t, counts, map[string]uint64{"a": 2})
	undo()
	*now = 0 // corrected backwards
	c.Began("c")
	counts, _ = finalCounts(c, 0)
	assert.DeepEqual(t, counts, map[string]uint64{"a": 2})
	c.snapshot()
	c.finish(2 * defaultWindow)
	counts, _ = finalCounts(c, 1)
	assert.DeepEqual(t, counts, map[string]uint64{"b": 1, "c": 1})
	*now = defaultWindow // corrected backwards, to the window counted last
	c.Began("b")
	c.finish(4 * defaultWindow)
	counts, _ = finalCounts(c, 1)
	assert.DeepEqual(t, counts, map[string]uint64{"b": 1, "c": 1})
	counts, _ = finalCounts(c, 2)
	assert.DeepEqual(t, counts, map[string]uint64{"b": 1})
	counts, found := finalCounts(c, 3)
	assert.Assert(t, found)
	assert.Equal(t, len(counts), 0)
}

// Guards against messages that repeat accounts whose counts have not changed, and against an
// account whose only request was taken back and is never corrected.
func TestOnlyChangesAreSent(t *testing.T) {
	c, _ := newCounter()
	c.Began("a")
	undo := c.Began("b")
	first := c.snapshot()
	assert.DeepEqual(t, c.changes(0, nil)[0].counts, map[string]uint64{"a": 1, "b": 1})
	undo()
	second := c.snapshot()
	assert.DeepEqual(t, c.changes(first, nil)[0].counts, map[string]uint64{"b": 0})
	assert.Equal(t, len(c.changes(second, nil)), 0)
}

// Guards against memory that grows with the number of windows, and against a long loop after a
// freeze.
func TestOldWindowsAreDropped(t *testing.T) {
	c, now := newCounter()
	c.Began("a")
	*now = 1e6 * defaultWindow
	c.finish(*now)
	c.Began("a")
	assert.Equal(t, len(c.spans), keptWindows+1)
	assert.Equal(t, len(c.changes(0, map[int64]bool{1e6 - 1: true})), keptWindows-1)
}

// Guards against counts before the first correction that go to the windows of a wrong time, or
// to windows before the process.
func TestCountsBeforeTheTimeIsKnown(t *testing.T) {
	now := 100*defaultWindow + 4500*time.Millisecond
	c := &Counter{}
	c.start(func() time.Duration { return now }, defaultWindow)
	var undo func()
	for range 10 {
		undo = c.Began("a")
		now += 100 * time.Millisecond
	}
	assert.Equal(t, len(c.counts(now)), 0)
	c.settle(-10*defaultWindow, 88)
	undo()
	c.snapshot()
	counts := map[int64]uint64{}
	for _, w := range c.changes(0, nil) {
		counts[w.number] = w.counts["a"]
	}
	assert.DeepEqual(t, counts, map[int64]uint64{90: 5, 91: 4})
}

func BenchmarkBegan(b *testing.B) {
	c := &Counter{}
	begin := time.Now()
	c.start(func() time.Duration { return time.Since(begin) }, defaultWindow)
	c.settle(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		c.Began("account")
	}
}
