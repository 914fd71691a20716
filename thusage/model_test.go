package thusage

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/therror"
)

// simFault is a failure of the model.
type simFault struct {
	kind     string
	daemon   int
	at, ends time.Duration // since the start
}

// overlaps reports whether the fault can affect a window that begins at from, until its report
// is due.
func (s simFault) overlaps(from time.Duration) bool {
	return s.at < from+defaultWindow+defaultLate && from < s.ends
}

// exact reports whether counts stay within 5% under the fault. A process that dies loses what it
// has not sent, and one that can't send by the time of the freeze is missing.
func (s simFault) exact() bool {
	return s.kind != "kill" && s.kind != "freeze" && s.kind != "cut" && s.kind != "wrong time"
}

// settles returns when the counts are exact again. A process with a wrong time of day can't know
// it while it reaches fewer than two others, and its time is up to 11 s ahead.
func (s simFault) settles(faults []simFault) time.Duration {
	end := s.ends
	for _, o := range faults {
		if s.kind == "wrong time" && !o.exact() && o != s && o.ends > s.at-5*time.Second && o.at < s.at+15*time.Second {
			end = max(end, o.ends+11*time.Second)
		}
	}
	return end
}

// apiOutcome returns the outcome of a post under the faults of the API.
func apiOutcome(faults []simFault, f *simFleet) (bool, time.Duration, error) {
	for _, s := range faults {
		if at := f.now - simStart; at < s.at || at >= s.ends {
			continue
		}
		switch s.kind {
		case "API down":
			return false, 0, therror.New(therror.Down, "503")
		case "API hangs":
			return false, postTimeout, therror.New(therror.Unknown, "no answer")
		case "API slow":
			return true, 2 * time.Second, nil
		case "API loses answers":
			return true, simStep, therror.New(therror.Unknown, "no answer")
		case "API limits":
			return false, 0, therror.New(therror.Limited, "429").WithRetryAfter(time.Second)
		}
	}
	return true, 0, nil
}

// apply starts and ends the faults of this moment.
func (s simFault) apply(f *simFleet, active bool) {
	d := f.daemons[s.daemon]
	starts := active && f.now-simStart-s.at < simStep
	switch s.kind {
	case "store down":
		f.storeDown = f.storeDown || active
	case "store loses answers":
		f.storeLost = f.storeLost || active
	case "kill":
		switch {
		case starts && !d.dead:
			f.kill(s.daemon)
		case !active && d.dead && f.now-simStart >= s.ends:
			f.boot(s.daemon, 0)
		}
	case "wrong time":
		if starts && !d.dead {
			f.boot(s.daemon, s.ends-s.at-4*time.Second)
		}
	case "freeze":
		if starts {
			d.frozenUntil = simStart + s.ends
		}
	case "cut":
		if starts {
			d.cutUntil = simStart + s.ends
		}
	}
}

// Guards against two counts for a window, counts that are more than 5% wrong although no process
// died, and windows that are not reported by Late although nothing was down, in three daemons
// under random failures.
func TestReportsUnderRandomFailures(t *testing.T) {
	kinds := []string{
		"store down", "store loses answers", "kill", "wrong time", "freeze", "cut",
		"API down", "API hangs", "API slow", "API loses answers", "API limits",
	}
	rapid.Check(t, func(t *rapid.T) {
		var faults []simFault
		for i := range rapid.IntRange(0, 6).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, 1000).Draw(t, fmt.Sprint("at ", i))) * simStep
			length := time.Duration(rapid.IntRange(1, 300).Draw(t, fmt.Sprint("length ", i))) * simStep
			faults = append(faults, simFault{
				rapid.SampledFrom(kinds).Draw(t, fmt.Sprint("kind ", i)), rapid.IntRange(0, 2).Draw(t, fmt.Sprint("daemon ", i)), at, at + length,
			})
		}
		f := newFleet("a", "b", "c")
		f.api = func(*simDaemon, post) (bool, time.Duration, error) { return apiOutcome(faults, f) }
		ended := time.Duration(0)
		for _, s := range faults {
			ended = max(ended, s.ends)
		}
		// After the failures a daemon that yielded may have to wait, and then all is reported.
		for end := simStart + max(ended, 10*time.Second) + 40*time.Second; f.now < end; {
			f.storeDown, f.storeLost = false, false
			for _, s := range faults {
				s.apply(f, f.now-simStart >= s.at && f.now-simStart < s.ends)
			}
			f.run(simStep)
		}
		if len(f.breaches) > 0 {
			t.Fatalf("two counts: %v", f.breaches)
		}
		checkModel(t, f, faults)
	})
}

func checkModel(t *rapid.T, f *simFleet, faults []simFault) {
	first := firstWindow
	for len(f.reports) > 0 && f.reports[first] == nil {
		first++ // no holder could begin before
	}
	last := int64((f.now-defaultLate)/defaultWindow) - 1
	clocks := slices.ContainsFunc(faults, func(s simFault) bool { return s.kind == "wrong time" })
	for w := first; w <= last; w++ {
		from := time.Duration(w-firstWindow) * defaultWindow
		exact, calm := true, true
		for _, s := range faults {
			// An inexact count of a window can become known long after the fault, when the store
			// or the API was down in between.
			exact = exact && (s.exact() || from >= s.settles(faults)+defaultWindow)
			calm = calm && !s.overlaps(from) && !s.overlaps(from-30*time.Second)
		}
		got, found := f.reports[w]
		if !found {
			t.Fatalf("window %+d is missing, %v", w-firstWindow, faults)
		}
		if calm && f.arrived[w] > time.Duration(w+1)*defaultWindow+defaultLate {
			t.Fatalf("window %+d is reported %s after its end", w-firstWindow, f.arrived[w]-time.Duration(w+1)*defaultWindow)
		}
		for account, n := range got {
			want := float64(f.truth[w][account])
			if !clocks && float64(n) > want {
				t.Fatalf("window %+d: %s has %d, more than %v", w-firstWindow, account, n, want)
			}
			if exact && (float64(n) < 0.95*want || float64(n) > 1.05*want) {
				t.Fatalf("window %+d: %s has %d of %v", w-firstWindow, account, n, want)
			}
		}
		if exact && len(got) != len(f.truth[w]) {
			t.Fatalf("window %+d: %v instead of %v", w-firstWindow, got, f.truth[w])
		}
	}
}
