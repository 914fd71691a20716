package thwire

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// maxLinkTime bounds the time that another daemon may state for its link. It is the time
// after which the longest calls end.
const maxLinkTime = maxCallDuration

// Link estimates the bytes that wait on the network link of this daemon. It counts the bytes
// that are queued for the link and assumes that the link sends them at its speed. The methods
// of a nil Link report an empty link of unknown speed.
type Link struct {
	Speed float64 // Mbit/s; zero means unknown
	Clock clockwork.Clock

	// Times, as stamps, at which the link will have sent all bytes queued so far, and those
	// that are not part of large bodies, if they are sent first.
	all, small atomic.Int64
}

// Add counts bytes that are queued for the link. Bytes of large bodies are sent after others.
func (l *Link) Add(bytes int, isLarge bool) {
	if !l.Known() || bytes <= 0 {
		return
	}
	now, d := l.now(), l.Transfer(int64(bytes))
	extend(&l.all, now, d)
	if !isLarge {
		extend(&l.small, now, d)
	}
}

// extend moves the time at which a queue is empty.
func extend(empty *atomic.Int64, now int64, d time.Duration) {
	for {
		old := empty.Load()
		if empty.CompareAndSwap(old, max(old, now)+int64(d)) {
			return
		}
	}
}

func (l *Link) now() int64 { return thclock.Stamp(thclock.OrSystem(l.Clock).Now()) }

// Known reports whether the speed of the link is known.
func (l *Link) Known() bool { return l != nil && l.Speed > 0 }

// Transfer returns the time that an idle link takes for a number of bytes; zero if its speed is
// unknown.
func (l *Link) Transfer(bytes int64) time.Duration {
	if !l.Known() {
		return 0
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	return time.Duration(min(float64(bytes)*bitsPerByte/(l.Speed*bitsPerMegabit)*float64(time.Second), float64(maxLinkTime)))
}

// Backlog returns the time until the link has sent the bytes that are queued.
func (l *Link) Backlog() time.Duration {
	if !l.Known() {
		return 0
	}
	return max(0, time.Duration(l.all.Load()-l.now()))
}

// Queued returns the estimated number of bytes that are queued.
func (l *Link) Queued() int64 {
	if !l.Known() {
		return 0
	}
	return int64(float64(l.Backlog()) / float64(l.Transfer(1<<20)) * (1 << 20))
}

// Time returns the time until a response of this size would be sent if it were queued now. A
// small one waits for other small ones and for a write of a large one.
func (l *Link) Time(bytes int64) time.Duration {
	if !l.Known() {
		return 0
	}
	now := l.now()
	wait := max(0, time.Duration(l.all.Load()-now))
	if !IsLarge(bytes) {
		wait = min(wait, max(0, time.Duration(l.small.Load()-now))+l.Transfer(maxWrite))
	}
	return wait + l.Transfer(bytes)
}

// LinkTime returns the time that the link of the target is expected to add to a call. It is
// zero if unknown, and bounded, since it is the statement of another daemon.
func (l *Load) LinkTime() time.Duration {
	return min(max(0, time.Duration(l.Link)), maxLinkTime)
}

// maxUnsent is the number of bytes that a session on a link of known speed passes to the kernel
// ahead of the link, since frames can't overtake those: one write, so that the link always has
// bytes to send.
const maxUnsent = maxWrite

// limitUnsent limits the bytes that the kernel accepts for a TCP connection before it has sent
// them. Other connections are left as they are.
func limitUnsent(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	// Without the limit, calls are served in a less favourable order.
	_ = raw.Control(func(fd uintptr) { _ = setMaxUnsent(fd, maxUnsent) })
}
