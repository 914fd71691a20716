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

// listing is the JSON form of what a command lists at a version.
type listing struct {
	Version uint64              `json:"version"`
	Routes  []routeView         `json:"routes,omitzero"`
	Pools   []poolView          `json:"pools,omitzero"`
	Zones   []thadmin.ZoneEntry `json:"zones,omitzero"`
	Edits   []editView          `json:"edits,omitzero"`
}

// printResult writes v as JSON, or calls text.
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

// printTable writes rows under a header in aligned columns.
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

func formatCell(v any) any {
	switch v := v.(type) {
	case string:
		if v == "" {
			return "-"
		}
		if strings.ContainsFunc(v, func(r rune) bool { return !unicode.IsPrint(r) }) {
			return strconv.Quote(v) // names of backend servers come from outside
		}
	case time.Time:
		if v.IsZero() {
			return "-"
		}
		return v.UTC().Format(time.RFC3339)
	}
	return v
}

func choose(on bool, yes, no string) string {
	if on {
		return yes
	}
	return no
}
