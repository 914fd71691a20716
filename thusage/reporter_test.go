package thusage

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thlease"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fakeLease is a lease that a test gives and takes.
type fakeLease struct {
	mutex   sync.Mutex
	token   uint64 // zero when not held
	state   []byte
	rows    map[string][]byte
	commits int
	refused int // commits without the lease
	yields  int
	heard   string
	change  func(commits int) // called after a commit
}

func (l *fakeLease) set(token uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.token = token
}

func (l *fakeLease) Held() (thlease.Tenure, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return thlease.Tenure{Token: l.token}, l.token != 0
}

func (l *fakeLease) Valid() time.Duration {
	if _, held := l.Held(); held {
		return 2 * time.Second
	}
	return 0
}

func (l *fakeLease) Commit(_ context.Context, state []byte, rows ...thlease.Row) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.token == 0 {
		l.refused++
		return therror.New(therror.Conflict, "not held")
	}
	l.commits++
	l.state = state
	for _, r := range rows {
		l.rows[r.Key] = r.Value
		if r.Value == nil {
			delete(l.rows, r.Key)
		}
	}
	if l.change != nil {
		l.change(l.commits)
	}
	return nil
}

func (l *fakeLease) Heard(holder string, _, _ uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.heard = holder
}

func (l *fakeLease) Current() (string, uint64, uint64, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.token != 0 {
		return "a", l.token, 9, 0
	}
	return "", 0, 0, 0
}

func (l *fakeLease) Yield(context.Context, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.yields++
	l.token = 0
}

// fakeAPI calls a function for each post.
type fakeAPI func(ctx context.Context, holder string, token uint64, r Report) error

func (f fakeAPI) Post(ctx context.Context, holder string, token uint64, r Report) error {
	return f(ctx, holder, token, r)
}

type testFleet struct {
	clock *thclock.Stepped
	start time.Time
	lease *fakeLease
	posts chan Report
	sent  chan thwire.Message
	log   *lockedBuffer
}

type lockedBuffer struct {
	mutex sync.Mutex
	b     bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.b.String()
}

// newTestReporter returns a reporter named a without other daemons. Its time of day is simStart.
func newTestReporter() (*Reporter, *testFleet) {
	f := &testFleet{
		clock: thclock.NewStepped(), lease: &fakeLease{rows: map[string][]byte{}},
		posts: make(chan Report, 100), sent: make(chan thwire.Message, 1000), log: &lockedBuffer{},
	}
	// Steps are in whole seconds.
	f.clock.Step((simStart - timeOfDay(f.clock)).Truncate(time.Second) - time.Second)
	f.clock.Advance(simStart - timeOfDay(f.clock))
	f.start = f.clock.Now()
	r := &Reporter{
		Name: "a", Counter: &Counter{}, lease: f.lease, Clock: f.clock,
		Elapsed: func() time.Duration { return f.clock.Since(f.start) + time.Hour },
		API: fakeAPI(func(_ context.Context, _ string, _ uint64, r Report) error {
			f.posts <- r
			return nil
		}),
		Send: func(_ string, _ thwire.Type, m thwire.Message) error {
			f.sent <- m
			return nil
		},
		Members: func() []thwire.Member { return []thwire.Member{{Name: "a"}} },
		Log:     hclog.New(&hclog.LoggerOptions{Output: f.log}),
	}
	return r, f
}

// pass lets d pass for a reporter with two goroutines that wait.
func (f *testFleet) pass(t *testing.T, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= simStep {
		f.await(t, 2)
		f.clock.Advance(simStep)
	}
	f.await(t, 2)
}

// post returns the next report. The timer of a commit in progress counts as one that waits for
// the clock, so that the clock may be ahead of the reporter by a step, and has to go on.
func (f *testFleet) post(t *testing.T) Report {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		select {
		case r := <-f.posts:
			return r
		case <-time.After(100 * time.Millisecond): // real time, for the goroutines that the clock woke
			f.clock.Advance(simStep)
		}
	}
	t.Fatal("no report")
	return Report{}
}

// await waits until n goroutines wait for the clock.
func (f *testFleet) await(t *testing.T, n int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, f.clock.BlockUntilContext(ctx, n))
}

// awaitCommits waits until the lease has had n commits, and fails the test if it has more. The
// timer of a commit in progress counts as one that waits for the clock.
func (f *testFleet) awaitCommits(t *testing.T, n int) {
	t.Helper()
	count := func() int {
		f.lease.mutex.Lock()
		defer f.lease.mutex.Unlock()
		return f.lease.commits
	}
	for end := time.Now().Add(20 * time.Second); count() < n && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // real time, for the goroutines that the clock woke
	}
	assert.Equal(t, count(), n)
}

func startHolder(t *testing.T, r *Reporter, f *testFleet) {
	t.Helper()
	assert.NilError(t, r.Start(context.Background()))
	t.Cleanup(r.Stop)
	f.await(t, 2)
	f.lease.set(3)
	r.startTenure(thlease.Tenure{Token: 3}, thlease.Record{}, nil)
	// The first window that is reported is the one in which the holder begins.
	begun := func() bool {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return r.node.duty.known
	}
	for end := time.Now().Add(20 * time.Second); !begun() && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // real time, for the goroutine of the duty
	}
	assert.Assert(t, begun())
}

// Guards against windows of a time of day that is stepped while the process runs, and against
// status and log lines that lack a report.
func TestReporterIgnoresSteps(t *testing.T) {
	r, f := newTestReporter()
	startHolder(t, r, f)
	f.pass(t, time.Second)
	for i := range 3 {
		r.Counter.Began("x")
		assert.DeepEqual(t, r.Status().Counts, map[string]uint64{"x": 1})
		f.clock.Step(time.Duration(100-70*i) * time.Second)
		f.pass(t, 5*time.Second)
		assert.DeepEqual(t, f.post(t), Report{firstWindow + int64(i), map[string]uint64{"x": 1}})
	}
	s := r.Status()
	s.Counts = nil
	assert.DeepEqual(t, s, Status{Holder: "a", Token: 3, Reported: 3})
	assert.Equal(t, strings.Count(f.log.String(), "window reported"), 3)
	for _, part := range []string{"window=353445120", "accounts=1", "requests=1", "token=3", "attempt=1", "outcome=accepted"} {
		assert.Assert(t, strings.Contains(f.log.String(), part), "%s in %s", part, f.log.String())
	}
	assert.Equal(t, len(f.lease.rows), 0)
	assert.Equal(t, string(f.lease.state), `{"first":353445123}`)
}

// Guards against a call that goes on after the lease has ended, with or without OnEnd, and
// against one without a limit of time.
func TestPostIsCancelledWithTheLease(t *testing.T) {
	for name, end := range map[string]func(r *Reporter, f *testFleet){
		"OnEnd": func(r *Reporter, _ *testFleet) { r.endTenure(thlease.Tenure{Token: 3}) },
		"expired": func(_ *Reporter, f *testFleet) {
			f.lease.set(0)
			f.clock.Advance(leaseCheck)
		},
		"timeout": func(_ *Reporter, f *testFleet) { f.clock.Advance(postTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			r, f := newTestReporter()
			began, ended := make(chan struct{}), make(chan error, 1)
			var calls atomic.Int32
			r.API = fakeAPI(func(ctx context.Context, _ string, _ uint64, _ Report) error {
				if calls.Add(1) > 1 {
					return nil
				}
				close(began)
				<-ctx.Done()
				ended <- ctx.Err()
				return therror.New(therror.Unknown, "cancelled")
			})
			startHolder(t, r, f)
			f.pass(t, 5*time.Second+freezeDelay-simStep)
			f.clock.Advance(simStep)
			for waiting := true; waiting; {
				select {
				case <-began:
					waiting = false
				case <-time.After(time.Millisecond): // real time, for the goroutines that the clock woke
					f.clock.Advance(simStep)
				}
			}
			f.await(t, 2) // one of them watches the lease
			end(r, f)
			select {
			case err := <-ended:
				assert.ErrorIs(t, err, context.Canceled)
			case <-time.After(20 * time.Second):
				t.Fatal("the post was not cancelled")
			}
		})
	}
}

// Guards against a post by a process that was frozen after its last check, and against a client
// that can't see that the lease has ended before its timers run.
func TestLeaseIsCheckedBeforeThePost(t *testing.T) {
	r, f := newTestReporter()
	f.lease.change = func(commits int) {
		if commits == 2 { // the frozen window
			f.lease.token = 0
		}
	}
	startHolder(t, r, f)
	f.pass(t, 8*time.Second)
	assert.Equal(t, len(f.posts), 0)
	assert.Equal(t, len(f.lease.rows), 1)
	assert.Equal(t, f.lease.refused, 0)

	f.lease.set(3)
	ctx, end := r.whileHeld(context.Background(), 3)
	assert.NilError(t, ctx.Err())
	f.lease.set(4)
	assert.ErrorIs(t, ctx.Err(), context.Canceled)
	end()
	ended, cancel := context.WithCancel(context.Background())
	cancel() // so that post does not wait
	r.post(ended, post{token: 3, report: Report{Window: firstWindow}})
	assert.Equal(t, len(f.posts), 0)
}

// Guards against writes and warnings between OnStart and the moment from which the holder may
// act, and against a holder that does not begin then.
func TestHolderWaitsForItsLease(t *testing.T) {
	r, f := newTestReporter()
	assert.NilError(t, r.Start(context.Background()))
	t.Cleanup(r.Stop)
	f.await(t, 2)
	r.startTenure(thlease.Tenure{Token: 3}, thlease.Record{}, nil)
	f.pass(t, time.Second)
	assert.Equal(t, f.lease.refused, 0)
	f.lease.set(3)
	f.pass(t, time.Second)
	f.awaitCommits(t, 1)
}

// Guards against counts that are lost when a daemon stops.
func TestStopSendsAllCounts(t *testing.T) {
	r, f := newTestReporter()
	r.Members = func() []thwire.Member { return []thwire.Member{{Name: "a"}, {Name: "b"}} }
	assert.NilError(t, r.Start(context.Background()))
	f.await(t, 2)
	r.Counter.Began("x")
	r.Stop()
	<-r.Done()
	var last *thwire.UsageCounts
	for len(f.sent) > 0 {
		last = (<-f.sent).(*thwire.UsageCounts)
	}
	w := last.Windows[len(last.Windows)-1]
	assert.DeepEqual(t, w, thwire.UsageWindow{Number: firstWindow, Counts: []thwire.UsageCount{{Account: "x", Count: 1}}})
}

// Guards against daemons that read the store because replies do not tell of the holder, and
// against a reply to an own name or an unknown holder.
func TestRepliesTellOfTheHolder(t *testing.T) {
	r, f := newTestReporter()
	assert.NilError(t, r.prepare())
	f.lease.set(3)
	payload, err := counts(1, firstWindow, true, "x", 1).MarshalMsg(nil)
	assert.NilError(t, err)
	r.node.settled = true
	r.HandleCounts("b", payload)
	reply := (<-f.sent).(*thwire.UsageReply)
	assert.DeepEqual(t, *reply, thwire.UsageReply{Now: int64(simStart), Received: []int64{firstWindow}, Holder: "a", Token: 3, Version: 9})
	for _, holder := range []string{"", "a", "c"} {
		payload, err = (&thwire.UsageReply{Holder: holder, Token: 4, Version: 8}).MarshalMsg(nil)
		assert.NilError(t, err)
		r.HandleReply("c", payload)
	}
	assert.Equal(t, f.lease.heard, "c")
	assert.Assert(t, r.node.pending)
}

// Guards against a line for each failure.
func TestFailuresAreLoggedOnceInAWhile(t *testing.T) {
	r, f := newTestReporter()
	assert.NilError(t, r.prepare())
	for range 100 {
		r.HandleCounts("b", nil)
		f.clock.Advance(warningInterval / 50)
	}
	assert.Equal(t, strings.Count(f.log.String(), "malformed"), 2)
}

// Guards against handlers, status and Stop that panic before Start.
func TestReporterBeforeStart(t *testing.T) {
	var r Reporter
	r.HandleCounts("b", nil)
	r.HandleReply("b", nil)
	assert.Equal(t, r.Status().Holder, "")
	r.Stop()
	assert.Assert(t, therror.Is(r.Start(context.Background()), therror.Internal))
}

// memoryStore is a store of the lease in memory.
type memoryStore struct {
	mutex   sync.Mutex
	record  thlease.Record
	version uint64
	rows    map[string][]byte
}

func (s *memoryStore) Read(context.Context) (thlease.Record, uint64, []thlease.Row, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var rows []thlease.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		rows = append(rows, thlease.Row{Key: key, Value: s.rows[key]})
	}
	return s.record, s.version, rows, nil
}

func (s *memoryStore) Replace(_ context.Context, version uint64, r thlease.Record, rows ...thlease.Row) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if version != s.version {
		return 0, therror.New(therror.Conflict, "version %d", s.version)
	}
	s.record = r
	s.version++
	for _, row := range rows {
		s.rows[row.Key] = row.Value
		if row.Value == nil {
			delete(s.rows, row.Key)
		}
	}
	return s.version, nil
}

// Guards against a reporter that does not get on with the lease: a duty that does not begin, is
// not announced, or is not handed over with its state.
func TestReporterWithItsLease(t *testing.T) {
	store := &memoryStore{rows: map[string][]byte{}}
	r, f := newTestReporter()
	announced := make(chan thwire.UsageReply, 100)
	r.Members = func() []thwire.Member { return []thwire.Member{{Name: "a"}, {Name: "b"}} }
	r.Send = func(_ string, _ thwire.Type, m thwire.Message) error {
		if reply, ok := m.(*thwire.UsageReply); ok {
			announced <- *reply
		}
		return nil
	}
	r.lease = nil
	r.Lease = &thlease.Lease{Name: "a", Store: store, Elapsed: r.Elapsed, Clock: f.clock}
	assert.NilError(t, r.Start(context.Background()))
	assert.NilError(t, r.Lease.Start(context.Background()))
	for range 30 * time.Second / simStep {
		f.await(t, 3)
		f.clock.Advance(simStep)
	}
	first := f.post(t).Window
	for w := first + 1; w <= firstWindow+2; w++ {
		assert.Equal(t, f.post(t).Window, w)
	}
	reply := <-announced
	assert.Equal(t, reply.Holder, "a")
	assert.Equal(t, reply.Token, r.Status().Token)
	r.Stop()
	r.Lease.Stop()
	<-r.Lease.Done()
	assert.Equal(t, store.record.Holder, "")
	var s dutyState
	assert.NilError(t, json.Unmarshal(store.record.State, &s))
	assert.Assert(t, s.First > firstWindow+2)
}
