package thadmit

import (
	"math"
	"time"
)

const (
	reportedLoadTTL     = 3 * time.Second // three probes
	initialLimitDivisor = 10              // a cold server gets slots/startingLimitDivisor calls
	decreaseFactor      = 0.7
	maxHoldRounds       = 8 // good rounds until the next try after a cold server was strained
	// minRoundCalls is the fewest calls of a round; fewer make the average too noisy.
	// Until the limit has reached slots a round is shorter, since its calls may
	// strain the server.
	minRoundCalls         = 10
	minUnprovenRoundCalls = 5
	// restartPoints restarts the limiter: two rounds above coldFactor, which count two
	// each, or four above slowFactor.
	restartPoints       = 4
	baselineRiseDivisor = 20 // a round moves the baseline up by 1/baselineRiseDivisor of the difference
	baselineFallDivisor = 8  // and down by 1/baselineFallDivisor
	// minStandardErrors is the number of standard errors that a round's average must differ
	// from the baseline by; in a mix of fast and slow calls a fixed factor alone
	// took ordinary rounds for overload.
	minStandardErrors = 2.5
	// Quick errors lower the limit from minFailures of a round and one in failureDivisor
	// on: fewer say that a dependency or a request fails, not that the server is
	// overloaded. With each error lowering it, 3% of errors took three quarters of
	// a server's limit.
	minFailures    = 3
	failureDivisor = 5
	// minDecreaseInterval bounds the rate of decreases where calls take next to no time.
	minDecreaseInterval = 5 * time.Millisecond
)

// Multiples of the baseline, as logarithms.
var (
	slowFactor = math.Log(2) // latency above it stops the increase
	coldFactor = math.Log(3) // latency above it means overload or a cold server
	// unprovenFactor replaces slowFactor until the limit has reached slots: there the
	// limit is close to what the server can handle, and few calls of a round show it.
	unprovenFactor = math.Log(1.3)
)

// limiter adapts the limit to what the backend server proves to handle. Calls
// are judged in rounds of at least limit calls, by the average logarithm of
// their latency, since single calls of one service differ widely. A round holds
// only calls that began under the limit it judges.
type limiter struct {
	slots       int
	limit       int
	cold        bool      // as advertised
	proven      bool      // a round at the limit of slots was good since the last restart
	probing     bool      // the last change of the limit was an increase, not yet proved by a round
	hasBaseline bool      // baseline and variance are set
	baseline    float64   // average logarithm of the latency in ns of a server at ease
	variance    float64   // of the logarithms of single calls
	changedAt   time.Time // of the limit
	decreasedAt time.Time // of the last decrease
	slowPoints  int       // points of consecutive rounds above slowFactor, see restartPoints
	goodRounds  int       // consecutive good rounds
	holdRounds  int       // good rounds needed for an increase, one when zero
	successes   int       // answered calls of the current round
	failures    int       // quick errors of the current round
	logSum      float64   // of their logarithms
	logSquares  float64
}

func (l *limiter) reset(slots int) {
	*l = limiter{slots: slots}
	l.restart(time.Time{})
}

// restart goes back to the start value. The baseline is learned again, since
// the latency of a cold server says nothing by comparison with its warm one.
func (l *limiter) restart(now time.Time) {
	*l = limiter{slots: l.slots, limit: l.initialLimit(), changedAt: now, decreasedAt: now}
	l.cold, l.proven = l.limit < l.warmLimit(), l.limit == l.slots
}

// startWarm begins at the limit from which a server counts as warm. The rest has to
// be proved, since only the server itself says that it is warm.
func (l *limiter) startWarm() {
	l.limit, l.cold = max(l.limit, l.warmLimit()), false
	l.proven = l.limit == l.slots
}

func (l *limiter) initialLimit() int { return max(1, l.slots/initialLimitDivisor) }

// warmLimit is the limit from which a server no longer counts as cold.
func (l *limiter) warmLimit() int { return (l.slots + 1) / 2 }

// expectedLatency estimates a call's time for retry times.
func (l *limiter) expectedLatency() time.Duration {
	if !l.hasBaseline {
		return time.Millisecond
	}
	return max(time.Duration(math.Exp(l.baseline)), time.Millisecond)
}

func (l *limiter) observe(now time.Time, latency time.Duration, ok bool) {
	if now.Add(-latency).Before(l.changedAt) {
		return
	}
	if !ok {
		l.observeFailure(now, latency)
		return
	}
	x := math.Log(float64(max(latency, 1)))
	l.successes++
	l.logSum += x
	l.logSquares += x * x
	n := float64(l.successes)
	// A suddenly cold server shows before the round is complete, where calls differ
	// little: the early end asks for twice as many standard errors.
	least := minUnprovenRoundCalls
	if l.proven {
		least = minRoundCalls
	}
	if l.successes >= max(l.limit, least) || l.successes >= minUnprovenRoundCalls && l.isAboveBaseline(l.logSum/n, coldFactor, n/4) {
		l.endRound(now)
	}
}

// observeFailure counts an error. A slow one, such as a timeout, means overload by itself.
func (l *limiter) observeFailure(now time.Time, latency time.Duration) {
	l.failures++
	slow := !l.hasBaseline || math.Log(float64(max(latency, 1)))-l.baseline > coldFactor
	if slow || l.failures >= minFailures && l.failures*failureDivisor >= l.failures+l.successes {
		l.decrease(now)
	}
}

// isAboveBaseline reports whether the average of n calls is above the baseline by factor
// and by more than chance.
func (l *limiter) isAboveBaseline(average, factor, n float64) bool {
	return l.hasBaseline && average-l.baseline > max(factor, minStandardErrors*math.Sqrt(l.variance/n))
}

func (l *limiter) endRound(now time.Time) {
	n := float64(l.successes)
	average := l.logSum / n
	variance := max(0, l.logSquares/n-average*average)
	failed := l.failures > 0
	l.successes, l.failures, l.logSum, l.logSquares = 0, 0, 0, 0
	first := !l.hasBaseline
	strained := !l.proven && l.isAboveBaseline(average, unprovenFactor, n)
	cold, slow := l.isAboveBaseline(average, coldFactor, n), l.isAboveBaseline(average, slowFactor, n)
	// A strained round above the start value says that the limit is too high, not
	// that the service is slower than thought.
	if !strained || l.limit <= l.initialLimit() {
		l.updateBaseline(average, variance, n)
	}
	switch {
	case first:
		l.increase(now)
	case strained || failed && l.probing:
		l.probing, l.goodRounds, l.holdRounds = false, 0, min(max(1, l.holdRounds)*2, maxHoldRounds)
		l.setLimit(now, l.limit-1)
	case cold || slow:
		l.handleSlowRound(now, cold)
	case failed:
		l.slowPoints = 0
	default:
		l.slowPoints = 0
		l.handleGoodRound(now)
	}
}

func (l *limiter) handleSlowRound(now time.Time, cold bool) {
	l.goodRounds = 0
	l.slowPoints++
	if cold {
		l.slowPoints++
	}
	switch {
	case l.slowPoints >= restartPoints:
		l.restart(now)
	case cold:
		l.decrease(now)
	}
}

// updateBaseline lets a lasting change of the service's latency become the new baseline
// after some dozens of rounds, and a clearly lower latency at once.
func (l *limiter) updateBaseline(average, variance, n float64) {
	d := average - l.baseline
	switch {
	case !l.hasBaseline:
		l.hasBaseline, l.baseline, l.variance = true, average, variance
		return
	case -d > max(unprovenFactor, minStandardErrors*math.Sqrt(l.variance/n)):
		l.baseline = average
	case d < 0:
		l.baseline += d / baselineFallDivisor
	default:
		l.baseline += d / baselineRiseDivisor
	}
	l.variance += (variance - l.variance) / baselineFallDivisor
}

// handleGoodRound counts a good round. The time between tries becomes shorter only after a
// good round at the raised limit.
func (l *limiter) handleGoodRound(now time.Time) {
	l.proven = l.proven || l.limit == l.slots
	if l.probing {
		l.probing, l.holdRounds = false, l.holdRounds/2
	}
	l.goodRounds++
	if l.goodRounds >= l.holdRounds {
		l.increase(now)
	}
}

func (l *limiter) increase(now time.Time) {
	l.goodRounds, l.probing = 0, true
	l.setLimit(now, l.limit+1)
	l.cold = l.cold && l.limit < l.warmLimit()
}

// decrease takes off 30%, at most once in the time of a call.
func (l *limiter) decrease(now time.Time) {
	if !l.decreasedAt.IsZero() && now.Sub(l.decreasedAt) < max(l.expectedLatency(), minDecreaseInterval) {
		return
	}
	l.decreasedAt, l.goodRounds = now, 0
	l.setLimit(now, int(float64(l.limit)*decreaseFactor))
}

// setLimit changes the limit and begins a new round.
func (l *limiter) setLimit(now time.Time, limit int) {
	limit = min(max(1, limit), l.slots)
	if limit == l.limit {
		return
	}
	l.limit, l.changedAt = limit, now
	l.successes, l.failures, l.logSum, l.logSquares = 0, 0, 0, 0
}
