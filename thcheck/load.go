package thcheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thbackend"
)

// CheckStopped reports requests that the matching backend servers started after a
// time, for instance the time at which a zone was taken out or a server drained.
func CheckStopped(records []thbackend.Record, match func(*thbackend.Record) bool, after time.Time) []Violation {
	var list []Violation
	for i := range records {
		r := &records[i]
		if match(r) && r.Start.After(after) {
			list = append(list, Violation{
				Kind: RunAfterStop, ID: r.ID, Time: r.Start,
				Detail: fmt.Sprintf("started by %s, %s after the limit", r.Server, r.Start.Sub(after)),
			})
		}
	}
	return list
}

// OnServers returns a match function for CheckStopped that selects servers by name.
func OnServers(names ...string) func(*thbackend.Record) bool {
	return func(r *thbackend.Record) bool { return slices.Contains(names, r.Server) }
}

// PeakConcurrency returns the maximum of concurrent requests by server, rejected
// requests included. A request without an end counts until the last record.
func PeakConcurrency(records []thbackend.Record) map[string]int {
	type step struct {
		server string
		time   time.Time
		change int // 1 at the start of a request, -1 at its end
	}
	steps := make([]step, 0, 2*len(records))
	for i := range records {
		r := &records[i]
		steps = append(steps, step{r.Server, r.Start, 1})
		if !r.End.IsZero() {
			steps = append(steps, step{r.Server, r.End, -1})
		}
	}
	// Ends sort before starts of the same time, as the requests were consecutive.
	slices.SortFunc(steps, func(a, b step) int { return cmp.Or(a.time.Compare(b.time), a.change-b.change) })
	active, peaks := map[string]int{}, map[string]int{}
	for _, s := range steps {
		active[s.server] += s.change
		peaks[s.server] = max(peaks[s.server], active[s.server])
	}
	return peaks
}

// CheckPeaks reports servers that had more concurrent requests than slots.
func CheckPeaks(records []thbackend.Record, slots int) []Violation {
	var list []Violation
	for server, n := range PeakConcurrency(records) {
		if n > slots {
			list = append(list, Violation{Kind: Overload, ID: server, Detail: fmt.Sprintf("%d concurrent requests, %d slots", n, slots)})
		}
	}
	slices.SortFunc(list, func(a, b Violation) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Window is a time range, To excluded.
type Window struct{ From, To time.Time }

// Share returns the fraction of the service's requests started in the window that the
// version ran, and the number of the service's requests. Rejected requests don't
// count; without requests the fraction is 0.
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

// CheckShare reports a version whose share is outside minShare and maxShare.
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
