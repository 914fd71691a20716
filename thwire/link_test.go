package thwire

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// Load: ten responses of 90 KB and ten of 5 KB are queued at once on a link of 10 Mbit/s. Guards
// against an estimate that does not follow the bytes and the speed, or counts the rest of large
// responses for small ones, which are sent first.
func TestTimeOfALink(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &Link{Speed: 10, Clock: clock}
	assert.Equal(t, l.Time(largeBody), 73728*time.Microsecond)
	for range 10 {
		l.Add(largeBody, true)
		l.Add(smallBody, false)
	}
	assert.Equal(t, l.Queued(), int64(10*(largeBody+smallBody)))
	assert.Equal(t, l.Time(largeBody), 11*l.Transfer(largeBody)+10*l.Transfer(smallBody))
	assert.Equal(t, l.Time(smallBody), 11*l.Transfer(smallBody)+l.Transfer(maxWrite))
	clock.Advance(10 * l.Transfer(smallBody))
	assert.Equal(t, l.Time(smallBody), l.Transfer(smallBody)+l.Transfer(maxWrite))
	assert.Equal(t, l.Backlog(), 10*l.Transfer(largeBody))
	clock.Advance(time.Second)
	assert.Equal(t, l.Backlog(), time.Duration(0))
	assert.Equal(t, l.Time(smallBody), l.Transfer(smallBody))
	l.Add(largeBody, true) // time in which the link was idle does not count
	assert.Equal(t, l.Backlog(), l.Transfer(largeBody))
}

// Guards against an effect of the link where its speed is not set.
func TestLinkOfUnknownSpeed(t *testing.T) {
	for _, l := range []*Link{nil, {}} {
		l.Add(largeBody, true)
		assert.Equal(t, l.Time(largeBody)+l.Backlog()+l.Transfer(largeBody), time.Duration(0))
		assert.Equal(t, l.Queued(), int64(0))
	}
}

// Guards against a statement of another daemon that makes expected times overflow.
func TestLinkTimeIsBounded(t *testing.T) {
	for stated, want := range map[int64]time.Duration{-1: 0, 0: 0, int64(time.Second): time.Second, 1 << 62: maxLinkTime} {
		l := Load{Link: stated}
		assert.Equal(t, l.LinkTime(), want)
	}
}

// Guards against sessions whose frames are not counted on the link.
func TestSessionsCountTheirFramesOnTheLink(t *testing.T) {
	own, peer := net.Pipe()
	defer peer.Close()
	clock := clockwork.NewFakeClock()
	link := &Link{Speed: 10, Clock: clock}
	s := startSessionOnLink(own, nil, clock, nil, link)
	defer s.Close()
	st, err := s.open(t.Context(), &Open{Route: "r"})
	assert.NilError(t, err)
	opened := link.Queued()
	assert.Assert(t, opened > 0)
	for range 3 {
		_, err = st.Write(make([]byte, maxDataFrame))
		assert.NilError(t, err)
	}
	assert.Assert(t, link.Queued()-opened >= 3*maxDataFrame, "%d", link.Queued())
	assert.Assert(t, link.Time(smallBody) < link.Backlog())
}
