package thlease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	modelTick     = 50 * time.Millisecond
	modelDuration = 3 * time.Second
	modelTalk     = 500 * time.Millisecond // as in usage reports
	// modelHealing is the time after the last fault within which a daemon must act again: the
	// rest of a Yield, a wait, a rank, a late write and a further wait.
	modelHealing = 25 * time.Second
)

// modelCall is a call of the store. It is performed at one time and answered at another.
type modelCall struct {
	action    action
	sent      time.Duration
	at        time.Duration // when the store performs it
	ready     time.Duration // when its answer arrives
	lost      bool          // the answer is lost
	performed bool
	answered  bool
	stored    stored
	version   uint64
	err       error
}

// modelStore is a store whose calls are performed when the model says so. Like the platform's,
// it answers a write with its newest version, which other rows raise too.
type modelStore struct {
	Store

	record  Record
	version uint64 // of the record
	newest  uint64
	calls   []*modelCall
	history []Record // performed writes
	down    bool
	lossy   bool          // answers are lost
	delay   time.Duration // of writes, which get no answer
}

func (s *modelStore) replace(version uint64, r Record) error {
	if version != s.version {
		return therror.New(therror.Conflict, "changed")
	}
	s.newest++
	s.version, s.record = s.newest, r
	s.history = append(s.history, r)
	return nil
}

// modelDaemon is a daemon whose steps the model performs instead of a goroutine.
type modelDaemon struct {
	lease   *Lease
	name    string
	rank    int
	clock   *thclock.Stepped
	boot    time.Duration // Elapsed at the model's start
	frozen  time.Duration // end of a freeze or suspension
	dead    bool
	wait    time.Duration // monotonic: next call of the machine
	mono    time.Duration
	suspend bool // the monotonic clock stands still while frozen
	call    *modelCall
	process uint64
	slow    time.Duration // until the store's answer arrives
	patient bool          // slow answers arrive although the call has timed out, as after a suspension
}

// modelAct is a call of the holder that has reached its receiver.
type modelAct struct {
	at      time.Duration
	name    string
	process uint64
	token   uint64
}

type fleetModel struct {
	t       *rapid.T
	now     time.Duration // true time
	store   modelStore
	daemons []*modelDaemon
	started uint64
	talking bool                     // daemons tell each other what they know of the holder
	sent    map[uint64]time.Duration // by process: when its last performed write was sent
	acts    []modelAct
}

func (f *fleetModel) start(d *modelDaemon) {
	f.started++
	d.process, d.call, d.wait, d.dead = f.started, nil, 0, false
	d.lease = &Lease{
		Name: d.name, Duration: modelDuration, Store: &f.store, Clock: d.clock,
		Elapsed: func() time.Duration { return d.boot + f.now },
		Rank:    func() int { return d.rank },
	}
	if err := d.lease.initialise(d.process); err != nil {
		f.t.Fatal(err)
	}
}

// run lets time pass.
func (f *fleetModel) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += modelTick
		for _, c := range f.store.calls {
			f.serve(c)
		}
		f.store.calls = slices.DeleteFunc(f.store.calls, func(c *modelCall) bool { return c.performed && c.answered })
		for _, d := range f.daemons {
			f.tick(d)
		}
		if f.talking && f.now%modelTalk == 0 {
			for _, d := range f.daemons {
				for _, to := range f.daemons {
					f.tell(d, to)
				}
			}
		}
	}
}

// serve performs and answers a call when its time has come.
func (f *fleetModel) serve(c *modelCall) {
	s := &f.store
	if !c.performed && f.now >= c.at {
		c.performed = true
		switch a := c.action.(type) {
		case readAction:
			c.stored = stored{record: s.record, version: s.version}
		case writeAction:
			err := s.replace(a.version, a.record)
			if err == nil && a.record.Holder != "" {
				f.sent[a.record.Process] = max(f.sent[a.record.Process], c.sent)
			}
			if !c.answered {
				c.err = err
			}
		}
	}
	if !c.answered && f.now >= c.ready {
		c.answered, c.version = true, s.newest
		if c.lost {
			c.err = therror.New(therror.Unknown, "no answer")
		}
	}
}

func (f *fleetModel) tick(d *modelDaemon) {
	frozen := f.now < d.frozen
	if !frozen || !d.suspend {
		d.mono += modelTick
		d.clock.Advance(modelTick)
	}
	if frozen || d.dead {
		return
	}
	// A daemon acts before it processes an answer: that is what it does at the end of a freeze.
	f.act(d)
	if c := d.call; c != nil {
		if !c.answered {
			return
		}
		d.call, d.wait = nil, 0
		if _, ok := c.action.(readAction); ok {
			d.lease.readDone(c.stored, c.err)
		} else {
			d.lease.writeDone(c.version, c.err)
		}
		f.act(d)
	}
	if d.mono >= d.wait {
		f.step(d)
	}
}

// step performs what the daemon's goroutine would do between two waits.
func (f *fleetModel) step(d *modelDaemon) {
	l, s := d.lease, &f.store
	a := l.next()
	if w, ok := a.(waitAction); ok {
		d.wait = d.mono + max(modelTick, w.until-l.Elapsed())
		return
	}
	c := &modelCall{action: a, sent: f.now, at: f.now, ready: f.now + d.slow, lost: s.lossy}
	d.call = c
	if s.down {
		c.ready, c.lost = f.now, true
		c.performed = true
		f.serve(c)
		return
	}
	if d.slow > 0 {
		c.at += f.draw("performed", d.slow)
	}
	if _, ok := a.(writeAction); ok && s.delay > 0 {
		c.at, c.lost = f.now+s.delay, true
	}
	if timeout := f.now + modelDuration/callPart; c.ready > timeout && !d.patient || c.ready < c.at {
		c.ready, c.lost = timeout, true
	}
	s.calls = append(s.calls, c)
	f.serve(c)
}

// act performs a call of the duty if the daemon believes that it may, and checks the invariants.
func (f *fleetModel) act(d *modelDaemon) {
	t, held := d.lease.Held()
	if !held {
		return
	}
	a := modelAct{at: f.now, name: d.name, process: d.process, token: t.Token}
	f.checkTokens(a)
	f.checkOrder(a)
	f.checkMachine(a)
	f.checkLease(a)
	// Only the last act of each holder matters to the checks.
	if n := len(f.acts); n > 0 && f.acts[n-1].process == a.process && f.acts[n-1].token == a.token {
		f.acts[n-1] = a
		return
	}
	f.acts = append(f.acts, a)
}

// checkTokens checks that no two holders use a token, and that tokens do not decrease.
func (f *fleetModel) checkTokens(a modelAct) {
	for _, b := range f.acts {
		if b.token == a.token && b.process != a.process {
			f.t.Fatalf("invariant tokens: %s and %s use one token", a, b)
		}
		if b.token > a.token {
			f.t.Fatalf("invariant tokens: %s after %s", a, b)
		}
	}
}

// checkOrder checks that no daemon acts again after another within a lease duration.
func (f *fleetModel) checkOrder(a modelAct) {
	other := false
	for _, b := range slices.Backward(f.acts) {
		switch {
		case b.name != a.name:
			other = true
		case other && a.at-b.at < modelDuration:
			f.t.Fatalf("invariant order: %s, another holder, %s", b, a)
		case other:
			return
		}
	}
}

// checkMachine checks that the store has named this machine as the token's holder.
func (f *fleetModel) checkMachine(a modelAct) {
	for _, r := range slices.Backward(f.store.history) {
		if r.Token == a.token && r.Holder != "" {
			if r.Holder != a.name || r.Process != a.process {
				f.t.Fatalf("invariant machine: %s, but the record names %s (process %d)", a, r.Holder, r.Process)
			}
			return
		}
	}
	f.t.Fatalf("invariant machine: %s, but the token was never written", a)
}

// checkLease checks that the act is within the lease of a performed write.
func (f *fleetModel) checkLease(a modelAct) {
	if f.store.record.Token > a.token {
		f.t.Fatalf("invariant lease: %s, but token %d is stored", a, f.store.record.Token)
	}
	if age := a.at - f.sent[a.process]; age > modelDuration-modelDuration/marginPart {
		f.t.Fatalf("invariant lease: %s, %v after the last renewal", a, age)
	}
}

func (a modelAct) String() string {
	return fmt.Sprintf("%s (process %d, token %d) at %v", a.name, a.process, a.token, a.at)
}

// fault changes one thing at random.
func (f *fleetModel) fault() {
	s := &f.store
	d := f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(f.t, "daemon")]
	faults := map[string]func(){
		"heal":  f.heal,
		"down":  func() { s.down = true },
		"lossy": func() { s.lossy = true },
		"delay": func() { s.delay = f.draw("delay", 8*time.Second) },
		"other": func() { s.newest++ }, // a write of another row
		"talk":  func() { f.talking = !f.talking },
		"heard": func() { f.tell(d, f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(f.t, "to")]) },
		"yield": f.yield,
	}
	if fault := faults[rapid.SampledFrom([]string{
		"", "yield", "heal", "", "talk", "yield", "heal", "", "", "down", "lossy", "delay", "heal", "other", "heard", "", "",
	}).Draw(f.t, "fault")]; fault != nil {
		fault()
		return
	}
	f.faultOf(d)
}

// faultOf changes one daemon.
func (f *fleetModel) faultOf(d *modelDaemon) {
	t := f.t
	switch rapid.SampledFrom([]string{"pause", "restart", "slow", "kill", "restart", "stop", "pause", "commit", "step", "rank"}).Draw(t, "fault") {
	case "pause":
		d.frozen = f.now + f.draw("pause", 8*time.Second)
		d.suspend = rapid.Bool().Draw(t, "suspend")
	case "kill":
		d.dead = true
	case "restart":
		f.start(d)
	case "step":
		d.clock.Step(time.Duration(rapid.IntRange(-9, 9).Draw(t, "step")) * time.Second)
	case "slow":
		d.slow = rapid.SampledFrom([]time.Duration{4 * time.Second, 200 * time.Millisecond, 6 * time.Second, time.Second, 2 * time.Second}).Draw(t, "slow")
		d.patient = rapid.Bool().Draw(t, "patient")
	case "rank":
		d.rank = rapid.IntRange(-1, 2).Draw(t, "rank")
	case "stop":
		if f.runs(d) {
			d.lease.stop()
			d.wait = 0
		}
	case "commit":
		if f.runs(d) {
			_ = d.lease.begin(&commit{done: make(chan error, 1)})
			d.wait = 0
		}
	}
}

// yield makes the holder yield.
func (f *fleetModel) yield() {
	for _, d := range f.daemons {
		if _, held := d.lease.Held(); held && f.runs(d) {
			d.lease.yield(rapid.SampledFrom([]time.Duration{time.Second, modelTalk, 0, 6 * time.Second}).Draw(f.t, "barred"))
			d.wait = 0
		}
	}
}

func (f *fleetModel) runs(d *modelDaemon) bool { return !d.dead && f.now >= d.frozen }

// draw returns a time up to the limit. Numbers and indices that rapid draws are mostly small, so
// the lists of the model begin with what finds the most faults.
func (f *fleetModel) draw(label string, limit time.Duration) time.Duration {
	parts := rapid.SampledFrom([]int{4, 8, 2, 12, 16, 1, 6, 10, 14, 0}).Draw(f.t, label)
	return (limit * time.Duration(parts) / 16).Truncate(modelTick)
}

// tell passes on what a daemon knows of the holder.
func (f *fleetModel) tell(d, to *modelDaemon) {
	if d == to || !f.runs(d) || !f.runs(to) {
		return
	}
	holder, token, version, _ := d.lease.Current()
	to.lease.Heard(holder, token, version)
	if holder == "" {
		to.wait = 0
	}
}

// heal ends all faults of the store.
func (f *fleetModel) heal() {
	f.store.down, f.store.lossy, f.store.delay = false, false, 0
	for _, d := range f.daemons {
		d.slow, d.patient = 0, false
	}
}

// Guards against two holders of a token, decreasing tokens, the order A, B, A within a lease
// duration, a holder that the store does not name, and one that acts without a lease, under
// freezes, suspensions, kills, restarts, lost answers, late writes, steps of the wall clock, a
// slow and an unavailable store; and against an election that stays without a holder after them.
func TestModelOfFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetModel{t: t, sent: map[uint64]time.Duration{}, talking: rapid.Bool().Draw(t, "talking")}
		for i := range rapid.IntRange(2, 3).Draw(t, "daemons") {
			d := &modelDaemon{name: string(rune('a' + i)), rank: i, clock: thclock.NewStepped(), boot: time.Duration(i) * time.Hour}
			f.daemons = append(f.daemons, d)
			f.start(d)
		}
		for range rapid.SampledFrom([]int{60, 40, 80, 20, 10, 4, 1}).Draw(t, "faults") {
			f.fault()
			f.run(f.draw("run", 4*time.Second))
		}
		f.heal()
		for i, d := range f.daemons {
			d.frozen, d.rank = 0, i
			if d.dead || d.lease.machine.stopped {
				f.start(d)
			}
		}
		f.run(modelHealing)
		healed := f.now
		f.run(modelDuration)
		if n := len(f.acts); n == 0 || f.acts[n-1].at < healed {
			t.Fatalf("no daemon acts %v after the last fault", modelHealing)
		}
	})
}
