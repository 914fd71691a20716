package thusage

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// keptWindows is the number of ended windows that a daemon can send again.
	keptWindows = 12
	// earlyUnit is the grid on which requests are counted until the true time is known. The
	// windows to which they are then added are inexact by at most half of it.
	earlyUnit = 100 * time.Millisecond
)

// Counter counts the requests that begin at the local backend server by account and window.
// The zero value counts nothing until a Reporter with it starts.
type Counter struct {
	mutex   sync.RWMutex
	now     func() time.Duration // true time; nil counts nothing
	window  time.Duration
	unit    time.Duration // window, or earlyUnit until the true time is known
	current *span         // that of the last request
	spans   map[int64]*span
	early   map[int64]*span // in earlyUnit of the true time before its first correction
	next    int64           // lowest window that is not final
	round   uint64          // number of snapshots
}

// span is a period of time in which requests are counted.
type span struct {
	from, to time.Duration // of true time
	accounts map[string]*cell
	final    bool // counts no longer change
}

// cell counts the requests of an account in a span.
type cell struct {
	count atomic.Int64
	undo  func()               // subtracts one; built once, so that counting allocates nothing
	into  atomic.Pointer[cell] // counts instead of this one once set

	seen  int64  // at the last snapshot
	round uint64 // of the last snapshot at which seen changed
}

func newCell() *cell {
	c := &cell{}
	c.undo = func() {
		if into := c.into.Load(); into != nil {
			into.count.Add(-1)
			return
		}
		c.count.Add(-1)
	}
	return c
}

func noUndo() {}

// Began counts a request that is sent to the backend server. The returned function takes the
// count back; it is called at most once, if the server's answer says that the request has not
// run. It has no effect when the window has already been sent as final.
func (c *Counter) Began(account string) (undo func()) {
	c.mutex.RLock()
	if c.now == nil {
		c.mutex.RUnlock()
		return noUndo
	}
	now := c.now()
	if s := c.current; s != nil && s.from <= now && now < s.to && !s.final {
		if a := s.accounts[account]; a != nil {
			a.count.Add(1)
			c.mutex.RUnlock()
			return a.undo
		}
	}
	c.mutex.RUnlock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.spanAt(now)
	c.current = s
	a := s.accounts[account]
	if a == nil {
		a = newCell()
		s.accounts[account] = a
	}
	a.count.Add(1)
	return a.undo
}

// spanAt returns the span of a time, or the first one that is not final.
func (c *Counter) spanAt(now time.Duration) *span {
	number := int64(now / c.unit)
	if c.early == nil {
		return c.windowSpan(max(number, c.next))
	}
	s := c.early[number]
	if s == nil {
		from := time.Duration(number) * c.unit
		s = &span{from: from, to: from + c.unit, accounts: map[string]*cell{}}
		c.early[number] = s
	}
	return s
}

func (c *Counter) windowSpan(number int64) *span {
	s := c.spans[number]
	if s == nil {
		from := time.Duration(number) * c.window
		s = &span{from: from, to: from + c.window, accounts: map[string]*cell{}}
		c.spans[number] = s
	}
	return s
}

// start makes the counter count. Until settle it counts apart from the windows.
func (c *Counter) start(now func() time.Duration, window time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now, c.window, c.unit = now, window, earlyUnit
	c.spans, c.early, c.current = map[int64]*span{}, map[int64]*span{}, nil
}

// settle adds what has been counted so far to the windows, after the true time was corrected by
// correction. Windows before first have no counts of this process.
func (c *Counter) settle(correction time.Duration, first int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	early := c.early
	c.early, c.unit, c.current, c.next = nil, c.window, nil, first
	for _, s := range early {
		middle := s.from + earlyUnit/2 + correction
		w := c.windowSpan(max(int64(middle/c.window), first))
		for account, a := range s.accounts {
			if known := w.accounts[account]; known != nil {
				a.into.Store(known)
				known.count.Add(a.count.Swap(0))
				continue
			}
			w.accounts[account] = a
		}
	}
}

// finish makes the windows final that ended before now, and drops the oldest ones.
func (c *Counter) finish(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ended := int64(now / c.window) // windows before it have ended
	c.next = max(c.next, ended-keptWindows)
	for ; c.next < ended; c.next++ {
		s := c.windowSpan(c.next)
		for _, a := range s.accounts {
			a.look(c.round + 1)
		}
		s.final = true
	}
	maps.DeleteFunc(c.spans, func(n int64, _ *span) bool { return n < ended-keptWindows })
}

// look updates what a snapshot saw of the cell.
func (a *cell) look(round uint64) {
	if n := max(a.count.Load(), 0); n != a.seen {
		a.seen, a.round = n, round
	}
}

// snapshot fixes the counts that messages of the returned round carry.
func (c *Counter) snapshot() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.round++
	for _, s := range c.spans {
		if s.final {
			continue
		}
		for _, a := range s.accounts {
			a.look(c.round)
		}
	}
	return c.round
}

// changes returns the counts as of the last snapshot: of final windows all, except those that
// are confirmed, and of others those that changed after a round.
func (c *Counter) changes(after uint64, confirmed map[int64]bool) []windowCounts {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	var list []windowCounts
	for n, s := range c.spans {
		if s.final && confirmed[n] {
			continue
		}
		w := windowCounts{number: n, final: s.final, counts: map[string]uint64{}}
		for account, a := range s.accounts {
			if s.final && a.seen > 0 || !s.final && a.round > after {
				w.counts[account] = uint64(a.seen)
			}
		}
		if w.final || len(w.counts) > 0 {
			list = append(list, w)
		}
	}
	return list
}

// counts returns the counts of the window at a time.
func (c *Counter) counts(now time.Duration) map[string]uint64 {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	counts := map[string]uint64{}
	if c.now == nil || c.early != nil {
		return counts
	}
	if s := c.spans[int64(now/c.window)]; s != nil {
		for account, a := range s.accounts {
			if n := a.count.Load(); n > 0 {
				counts[account] = uint64(n)
			}
		}
	}
	return counts
}

// windowCounts are the counts of a window at one daemon.
type windowCounts struct {
	number int64
	final  bool
	counts map[string]uint64
}
