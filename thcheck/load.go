package thcheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thbackend"
)

// CheckStopped reports work that the matching servers began after the moment, as
// after a zone was taken out or a server drained.
func CheckStopped(records []thbackend.Record, match func(*thbackend.Record) bool, after time.Time) []Violation {
	var list []Violation
	for i := range records {
		r := &records[i]
		if match(r) && r.Start.After(after) {
			list = append(list, Violation{
				Kind: RunAfterStop, ID: r.ID, Time: r.Start,
				Detail: fmt.Sprintf("begun by %s %s after the moment", r.Server, r.Start.Sub(after)),
			})
		}
	}
	return list
}

// OnServers returns a match for Stopped by server name.
func OnServers(names ...string) func(*thbackend.Record) bool {
	return func(r *thbackend.Record) bool { return slices.Contains(names, r.Server) }
}

// PeakConcurrency returns the most requests at once of each server, refused ones
// included. A request without an end counts until the last record.
func PeakConcurrency(records []thbackend.Record) map[string]int {
	type step struct {
		server string
		time   time.Time
		change int
	}
	steps := make([]step, 0, 2*len(records))
	for i := range records {
		r := &records[i]
		steps = append(steps, step{r.Server, r.Start, 1})
		if !r.End.IsZero() {
			steps = append(steps, step{r.Server, r.End, -1})
		}
	}
	// Ends sort before starts of the same time: one request followed the other.
	slices.SortFunc(steps, func(a, b step) int { return cmp.Or(a.time.Compare(b.time), a.change-b.change) })
	active, peaks := map[string]int{}, map[string]int{}
	for _, s := range steps {
		active[s.server] += s.change
		peaks[s.server] = max(peaks[s.server], active[s.server])
	}
	return peaks
}

// CheckPeaks reports servers that had more requests at once than their slots.
func CheckPeaks(records []thbackend.Record, slots int) []Violation {
	var list []Violation
	for server, n := range PeakConcurrency(records) {
		if n > slots {
			list = append(list, Violation{Kind: Overload, ID: server, Detail: fmt.Sprintf("%d requests at once, %d slots", n, slots)})
		}
	}
	slices.SortFunc(list, func(a, b Violation) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Window is a span of time, To excluded.
type Window struct{ From, To time.Time }

// Share returns the share of the service's requests in the window that the
// version ran, and their number.
func Share(records []thbackend.Record, service, version string, w Window) (float64, int) {
	all, matched := 0, 0
	for i := range records {
		r := &records[i]
		if r.Service != service || !r.Run || r.Start.Before(w.From) || !r.Start.Before(w.To) {
			continue
		}
		all++
		if r.Version == version {
			matched++
		}
	}
	if all == 0 {
		return 0, 0
	}
	return float64(matched) / float64(all), all
}

// CheckShare reports a share of a version outside of least and most.
func CheckShare(records []thbackend.Record, service, version string, w Window, minShare, maxShare float64) []Violation {
	share, n := Share(records, service, version, w)
	if share >= minShare && share <= maxShare {
		return nil
	}
	return []Violation{{
		Kind: WrongShare, ID: service + "/" + version, Time: w.From,
		Detail: fmt.Sprintf("share %.4f of %d requests, allowed %.4f to %.4f", share, n, minShare, maxShare),
	}}
}
