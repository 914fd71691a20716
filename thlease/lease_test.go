package thlease

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// write hands a commit to the machine and returns its result, or false while it has none.
func (b *bench) write(state string, rows ...Row) func() (error, bool) {
	c := &commit{state: []byte(state), rows: rows, done: make(chan error, 1)}
	if err := b.lease.begin(c); err != nil {
		return func() (error, bool) { return err, true }
	}
	return func() (error, bool) {
		select {
		case err := <-c.done:
			return err, true
		default:
			return nil, false
		}
	}
}

// Guards against state and rows that are lost when the holder changes, or that a renewal
// overwrites.
func TestStateIsHandedOver(t *testing.T) {
	b := newHolder(t)
	result := b.write("s1", Row{Key: "w/1", Value: []byte("one")})
	b.settle()
	err, done := result()
	assert.Assert(t, done)
	assert.NilError(t, err)
	b.run(5 * time.Second)
	assert.Equal(t, string(b.store.record.State), "s1")
	b.lease.yield(0)
	b.run(full)
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[1].record.Token, uint64(2))
	assert.Equal(t, string(b.starts[1].record.State), "s1")
	assert.DeepEqual(t, b.starts[1].rows, []Row{{Key: "w/1", Value: []byte("one")}})
}

// Guards against a commit that reports a failure although it was performed, one that is never
// repeated, and one that a renewal undoes.
func TestCommitWithoutAnswer(t *testing.T) {
	b := newHolder(t)
	b.store.lost = true
	result := b.write("s1")
	b.settle()
	_, done := result()
	assert.Assert(t, !done)
	b.store.lost = false
	b.run(firstPause)
	err, done := result()
	assert.Assert(t, done)
	assert.NilError(t, err)

	b.store.dropped = true
	result = b.write("s2")
	b.settle()
	b.store.dropped = false
	b.run(firstPause)
	err, done = result()
	assert.Assert(t, done)
	assert.NilError(t, err)
	b.run(2 * time.Second)
	assert.Equal(t, string(b.store.record.State), "s2")
}

// Guards against a commit by a daemon that is no longer the holder, which is reported as done
// or attempted for ever.
func TestCommitConflict(t *testing.T) {
	b := newHolder(t)
	b.store.put(Record{Holder: "b", Process: 5, Token: 2, State: []byte("other")})
	result := b.write("s1")
	b.settle()
	err, done := result()
	assert.Assert(t, done)
	assert.Equal(t, therror.KindOf(err), therror.Conflict)
	err, _ = b.write("s1")()
	assert.Equal(t, therror.KindOf(err), therror.Conflict)
	assert.Equal(t, string(b.store.record.State), "other")
}

// Guards against a commit with impossible content that is repeated and keeps the lease from
// being renewed.
func TestCommitOfInvalidContent(t *testing.T) {
	b := newHolder(t)
	b.store.err = therror.New(therror.Large, "too many rows")
	result := b.write("s1")
	b.settle()
	err, done := result()
	assert.Assert(t, done)
	assert.Equal(t, therror.KindOf(err), therror.Large)
	b.store.err = nil
	b.run(2 * time.Second)
	assert.Equal(t, b.held(), uint64(1))
	assert.Equal(t, len(b.store.record.State), 0)
}

// Guards against an owner that still acts when the record is already released, a release that is
// not repeated, and a daemon that takes the duty again too early.
func TestYield(t *testing.T) {
	b := newHolder(t)
	end := b.lease.OnEnd
	b.lease.OnEnd = func(tenure Tenure) {
		assert.Equal(t, b.store.record.Holder, "a", "released before OnEnd")
		end(tenure)
	}
	b.store.dropped = true
	released := b.lease.yield(10 * time.Second)
	assert.Equal(t, b.held(), uint64(0))
	b.settle()
	assert.DeepEqual(t, b.ends, []uint64{1})
	b.store.dropped = false
	select {
	case <-released:
		t.Fatal("not yet released")
	default:
	}
	b.run(firstPause)
	<-released
	assert.Equal(t, b.store.record.Holder, "")
	b.run(10*time.Second - firstPause - instant)
	assert.Equal(t, b.held(), uint64(0))
	b.run(instant)
	assert.Equal(t, b.held(), uint64(2))
}

// Guards against a duty that stays with a daemon which yielded while its takeover or a renewal
// was under way.
func TestYieldDuringWrite(t *testing.T) {
	taker, holder := newBench(t, other(4)), newHolder(t)
	taker.run(full - instant)
	taker.now += instant
	holder.now += third
	for _, b := range []*bench{taker, holder} {
		a := b.lease.next()
		if _, ok := a.(readAction); ok {
			b.lease.perform(t.Context(), a)
			a = b.lease.next()
		}
		released := b.lease.yield(10 * time.Second)
		b.lease.perform(t.Context(), a)
		assert.Equal(t, b.held(), uint64(0))
		b.settle()
		<-released
		assert.Equal(t, b.store.record.Holder, "")
		assert.Equal(t, b.held(), uint64(0))
	}
}

// Guards against an owner's goroutine that blocks, a duty that is not released at the end, and
// changes of the holder that are not logged.
func TestLeaseWithItsGoroutine(t *testing.T) {
	clock, log := clockwork.NewFakeClock(), &bytes.Buffer{}
	origin, started, ended := clock.Now(), make(chan Tenure, 1), make(chan Tenure, 1)
	s := &fakeStore{record: Record{Holder: "b", Token: 4}, version: 7}
	l := &Lease{
		Name: "a", Store: s, Clock: clock, Elapsed: func() time.Duration { return clock.Since(origin) },
		Log:     hclog.New(&hclog.LoggerOptions{Output: log}),
		OnStart: func(t Tenure, _ Record, _ []Row) { started <- t },
		OnEnd:   func(t Tenure) { ended <- t },
	}
	assert.NilError(t, l.Start(t.Context()))
	advance, stop := context.WithCancel(t.Context())
	for waiting := true; waiting; {
		assert.NilError(t, clock.BlockUntilContext(advance, 1))
		clock.Advance(firstPause)
		select {
		case tenure := <-started:
			assert.Equal(t, tenure.Token, uint64(5))
			waiting = false
		default:
		}
	}
	stop()
	assert.NilError(t, l.Commit(t.Context(), []byte("s1")))
	tenure, held := l.Held()
	assert.Assert(t, held)
	assert.Equal(t, tenure.Token, uint64(5))
	l.Yield(t.Context(), time.Minute)
	assert.Equal(t, (<-ended).Token, uint64(5))
	assert.Equal(t, s.current().Holder, "")
	assert.Equal(t, therror.KindOf(l.Commit(t.Context(), nil)), therror.Conflict)
	l.Stop()
	<-l.Done()
	for _, line := range []string{
		`became holder of the duty: name=a token=5 reason="taken over"`, "no longer holder of the duty: name=a token=5 next=\"\" reason=yielded",
	} {
		assert.Equal(t, strings.Count(log.String(), line), 1, log.String())
	}
}

// Guards against a stopping holder that leaves the others to wait for the end of its lease, or
// waits for ever.
func TestStopReleases(t *testing.T) {
	for _, dropped := range []bool{false, true} {
		b := newHolder(t)
		b.store.dropped = dropped
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		b.lease.run(ctx)
		<-b.lease.Done()
		assert.DeepEqual(t, b.ends, []uint64{1})
		assert.Equal(t, b.store.record.Holder == "", !dropped)
		assert.Equal(t, therror.KindOf(b.lease.Commit(t.Context(), nil)), therror.Conflict)
	}
}

// Guards against a commit that outlasts its context, and one that is attempted after it.
func TestCommitEndsWithItsContext(t *testing.T) {
	b := newHolder(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, b.lease.Commit(ctx, []byte("s1")) != nil)
	b.run(2 * time.Second)
	assert.Equal(t, len(b.store.record.State), 0)
}

// Guards against methods that panic before Start, and a lease that starts without its fields.
func TestZeroLease(t *testing.T) {
	var l Lease
	_, held := l.Held()
	assert.Assert(t, !held)
	assert.Equal(t, l.Valid(), time.Duration(0))
	l.Heard("b", 1, 1)
	holder, token, _, _ := l.Current()
	assert.Equal(t, holder, "")
	assert.Equal(t, token, uint64(0))
	l.Yield(t.Context(), time.Second)
	assert.Equal(t, therror.KindOf(l.Commit(t.Context(), nil)), therror.Conflict)
	l.Stop()
	assert.ErrorContains(t, l.Start(t.Context()), "needs a name and a store")
}
