package thusage

import (
	"maps"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// collectorKey and collectors choose the daemons that collect counts.
	collectorKey = "duty/usage"
	collectors   = 3

	// minInterval and memberInterval give the time between the messages of a daemon: the larger
	// of minInterval and memberInterval for each daemon of the fleet, so that a collector gets at
	// most 200 messages a second.
	minInterval    = 500 * time.Millisecond
	memberInterval = 5 * time.Millisecond

	// minOthers is the number of other daemons with which a majority of clocks can exist.
	minOthers = 2
	// settleTime is the time that a new process waits for the time of other daemons.
	settleTime = 2 * time.Second
	// earlierWindows is the number of windows before its start that a process sends as final and
	// empty, so that the holder does not wait for them until it must freeze them: those that can
	// be unfrozen when the window is half of Late.
	earlierWindows = 3
	// maxHolderAge is the age up to which knowledge of the holder is used and passed on: the
	// default duration of the lease.
	maxHolderAge = 3 * time.Second
)

// message is a message to a collector.
type message struct {
	to     string
	counts *thwire.UsageCounts
	round  uint64
	before uint64 // the collector's round before the message
}

// recipient is what a daemon knows of one of its collectors.
type recipient struct {
	incarnation uint64 // of its process, which loses the counts when it ends
	round       uint64 // of the last message
	confirmed   map[int64]bool
}

// node decides what a daemon counts, sends and collects. It has no goroutines and makes no
// calls. The holder's decisions are those of duty.
type node struct {
	name      string
	process   uint64
	window    time.Duration
	counter   *Counter
	clock     trueTime
	collector collector
	duty      duty

	start      time.Duration // elapsed
	settled    bool          // the true time has been compared, or there are no others
	corrected  time.Duration // not yet logged
	recipients map[string]*recipient
	nextStep   time.Duration // elapsed
	pending    bool          // a holder that is not yet a recipient was heard of
}

func newNode(name string, process uint64, window, late time.Duration, c *Counter, wall time.Duration, elapsed func() time.Duration) *node {
	n := &node{
		name: name, process: process, window: window, counter: c,
		clock:      trueTime{elapsed: elapsed},
		collector:  collector{window: window},
		duty:       duty{name: name, window: window, late: late},
		start:      elapsed(),
		recipients: map[string]*recipient{},
	}
	n.clock.base.Store(int64(wall - n.start))
	n.nextStep = n.start
	c.start(n.clock.now, window)
	return n
}

func interval(members []thwire.Member) time.Duration {
	return max(minInterval, time.Duration(len(members))*memberInterval)
}

// step returns the messages that are due and the time until the next ones. all asks for all
// counts at once, as a daemon that stops sends them.
func (n *node) step(members []thwire.Member, holder string, all bool) ([]message, time.Duration) {
	elapsed := n.clock.elapsed()
	n.settle(members, elapsed, all)
	if elapsed < n.nextStep && !n.pending && !all {
		return nil, n.nextStep - elapsed
	}
	n.pending = false
	chosen := n.recipientsOf(members, holder)
	maps.DeleteFunc(n.recipients, func(name string, r *recipient) bool {
		return !slices.ContainsFunc(chosen, func(m thwire.Member) bool { return m.Name == name && m.Incarnation == r.incarnation })
	})
	round := uint64(0)
	now := n.clock.now()
	if n.settled {
		// The delay leaves requests whose server has not run them the time to be taken back.
		n.counter.finish(now - finalDelay(n.name))
		round = n.counter.snapshot()
	}
	reported := int64(0)
	if n.duty.held && n.duty.known {
		reported = n.duty.first
	}
	n.collector.expire(now, reported)
	var messages []message
	for _, m := range chosen {
		name := m.Name
		r := n.recipients[name]
		if r == nil {
			r = &recipient{incarnation: m.Incarnation, confirmed: map[int64]bool{}}
			n.recipients[name] = r
		}
		var list []windowCounts
		if n.settled {
			list = n.counter.changes(r.round, r.confirmed)
		}
		for _, m := range n.messages(list, now) {
			if name == n.name {
				n.confirm(name, n.collector.receive(name, m, now))
				continue
			}
			messages = append(messages, message{to: name, counts: m, round: round, before: r.round})
		}
		r.round = round
	}
	n.nextStep = elapsed + min(interval(members), n.untilFinal(now))
	if !n.settled {
		n.nextStep = elapsed + minInterval
	}
	return messages, n.nextStep - elapsed
}

// untilFinal returns the time until the next window becomes final.
func (n *node) untilFinal(now time.Duration) time.Duration {
	return n.window - (now-finalDelay(n.name))%n.window
}

// settle corrects the true time and begins to count by window once it is known.
func (n *node) settle(members []thwire.Member, elapsed time.Duration, all bool) {
	others := 0
	for _, m := range members {
		if m.Name != n.name {
			others++
		}
	}
	known := min(others, collectors-1)
	if others < minOthers {
		known = 0
	}
	if !n.settled && !all && len(n.clock.samples) < known && elapsed-n.start < settleTime {
		return
	}
	correction := n.clock.correct()
	n.corrected += correction
	if n.settled {
		return
	}
	n.settled = true
	began := n.clock.now() - (elapsed - n.start)
	n.counter.settle(correction, int64(began/n.window)-earlierWindows)
	n.nextStep = elapsed
}

// recipientsOf returns the collectors and the holder.
func (n *node) recipientsOf(members []thwire.Member, holder string) []thwire.Member {
	if !slices.ContainsFunc(members, func(m thwire.Member) bool { return m.Name == n.name }) {
		members = append(slices.Clone(members), thwire.Member{Name: n.name})
	}
	if n.duty.held {
		holder = n.name
	}
	chosen := thmember.Rendezvous(collectorKey, members, collectors)
	isHolder := func(m thwire.Member) bool { return m.Name == holder }
	if i := slices.IndexFunc(members, isHolder); i >= 0 && !slices.ContainsFunc(chosen, isHolder) {
		chosen = append(chosen, members[i])
	}
	return chosen
}

// messages divides counts into messages within the limits. There is always one, whose answer
// tells of the holder and the time.
func (n *node) messages(list []windowCounts, now time.Duration) []*thwire.UsageCounts {
	slices.SortFunc(list, func(a, b windowCounts) int { return int(a.number - b.number) })
	m := &thwire.UsageCounts{Process: n.process, Now: int64(now)}
	messages := []*thwire.UsageCounts{m}
	size := 0
	for _, w := range list {
		accounts := slices.Sorted(maps.Keys(w.counts))
		for first := true; first || len(accounts) > 0; first = false {
			if size >= thwire.MaxUsageCounts || len(m.Windows) == thwire.MaxUsageWindows {
				m, size = &thwire.UsageCounts{Process: n.process, Now: int64(now)}, 0
				messages = append(messages, m)
			}
			k := min(len(accounts), thwire.MaxUsageCounts-size)
			part := thwire.UsageWindow{Number: w.number, Final: w.final && k == len(accounts)}
			for _, account := range accounts[:k] {
				part.Counts = append(part.Counts, thwire.UsageCount{Account: account, Count: w.counts[account]})
			}
			m.Windows = append(m.Windows, part)
			accounts, size = accounts[k:], size+k
		}
	}
	return messages
}

// receive handles the counts of another daemon and returns the reply.
func (n *node) receive(from string, m *thwire.UsageCounts) *thwire.UsageReply {
	now := n.clock.now()
	reply := &thwire.UsageReply{Now: int64(now), First: n.duty.accepted, Asked: m.Now}
	if n.settled {
		reply.Received = n.collector.receive(from, m, now)
	}
	return reply
}

// answered handles a reply. It reports whether there is something to send at once.
func (n *node) answered(from string, m *thwire.UsageReply) bool {
	if m.Asked != 0 {
		n.clock.sample(from, time.Duration(m.Now), time.Duration(m.Asked))
	}
	n.confirm(from, m.Received)
	// A window can't be reported before it has ended, with allowance for the clocks.
	if n.settled && m.First <= int64(n.clock.now()/n.window)+1 {
		n.duty.accepted = max(n.duty.accepted, m.First)
	}
	if m.Holder != "" && m.Holder == from && n.recipients[from] == nil {
		n.pending = true
	}
	return n.pending || !n.settled
}

func (n *node) confirm(name string, windows []int64) {
	r := n.recipients[name]
	if r == nil {
		return
	}
	for _, w := range windows {
		r.confirmed[w] = true
	}
	if len(r.confirmed) > 2*keptWindows {
		oldest := int64(n.clock.now()/n.window) - keptWindows - 1
		maps.DeleteFunc(r.confirmed, func(w int64, _ bool) bool { return w < oldest })
	}
}

// lost makes the next message to a collector contain the counts of one that was not sent.
func (n *node) lost(m message) {
	if r := n.recipients[m.to]; r != nil {
		r.round = min(r.round, m.before)
	}
}

// next returns the holder's next action.
func (n *node) next(members []thwire.Member) action {
	if !n.settled {
		return wait{unheldTime} // the first step that settles ends it
	}
	return n.duty.next(n.clock.now(), n.clock.elapsed(), interval(members), &n.collector, members)
}
