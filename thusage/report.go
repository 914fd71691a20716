// Package thusage counts the requests of each account and reports them to the platform, once
// for each window.
package thusage

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thlease"
)

// Report is the usage of one window.
type Report struct {
	Window int64
	Counts map[string]uint64 // by account
}

// API sends reports to the platform. Kinds of errors: Limited (429, with a retry time), Down
// (nothing was sent, or 503), Unknown (no answer), Refused (another status). A Post writes the
// request at once after ctx was checked, and resets the connection when ctx ends.
type API interface {
	Post(ctx context.Context, holder string, token uint64, r Report) error
}

// maxPartBytes is the size of the counts in one row. The store takes rows of 64 KiB.
const maxPartBytes = 40 << 10

// keyPrefix begins the keys of the rows of frozen windows.
const keyPrefix = "w/"

// part is the value of a row: the counts of some accounts of a frozen window.
type part struct {
	Parts  int               `json:"parts"` // rows of the window
	Counts map[string]uint64 `json:"counts"`
}

func partKey(window int64, n int) string { return fmt.Sprintf("%s%020d/%d", keyPrefix, window, n) }

// parseKey returns the window of a row; false for a key that is not of a window.
func parseKey(key string) (window int64, ok bool) {
	rest, found := strings.CutPrefix(key, keyPrefix)
	digits, _, divided := strings.Cut(rest, "/")
	n, err := strconv.ParseInt(digits, 10, 64)
	return n, found && divided && err == nil && n >= 0
}

// encodeRows returns the rows of a report and their size in bytes.
func encodeRows(r Report) (rows []thlease.Row, size int) {
	parts := []map[string]uint64{{}}
	bytes := 0
	for _, account := range slices.Sorted(maps.Keys(r.Counts)) {
		// A name takes up to six bytes for each of its own in JSON, a count up to 20 digits.
		quoted, _ := json.Marshal(account) // a string can always be encoded
		n := len(quoted) + 22
		if bytes+n > maxPartBytes {
			parts, bytes = append(parts, map[string]uint64{}), 0
		}
		parts[len(parts)-1][account] = r.Counts[account]
		bytes += n
	}
	for i, counts := range parts {
		value, _ := json.Marshal(part{Parts: len(parts), Counts: counts}) // can always be encoded
		rows = append(rows, thlease.Row{Key: partKey(r.Window, i), Value: value})
		size += len(value)
	}
	return rows, size
}

// stored is a frozen window as read from the store.
type stored struct {
	counts map[string]uint64
	keys   []string
}

// decodeRows returns the frozen windows. A window that can't be read is returned without counts,
// with an error: it may have been posted already, so it must not be frozen again.
func decodeRows(rows []thlease.Row) (map[int64]stored, error) {
	windows := map[int64]stored{}
	want := map[int64]int{}
	var fault error
	for _, row := range rows {
		window, ok := parseKey(row.Key)
		if !ok {
			fault = cmp.Or(fault, error(therror.New(therror.Bad, "row %q is not of a window", row.Key)))
			continue
		}
		s, found := windows[window]
		if !found {
			s.counts = map[string]uint64{}
		}
		s.keys = append(s.keys, row.Key)
		var p part
		if err := json.Unmarshal(row.Value, &p); err != nil || p.Parts < 1 {
			p = part{Parts: -1}
		}
		if n, seen := want[window]; seen && n != p.Parts {
			p.Parts = -1
		}
		want[window] = p.Parts
		for account, n := range p.Counts {
			s.counts[account] += n
		}
		windows[window] = s
	}
	for window, s := range windows {
		if want[window] != len(s.keys) {
			s.counts = nil
			windows[window] = s
			fault = cmp.Or(fault, error(therror.New(therror.Bad, "the rows of window %d are incomplete", window)))
		}
	}
	return windows, fault
}

// dutyState is Record.State of the duty.
type dutyState struct {
	First int64 `json:"first"` // first window that is not yet reported
	// Failed are the daemons that could not reach the API, by the true time in ms at which they
	// yielded the duty for that.
	Failed map[string]int64 `json:"failed,omitempty"`
}
