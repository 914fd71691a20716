package thusage

import (
	"maps"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Bounds of what a collector keeps.
const (
	// detailedWindows is the number of ended windows whose counts are kept by daemon. Daemons send
	// no window again that is older than keptWindows; the rest is for differing clocks. At 86
	// daemons and 85 accounts a window takes about 0.5 MB.
	detailedWindows = keptWindows + 2
	// sumWindows is the number of ended windows of which the sums are kept while the store or the
	// API is down: an hour of windows of 5 s, about 3 MB at 85 accounts.
	sumWindows = 720
	// maxAccounts bounds the accounts of a window. A report of as many is written in one
	// transaction of the store, which takes at most 1 MB.
	maxAccounts = 8192
	// maxProcesses bounds the processes of one daemon in a window, which a daemon that crashes at
	// its start could exceed.
	maxProcesses = 16
	// maxSources bounds the daemons with their processes in a window.
	maxSources = 4096
)

// source is one process of a daemon.
type source struct {
	daemon  string
	process uint64
}

// collector keeps the counts of all daemons by window.
type collector struct {
	window   time.Duration
	windows  map[int64]*collected
	accounts map[string]string // one copy of each name
}

// collected are the counts of a window.
type collected struct {
	sources map[source]map[string]uint64 // nil when only the sums are kept
	final   map[string]bool              // daemons whose counts are final
	fixed   map[source]bool              // processes whose counts are final
	sums    map[string]uint64            // nil while sources are kept
}

// check returns an error for a message that no daemon sends.
func check(m *thwire.UsageCounts) error {
	for _, w := range m.Windows {
		if w.Number < 0 {
			return therror.New(therror.Frame, "usage of window %d", w.Number)
		}
		for _, c := range w.Counts {
			if c.Account == "" || len(c.Account) > thwire.MaxAccountBytes {
				return therror.New(therror.Frame, "usage of an account whose name has %d bytes", len(c.Account))
			}
		}
	}
	return nil
}

// receive merges a message that check accepts and returns the windows whose final counts the
// sender need not repeat. now is the collector's true time.
func (c *collector) receive(from string, m *thwire.UsageCounts, now time.Duration) []int64 {
	current := int64(now / c.window)
	var received []int64
	for _, w := range m.Windows {
		// Clocks differ by less than a window, so that a later one comes from a daemon that has
		// yet to correct its time. It sends the window again when it is due.
		if w.Number > current+1 {
			continue
		}
		if c.merge(source{from, m.Process}, &w, current) && w.Final {
			received = append(received, w.Number)
		}
	}
	return received
}

// merge adds the counts of a window; false if there is no room for them.
func (c *collector) merge(s source, w *thwire.UsageWindow, current int64) bool {
	if w.Number < current-detailedWindows {
		return true // too late for any report
	}
	k := c.windows[w.Number]
	if k == nil {
		if c.windows == nil {
			c.windows, c.accounts = map[int64]*collected{}, map[string]string{}
		}
		k = &collected{sources: map[source]map[string]uint64{}, final: map[string]bool{}, fixed: map[source]bool{}}
		c.windows[w.Number] = k
	}
	if k.sums != nil || k.fixed[s] {
		return true
	}
	counts := k.sources[s]
	if counts == nil {
		if len(k.sources) >= maxSources || k.processes(s.daemon) >= maxProcesses {
			return false
		}
		counts = map[string]uint64{}
		k.sources[s] = counts
	}
	for _, n := range w.Counts {
		if _, known := counts[n.Account]; !known && len(counts) >= maxAccounts {
			return false
		}
		counts[c.intern(n.Account)] = n.Count
	}
	if w.Final {
		k.final[s.daemon], k.fixed[s] = true, true
	}
	return true
}

func (k *collected) processes(daemon string) int {
	n := 0
	for s := range k.sources {
		if s.daemon == daemon {
			n++
		}
	}
	return n
}

// intern returns the copy of a name that all windows share.
func (c *collector) intern(account string) string {
	if name, found := c.accounts[account]; found {
		return name
	}
	if len(c.accounts) >= 2*maxAccounts {
		clear(c.accounts) // names of removed accounts
	}
	c.accounts[account] = account
	return account
}

// isComplete reports whether the final counts of the daemon itself and all live ones are there.
func (c *collector) isComplete(window int64, own string, members []thwire.Member) bool {
	k := c.windows[window]
	if k == nil || !k.final[own] {
		return false
	}
	for _, m := range members {
		if !k.final[m.Name] {
			return false
		}
	}
	return true
}

// total returns the sums of the window's counts, without zeros.
func (c *collector) total(window int64) map[string]uint64 {
	sums := map[string]uint64{}
	k := c.windows[window]
	switch {
	case k == nil:
	case k.sums != nil:
		maps.Copy(sums, k.sums)
	default:
		for _, counts := range k.sources {
			for account, n := range counts {
				if n > 0 {
					sums[account] += n
				}
			}
		}
	}
	return sums
}

// expire keeps only the sums of older windows and drops those before the oldest and those that
// have been reported, which are before reported.
func (c *collector) expire(now time.Duration, reported int64) {
	current := int64(now / c.window)
	for n, k := range c.windows {
		switch {
		case n < max(reported, current-sumWindows):
			delete(c.windows, n)
		case n < current-detailedWindows && k.sums == nil:
			sums := c.total(n)
			k.sums, k.sources, k.final, k.fixed = sums, nil, nil, nil
		}
	}
}
