package thconfig

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against changed routes that are missing, or removed routes that remain,
// when only the differences between two tables are sent.
func TestChangedRoutesTurnOneIntoTheOther(t *testing.T) {
	drawRoutes := func(t *rapid.T, label string) Tables {
		timeouts := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), rapid.IntRange(1, 2), 0, 6).Draw(t, label)
		var n Tables
		for name, timeout := range timeouts {
			n.Routes = append(n.Routes, Route{Name: name, Timeout: time.Duration(timeout), Split: []WeightedPool{{Pool: "p", Weight: timeout}}})
		}
		n.sortByName()
		return n
	}
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawRoutes(t, "old"), drawRoutes(t, "next")
		names := ChangedRoutes(old, next)
		routes, removed := SelectRoutes(next, names)
		got := ReplaceRoutes(old, routes, removed)
		if len(got) != len(next.Routes) || (len(got) > 0 && !reflect.DeepEqual(got, next.Routes)) {
			t.Fatalf("%v with %v replaced and %v removed gives %v, want %v", old.Routes, routes, removed, got, next.Routes)
		}
	})
}
