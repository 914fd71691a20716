// Package thmove implements moves (progressive rollouts), which shift a route's
// traffic from one pool to another: the schedule of traffic shares, the collection
// and comparison of call statistics of both versions, and the coordinator that
// raises the share, reverts the move or completes it.
package thmove

import (
	"time"
)

// stepShares are the traffic shares of the new version at each step of a move. The steps
// from firstLoadTest to finalLoadTest are load tests: after a time that the exposure limit
// allows, each daemon returns to the share of the first step, while the coordinator waits
// for the outcome of the calls. At lastStep the new version has passed them and keeps all
// traffic.
var stepShares = [...]float64{0.01, 0.02, 0.05, 0.25, 1, 1}

const (
	firstLoadTest = 3
	finalLoadTest = lastStep - 1
	lastStep      = len(stepShares) - 1
)

// loadTestWeights are the parts of the calls left for load tests that each of them may
// use.
var loadTestWeights = [...]float64{0.15, 0.85}

const (
	// scheduledFraction is the fraction of the time from start to deadline that is used
	// for the steps. The rest is a reserve for committing the end of the move.
	scheduledFraction = 0.9
	// gradualFraction is the fraction of that time for the steps before the load tests.
	gradualFraction = 0.4
	// maxLoadTestFraction and maxFinalTestFraction are the fractions of that time that one
	// load test, and the last one, may take. The last one takes longer: the load of the
	// servers has to settle, and no other test needs the calls that are left.
	maxLoadTestFraction  = 0.05
	maxFinalTestFraction = 0.12
	// minLoadTest is the shortest load test: in less time a server gets too few calls to
	// reach the load of the step.
	minLoadTest = 300 * time.Millisecond
	// finalSlack is the time for the ticks of the coordinator between the last load test
	// and the end.
	finalSlack = 4 * tickInterval
	// maxFinalOutcomeWait limits the wait for the outcome of the last load test.
	maxFinalOutcomeWait = 3 * time.Second
	// plannedExposure is the fraction of the allowed calls that the steps plan with.
	plannedExposure = 0.9
	// maxExposure is the fraction of the allowed calls at which the backend servers of the
	// new version get no more calls of a load test. Traffic may grow meanwhile, as when
	// callers repeat what a bad version fails.
	maxExposure = 0.97
	// loadTestTurns is the number of parts of a load test, in each of which other servers of
	// the new version get the load first.
	loadTestTurns = 3
	// maxTestPart is the factor on the part of the first load test by which it may grow
	// before its calls are cut; the last one then gets less.
	maxTestPart = 2
)

// stepShare returns the traffic share of a step; a step out of range is clamped.
func stepShare(step int) float64 {
	return stepShares[min(max(step, 0), lastStep)]
}

func isLoadTest(step int) bool { return step >= firstLoadTest && step <= finalLoadTest }

// schedule is the time that a move has.
type schedule struct{ start, deadline time.Time }

// fraction returns a fraction of the time in which the steps are planned.
func (s schedule) fraction(f float64) time.Duration {
	return time.Duration(float64(s.deadline.Sub(s.start)) * scheduledFraction * f)
}

// stepDuration returns the planned time of each step before the load tests.
func (s schedule) stepDuration() time.Duration {
	return s.fraction(gradualFraction) / firstLoadTest
}

// samples returns the number of samples of the longest window, at least one, that do not
// overlap.
func (s schedule) samples() float64 {
	return max(1, float64(s.deadline.Sub(s.start))/float64(longestWindow))
}

// maxStep returns the highest step that the schedule allows at now, and -1 before the
// start. The last load test comes as late as the deadline allows, given the time of the
// slowest usual calls: a version may turn bad at any time.
func (s schedule) maxStep(now time.Time, slowest time.Duration) int {
	elapsed := now.Sub(s.start)
	if elapsed < 0 {
		return -1
	}
	step := int(elapsed / max(s.stepDuration(), 1))
	switch {
	case step < firstLoadTest:
		return step
	case now.Before(s.deadline.Add(-s.finalTime(slowest))):
		return firstLoadTest
	}
	return lastStep
}

// finalTime returns the time that is reserved for the last load test, its outcome and the
// last step, in which the calls of the old version end.
func (s schedule) finalTime(slowest time.Duration) time.Duration {
	return s.longestTest(finalLoadTest) + 2*min(slowest, maxFinalOutcomeWait) + finalSlack + completionReserve
}

// longestTest returns the longest time that a load test may take.
func (s schedule) longestTest(step int) time.Duration {
	if step == finalLoadTest {
		return max(s.fraction(maxFinalTestFraction), minLoadTest)
	}
	return max(s.fraction(maxLoadTestFraction), minLoadTest)
}

// minDwell returns the minimum time at a step before the load tests, which is needed to
// observe the new version at the share of the step. A delayed move may take its remaining
// steps at this interval.
func (s schedule) minDwell() time.Duration { return s.stepDuration() / 2 }

// ExposureLimit bounds the calls that a version gets before it has passed all load tests.
// The zero value is the default limit.
type ExposureLimit struct {
	Share float64 // fraction of the calls of both versions from start to deadline
	Slack float64 // calls beyond that
}

// Default of ExposureLimit.
const (
	defaultExposureShare = 0.1
	defaultExposureSlack = 50
)

// allowed returns the number of calls to the new version that the limit allows.
func (l ExposureLimit) allowed(calls float64) float64 {
	if l == (ExposureLimit{}) {
		l = ExposureLimit{Share: defaultExposureShare, Slack: defaultExposureSlack}
	}
	return l.Share*calls + l.Slack
}

// maxOutcomeWait returns the longest time after a load test that is spent on waiting for
// the outcome of its calls. More time is left for the last test, after which the new
// version keeps all traffic.
func (s schedule) maxOutcomeWait(step int) time.Duration {
	if step == finalLoadTest {
		return maxFinalOutcomeWait
	}
	return s.fraction(maxLoadTestFraction)
}

// loadTest is the plan of a load test.
type loadTest struct {
	lasts time.Duration // zero if the limit leaves less than minLoadTest
	calls float64       // that the new version may get at most; zero means no limit
}

// callsPerServer returns the number of calls that each of the servers of the new version
// may get; zero means no limit.
func (l loadTest) callsPerServer(servers int) uint64 {
	if l.calls == 0 {
		return 0
	}
	return uint64(max(1, l.calls/float64(max(servers, 1))))
}

// planLoadTest plans a load test so that it, the later ones and the traffic between them
// stay within the limit.
func (s schedule) planLoadTest(step int, now time.Time, limit ExposureLimit, sent sentCalls) loadTest {
	longest := s.longestTest(step)
	rate := float64(sent.all()) / max(now.Sub(s.start), time.Second).Seconds()
	if rate == 0 {
		return loadTest{lasts: longest}
	}
	timeLeft := max(s.start.Add(s.fraction(1)).Sub(now), 0).Seconds()
	allowed := limit.allowed(float64(sent.all()) + rate*timeLeft)
	spent := float64(sent.newVersion) + stepShare(0)*rate*timeLeft
	weights := loadTestWeights[step-firstLoadTest:]
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	part := weights[0] / sum
	planned := (plannedExposure*allowed - spent) * part
	lasts := time.Duration(planned / (rate * stepShare(step)) * float64(time.Second))
	if lasts < minLoadTest {
		return loadTest{}
	}
	return loadTest{lasts: min(lasts, longest), calls: (maxExposure*allowed - spent) * min(maxTestPart*part, 1)}
}
