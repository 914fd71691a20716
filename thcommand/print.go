package thcommand

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/therror"
)

// listing is the JSON output of the commands that list entries or edits. Version is
// the committed version.
type listing struct {
	Version uint64              `json:"version"`
	Routes  []routeView         `json:"routes,omitzero"`
	Pools   []poolView          `json:"pools,omitzero"`
	Zones   []thadmin.ZoneEntry `json:"zones,omitzero"`
	Edits   []editView          `json:"edits,omitzero"`
}

// printResult writes v as JSON with --output json; otherwise it calls text.
func (s *session) printResult(v any, text func()) error {
	if s.options.Output != outputJSON {
		text()
		return nil
	}
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return therror.Wrap(therror.Internal, err, "write output")
	}
	return nil
}

// printTable writes rows in aligned columns. header has the column names, separated
// by spaces.
func (s *session) printTable(header string, rows [][]any) {
	w := tabwriter.NewWriter(s.Out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		for i, c := range r {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, formatCell(c))
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// formatCell returns the printed form of a table cell: times in RFC 3339, a hyphen
// for empty strings and zero times, and quoted strings if they are not printable.
func formatCell(v any) any {
	switch v := v.(type) {
	case string:
		if v == "" {
			return "-"
		}
		if strings.ContainsFunc(v, func(r rune) bool { return !unicode.IsPrint(r) }) {
			return strconv.Quote(v) // names of backend servers are external input
		}
	case time.Time:
		if v.IsZero() {
			return "-"
		}
		return v.UTC().Format(time.RFC3339)
	}
	return v
}

// choose returns yes if the condition is true, otherwise no.
func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
