// Package thclock supplies the default for clocks that are passed in.
package thclock

import "github.com/jonboulle/clockwork"

var system = clockwork.NewRealClock()

// OrSystem returns c, or the system's clock for nil, so that a zero value works.
func OrSystem(c clockwork.Clock) clockwork.Clock {
	if c == nil {
		return system
	}
	return c
}
