package thadmit

import (
	"math"
	"time"
)

const (
	hintAge    = 3 * time.Second // three probes
	startShare = 10              // a cold server gets slots/scheduleOwnReads calls
	decrease   = 0.7
	holdMax    = 8 // good rounds until the next try after a cold server was strained
	// roundMin is the fewest calls of a round; fewer make the average too noisy.
	// Until the limit has reached slots a round is shorter, since its calls may
	// strain the server.
	roundMin     = 10
	roundMinCold = 5
	// slowMax restarts the limiter: two rounds above coldFactor, which count two
	// each, or four above slowFactor.
	slowMax   = 4
	driftUp   = 20 // a round moves the baseline up by 1/driftUp of the difference
	driftDown = 8  // and down by 1/driftDown
	// noise is the number of standard errors that a round's average must differ
	// from the baseline by; in a mix of fast and slow calls a fixed factor alone
	// took ordinary rounds for overload.
	noise = 2.5
	// Quick errors lower the limit from failedMin of a round and one in failedShare
	// on: fewer say that a dependency or a request fails, not that the server is
	// overloaded. With each error lowering it, 3% of errors took three quarters of
	// a server's limit.
	failedMin   = 3
	failedShare = 5
	// decreaseMin bounds the rate of decreases where calls take next to no time.
	decreaseMin = 5 * time.Millisecond
)

// Multiples of the baseline, as logarithms.
var (
	slowFactor = math.Log(2) // latency above it stops the increase
	coldFactor = math.Log(3) // latency above it means overload or a cold server
	// warmFactor replaces slowFactor until the limit has reached slots: there the
	// limit is close to what the server can handle, and few calls of a round show it.
	warmFactor = math.Log(1.3)
)

// limiter adapts the limit to what the backend server proves to handle. Calls
// are judged in rounds of at least limit calls, by the average logarithm of
// their latency, since single calls of one service differ widely. A round holds
// only calls that began under the limit it judges.
type limiter struct {
	slots    int
	limit    int
	cold     bool      // as advertised
	proven   bool      // a round at the limit of slots was good since the last restart
	raised   bool      // the last change of the limit was an increase, not yet proved by a round
	learned  bool      // baseline and variance are set
	baseline float64   // average logarithm of the latency in ns of a server at ease
	variance float64   // of the logarithms of single calls
	changed  time.Time // of the limit
	lowered  time.Time // of the last decrease
	slow     int       // points of consecutive rounds above slowFactor, see slowMax
	good     int       // consecutive good rounds
	hold     int       // good rounds needed for an increase, one when zero
	count    int       // answered calls of the current round
	failed   int       // quick errors of the current round
	sum      float64   // of their logarithms
	squares  float64
}

func (l *limiter) reset(slots int) {
	*l = limiter{slots: slots}
	l.restart(time.Time{})
}

// restart goes back to the start value. The baseline is learned again, since
// the latency of a cold server says nothing by comparison with its warm one.
func (l *limiter) restart(now time.Time) {
	*l = limiter{slots: l.slots, limit: l.start(), changed: now, lowered: now}
	l.cold, l.proven = l.limit < l.warm(), l.limit == l.slots
}

// resume begins at the limit from which a server counts as warm. The rest has to
// be proved, since only the server itself says that it is warm.
func (l *limiter) resume() {
	l.limit, l.cold = max(l.limit, l.warm()), false
	l.proven = l.limit == l.slots
}

func (l *limiter) start() int { return max(1, l.slots/startShare) }

// warm is the limit from which a server no longer counts as cold.
func (l *limiter) warm() int { return (l.slots + 1) / 2 }

// latency estimates a call's time for retry times.
func (l *limiter) latency() time.Duration {
	if !l.learned {
		return time.Millisecond
	}
	return max(time.Duration(math.Exp(l.baseline)), time.Millisecond)
}

func (l *limiter) observe(now time.Time, latency time.Duration, ok bool) {
	if now.Add(-latency).Before(l.changed) {
		return
	}
	if !ok {
		l.fail(now, latency)
		return
	}
	x := math.Log(float64(max(latency, 1)))
	l.count++
	l.sum += x
	l.squares += x * x
	n := float64(l.count)
	// A suddenly cold server shows before the round is complete, where calls differ
	// little: the early end asks for twice as many standard errors.
	least := roundMinCold
	if l.proven {
		least = roundMin
	}
	if l.count >= max(l.limit, least) || l.count >= roundMinCold && l.above(l.sum/n, coldFactor, n/4) {
		l.endRound(now)
	}
}

// fail counts an error. A slow one, such as a timeout, means overload by itself.
func (l *limiter) fail(now time.Time, latency time.Duration) {
	l.failed++
	slow := !l.learned || math.Log(float64(max(latency, 1)))-l.baseline > coldFactor
	if slow || l.failed >= failedMin && l.failed*failedShare >= l.failed+l.count {
		l.lower(now)
	}
}

// above reports whether the average of n calls is above the baseline by factor
// and by more than chance.
func (l *limiter) above(average, factor, n float64) bool {
	return l.learned && average-l.baseline > max(factor, noise*math.Sqrt(l.variance/n))
}

func (l *limiter) endRound(now time.Time) {
	n := float64(l.count)
	average := l.sum / n
	variance := max(0, l.squares/n-average*average)
	failed := l.failed > 0
	l.count, l.failed, l.sum, l.squares = 0, 0, 0, 0
	first := !l.learned
	strained := !l.proven && l.above(average, warmFactor, n)
	cold, slow := l.above(average, coldFactor, n), l.above(average, slowFactor, n)
	// A strained round above the start value says that the limit is too high, not
	// that the service is slower than thought.
	if !strained || l.limit <= l.start() {
		l.learn(average, variance, n)
	}
	switch {
	case first:
		l.raise(now)
	case strained || failed && l.raised:
		l.raised, l.good, l.hold = false, 0, min(max(1, l.hold)*2, holdMax)
		l.set(now, l.limit-1)
	case cold || slow:
		l.tooSlow(now, cold)
	case failed:
		l.slow = 0
	default:
		l.slow = 0
		l.pass(now)
	}
}

func (l *limiter) tooSlow(now time.Time, cold bool) {
	l.good = 0
	l.slow++
	if cold {
		l.slow++
	}
	switch {
	case l.slow >= slowMax:
		l.restart(now)
	case cold:
		l.lower(now)
	}
}

// learn lets a lasting change of the service's latency become the new baseline
// after some dozens of rounds, and a clearly lower latency at once.
func (l *limiter) learn(average, variance, n float64) {
	d := average - l.baseline
	switch {
	case !l.learned:
		l.learned, l.baseline, l.variance = true, average, variance
		return
	case -d > max(warmFactor, noise*math.Sqrt(l.variance/n)):
		l.baseline = average
	case d < 0:
		l.baseline += d / driftDown
	default:
		l.baseline += d / driftUp
	}
	l.variance += (variance - l.variance) / driftDown
}

// pass counts a good round. The time between tries becomes shorter only after a
// good round at the raised limit.
func (l *limiter) pass(now time.Time) {
	l.proven = l.proven || l.limit == l.slots
	if l.raised {
		l.raised, l.hold = false, l.hold/2
	}
	l.good++
	if l.good >= l.hold {
		l.raise(now)
	}
}

func (l *limiter) raise(now time.Time) {
	l.good, l.raised = 0, true
	l.set(now, l.limit+1)
	l.cold = l.cold && l.limit < l.warm()
}

// lower takes off 30%, at most once in the time of a call.
func (l *limiter) lower(now time.Time) {
	if !l.lowered.IsZero() && now.Sub(l.lowered) < max(l.latency(), decreaseMin) {
		return
	}
	l.lowered, l.good = now, 0
	l.set(now, int(float64(l.limit)*decrease))
}

// set changes the limit and begins a new round.
func (l *limiter) set(now time.Time, limit int) {
	limit = min(max(1, limit), l.slots)
	if limit == l.limit {
		return
	}
	l.limit, l.changed = limit, now
	l.count, l.failed, l.sum, l.squares = 0, 0, 0, 0
}
