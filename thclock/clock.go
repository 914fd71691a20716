// Package thclock provides the default for optional clocks.
package thclock

import "github.com/jonboulle/clockwork"

var system = clockwork.NewRealClock()

// OrSystem returns c, or the system clock if c is nil. It makes the zero value of types
// with a Clock field usable.
func OrSystem(c clockwork.Clock) clockwork.Clock {
	if c == nil {
		return system
	}
	return c
}
