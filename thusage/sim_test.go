package thusage

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thlease"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	simStep  = 50 * time.Millisecond
	simStart = 353445120 * defaultWindow // time of day at the start of a simulation
	simLease = 2700 * time.Millisecond   // for which a renewal holds
	simTake  = 3300 * time.Millisecond   // without a write until another daemon takes over
)

// simFleet runs daemons without goroutines in steps of simStep. The lease is a simple one that
// keeps the invariants of thlease.
type simFleet struct {
	now     time.Duration // since 1970, the right time
	daemons []*simDaemon

	// The store.
	record    thlease.Record
	rows      map[string][]byte
	version   uint64
	writtenAt time.Duration
	storeDown bool
	storeLost bool // writes are performed, but get no answer

	// The API.
	api      func(d *simDaemon, a post) (accepted bool, took time.Duration, err error) // nil accepts
	reports  map[int64]map[string]uint64
	arrived  map[int64]time.Duration
	posts    []simPost
	breaches []string

	truth  map[int64]map[string]uint64
	mail   []simMail
	load   func(d *simDaemon) int // requests in a step; nil means 2
	serial int
}

type simPost struct {
	at       time.Duration
	holder   string
	token    uint64
	window   int64
	accepted bool
}

type simMail struct {
	at       time.Duration
	from, to string
	counts   *thwire.UsageCounts
	reply    *thwire.UsageReply
}

type simDaemon struct {
	fleet       *simFleet
	name        string
	incarnation uint64
	node        *node
	counter     *Counter
	dead        bool
	frozenUntil time.Duration
	cutUntil    time.Duration // from the other daemons
	deadSince   time.Duration

	holding    bool
	tenure     thlease.Tenure
	validUntil time.Duration
	renewedAt  time.Duration
	version    uint64
	barred     time.Duration // may not hold the duty before
	heard      string
	heardAt    time.Duration
	pending    *simPending
}

// simPending is a post in progress.
type simPending struct {
	action   post
	start    time.Duration
	until    time.Duration
	accepted bool
	err      error
}

func newFleet(names ...string) *simFleet {
	f := &simFleet{
		now: simStart, rows: map[string][]byte{}, reports: map[int64]map[string]uint64{},
		arrived: map[int64]time.Duration{}, truth: map[int64]map[string]uint64{},
	}
	for _, name := range names {
		f.daemons = append(f.daemons, &simDaemon{fleet: f, name: name})
		f.boot(len(f.daemons)-1, 0)
	}
	return f
}

// boot starts a process of a daemon whose time of day is wrong by wrong.
func (f *simFleet) boot(i int, wrong time.Duration) {
	d := f.daemons[i]
	*d = simDaemon{fleet: f, name: d.name, incarnation: d.incarnation + 1, counter: &Counter{}}
	d.node = newNode(d.name, uint64(i)<<32|d.incarnation, defaultWindow, defaultLate, d.counter, f.now+wrong, func() time.Duration { return f.now })
}

func (f *simFleet) kill(i int) { f.daemons[i].dead, f.daemons[i].deadSince = true, f.now }

func (d *simDaemon) frozen() bool { return d.fleet.now < d.frozenUntil }
func (d *simDaemon) cut() bool    { return d.fleet.now < d.cutUntil }
func (d *simDaemon) held() bool   { return d.holding && d.fleet.now < d.validUntil }

// members are the daemons that are not known to be dead, which takes three seconds.
func (f *simFleet) members() []thwire.Member {
	var list []thwire.Member
	for _, d := range f.daemons {
		if !d.dead || f.now-d.deadSince < 3*time.Second {
			list = append(list, thwire.Member{Name: d.name, Incarnation: d.incarnation})
		}
	}
	return list
}

func (f *simFleet) find(name string) *simDaemon {
	return f.daemons[slices.IndexFunc(f.daemons, func(d *simDaemon) bool { return d.name == name })]
}

// run lets d pass.
func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += simStep {
		for _, d := range f.daemons {
			if !d.dead && !d.frozen() {
				f.serve(d)
			}
		}
		f.deliver()
		for rank, d := range f.daemons {
			if !d.dead && !d.frozen() {
				d.elect(rank)
				d.sendCounts()
				d.act()
			}
		}
	}
}

// serve counts requests and records the truth.
func (f *simFleet) serve(d *simDaemon) {
	n := 2
	if f.load != nil {
		n = f.load(d)
	}
	for range n {
		f.serial++
		account := fmt.Sprintf("account%d", f.serial%3)
		w := int64(f.now / defaultWindow)
		if f.truth[w] == nil {
			f.truth[w] = map[string]uint64{}
		}
		f.truth[w][account]++
		d.counter.Began(account)
	}
}

// deliver hands over the messages that have arrived. Those to a frozen daemon wait.
func (f *simFleet) deliver() {
	mail := f.mail
	f.mail = nil
	for _, m := range mail {
		from, to := f.find(m.from), f.find(m.to)
		switch {
		case to.dead || from.cut() || to.cut():
			continue
		case m.at > f.now || to.frozen():
			f.mail = append(f.mail, m)
			continue
		}
		if m.reply != nil {
			to.node.answered(m.from, m.reply)
			if m.reply.Holder != "" {
				to.heard, to.heardAt = m.reply.Holder, f.now
			}
			continue
		}
		if check(m.counts) != nil {
			continue
		}
		reply := to.node.receive(m.from, m.counts)
		if to.holding {
			reply.Holder = to.name
		} else if f.now-to.heardAt < maxHolderAge {
			reply.Holder = to.heard
		}
		f.mail = append(f.mail, simMail{at: f.now + simStep, from: m.to, to: m.from, reply: reply})
	}
}

func (d *simDaemon) sendCounts() {
	holder := ""
	if d.fleet.now-d.heardAt < maxHolderAge {
		holder = d.heard
	}
	messages, _ := d.node.step(d.fleet.members(), holder, false)
	for _, m := range messages {
		d.fleet.mail = append(d.fleet.mail, simMail{at: d.fleet.now + simStep, from: d.name, to: m.to, counts: m.counts})
	}
}

// elect renews the lease or takes the duty over.
func (d *simDaemon) elect(rank int) {
	f := d.fleet
	if f.storeDown {
		return
	}
	if d.holding {
		switch {
		case d.version != f.version:
			d.holding = false
			d.node.duty.end(d.tenure)
		case f.now-d.renewedAt >= time.Second:
			f.write(d)
		}
		return
	}
	unchanged := f.now - f.writtenAt
	released := f.record.Holder == "" && f.version > 0
	if f.now < d.barred || !released && unchanged < simTake+time.Duration(rank)*1500*time.Millisecond && f.version > 0 {
		return
	}
	f.record.Token++
	f.record.Holder = d.name
	d.tenure = thlease.Tenure{Token: f.record.Token}
	d.holding = true
	f.write(d)
	_ = d.node.duty.begin(d.tenure, f.record, f.list(), f.now)
	for _, m := range f.members() {
		if m.Name != d.name {
			f.mail = append(f.mail, simMail{at: f.now + simStep, from: d.name, to: m.Name, reply: &thwire.UsageReply{Now: int64(f.now), Holder: d.name}})
		}
	}
}

func (f *simFleet) write(d *simDaemon) {
	f.version++
	f.writtenAt = f.now
	d.version, d.renewedAt, d.validUntil = f.version, f.now, f.now+simLease
}

func (f *simFleet) list() []thlease.Row {
	var rows []thlease.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		rows = append(rows, thlease.Row{Key: key, Value: f.rows[key]})
	}
	return rows
}

// act performs the holder's actions until it waits.
func (d *simDaemon) act() {
	f := d.fleet
	if p := d.pending; p != nil {
		switch {
		case !d.held():
			d.finishPost(therror.New(therror.Unknown, "cancelled"))
		case f.now >= p.until:
			if p.accepted {
				f.accept(d, p.action)
			}
			d.finishPost(p.err)
		}
		if d.pending != nil {
			return
		}
	}
	for range 50 {
		switch a := d.node.next(f.members()).(type) {
		case wait:
			return
		case commit:
			err := f.commit(d, a)
			d.node.duty.committed(a, err, f.now)
		case post:
			if !d.held() || d.tenure.Token != a.token {
				return
			}
			accepted, took, err := true, time.Duration(0), error(nil)
			if f.api != nil {
				accepted, took, err = f.api(d, a)
			}
			d.pending = &simPending{action: a, start: f.now, until: f.now + took, accepted: accepted, err: err}
			f.posts = append(f.posts, simPost{f.now, d.name, a.token, a.report.Window, accepted})
			if took > 0 {
				return
			}
			if accepted {
				f.accept(d, a)
			}
			d.finishPost(err)
		case yield:
			f.record.Holder, d.holding, d.barred = "", false, f.now+yieldTime
			f.version++
			f.writtenAt = f.now
			d.node.duty.yielded(a)
		}
	}
}

func (d *simDaemon) finishPost(err error) {
	p := d.pending
	d.pending = nil
	d.node.duty.sent(p.action, err, d.node.clock.now(), p.start, d.fleet.now, d.fleet.members())
}

func (f *simFleet) commit(d *simDaemon, a commit) error {
	switch {
	case f.storeDown:
		return therror.New(therror.Down, "store")
	case !d.holding || d.version != f.version:
		return therror.New(therror.Conflict, "store")
	}
	f.record.State = a.state
	for _, r := range a.rows {
		if r.Value == nil {
			delete(f.rows, r.Key)
		} else {
			f.rows[r.Key] = r.Value
		}
	}
	f.write(d)
	if f.storeLost {
		return therror.New(therror.Unknown, "store")
	}
	return nil
}

// accept records a report at the API.
func (f *simFleet) accept(d *simDaemon, a post) {
	w := a.report.Window
	if known, found := f.reports[w]; found {
		if !maps.Equal(known, a.report.Counts) {
			f.breaches = append(f.breaches, fmt.Sprintf("window %d by %s: %v after %v", w, d.name, a.report.Counts, known))
		}
		return
	}
	f.reports[w] = maps.Clone(a.report.Counts)
	f.arrived[w] = f.now
}

func (f *simFleet) holder() *simDaemon {
	for _, d := range f.daemons {
		if !d.dead && d.held() {
			return d
		}
	}
	return nil
}

// inexact lists the ended windows between first and last that are not reported within 5% of
// the truth for every account.
func (f *simFleet) inexact(first, last int64) []string {
	var faults []string
	for w := first; w <= last; w++ {
		got, found := f.reports[w]
		if !found {
			faults = append(faults, fmt.Sprintf("window %+d is missing", w-first))
			continue
		}
		for account, want := range f.truth[w] {
			if n := float64(got[account]); n < 0.95*float64(want) || n > 1.05*float64(want) {
				faults = append(faults, fmt.Sprintf("window %+d: %s has %v of %d", w-first, account, n, want))
			}
		}
		if len(got) > len(f.truth[w]) {
			faults = append(faults, fmt.Sprintf("window %+d has accounts without requests", w-first))
		}
	}
	return faults
}
