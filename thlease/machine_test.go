package thlease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const instant = time.Millisecond

// Guards against a takeover before the holder's lease has certainly ended, and one by all ranks
// at once.
func TestTakeoverWaitsForDurationAndRank(t *testing.T) {
	for rank := range 3 {
		b := newBench(t, other(4))
		b.rank = rank
		wait := full + time.Duration(rank)*duration/2
		b.run(wait - instant)
		assert.Equal(t, b.held(), uint64(0))
		b.run(instant)
		assert.Equal(t, b.held(), uint64(5))
	}
}

// Guards against a takeover from a holder that renews.
func TestChangedRecordRestartsTheWait(t *testing.T) {
	b := newBench(t, other(4))
	for range 20 {
		b.run(2 * time.Second)
		b.store.put(Record{Holder: "b", Process: 5, Token: 4, Renewal: b.store.record.Renewal + 1})
	}
	assert.Equal(t, len(b.store.writes), 0)
	b.run(2 * full)
	assert.Equal(t, b.held(), uint64(5))
}

// Guards against more than one call a second by the holder, and against calls by the others
// while they receive messages about it.
func TestCallsOfTheStore(t *testing.T) {
	h, o := newHolder(t), newBench(t, &fakeStore{})
	o.rank = -1
	before := h.store.reads + len(h.store.writes)
	for range 60 {
		h.run(time.Second)
		assert.Equal(t, h.held(), uint64(1))
		holder, token, version, _ := h.lease.Current()
		o.lease.Heard(holder, token, version)
		o.rank = 0
		o.run(time.Second)
	}
	assert.Assert(t, h.store.reads+len(h.store.writes)-before <= 60)
	assert.Equal(t, o.store.reads+len(o.store.writes), 0)
	holder, token, _, age := o.lease.Current()
	assert.Equal(t, holder, "a")
	assert.Equal(t, token, uint64(1))
	assert.Equal(t, age, time.Second)
}

// Guards against a holder that acts after a freeze or a suspension has outlasted its lease.
func TestLeaseEndsByElapsed(t *testing.T) {
	b := newHolder(t)
	b.now += lease - instant
	assert.Equal(t, b.held(), uint64(1))
	assert.Equal(t, b.lease.Valid(), instant)
	b.now += instant
	assert.Equal(t, b.held(), uint64(0))
}

// Guards against a new token for a holder that nobody has replaced, and against one that acts
// although another daemon has taken over during its freeze.
func TestHolderAfterFreeze(t *testing.T) {
	b := newHolder(t)
	b.now += time.Minute
	b.settle()
	assert.Equal(t, b.held(), uint64(1))
	assert.Equal(t, len(b.ends), 0)

	b.now += time.Minute
	b.store.put(Record{Holder: "b", Process: 5, Token: 2, Renewal: 1})
	b.settle()
	assert.Equal(t, b.held(), uint64(0))
	assert.DeepEqual(t, b.ends, []uint64{1})
	b.run(full - instant)
	assert.Equal(t, b.held(), uint64(0))
	b.run(instant)
	assert.Equal(t, b.held(), uint64(3))
}

// Guards against a holder that doesn't recognise its own record after a lost answer, and against
// a lease that counts from a later moment than that of the write.
func TestLostAnswerToRenewal(t *testing.T) {
	b := newHolder(t)
	b.store.lost = true
	b.run(third) // the renewal is sent now
	b.settle()
	sent := b.now
	b.store.lost, b.store.err = false, errDown
	b.run(firstPause) // the read fails
	b.store.err = nil
	b.store.lost = true
	b.run(3 * firstPause)
	assert.Equal(t, b.held(), uint64(1))
	assert.Equal(t, b.lease.Valid(), sent+lease-b.now)
	b.store.lost = false
	b.run(time.Minute)
	assert.Equal(t, b.held(), uint64(1))
	assert.Equal(t, len(b.ends), 0)
}

// Guards against a takeover whose answer is lost: the daemon would wait for itself, or count its
// lease from the read.
func TestLostAnswerToTakeover(t *testing.T) {
	b := newBench(t, other(4))
	b.run(full - instant)
	b.store.lost = true
	b.run(instant)
	sent := b.now
	b.settle()
	assert.Equal(t, b.held(), uint64(0))
	b.run(firstPause)
	assert.Equal(t, b.held(), uint64(5))
	assert.Equal(t, b.lease.Valid(), sent+lease-b.now)
}

// Guards against a takeover that the store performs seconds later: nobody may act on it without
// a renewal, and the daemon must not use a further token.
func TestLateTakeover(t *testing.T) {
	b := newBench(t, other(4))
	b.run(full - instant)
	b.store.dropped = true
	b.run(instant)
	b.settle()
	late := b.store.writes[0]
	b.store.err = errDown // nothing is read meanwhile
	b.run(5 * time.Second)
	b.store.dropped, b.store.err = false, nil
	b.store.put(late)
	b.run(time.Second)
	assert.Equal(t, b.held(), uint64(5))
	assert.Equal(t, len(b.starts), 1)
	assert.Assert(t, b.store.record.Renewal > late.Renewal)
}

// Guards against the version of an answer that is so late that another daemon may have taken
// over: the holder would overwrite its record.
func TestVersionOfLateAnswerIsNotUsed(t *testing.T) {
	b := newHolder(t)
	b.now += third
	_, ok := b.lease.next().(writeAction)
	assert.Assert(t, ok)
	b.store.version++
	b.store.put(Record{Holder: "b", Process: 5, Token: 2, Renewal: 1})
	b.now += duration
	b.lease.writeDone(b.store.version, nil)
	b.settle()
	assert.Equal(t, b.held(), uint64(0))
	assert.Equal(t, b.store.record.Holder, "b")
}

// Guards against a holder that gives up, or never stops, when the answer's version is that of a
// later write to another row.
func TestVersionOfAnotherRow(t *testing.T) {
	b := newHolder(t)
	b.store.ahead = 3
	b.run(time.Second)
	b.store.version-- // the record is older than the answer said
	b.store.ahead = 0
	b.run(time.Minute)
	assert.Equal(t, b.held(), uint64(1))
	assert.Equal(t, len(b.ends), 0)
}

// Guards against a wait that restarts when the record is older than the version that was heard.
func TestHeardVersionOfAnotherRow(t *testing.T) {
	b := newBench(t, other(4))
	b.lease.Heard("b", 4, b.store.version+2)
	b.run(full)
	assert.Equal(t, b.held(), uint64(5))
}

// Guards against a takeover that repeated messages about a dead holder postpone for ever.
func TestRepeatedMessageDoesNotPostpone(t *testing.T) {
	b := newBench(t, other(4))
	for range 33 {
		b.lease.Heard("b", 4, 40)
		b.lease.Heard("c", 3, 39)
		b.run(full / 33)
	}
	assert.Equal(t, b.held(), uint64(5))
}

// Guards against a released duty that waits for a lease, and against the order A, B, A: a daemon
// that has just started or held the duty must wait.
func TestReleasedRecord(t *testing.T) {
	b := newBench(t, other(4))
	b.rank = 2
	b.run(full)
	b.store.put(Record{Token: 4})
	b.lease.Heard("", 4, b.store.version)
	b.settle()
	assert.Equal(t, b.held(), uint64(5))

	b.lease.yield(0)
	b.settle()
	b.store.put(Record{Token: 6}) // another daemon has held and released it
	b.lease.Heard("", 6, b.store.version)
	b.run(full - instant)
	assert.Equal(t, b.held(), uint64(0))
	b.run(instant)
	assert.Equal(t, b.held(), uint64(7))

	started := newBench(t, &fakeStore{record: Record{Token: 4}, version: 3})
	started.run(full - instant)
	assert.Equal(t, started.held(), uint64(0))
	started.run(instant)
	assert.Equal(t, started.held(), uint64(5))
}

// Guards against a restored store: tokens must not decrease, the released record of the copy
// must not be taken while a holder may act, and a damaged record counts as held.
func TestRestoredStore(t *testing.T) {
	b := newBench(t, other(9))
	b.run(full / 2)
	b.store.put(Record{Token: 4})
	b.run(full / 2)
	b.settle() // reads the released record
	b.run(full - instant)
	assert.Equal(t, b.held(), uint64(0))
	b.run(instant)
	assert.Equal(t, b.held(), uint64(10))

	d := newBench(t, other(9))
	d.run(full / 2)
	d.store.put(Record{})
	d.run(full / 2)
	d.settle() // reads the damaged record
	d.run(full - instant)
	assert.Equal(t, d.held(), uint64(0))
	d.run(instant)
	assert.Equal(t, d.held(), uint64(10))
}

// Guards against a tenure that goes on over an older record of its own, which lacks rows.
func TestRestoredRecordEndsTenure(t *testing.T) {
	b := newHolder(t)
	old := b.store.record
	b.run(5 * time.Second)
	b.store.put(old)
	b.run(time.Second)
	assert.Equal(t, b.held(), uint64(0))
	assert.DeepEqual(t, b.ends, []uint64{1})
	b.run(full)
	assert.Equal(t, b.held(), uint64(2))
	assert.Equal(t, len(b.starts), 2)
}

// Guards against a holder that acts beside one with a higher token.
func TestHigherTokenEndsTenure(t *testing.T) {
	b := newHolder(t)
	b.lease.Heard("b", 8, 1)
	assert.Equal(t, b.held(), uint64(0))
	b.run(full)
	assert.DeepEqual(t, b.ends, []uint64{1})
	assert.Equal(t, b.held(), uint64(9))
}

// Guards against a takeover, by a daemon whose own reads failed, from a holder that only the
// store's absence kept from renewing.
func TestHolderContinuesAfterOutage(t *testing.T) {
	b := newBench(t, other(4))
	b.run(time.Second)
	b.store.err = errDown
	b.run(20 * time.Second)
	assert.Equal(t, b.held(), uint64(0))
	b.store.err = nil
	b.run(time.Second)
	assert.Equal(t, b.held(), uint64(0))
	b.store.put(Record{Holder: "b", Process: 5, Token: 4, Renewal: 10})
	b.run(full - instant)
	assert.Equal(t, b.held(), uint64(0))

	h := newHolder(t)
	h.store.err = errDown
	h.run(20 * time.Second)
	assert.Equal(t, h.held(), uint64(0))
	h.store.err = nil
	h.run(time.Second)
	assert.Equal(t, h.held(), uint64(1))
	assert.Equal(t, len(h.ends), 0)
}

// Guards against calls in quick succession to an absent store, and against a pause that outlasts
// the lease.
func TestPauseAfterErrors(t *testing.T) {
	b := newBench(t, &fakeStore{err: errDown})
	for _, ms := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		assert.Equal(t, b.settle()-b.now, ms*time.Millisecond)
		b.now += ms * time.Millisecond
	}
	b.store.err = nil
	b.settle()
	assert.Equal(t, b.lease.machine.pause, time.Duration(0))
}

// Guards against calls without end to a store that answers each write with a conflict.
func TestPauseAfterRepeatedConflicts(t *testing.T) {
	b := newBench(t, other(4))
	b.store.conflict = true
	b.run(full)
	before := b.store.reads
	b.run(20 * time.Second)
	assert.Assert(t, b.store.reads-before < 50, "%d reads", b.store.reads-before)
	assert.Equal(t, b.held(), uint64(0))
	b.store.conflict = false
	b.run(time.Second)
	assert.Equal(t, b.held(), uint64(5))
}

// Guards against calls and takeovers by a daemon that may not take over.
func TestNegativeRank(t *testing.T) {
	b := newBench(t, other(4))
	b.rank = -1
	b.run(time.Minute)
	assert.Equal(t, b.store.reads+len(b.store.writes), 0)
}

// Guards against a restarted process that goes on with the token of the earlier one.
func TestRecordOfEarlierProcess(t *testing.T) {
	b := newBench(t, &fakeStore{record: Record{Holder: "a", Process: 76, Token: 4, Renewal: 9}, version: 40})
	b.run(full - instant)
	assert.Equal(t, b.held(), uint64(0))
	b.run(instant)
	assert.Equal(t, b.held(), uint64(5))
}

// Guards against a lease that counts from the answer to a write instead of its sending.
func TestLeaseCountsFromSending(t *testing.T) {
	b := newHolder(t)
	b.now += third
	w, ok := b.lease.next().(writeAction)
	assert.Assert(t, ok)
	version, err := b.store.Replace(t.Context(), w.version, w.record)
	assert.NilError(t, err)
	b.now += third
	b.lease.writeDone(version, nil)
	assert.Equal(t, b.lease.Valid(), lease-third)
}
