package thbench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

func writeFile(name, text string) error {
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		return therror.Wrap(therror.Internal, err, "file %s", name)
	}
	return nil
}

// Capacity measures the costs that grow with the fleet and the latency that the
// mesh adds to a call, and prints tables with an extrapolation to the target
// scale. If daemons is given, it measures only fleets of these sizes without
// backend servers, and no latency. On an error it goes on with the next size; the
// report lists all errors.
func (b *Bench) Capacity(ctx context.Context, daemons ...int) error {
	var errs error
	var l latencyResult
	if len(daemons) == 0 {
		b.note("added latency")
		l, errs = b.measureLatency(ctx)
	}
	var all []sizeResult
	for _, z := range sizes {
		if len(daemons) > 0 && (z.servers || !slices.Contains(daemons, z.daemons)) {
			continue
		}
		b.note("%d daemons, backend servers %t", z.daemons, z.servers)
		r, err := b.measureSize(ctx, z)
		if err != nil {
			b.note("%d daemons: %v", z.daemons, err)
			errs = errors.Join(errs, therror.Wrap(therror.Internal, err, "%d daemons", z.daemons))
			continue
		}
		all = append(all, r)
	}
	b.print("%s", reportIntro())
	if errs != nil {
		b.print("**Not complete:** %v\n\n", errs)
	}
	b.print("### Slopes\n\n%s%s", reportSizes(all), reportExtrapolation(all))
	b.print("### Loss and return of a zone\n\n%s", reportLoss(all))
	if len(daemons) == 0 {
		b.print("### Added latency\n\n%s", l.report())
	}
	return errs
}

// reportSizes renders one row for each measured fleet size.
func reportSizes(all []sizeResult) string {
	t := newTable("daemons", "backend servers", "all ready", "all know all", "convergence p50", "max",
		"control in, idle", "out, idle", "daemon with most", "bytes per change", "processor, idle", "daemon with most",
		"memory", "daemon with most", "platform reads/s", "writes/s", "reads of the start", "most in a second", "writes of the start", "connections")
	for _, r := range all {
		t.row(r.daemons, yesNo(r.servers), r.readyTime.Round(time.Millisecond), r.completeTime.Round(time.Millisecond),
			millis(quantile(r.convergence, 0.5)), millis(quantile(r.convergence, 1)),
			formatRate(r.idle.controlIn), formatRate(r.idle.controlOut), formatRate(r.idle.maxControl), fmt.Sprintf("%.0f", r.perChange),
			formatFraction(r.idle.processor), formatFraction(r.idle.maxProcessor), formatMegabytes(r.idle.memory), formatMegabytes(r.idle.maxMemory),
			fmt.Sprintf("%.1f", r.idle.reads), fmt.Sprintf("%.2f", r.idle.writes),
			r.startupCounts.reads, fmt.Sprintf("%.0f", r.peakReads), r.startupCounts.writes, fmt.Sprintf("%.1f", r.idle.sockets-listenerSockets))
	}
	return t.String() + fmt.Sprintf("Idle figures over %s, means per daemon; %d changes per size, half of them without --admin. "+
		"Tables with %d routes and pools, %d zones in 2 regions.\n\n", sizeIdleDuration, sizeChanges, targetServices, len(targetZones))
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

func formatFraction(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) }

func formatMegabytes(v float64) string { return fmt.Sprintf("%.1f MB", v/(1<<20)) }

// metric is a measured value that grows with the fleet and is extrapolated.
type metric struct {
	name       string
	value      func(sizeResult) float64
	format     func(float64) string
	target     float64 // zero for none
	minDaemons int     // smallest fleet size included in the fit
}

// minFullyPolled is the smallest measured fleet that has three pollers in each
// zone. In smaller fleets every additional daemon adds platform reads.
const minFullyPolled = 50

func metrics() []metric {
	seconds := func(v float64) string { return fmt.Sprintf("%.3f s", v) }
	number := func(v float64) string { return fmt.Sprintf("%.1f", v) }
	return []metric{
		{"control bytes in and out per daemon, idle", func(r sizeResult) float64 { return r.idle.controlIn + r.idle.controlOut }, formatRate, targetBytes, 0},
		{"the same, daemon with most", func(r sizeResult) float64 { return r.idle.maxControl }, formatRate, targetBytes, 0},
		{"control bytes per daemon and change", func(r sizeResult) float64 { return r.perChange }, number, 0, 0},
		{"processor of a daemon, idle", func(r sizeResult) float64 { return r.idle.processor }, formatFraction, targetProcessor, 0},
		{"the same, daemon with most", func(r sizeResult) float64 { return r.idle.maxProcessor }, formatFraction, targetProcessor, 0},
		{"resident memory", func(r sizeResult) float64 { return r.idle.memory }, formatMegabytes, targetMemory, 0},
		{"the same, daemon with most", func(r sizeResult) float64 { return r.idle.maxMemory }, formatMegabytes, targetMemory, 0},
		{"platform reads per second", func(r sizeResult) float64 { return r.idle.reads }, number, targetReads, minFullyPolled},
		{"platform writes per second", func(r sizeResult) float64 { return r.idle.writes }, number, 0, 0},
		{"reads of a start of the whole fleet", func(r sizeResult) float64 { return r.startupCounts.reads }, number, 0, 0},
		{"most reads in a second of that start", func(r sizeResult) float64 { return r.peakReads }, number, targetReads, 0},
		{"connections per daemon", func(r sizeResult) float64 { return r.idle.sockets - listenerSockets }, number, 0, 0},
		{"convergence, p50", func(r sizeResult) float64 { return quantile(r.convergence, 0.5).Seconds() }, seconds, goalConvergenceP99.Seconds(), 0},
		{"convergence, max", func(r sizeResult) float64 { return quantile(r.convergence, 1).Seconds() }, seconds, goalConvergence.Seconds(), 0},
		{"whole fleet started, all ready", func(r sizeResult) float64 { return r.readyTime.Seconds() }, seconds, 0, 0},
		{"whole fleet started, all know all", func(r sizeResult) float64 { return r.completeTime.Seconds() }, seconds, 0, 0},
	}
}

// reportExtrapolation fits a line to each metric over the sizes without backend
// servers, extrapolates it to targetDaemons, and adds the median offset of the
// sizes with backend servers.
func reportExtrapolation(all []sizeResult) string {
	t := newTable("figure", "at 0", "per 100 daemons", "fit r²", fmt.Sprintf("at %d", targetDaemons), "server beside adds", "target", "met")
	for _, f := range metrics() {
		var x, y, with []float64
		for _, r := range all {
			if !r.servers && r.daemons >= f.minDaemons {
				x, y = append(x, float64(r.daemons)), append(y, f.value(r))
			}
		}
		l := fitLine(x, y)
		for _, r := range all {
			if r.servers && r.daemons >= f.minDaemons {
				with = append(with, f.value(r)-l.at(float64(r.daemons)))
			}
		}
		extra := median(with)
		at := l.extrapolate(x, targetDaemons) + extra
		target, ok := "-", "-"
		if f.target > 0 {
			target, ok = f.format(f.target), goalResult(at < f.target)
		}
		t.row(f.name, f.format(l.intercept), f.format(100*l.slope), fmt.Sprintf("%.3f", l.rSquared), f.format(at), f.format(extra), target, ok)
	}
	return t.String() + fmt.Sprintf("Straight lines through the sizes without backend servers, extended from 200 to %d daemons; "+
		"the figure at %d includes what the sizes with backend servers have beyond the line. A falling line is continued level from the largest size. "+
		"The line of the platform's reads begins at %d daemons, the smallest size with three pollers in each zone.\n\n", targetDaemons, targetDaemons, minFullyPolled)
}

// reportLoss renders the loss and return of a zone for the sizes that measured it.
func reportLoss(all []sizeResult) string {
	t := newTable("daemons", "lost", "all survivors know", "control in and out while lost", "daemon with most", "processor", "daemon with most",
		"back and all know all", "control in and out while returning", "daemon with most", "processor", "daemon with most", "platform reads/s while returning")
	for _, r := range all {
		if !r.zoneLoss {
			continue
		}
		t.row(r.daemons, (r.daemons+len(targetZones)-1)/len(targetZones), r.detectTime.Round(time.Millisecond),
			formatRate(r.zoneDown.controlIn+r.zoneDown.controlOut), formatRate(r.zoneDown.maxControl), formatFraction(r.zoneDown.processor), formatFraction(r.zoneDown.maxProcessor),
			r.returnTime.Round(time.Millisecond), formatRate(r.zoneReturn.controlIn+r.zoneReturn.controlOut), formatRate(r.zoneReturn.maxControl),
			formatFraction(r.zoneReturn.processor), formatFraction(r.zoneReturn.maxProcessor), fmt.Sprintf("%.1f", r.zoneReturn.reads))
	}
	return t.String() + fmt.Sprintf("All daemons of one zone killed at once, and started again at once; survivors over about %s each.\n\n", zoneLossDuration)
}

func newLatencyTable(first string) *table {
	return newTable(first, "p50", "p99", "p99.9", "added p50", "added p99", "added p99.9", "lowest to highest added p99", "not answered well", "target 0.33 ms a call at p99")
}

// reportSingle renders the added latency of single calls.
func reportSingle(list []addedLatency, rounds int) string {
	t := newLatencyTable("way of a call")
	for i := range list {
		list[i].row(t)
	}
	return t.String() + fmt.Sprintf("Medians of %d rounds at %d calls a second; each round runs the ways one after the other and the differences are those of a round.\n\n",
		rounds, latencyRate)
}

func (f *fullLoad) report() string {
	return fmt.Sprintf("At %.0f calls a second over two daemons (%.0f answered well), both daemons use %.2f cores: %.0f calls per core-second of daemons.\n\n",
		f.rate, f.good, f.processor, f.perCoreSecond)
}

func (l *latencyResult) report() string {
	t := newLatencyTable("chain")
	for i := range l.chains {
		l.chains[i].row(t)
	}
	return reportSingle(l.single, latencyRounds) + t.String() + fmt.Sprintf("Chains at %d a second, medians of %d rounds of %s each, so that p99.9 is the slowest chain of a round. "+
		"The target is multiplied by the calls of the chain.\n\n", chainRate, chainRounds, chainDuration) + l.full.report()
}

func (a *addedLatency) row(t *table) {
	name := a.name
	if a.calls > 1 {
		name = fmt.Sprintf("%d calls, %s", a.calls, name)
	}
	cells := make([]any, 0, 10)
	cells = append(cells, name)
	for _, v := range a.times {
		cells = append(cells, preciseMillis(quantile(v, 0.5)))
	}
	for _, v := range a.extra {
		cells = append(cells, preciseMillis(quantile(v, 0.5)))
	}
	p99 := a.extra[1]
	goal := goalResult(quantile(p99, 0.5) <= time.Duration(a.calls)*targetAddedLatency)
	if a.baseline {
		goal = "-"
	}
	cells = append(cells, preciseMillis(quantile(p99, 0))+" to "+preciseMillis(quantile(p99, 1)), a.notGood, goal)
	t.row(cells...)
}

// preciseMillis formats d in milliseconds with a resolution of one microsecond.
func preciseMillis(d time.Duration) string {
	return fmt.Sprintf("%.3f ms", float64(d)/float64(time.Millisecond))
}
