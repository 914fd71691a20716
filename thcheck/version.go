package thcheck

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// VersionObservation is the configuration version of a daemon at one time.
type VersionObservation struct {
	Daemon  string    `json:"daemon"`
	Time    time.Time `json:"time"`
	Version uint64    `json:"version"` // 0 while a starting daemon has none
	Digest  string    `json:"digest"`  // hexadecimal
	Ready   bool      `json:"ready"`   // the daemon accepts calls
}

// CheckVersions reports daemons whose version decreased, in the order of the history.
// A restart is no exception, because a daemon serves each version that it reports.
// Version 0 means none; a daemon that accepts calls must have a version.
func CheckVersions(history []VersionObservation) []Violation {
	var list []Violation
	last := map[string]uint64{}
	for _, h := range history {
		old := last[h.Daemon]
		switch {
		case h.Version == 0 && h.Ready:
			list = append(list, Violation{Kind: ReadyWithoutVersion, ID: h.Daemon, Time: h.Time, Detail: "accepts calls without a version"})
		case h.Version > 0 && h.Version < old:
			list = append(list, Violation{Kind: VersionDecreased, ID: h.Daemon, Time: h.Time, Detail: fmt.Sprintf("version %d after %d", h.Version, old)})
		}
		last[h.Daemon] = max(old, h.Version)
	}
	return list
}

// CheckDigests reports versions whose digest differs between two observations, of one
// daemon or of several.
func CheckDigests(history []VersionObservation) []Violation {
	var list []Violation
	first := map[uint64]VersionObservation{}
	for _, h := range history {
		if h.Version == 0 {
			continue
		}
		f, found := first[h.Version]
		if !found {
			first[h.Version] = h
			continue
		}
		if f.Digest != h.Digest {
			list = append(list, Violation{
				Kind: Diverged, ID: h.Daemon, Time: h.Time,
				Detail: fmt.Sprintf("version %d has digest %s, %s has %s", h.Version, h.Digest, f.Daemon, f.Digest),
			})
		}
	}
	return list
}

// CheckChangeLog replays the change log on the tables from before its first change. It
// reports the first invalid version, e.g. with a route to a missing pool, and observed
// versions that the log lacks or has with another digest, once each.
func CheckChangeLog(before thconfig.Tables, changes []thconfig.Change, history []VersionObservation) []Violation {
	var list []Violation
	digests := map[uint64]string{before.Version: hex.EncodeToString(thconfig.Digest(before))}
	t := before
	for _, c := range changes {
		n, err := thconfig.ApplyChange(t, c)
		if err != nil {
			list = append(list, Violation{Kind: Dangling, ID: fmt.Sprint(c.Version), Time: c.Time, Detail: err.Error()})
			break
		}
		t = n
		digests[c.Version] = hex.EncodeToString(c.Digest)
	}
	seen := map[uint64]bool{}
	for _, h := range history {
		d, found := digests[h.Version]
		if h.Version < before.Version || h.Version == 0 || seen[h.Version] || (found && d == h.Digest) {
			continue
		}
		seen[h.Version] = true
		list = append(list, Violation{
			Kind: Diverged, ID: h.Daemon, Time: h.Time,
			Detail: fmt.Sprintf("version %d has digest %s, the change log has %q", h.Version, h.Digest, d),
		})
	}
	return list
}
