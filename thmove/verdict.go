package thmove

import (
	"fmt"
	"math"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// threshold says when a difference between two rates counts: it must be large
// enough to matter and too unlikely to be chance. At a share of 1% there are few
// answers, and a large least number of them would take longer than the 3 s allowed.
type threshold struct {
	margin         float64 // rate above the old version's
	minBad         uint64  // least number of bad answers
	maxProbability float64 // largest probability that they are chance
}

// The thresholds for all servers of the new version, and the weaker ones for
// what is left when one server or zone is left out. With few answers the chance
// decides: 2 points are enough only from some hundred answers. With a margin of
// 5 points, a version that failed 5% of its calls kept its traffic for 4.4 s.
var (
	errorThreshold          = threshold{margin: 0.02, minBad: 3, maxProbability: 1e-3}
	latencyThreshold        = threshold{margin: 0.10, minBad: 4, maxProbability: 1e-4}
	reducedErrorThreshold   = threshold{margin: 0.01, minBad: 2, maxProbability: 0.02}
	reducedLatencyThreshold = threshold{margin: 0.05, minBad: 2, maxProbability: 0.02}
)

const (
	minRateAllowance     = 0.005                // least addition to the old version's rate
	latencyFactor        = 2.0                  // slow means above this multiple of the old version's p90
	latencyMargin        = 5 * time.Millisecond // and above the old version's p90 by this
	minBaselineResponses = 20                   // least answers for a baseline
	baselineQuantile     = 0.9
	minOutlierGroups     = 3 // least groups with evidence for leaving one out
	minStepResponses     = 20
	minExpectedResponses = 4   // below this many expected answers, having none can be chance
	maxExactMean         = 100 // largest mean computed term by term
)

// exceeded reports whether bad of n answers are too many, where oldBad of oldN
// answers of the old version were bad. The old version's rate is known no better
// than its sample is large: two standard deviations are added, and three answers
// because a sample without a bad one excludes only rates above 3/n with 95%.
func (t threshold) exceeded(bad, n, oldBad, oldN uint64) bool {
	base, floor := 0.0, minRateAllowance
	if oldN > 0 {
		base = float64(oldBad) / float64(oldN)
		floor = max(floor, (3+2*math.Sqrt(float64(oldBad)))/float64(oldN))
	}
	return bad >= t.minBad && float64(bad)/float64(n)-base >= t.margin &&
		poissonTail(bad, float64(n)*(base+floor)) < t.maxProbability
}

// verdict is the outcome of a comparison; an empty reason means not bad.
type verdict struct {
	bad    bool
	reason string
}

// sample is the evidence about one version.
type sample struct {
	responses, errors uint64
	latency           [latencyBuckets]uint64
}

func (s *sample) add(c thwire.Count) {
	s.responses += c.Answers
	s.errors += c.Errors
	for i, n := range c.Latency {
		if i < latencyBuckets {
			s.latency[i] += n
		}
	}
}

func (s *sample) errorRate() float64 {
	if s.responses == 0 {
		return 0
	}
	return float64(s.errors) / float64(s.responses)
}

func (s *sample) latencyCount() uint64 {
	var n uint64
	for _, c := range s.latency {
		n += c
	}
	return n
}

// slowerThan counts the answers in buckets that lie wholly above d.
func (s *sample) slowerThan(d time.Duration) uint64 {
	var n uint64
	for i := 1; i < latencyBuckets; i++ {
		if latencyBounds[i-1] >= d {
			n += s.latency[i]
		}
	}
	return n
}

// quantile interpolates within a bucket. Without answers it is zero.
func (s *sample) quantile(q float64) time.Duration {
	rank := q * float64(s.latencyCount())
	var seen float64
	var lower time.Duration
	for i, n := range s.latency {
		if n > 0 && seen+float64(n) >= rank {
			part := (rank - seen) / float64(n)
			return lower + time.Duration(part*float64(latencyBounds[i]-lower))
		}
		seen += float64(n)
		lower = latencyBounds[i]
	}
	return lower
}

// judge compares the new version with the old one. A version is bad only if it
// is still bad when any one of its servers, or any one of its availability
// zones, is left out: one slow server or a zone that leaves does not condemn a
// version. zoneOf may be nil. The baseline stands for the old version once that
// has too little traffic left; judge renews it while there is enough.
func judge(counts []thwire.Count, from, to string, zoneOf func(server string) string, baseline *sample) verdict {
	var old sample
	var fresh []thwire.Count
	for _, c := range counts {
		switch c.Pool {
		case from:
			old.add(c)
		case to:
			fresh = append(fresh, c)
		}
	}
	if old.latencyCount() >= minBaselineResponses {
		*baseline = old
	} else if old.responses < minBaselineResponses {
		old = *baseline
	}
	worst := compareSamples(&old, sumCounts(fresh, nil), errorThreshold, latencyThreshold)
	if !worst.bad {
		return verdict{}
	}
	groupings := []func(string) string{func(server string) string { return server }}
	if zoneOf != nil {
		groupings = append(groupings, zoneOf)
	}
	for _, g := range groupings {
		for _, group := range outlierGroups(fresh, g) {
			v := compareSamples(&old, sumCounts(fresh, func(c thwire.Count) bool { return g(c.Server) == group }), reducedErrorThreshold, reducedLatencyThreshold)
			if !v.bad {
				return verdict{}
			}
		}
	}
	return worst
}

// outlierGroups lists the groups of servers that may be left out: none while fewer
// than minOutlierGroups have evidence.
func outlierGroups(counts []thwire.Count, group func(string) string) []string {
	seen := map[string]bool{}
	var groups []string
	for _, c := range counts {
		if g := group(c.Server); c.Answers > 0 && !seen[g] {
			seen[g] = true
			groups = append(groups, g)
		}
	}
	if len(groups) < minOutlierGroups {
		return nil
	}
	return groups
}

func sumCounts(counts []thwire.Count, without func(thwire.Count) bool) *sample {
	var s sample
	for _, c := range counts {
		if without == nil || !without(c) {
			s.add(c)
		}
	}
	return &s
}

func compareSamples(old, fresh *sample, failing, slow threshold) verdict {
	if failing.exceeded(fresh.errors, fresh.responses, old.errors, old.responses) {
		return verdict{true, fmt.Sprintf("errors %.1f%% against %.1f%%", 100*fresh.errorRate(), 100*old.errorRate())}
	}
	n := fresh.latencyCount()
	if old.latencyCount() < minBaselineResponses || n == 0 {
		return verdict{}
	}
	p90 := old.quantile(baselineQuantile)
	limit := max(time.Duration(latencyFactor*float64(p90)), p90+latencyMargin)
	above := fresh.slowerThan(limit)
	if slow.exceeded(above, n, old.slowerThan(limit), old.latencyCount()) {
		return verdict{true, fmt.Sprintf("%.1f%% of answers above %s", 100*float64(above)/float64(n), limit.Round(100*time.Microsecond))}
	}
	return verdict{}
}

// poissonTail is the probability of at least k events where mean are expected
// (Poisson distribution, by the normal approximation where exp(-mean) would
// lose its precision).
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

// hasEnoughResponses reports whether the new version has had enough answers to pass a
// step: minStepResponses, or a part of what the step's share of the route's
// traffic should give in the same window, so that a quiet route can move too.
func hasEnoughResponses(counts []thwire.Count, from, to string, share float64) bool {
	var old, fresh uint64
	for _, c := range counts {
		switch c.Pool {
		case from:
			old += c.Answers
		case to:
			fresh += c.Answers
		}
	}
	expected := share * float64(old+fresh)
	return fresh >= minStepResponses || expected < minExpectedResponses || float64(fresh) >= expected/4
}
