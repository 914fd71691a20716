package thmove

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// threshold defines when the rate of bad responses of the new version is too high:
// the difference must be both relevant and statistically significant. minBad has to be
// small: at a share of 1% there are few responses, and a bad version must be detected
// within 3 s.
type threshold struct {
	margin         float64 // minimum difference from the old version's rate
	minBad         uint64  // minimum number of bad responses
	maxProbability float64 // significance level
}

// Thresholds for all servers of the new version, those from which it is suspect, and
// reduced ones for the remaining servers if one server or zone is left out. With few
// responses the significance level decides: a difference of 2 percentage points becomes
// significant only with several hundred responses. With a margin of 5 percentage points, a
// version that failed 5% of its calls kept its traffic for 4.4 s.
var (
	errorThreshold          = threshold{margin: 0.02, minBad: 3, maxProbability: 1e-3}
	latencyThreshold        = threshold{margin: 0.10, minBad: 4, maxProbability: 1e-4}
	suspectErrorThreshold   = threshold{margin: 0.02, minBad: 3, maxProbability: 0.01}
	suspectLatencyThreshold = threshold{margin: 0.10, minBad: 3, maxProbability: 0.005}
	reducedErrorThreshold   = threshold{margin: 0.01, minBad: 2, maxProbability: 0.02}
	reducedLatencyThreshold = threshold{margin: 0.05, minBad: 2, maxProbability: 0.02}
)

const (
	minRateAllowance     = 0.002                // minimum added to the old version's rate
	latencyFactor        = 2.0                  // a slow response takes longer than this multiple of the old version's p90
	latencyMargin        = 5 * time.Millisecond // and exceeds the old version's p90 by this
	minBaselineResponses = 20                   // minimum for a valid baseline
	baselineQuantile     = 0.9
	minOutlierGroups     = 3   // minimum number of groups with responses for leaving one out
	minStepResponses     = 20  // always enough for the next step
	minExpectedResponses = 4   // with fewer expected responses, having none isn't significant
	maxExactMean         = 100 // maximum mean for the exact computation of poissonTail
)

// exceeded reports whether bad of n responses of the new version are too many, if
// oldBad of oldN responses of the old version were bad. To allow for the sampling
// error of the old version's rate, two standard deviations and three responses are
// added to it: a sample without a bad response excludes only rates above 3/n with 95%
// confidence.
func (t threshold) exceeded(bad, n, oldBad, oldN uint64) bool {
	oldRate, allowance := 0.0, minRateAllowance
	if oldN > 0 {
		oldRate = float64(oldBad) / float64(oldN)
		allowance = max(allowance, (3+2*math.Sqrt(float64(oldBad)))/float64(oldN))
	}
	return bad >= t.minBad && float64(bad)/float64(n)-oldRate >= t.margin &&
		poissonTail(bad, float64(n)*(oldRate+allowance)) < t.maxProbability
}

// divided returns the threshold with the significance level divided by n.
func (t threshold) divided(n float64) threshold {
	t.maxProbability /= n
	return t
}

// verdict is the result of comparing two versions; reason is empty if suspect is false.
type verdict struct {
	bad     bool
	suspect bool // bad, or not yet significantly so
	reason  string
}

// sample holds the summed counts of one version. responses includes errors.
type sample struct {
	responses, errors uint64
	latency           [latencyBuckets]uint64 // only of successful responses
	unfinished        [latencyBuckets]uint64 // calls without a response, by age
}

func (s *sample) add(c thwire.ServerCounts) {
	s.responses += c.Answers
	s.errors += c.Errors
	for i, n := range c.Latency {
		if i < latencyBuckets {
			s.latency[i] += n
		}
	}
	for i, n := range c.Unfinished {
		if i < latencyBuckets {
			s.unfinished[i] += n
		}
	}
}

// routeSamples are the samples of one version by route.
type routeSamples map[string]*sample

func (r routeSamples) add(c thwire.ServerCounts) {
	if r[c.Route] == nil {
		r[c.Route] = &sample{}
	}
	r[c.Route].add(c)
}

// updateBaseline stores the samples of the routes with enough responses, and replaces the
// others by the stored ones.
func (r routeSamples) updateBaseline(baseline *routeSamples) {
	if *baseline == nil {
		*baseline = routeSamples{}
	}
	for route, s := range r {
		if s.latencyCount() >= minBaselineResponses {
			(*baseline)[route] = s
		}
	}
	for route, s := range *baseline {
		if r[route] == nil || r[route].responses < minBaselineResponses {
			r[route] = s
		}
	}
}

// slowest returns the largest limit for slow calls of all routes, and zero without a
// sample.
func (r routeSamples) slowest() time.Duration {
	var limit time.Duration
	for _, s := range r {
		if s.latencyCount() > 0 {
			limit = max(limit, slowLimit(s))
		}
	}
	return limit
}

func (s *sample) errorRate() float64 {
	if s.responses == 0 {
		return 0
	}
	return float64(s.errors) / float64(s.responses)
}

// latencyCount returns the number of latency measurements.
func (s *sample) latencyCount() uint64 {
	var n uint64
	for _, c := range s.latency {
		n += c
	}
	return n
}

// slowerThan counts the calls that took longer than d, and all whose latency is known to
// be above or below d. An unfinished call that is older than d is slow whenever it ends;
// a younger one tells nothing. The bucket that contains d counts as above it if d is
// closer to its lower bound.
func (s *sample) slowerThan(d time.Duration) (slow, all uint64) {
	for i := range latencyBuckets {
		all += s.latency[i]
		if i > 0 && float64(latencyBounds[i-1])*math.Sqrt(latencyGrowth) >= float64(d) {
			slow += s.latency[i] + s.unfinished[i]
			all += s.unfinished[i]
		}
	}
	return slow, all
}

// quantile returns the latency at quantile q, interpolated within a bucket. Without
// latency measurements it returns the largest bound.
func (s *sample) quantile(q float64) time.Duration {
	rank := q * float64(s.latencyCount())
	var cumulative float64
	var lower time.Duration
	for i, n := range s.latency {
		if n > 0 && cumulative+float64(n) >= rank {
			fraction := (rank - cumulative) / float64(n)
			return lower + time.Duration(fraction*float64(latencyBounds[i]-lower))
		}
		cumulative += float64(n)
		lower = latencyBounds[i]
	}
	return lower
}

// grouping divides servers into groups. A single group that is bad doesn't make a version
// bad.
type grouping struct {
	groupOf func(server string) string
	// outliers are the groups that may be left out; nil means any of them.
	outliers map[string]bool
}

// judge compares the new version (pool to) with the old one (pool from). The new
// version is bad only if it is still bad when any one of its servers, or any one of
// its availability zones, is left out: a single slow server or the loss of a zone
// doesn't make a version bad. judge updates the baseline while the old version has
// enough traffic, and uses it instead of the old version's counts when there is too
// little traffic left. samples is the number of independent samples of which these counts
// are one: each is a further chance of a false verdict.
func judge(counts []thwire.ServerCounts, from, to string, groupings []grouping, baseline *routeSamples, samples float64) verdict {
	old := routeSamples{}
	var newCounts []thwire.ServerCounts
	for _, c := range counts {
		switch c.Pool {
		case from:
			old.add(c)
		case to:
			newCounts = append(newCounts, c)
		}
	}
	old.updateBaseline(baseline)
	total := compareVersions(old, sumCounts(newCounts, nil), suspectErrorThreshold, suspectLatencyThreshold)
	if !total.bad {
		return verdict{}
	}
	for _, g := range groupings {
		for _, group := range outlierGroups(newCounts, g) {
			v := compareVersions(old, sumCounts(newCounts, func(c thwire.ServerCounts) bool { return g.groupOf(c.Server) == group }), reducedErrorThreshold, reducedLatencyThreshold)
			if !v.bad {
				return verdict{}
			}
		}
	}
	if v := compareVersions(old, sumCounts(newCounts, nil), errorThreshold.divided(samples), latencyThreshold.divided(samples)); v.bad {
		return verdict{bad: true, suspect: true, reason: v.reason}
	}
	return verdict{suspect: true, reason: total.reason}
}

// findOutliers returns the groups of servers of the new version that are bad by
// themselves.
func findOutliers(counts []thwire.ServerCounts, to string, groupOf func(server string) string, old routeSamples) map[string]bool {
	outliers := map[string]bool{}
	for _, c := range counts {
		if c.Pool != to {
			continue
		}
		group := groupOf(c.Server)
		own := sumCounts(counts, func(o thwire.ServerCounts) bool { return o.Pool != to || groupOf(o.Server) != group })
		outliers[group] = compareVersions(old, own, reducedErrorThreshold, reducedLatencyThreshold).bad
	}
	return outliers
}

// outlierGroups returns the groups of servers that may be left out, of those with
// responses or unfinished calls. There are none if fewer than minOutlierGroups have any.
func outlierGroups(counts []thwire.ServerCounts, g grouping) []string {
	seen := map[string]bool{}
	var groups []string
	for _, c := range counts {
		name := g.groupOf(c.Server)
		if seen[name] || c.Answers == 0 && len(c.Unfinished) == 0 {
			continue
		}
		seen[name] = true
		if g.outliers == nil || g.outliers[name] {
			groups = append(groups, name)
		}
	}
	if len(seen) < minOutlierGroups {
		return nil
	}
	return groups
}

// sumCounts adds up the counts by route, except those for which without returns true.
// without may be nil.
func sumCounts(counts []thwire.ServerCounts, without func(thwire.ServerCounts) bool) routeSamples {
	samples := routeSamples{}
	for _, c := range counts {
		if without == nil || !without(c) {
			samples.add(c)
		}
	}
	return samples
}

// compareVersions compares the error rates and the fractions of slow calls of two
// versions, over all routes and on each of them. Slow is relative to the old version's
// latency on the same route.
func compareVersions(oldVersion, newVersion routeSamples, errorLimit, latencyLimit threshold) verdict {
	var newTotal, oldTotal sample
	var newSlow, newTimed, oldSlow, oldTimed uint64
	// Each route is a further chance of a false verdict.
	routes := float64(len(newVersion))
	routeErrorLimit, routeLatencyLimit := errorLimit.divided(routes), latencyLimit.divided(routes)
	for _, s := range oldVersion {
		oldTotal.responses += s.responses
		oldTotal.errors += s.errors
	}
	for _, route := range slices.Sorted(maps.Keys(newVersion)) {
		s, old := newVersion[route], oldVersion[route]
		if old == nil {
			old = &sample{}
		}
		newTotal.responses += s.responses
		newTotal.errors += s.errors
		if routeErrorLimit.exceeded(s.errors, s.responses, old.errors, old.responses) && old.responses >= minBaselineResponses {
			return errorVerdict(s, old)
		}
		if old.latencyCount() < minBaselineResponses {
			continue
		}
		limit := slowLimit(old)
		slow, timed := s.slowerThan(limit)
		oldRouteSlow, oldRouteTimed := old.slowerThan(limit)
		if routeLatencyLimit.exceeded(slow, timed, oldRouteSlow, oldRouteTimed) {
			return verdict{bad: true, reason: fmt.Sprintf("%.1f%% of calls above %s", 100*float64(slow)/float64(timed), limit.Round(100*time.Microsecond))}
		}
		newSlow, newTimed = newSlow+slow, newTimed+timed
		oldSlow, oldTimed = oldSlow+oldRouteSlow, oldTimed+oldRouteTimed
	}
	if errorLimit.exceeded(newTotal.errors, newTotal.responses, oldTotal.errors, oldTotal.responses) {
		return errorVerdict(&newTotal, &oldTotal)
	}
	if latencyLimit.exceeded(newSlow, newTimed, oldSlow, oldTimed) {
		return verdict{bad: true, reason: fmt.Sprintf("%.1f%% of calls slow for their route", 100*float64(newSlow)/float64(newTimed))}
	}
	return verdict{}
}

func errorVerdict(newVersion, oldVersion *sample) verdict {
	return verdict{bad: true, reason: fmt.Sprintf("errors %.1f%% against %.1f%%", 100*newVersion.errorRate(), 100*oldVersion.errorRate())}
}

// slowLimit returns the latency above which a response counts as slow.
func slowLimit(oldVersion *sample) time.Duration {
	p90 := oldVersion.quantile(baselineQuantile)
	return max(time.Duration(latencyFactor*float64(p90)), p90+latencyMargin)
}

// poissonTail returns the probability of at least k events in a Poisson distribution
// with the given mean. It uses the normal approximation for large means, where
// exp(-mean) loses precision.
func poissonTail(k uint64, mean float64) float64 {
	if mean > maxExactMean {
		return math.Erfc((float64(k)-0.5-mean)/math.Sqrt(2*mean)) / 2
	}
	if float64(k) > 4*mean+maxExactMean {
		return 0
	}
	term := math.Exp(-mean)
	below := 0.0
	for i := range k {
		below += term
		term *= mean / float64(i+1)
	}
	return max(0, 1-below)
}
