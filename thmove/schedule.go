// Package thmove shifts a route's traffic from one pool to another: the
// schedule of shares, the evidence about both versions, the verdict, and the
// duty of the daemon that holds a move.
package thmove

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// stepShares are the shares of a move, in order.
var stepShares = [...]float64{0.01, 0.02, 0.05, 0.10, 0.25, 0.50, 1}

const lastStep = len(stepShares) - 1

// scheduledFraction is the part of the time to the deadline that the steps take. The
// rest is left for a late commit.
const scheduledFraction = 0.9

// stepShare returns the share of traffic of a step; steps out of range are clamped.
func stepShare(step int) float64 {
	return stepShares[min(max(step, 0), lastStep)]
}

// stepDuration is the time that the schedule gives to one step.
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

// minDwell is the shortest time at one step, so that the evidence shows the
// new version under the load of that step. A move that was held up may take
// its remaining steps at this pace.
func minDwell(m thconfig.Move) time.Duration {
	return stepDuration(m) / 2
}
