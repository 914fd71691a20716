package thproxy

import (
	"strconv"
	"strings"
)

// LoadReport is the load that a backend server reports in a response header.
type LoadReport struct {
	Running, Waiting int // requests
	Slots            int
	// Slowdown is the time that work takes at the moment, in percent of the usual time; zero
	// if the server doesn't state it.
	Slowdown int
}

// Numbers of figures in the load header: servers that share their machines with others add
// the slowdown.
const (
	minLoadFigures = 3
	maxLoadFigures = 4
)

// parseLoad parses the load header: running requests, waiting requests, slots and, from some
// servers, the slowdown, separated by commas.
func parseLoad(v string) (LoadReport, bool) {
	parts := strings.Split(v, ",")
	if len(parts) < minLoadFigures || len(parts) > maxLoadFigures {
		return LoadReport{}, false
	}
	var figures [maxLoadFigures]int
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return LoadReport{}, false
		}
		figures[i] = n
	}
	return LoadReport{Running: figures[0], Waiting: figures[1], Slots: figures[2], Slowdown: figures[3]}, true
}
