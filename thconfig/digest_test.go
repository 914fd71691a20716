package thconfig

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against changed routes that are left out, or stay after their removal,
// when only the differences between two tables are sent.
func TestChangedRoutesTurnOneIntoTheOther(t *testing.T) {
	table := func(t *rapid.T, label string) Tables {
		timeouts := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), rapid.IntRange(1, 2), 0, 6).Draw(t, label)
		var n Tables
		for name, timeout := range timeouts {
			n.Routes = append(n.Routes, Route{Name: name, Timeout: time.Duration(timeout), Split: []WeightedPool{{Pool: "p", Weight: timeout}}})
		}
		n.sortByName()
		return n
	}
	rapid.Check(t, func(t *rapid.T) {
		old, next := table(t, "old"), table(t, "next")
		names := ChangedRoutes(old, next)
		routes, gone := SelectRoutes(next, names)
		got := ReplaceRoutes(old, routes, gone)
		if len(got) != len(next.Routes) || (len(got) > 0 && !reflect.DeepEqual(got, next.Routes)) {
			t.Fatalf("%v and %v without %v make %v in place of %v", old.Routes, routes, gone, got, next.Routes)
		}
	})
}
