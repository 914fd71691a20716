// Package thmove implements moves (progressive rollouts), which shift a route's
// traffic from one pool to another: the schedule of traffic shares, the collection
// and comparison of call statistics of both versions, and the coordinator that
// raises the share, reverts the move or completes it.
package thmove

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// stepShares are the traffic shares of the new version at each step of a move.
var stepShares = [...]float64{0.01, 0.02, 0.05, 0.10, 0.25, 0.50, 1}

const lastStep = len(stepShares) - 1

// scheduledFraction is the fraction of the time from start to deadline that is divided
// among the steps. The rest is a reserve for committing the end of the move.
const scheduledFraction = 0.9

// stepShare returns the traffic share of a step; a step out of range is clamped.
func stepShare(step int) float64 {
	return stepShares[min(max(step, 0), lastStep)]
}

// stepDuration returns the scheduled time of each step.
func stepDuration(m thconfig.Move) time.Duration {
	return time.Duration(float64(m.Deadline.Sub(m.Start)) * scheduledFraction / float64(len(stepShares)))
}

// maxStep returns the highest step that the schedule allows at now, and -1
// before the start. A value above lastStep means that the move may be completed.
func maxStep(m thconfig.Move, now time.Time) int {
	elapsed := now.Sub(m.Start)
	if elapsed < 0 {
		return -1
	}
	return int(elapsed / max(stepDuration(m), 1))
}

// minDwell returns the minimum time at a step, which is needed to observe the new
// version under the load of the step. A delayed move may take its remaining steps at
// this interval.
func minDwell(m thconfig.Move) time.Duration {
	return stepDuration(m) / 2
}
