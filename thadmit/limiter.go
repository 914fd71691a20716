package thadmit

import (
	"math"
	"time"
)

const (
	reportedLoadTTL     = 3 * time.Second // validity of a load report, three probe intervals
	initialLimitDivisor = 10              // the limit of a cold server starts at slots/initialLimitDivisor
	decreaseFactor      = 0.7
	maxHoldRounds       = 8 // maximum number of good rounds before the next increase after a strained round
	// minRoundCalls is the minimum number of calls in a round; with fewer the
	// average is too noisy. Until the limit has reached slots rounds are shorter,
	// since their calls may overload the server.
	minRoundCalls         = 10
	minUnprovenRoundCalls = 5
	// restartPoints is the number of points at which the limiter restarts. A round
	// above coldFactor counts two points, a round above slowFactor one.
	restartPoints       = 4
	baselineRiseDivisor = 20 // a higher average moves the baseline by 1/baselineRiseDivisor of the difference
	baselineFallDivisor = 8  // a lower average moves it by 1/baselineFallDivisor
	// minStandardErrors is the minimum deviation of a round's average from the
	// baseline, in standard errors. With a fixed factor alone, normal rounds of a
	// mix of fast and slow calls were treated as overload.
	minStandardErrors = 2.5
	// minDelay is the least increase of the latency that indicates overload. Calls on a busy
	// machine wait for a processor for several milliseconds.
	minDelay = 5 * time.Millisecond
	// Fast errors lower the limit only if a round has at least minFailures of them
	// and they are at least 1/failureDivisor of its calls: fewer errors indicate a
	// failing dependency or bad requests, not overload. When every error lowered
	// the limit, an error rate of 3% reduced it by three quarters.
	minFailures    = 3
	failureDivisor = 5
	// minDecreaseInterval limits the rate of decreases if calls are very fast.
	minDecreaseInterval = 5 * time.Millisecond
)

// Latency thresholds: logarithms of multiples of the baseline.
var (
	slowFactor = math.Log(2) // higher latency stops the increase
	coldFactor = math.Log(3) // higher latency indicates overload or a cold server
	// unprovenFactor replaces slowFactor until the limit has reached slots: until
	// then the limit is close to the server's capacity, and only few calls of a
	// round are slowed down by overload.
	unprovenFactor = math.Log(1.3)
)

// limiter adapts the concurrency limit to the measured capacity of the backend
// server. Calls are evaluated in rounds of at least limit calls, by the mean
// logarithm of their latency, since latencies within one service differ widely. A
// round contains only calls that started under its limit.
type limiter struct {
	slots       int
	limit       int
	cold        bool      // advertised to ingress daemons
	proven      bool      // a round with limit == slots was good since the last restart
	probing     bool      // the last change was an increase that no good round has confirmed yet
	hasBaseline bool      // baseline and variance are set
	baseline    float64   // mean of ln(latency in ns) without overload
	variance    float64   // of ln(latency) of single calls
	changedAt   time.Time // time of the last change of limit
	decreasedAt time.Time // time of the last decrease
	slowPoints  int       // points of consecutive slow rounds, see restartPoints
	goodRounds  int       // consecutive good rounds
	holdRounds  int       // good rounds required for an increase; zero means one
	successes   int       // successful calls of the current round
	failures    int       // failed calls of the current round
	logSum      float64   // sum of ln(latency) of the successful calls
	logSquares  float64   // sum of the squares of ln(latency)
}

func (l *limiter) reset(slots int) {
	*l = limiter{slots: slots}
	l.restart(time.Time{})
}

// restart resets the limit to its initial value and discards the baseline, since
// the latency of a cold server isn't comparable with that of a warm one.
func (l *limiter) restart(now time.Time) {
	*l = limiter{slots: l.slots, limit: l.initialLimit(), changedAt: now, decreasedAt: now}
	l.cold, l.proven = l.limit < l.warmLimit(), l.limit == l.slots
}

// startWarm raises the limit to the lowest one of a warm server. Higher limits
// must be confirmed by good rounds, since only the server itself claims to be warm.
func (l *limiter) startWarm() {
	l.limit, l.cold = max(l.limit, l.warmLimit()), false
	l.proven = l.limit == l.slots
}

func (l *limiter) initialLimit() int { return max(1, l.slots/initialLimitDivisor) }

// warmLimit is the lowest limit at which a server is no longer treated as cold.
func (l *limiter) warmLimit() int { return (l.slots + 1) / 2 }

// expectedLatency returns the baseline latency, at least 1 ms; it is used for
// retry times and as the minimum time between decreases.
func (l *limiter) expectedLatency() time.Duration {
	if !l.hasBaseline {
		return time.Millisecond
	}
	return max(time.Duration(math.Exp(l.baseline)), time.Millisecond)
}

// observe adds the outcome of a call that ended at now. Calls that started before
// the last change of the limit are ignored.
func (l *limiter) observe(now time.Time, latency time.Duration, ok bool) {
	if now.Add(-latency).Before(l.changedAt) {
		return
	}
	if !ok {
		l.observeFailure(now, latency)
		return
	}
	logLatency := math.Log(float64(max(latency, 1)))
	l.successes++
	l.logSum += logLatency
	l.logSquares += logLatency * logLatency
	n := float64(l.successes)
	// If latencies vary little, a server that becomes cold is detected before the
	// round is complete. Ending a round early requires twice as many standard errors.
	minCalls := minUnprovenRoundCalls
	if l.proven {
		minCalls = minRoundCalls
	}
	if l.successes >= max(l.limit, minCalls) || l.successes >= minUnprovenRoundCalls && l.isAboveBaseline(l.logSum/n, coldFactor, n/4) {
		l.endRound(now)
	}
}

// observeFailure counts an error. A single slow error, such as a timeout, already
// indicates overload.
func (l *limiter) observeFailure(now time.Time, latency time.Duration) {
	l.failures++
	slow := !l.hasBaseline || math.Log(float64(max(latency, 1)))-l.baseline > coldFactor
	if slow || l.failures >= minFailures && l.failures*failureDivisor >= l.failures+l.successes {
		l.decrease(now)
	}
}

// isAboveBaseline reports whether the average of n calls exceeds the baseline by
// more than factor and minDelay, and by a statistically significant amount.
func (l *limiter) isAboveBaseline(average, factor, n float64) bool {
	return l.hasBaseline && average-l.baseline > max(factor, minStandardErrors*math.Sqrt(l.variance/n)) &&
		math.Exp(average)-math.Exp(l.baseline) > float64(minDelay)
}

// endRound evaluates the current round and starts the next one. A round is strained
// if its latency exceeds unprovenFactor before the limit has been proven.
func (l *limiter) endRound(now time.Time) {
	n := float64(l.successes)
	average := l.logSum / n
	variance := max(0, l.logSquares/n-average*average)
	failed := l.failures > 0
	l.successes, l.failures, l.logSum, l.logSquares = 0, 0, 0, 0
	firstRound := !l.hasBaseline
	strained := !l.proven && l.isAboveBaseline(average, unprovenFactor, n)
	cold, slow := l.isAboveBaseline(average, coldFactor, n), l.isAboveBaseline(average, slowFactor, n)
	// A strained round above the initial limit means that the limit is too high, not
	// that the baseline is too low.
	if !strained || l.limit <= l.initialLimit() {
		l.updateBaseline(average, variance, n)
	}
	switch {
	case firstRound:
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

// handleSlowRound counts a round above slowFactor, or above coldFactor if cold is
// set, and decreases the limit or restarts the limiter.
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

// updateBaseline adapts the baseline to a lasting change of the service's latency
// within some dozens of rounds. A significantly lower latency replaces the baseline
// immediately.
func (l *limiter) updateBaseline(average, variance, n float64) {
	difference := average - l.baseline
	switch {
	case !l.hasBaseline:
		l.hasBaseline, l.baseline, l.variance = true, average, variance
		return
	case -difference > max(unprovenFactor, minStandardErrors*math.Sqrt(l.variance/n)):
		l.baseline = average
	case difference < 0:
		l.baseline += difference / baselineFallDivisor
	default:
		l.baseline += difference / baselineRiseDivisor
	}
	l.variance += (variance - l.variance) / baselineFallDivisor
}

// handleGoodRound counts a good round and raises the limit after holdRounds of them.
// holdRounds shrinks only after a good round at an increased limit.
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

// decrease lowers the limit by 30%, at most once per expected latency of a call.
func (l *limiter) decrease(now time.Time) {
	if !l.decreasedAt.IsZero() && now.Sub(l.decreasedAt) < max(l.expectedLatency(), minDecreaseInterval) {
		return
	}
	l.decreasedAt, l.goodRounds = now, 0
	l.setLimit(now, int(float64(l.limit)*decreaseFactor))
}

// setLimit changes the limit, within 1 and slots, and starts a new round.
func (l *limiter) setLimit(now time.Time, limit int) {
	limit = min(max(1, limit), l.slots)
	if limit == l.limit {
		return
	}
	l.limit, l.changedAt = limit, now
	l.successes, l.failures, l.logSum, l.logSquares = 0, 0, 0, 0
}
