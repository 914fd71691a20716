package thwire

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// frameQueue is a sendQueue, or the queue in order of arrival that it is compared with.
type frameQueue interface {
	hasRoom(u urgency, further int) bool
	add(u urgency, s *sender, encode func([]byte) ([]byte, error), later bool) (uint64, bool, error)
	take() []byte
}

// arrivalQueue writes frames in the order of their arrival, all that wait at once.
type arrivalQueue struct{ pending []byte }

func (a *arrivalQueue) hasRoom(urgency, int) bool { return len(a.pending) <= softQueueLimit }
func (a *arrivalQueue) add(_ urgency, _ *sender, encode func([]byte) ([]byte, error), _ bool) (uint64, bool, error) {
	b, err := encode(a.pending)
	a.pending = b
	return 0, true, err
}

func (a *arrivalQueue) take() []byte {
	b := a.pending
	a.pending = nil
	return b
}

// modelResponse is a response that a backend server has ready at a time.
type modelResponse struct {
	open   Open
	ready  time.Duration
	size   int
	flow   flow
	sent   int
	opened bool
	done   bool // End is queued
	time   time.Duration
}

// modelBody is the data of a frame.
var modelBody [maxDataFrame]byte

// linkModel is a link of a speed behind the queue of a session.
type linkModel struct {
	bytesPerSecond float64
	queue          frameQueue
	clock          *clockwork.FakeClock
	maxHeld        int // highest number of bytes in the queue
}

// run plays the responses, sorted by the time at which they are ready, and sets their times to
// the last byte. It returns the number of responses that were completed.
func (m *linkModel) run(t *testing.T, all []*modelResponse) int {
	t.Helper()
	start, completed, next := m.clock.Now(), 0, 0
	var writing []*modelResponse
	held := 0
	for completed < len(all) {
		now := m.clock.Since(start)
		for ; next < len(all) && all[next].ready <= now; next++ {
			writing = append(writing, all[next])
		}
		for _, r := range writing {
			held += m.write(t, r, now)
		}
		writing = slices.DeleteFunc(writing, func(r *modelResponse) bool { return r.done })
		m.maxHeld = max(m.maxHeld, held)
		b := m.queue.take()
		if len(b) == 0 {
			if next == len(all) {
				break
			}
			m.clock.Advance(all[next].ready - now)
			continue
		}
		held -= len(b)
		for offset := 0; offset < len(b); {
			size := (&lane{frames: b, start: offset}).frameSize()
			if Type(b[offset+lengthSize]) == TypeEnd {
				var e End
				assert.NilError(t, Decode(b[offset+lengthSize+typeSize:offset+size], &e))
				r := all[e.Stream]
				r.time = now + m.duration(offset+size) - r.ready
				completed++
			}
			offset += size
		}
		m.clock.Advance(m.duration(len(b)))
	}
	return completed
}

func (m *linkModel) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / m.bytesPerSecond * float64(time.Second))
}

// write queues as much of a response as there is room for and returns its bytes.
func (m *linkModel) write(t *testing.T, r *modelResponse, now time.Duration) int {
	add := func(u urgency, encode func([]byte) ([]byte, error)) int {
		n := 0
		_, ok, err := m.queue.add(u, &r.flow.sender, func(b []byte) ([]byte, error) {
			c, err := encode(b)
			n = len(c) - len(b)
			return c, err
		}, false)
		assert.NilError(t, err)
		assert.Assert(t, ok)
		return n
	}
	total := 0
	if !r.opened {
		r.opened = true
		r.flow.urgency = responseUrgency(&r.open, now-r.ready, int64(r.size))
		total += add(r.flow.urgency, func(b []byte) ([]byte, error) {
			return AppendFrame(b, TypeHead, &Head{Stream: r.open.Stream, Status: 200})
		})
	}
	for r.sent < r.size {
		if !m.queue.hasRoom(r.flow.urgency, 0) {
			return total
		}
		n := min(maxDataFrame, r.size-r.sent)
		total += add(r.flow.nextUrgency(n), func(b []byte) ([]byte, error) {
			return AppendRaw(b, TypeResponseBody, r.open.Stream, modelBody[:n])
		})
		r.sent += n
	}
	r.done = true
	return total + add(control, func(b []byte) ([]byte, error) { return AppendFrame(b, TypeEnd, &End{Stream: r.open.Stream}) })
}

// tollResponses returns the responses of a daemon beside a server of `releves` for a time: a
// tenth of 118 downloads and of 264 small responses a second.
func tollResponses(seed uint64, length time.Duration) []*modelResponse {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []*modelResponse
	arrivals := func(rate float64, size int, o Open) {
		for at := time.Duration(0); ; {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at > length {
				return
			}
			all = append(all, &modelResponse{open: o, ready: at, size: size})
		}
	}
	arrivals(11.8, largeBody, Open{Priority: 2, Goal: int64(660 * time.Millisecond)})
	arrivals(26.4, smallBody, Open{Priority: 0, Goal: int64(330 * time.Millisecond)})
	slices.SortFunc(all, func(a, b *modelResponse) int { return int(a.ready - b.ready) })
	for i, x := range all {
		x.open.Stream = uint32(i)
	}
	return all
}

// modelFigures are the times of the responses of a size.
type modelFigures struct{ median, p99, worst, mean time.Duration }

func (f modelFigures) String() string {
	ms := time.Millisecond
	return fmt.Sprintf("median %s, p99 %s, worst %s, mean %s", f.median.Round(ms), f.p99.Round(ms), f.worst.Round(ms), f.mean.Round(ms))
}

func figuresOf(all []*modelResponse, size int) modelFigures {
	var times []time.Duration
	sum := time.Duration(0)
	for _, r := range all {
		if r.size == size {
			times = append(times, r.time)
			sum += r.time
		}
	}
	slices.Sort(times)
	return modelFigures{
		median: times[len(times)/2], p99: times[len(times)*99/100], worst: times[len(times)-1], mean: sum / time.Duration(len(times)),
	}
}

// maxOvershoot is what writers may add beyond the soft limit: a data frame, and the frames
// without data, which are not limited by it.
const maxOvershoot = 2 * maxWrite

// Load: a link of 10 Mbit/s that is used to 98%, by responses of 90 KB and urgent ones of 5 KB.
// Guards against small responses that wait for the rest of large ones, against large ones that
// are never sent, and against a queue that grows with the load.
func TestSmallResponsesAreSentBeforeTheRestOfLargeOnes(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		play := func(q frameQueue) (small, rest modelFigures, held int) {
			m := linkModel{bytesPerSecond: 10e6 / 8, queue: q, clock: clockwork.NewFakeClock()}
			all := tollResponses(seed, 2*time.Minute)
			assert.Equal(t, m.run(t, all), len(all))
			return figuresOf(all, smallBody), figuresOf(all, largeBody), m.maxHeld
		}
		smallBefore, largeBefore, heldBefore := play(&arrivalQueue{})
		small, rest, held := play(newSendQueue())
		t.Logf("seed %d: in order of arrival: small %v, large %v, %d bytes held", seed, smallBefore, largeBefore, heldBefore)
		t.Logf("seed %d: by urgency: small %v, large %v, %d bytes held", seed, small, rest, held)
		// A small response waits for the write in progress and, once in laneShare, for one of large ones.
		assert.Assert(t, small.p99 < 100*time.Millisecond, "%v", small.p99)
		assert.Assert(t, small.p99 < smallBefore.p99/4, "%v, %v", small.p99, smallBefore.p99)
		assert.Assert(t, rest.mean < largeBefore.mean*5/4, "%v, %v", rest.mean, largeBefore.mean)
		assert.Assert(t, held <= softQueueLimit+maxOvershoot, "%d", held)
	}
}

// Load: urgent small responses alone would fill the link. Guards against large responses that
// starve beside them.
func TestLargeResponsesAreSentBesideEndlessUrgentOnes(t *testing.T) {
	q := newSendQueue()
	var s, other sender
	add := func(u urgency, from *sender, n int) {
		_, ok, err := q.add(u, from, func(b []byte) ([]byte, error) { return AppendRaw(b, TypeResponseBody, uint32(u), make([]byte, n)) }, false)
		assert.NilError(t, err)
		assert.Assert(t, ok)
	}
	for range 8 {
		add(large, &s, maxDataFrame)
	}
	writes := 0
	for ; q.lanes[large].waiting() > 0; writes++ {
		add(urgent, &other, maxDataFrame)
		assert.Assert(t, len(q.take()) > 0)
		assert.Assert(t, writes < 9*8+1, "large frames starve")
	}
	assert.Assert(t, writes >= 8*8, "large frames take more than their share")
}
