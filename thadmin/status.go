package thadmin

import (
	"slices"
	"time"
)

// Status is the response body of /status. Slices are sorted by name.
type Status struct {
	Self     SelfStatus     `json:"self"`
	Config   ConfigStatus   `json:"config"`
	Fleet    FleetStatus    `json:"fleet"`
	Members  []MemberEntry  `json:"members"`
	Zones    []ZoneEntry    `json:"zones"`
	Moves    []MoveEntry    `json:"moves"`
	Platform PlatformStatus `json:"platform"`
	Pools    []PoolEntry    `json:"pools"`

	Quarantine []QuarantineEntry `json:"quarantine,omitempty"`
	Accounts   *AccountsStatus   `json:"accounts,omitempty"` // nil if requests need no key
	Duties     []DutyStatus      `json:"duties,omitempty"`
}

// AccountsStatus describes the client accounts and their calls at the responding daemon.
type AccountsStatus struct {
	Count        int            `json:"count"`
	Unauthorized uint64         `json:"unauthorized"`      // calls without the key of an account
	Entries      []AccountEntry `json:"entries,omitempty"` // those with the most rejected calls first
}

// AccountEntry counts the calls of an account at the responding daemon since its start.
type AccountEntry struct {
	Name     string `json:"name"`
	Served   uint64 `json:"served"`
	Rejected uint64 `json:"rejected"`
	Failed   uint64 `json:"failed"`
}

// QuarantineEntry describes a request that is rejected since it has crashed backend servers.
type QuarantineEntry struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Since       time.Time `json:"since"` // of the latest crash
	Until       time.Time `json:"until"`
}

// DutyStatus describes work that one daemon of the fleet does at a time, as the responding
// daemon knows it.
type DutyStatus struct {
	Name     string  `json:"name"`
	Holder   string  `json:"holder"` // daemon; empty if unknown
	Token    uint64  `json:"token"`  // fencing token of the holder
	Age      float64 `json:"age"`    // seconds since this daemon heard of the holder
	Reported uint64  `json:"reported"`
	Due      int     `json:"due"`  // ended windows without a report, at the holder
	Late     int     `json:"late"` // those of them that should have been reported
}

// SelfStatus describes the responding daemon.
type SelfStatus struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Region  string    `json:"region"`
	Started time.Time `json:"started"`
	Ready   bool      `json:"ready"`
	Reasons []string  `json:"reasons,omitempty"` // why the daemon is not ready
	Limit   int       `json:"limit"`             // concurrency limit of admission control
	Active  int       `json:"active"`
	Queued  int       `json:"queued"`
}

// ConfigStatus describes the configuration of the responding daemon.
type ConfigStatus struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`          // hexadecimal
	Known   uint64 `json:"known"`           // highest version known in the fleet
	Alarm   string `json:"alarm,omitempty"` // older, diverged or empty
	Error   string `json:"error,omitempty"` // last failure to apply a version
}

// FleetStatus summarises the configuration versions of the live daemons.
type FleetStatus struct {
	Versions []VersionEntry `json:"versions"` // in ascending order
	Lagging  []string       `json:"lagging"`  // live daemons below the highest known version
}

// VersionEntry counts the live daemons that hold a version.
type VersionEntry struct {
	Version uint64 `json:"version"`
	Daemons int    `json:"daemons"`
}

// MemberEntry describes a daemon and, if present, its backend server.
type MemberEntry struct {
	Name    string       `json:"name"`
	Zone    string       `json:"zone"`
	Region  string       `json:"region"`
	State   string       `json:"state"` // alive, suspect, leaving or dead
	Version uint64       `json:"version"`
	Admin   string       `json:"admin,omitempty"`
	Server  *ServerEntry `json:"server,omitempty"`
}

// ServerEntry describes a backend server.
type ServerEntry struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`             // starting, ready or leaving
	Ejected bool   `json:"ejected,omitempty"` // by the responding daemon
}

// PoolEntry counts the usable backend servers of a pool.
type PoolEntry struct {
	Name    string `json:"name"`
	Servers int    `json:"servers"` // usable from the responding daemon
}

// ZoneEntry describes an availability zone.
type ZoneEntry struct {
	Name    string    `json:"name"`
	Out     bool      `json:"out"`
	Changed time.Time `json:"changed"`
}

// MoveEntry describes a move.
type MoveEntry struct {
	Name     string    `json:"name"`
	Route    string    `json:"route"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	State    string    `json:"state"`
	Share    float64   `json:"share"` // fraction of the traffic sent to To, 0 to 1
	Step     int       `json:"step"`
	Late     bool      `json:"late,omitempty"`
	Holder   string    `json:"holder,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Start    time.Time `json:"start"`
	Deadline time.Time `json:"deadline"`
}

// PlatformStatus describes the guard of the platform's table service.
type PlatformStatus struct {
	Open  bool   `json:"open"`            // the circuit breaker is open
	Error string `json:"error,omitempty"` // last error
}

// Values of MemberEntry.State.
const (
	StateAlive   = "alive"
	StateSuspect = "suspect"
	StateLeaving = "leaving"
	StateDead    = "dead"
)

// Live reports whether the daemon counts for convergence. A suspect daemon still
// accepts calls; a leaving or dead one does not.
func (m MemberEntry) Live() bool { return m.State == StateAlive || m.State == StateSuspect }

// DaemonsBelow returns the names of the live daemons with a lower version.
func (s *Status) DaemonsBelow(version uint64) []string {
	names := []string{}
	for _, m := range s.Members {
		if m.Live() && m.Version < version {
			names = append(names, m.Name)
		}
	}
	return names
}

// Summarise sets Fleet from Members and Config.Known. It first raises Config.Known to
// the highest version of a live daemon.
func (s *Status) Summarise() {
	counts := map[uint64]int{}
	known := s.Config.Known
	for _, m := range s.Members {
		if m.Live() {
			counts[m.Version]++
			known = max(known, m.Version)
		}
	}
	s.Config.Known = known
	s.Fleet = FleetStatus{Versions: []VersionEntry{}, Lagging: s.DaemonsBelow(known)}
	for v, n := range counts {
		s.Fleet.Versions = append(s.Fleet.Versions, VersionEntry{v, n})
	}
	slices.SortFunc(s.Fleet.Versions, func(a, b VersionEntry) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
}
