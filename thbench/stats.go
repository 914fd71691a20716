package thbench

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// quantile returns the q-quantile (q from 0 to 1) by the nearest-rank method. It
// returns zero if there are no values.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// median returns the median of the values, or zero if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// line is a linear fit through measured points.
type line struct {
	slope, intercept float64
	rSquared         float64 // coefficient of determination, 1 for a perfect fit
}

// fitLine fits a line by least squares. With fewer than two distinct x it returns
// the constant mean of y; without points it returns zero.
func fitLine(x, y []float64) line {
	n := float64(len(x))
	if n == 0 {
		return line{}
	}
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy, syy = sxx+x[i]*x[i], sxy+x[i]*y[i], syy+y[i]*y[i]
	}
	dx, dy := n*sxx-sx*sx, n*syy-sy*sy
	if dx == 0 {
		return line{intercept: sy / n}
	}
	l := line{slope: (n*sxy - sx*sy) / dx, rSquared: 1}
	l.intercept = (sy - l.slope*sx) / n
	if dy > 0 {
		dxy := n*sxy - sx*sy
		l.rSquared = dxy * dxy / (dx * dy)
	}
	return l
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*x }

// extrapolate returns the value of the line at x, which is larger than any measured x.
// A falling line stays at its value for the largest measured x, because no figure
// improves without limit.
func (l line) extrapolate(measured []float64, x float64) float64 {
	if l.slope < 0 && len(measured) > 0 {
		x = slices.Max(measured)
	}
	return l.at(x)
}

// pollBaseline returns the q-quantile of the convergence time if each of n daemons
// polls the platform once per pollPeriod at a random phase. That is the time until the
// last daemon has polled.
func pollBaseline(n int, q float64) time.Duration {
	return time.Duration(math.Pow(q, 1/float64(max(n, 1))) * float64(pollPeriod))
}

// goalResult returns the table cell for a goal that is met or missed.
func goalResult(ok bool) string {
	if ok {
		return "met"
	}
	return "**MISSED**"
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// percent formats part of all as a percentage, or "-" if all is zero.
func percent(part, all int) string {
	if all == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(all))
}

// ratio returns a/b, or zero if b is zero.
func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// table is a Markdown table.
type table struct {
	head []string
	rows [][]string
}

func newTable(head ...string) *table { return &table{head: head} }

// row appends a row. Values are formatted with fmt.Sprint.
func (t *table) row(values ...any) {
	cells := make([]string, len(values))
	for i, v := range values {
		cells[i] = strings.ReplaceAll(fmt.Sprint(v), "|", "\\|")
	}
	t.rows = append(t.rows, cells)
}

// String renders the table, followed by an empty line.
func (t *table) String() string {
	var out strings.Builder
	write := func(cells []string) { fmt.Fprintf(&out, "| %s |\n", strings.Join(cells, " | ")) }
	write(t.head)
	rule := make([]string, len(t.head))
	for i := range rule {
		rule[i] = "---"
	}
	write(rule)
	for _, r := range t.rows {
		write(r)
	}
	out.WriteString("\n")
	return out.String()
}
