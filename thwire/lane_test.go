package thwire

import (
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against frames of a stream that overtake each other when it changes lanes, against
// lost and repeated frames, and against a queue that keeps the memory of frames it has written.
func TestFramesOfAStreamKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const streams = 4
		q := newSendQueue()
		var senders [streams]sender
		var added, written [streams]uint32
		write := func() {
			b := q.take()
			for len(b) > 0 {
				size := (&lane{frames: b}).frameSize()
				id, data, err := SplitRaw(b[lengthSize+typeSize : size])
				assert.NilError(t, err)
				assert.Equal(t, binary.BigEndian.Uint32(data), written[id], "stream %d", id)
				written[id]++
				b = b[size:]
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id := rapid.Uint32Range(0, streams-1).Draw(t, "stream")
				u := urgency(rapid.IntRange(0, int(laneCount)-1).Draw(t, "urgency"))
				data := make([]byte, rapid.SampledFrom([]int{4, 100, 5000, maxDataFrame, 2 * maxDataFrame}).Draw(t, "size"))
				binary.BigEndian.PutUint32(data, added[id])
				_, ok, err := q.add(u, &senders[id], func(b []byte) ([]byte, error) { return AppendRaw(b, TypeResponseBody, id, data) }, false)
				assert.NilError(t, err)
				assert.Assert(t, ok)
				added[id]++
			},
			"write": func(*rapid.T) { write() },
			"": func(t *rapid.T) {
				waiting := 0
				for i := range q.lanes {
					l := &q.lanes[i]
					waiting += l.waiting()
					// Written frames are kept until they are more than the others before a write.
					const largest = lengthSize + typeSize + streamSize + 2*maxDataFrame
					assert.Assert(t, len(l.frames) <= 2*l.waiting()+2*largest, "%d bytes for %d", len(l.frames), l.waiting())
				}
				assert.Equal(t, waiting, q.pending)
			},
		})
		for q.pending > 0 {
			write()
		}
		assert.Equal(t, added, written)
	})
}

// Guards against a write that waits for ever because the one that was admitted before it ended
// without a frame.
func TestAdmittedWriterThatEndsAdmitsTheNext(t *testing.T) {
	q := newSendQueue()
	data := make([]byte, maxDataFrame)
	encode := func(b []byte) ([]byte, error) { return AppendRaw(b, TypeResponseBody, 1, data) }
	for q.hasRoom(large, 0) {
		_, _, err := q.add(large, nil, encode, false)
		assert.NilError(t, err)
	}
	first, second := &sender{room: make(chan struct{}, 1)}, &sender{room: make(chan struct{}, 1)}
	for _, s := range []*sender{first, second} {
		s.waiting, s.wanted = true, large
		q.waiters = append(q.waiters, s)
	}
	q.take()
	assert.Assert(t, !first.waiting)
	assert.Assert(t, second.waiting, "both are admitted to the room of one")
	q.leave(first)
	assert.Assert(t, !second.waiting)
	<-second.room
}

// Guards against the choice of a lane that ignores the priority, the size or the time that is
// left of the objective.
func TestUrgencyOfResponses(t *testing.T) {
	const goal = 800 * time.Millisecond
	for name, c := range map[string]struct {
		open   Open
		age    time.Duration
		length int64
		want   urgency
	}{
		"highest priority":             {Open{}, 0, smallBody, urgent},
		"highest priority, large":      {Open{}, 0, largeBody, largeUrgent},
		"head of a large resource":     {Open{Method: "HEAD"}, 0, largeBody, urgent},
		"unknown length":               {Open{Priority: 1}, 0, 0, normal},
		"lower priority":               {Open{Priority: 1, Goal: int64(goal)}, goal / 4, smallBody, normal},
		"little time left":             {Open{Priority: 1, Goal: int64(goal)}, goal * 3 / 4, smallBody, urgent},
		"little time left, large":      {Open{Priority: 1, Goal: int64(goal)}, goal * 3 / 4, largeBody, largeUrgent},
		"late":                         {Open{Goal: int64(goal)}, goal, smallBody, normal},
		"late, large":                  {Open{Goal: int64(goal)}, goal, largeBody, large},
		"late before it arrived":       {Open{Late: true}, 0, smallBody, normal},
		"lower priority, no objective": {Open{Priority: 1}, time.Hour, smallBody, normal},
	} {
		assert.Equal(t, responseUrgency(&c.open, c.age, c.length), c.want, name)
	}
}
