// Package thsettings holds the settings of the daemon and of the operator
// commands. schema.ini is their one schema; the struct, the checks, the
// reference in docs/settings.md and the sample are generated from it.
package thsettings

import (
	"net/netip"
	"slices"

	"github.com/turmerichaven/turmerichaven/thini"
)

//go:generate go run ./generate

// Role says who uses the settings, and so which keys are required.
type Role string

// The roles.
const (
	RoleDaemon  Role = "daemon"  // requires identity, addresses and platform
	RoleCommand Role = "command" // requires the platform only
)

const requiredByAll = "all"

type key struct {
	section, name, defaultValue, requiredBy string
	set                                     func(*Settings, string) error
}

// Default returns the settings of an empty file. Keys without default are empty.
func Default() Settings {
	var s Settings
	for _, k := range keys {
		if k.defaultValue == "" {
			continue
		}
		if err := k.set(&s, k.defaultValue); err != nil {
			// The defaults are constants; the tests check every one.
			panic(err)
		}
	}
	return s
}

// Load reads and checks a settings file. The error is of kind Bad and lists
// every fault with file, line and key.
func Load(file string, role Role) (Settings, error) {
	body, err := thini.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, body, role)
}

// Parse checks the content of a settings file; see Load.
func Parse(file string, body []byte, role Role) (Settings, error) {
	f := thini.Parse(file, body)
	s := Default()
	lines := map[string]int{}
	for _, x := range f.Sections {
		readSection(f, x, &s, lines)
	}
	checkRequired(f, &s, role, lines)
	checkConflicts(f, &s, lines)
	if err := f.Faults.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func readSection(f *thini.File, x *thini.Section, s *Settings, lines map[string]int) {
	if !slices.Contains(sectionNames, x.Name) {
		f.Fault(x.Line, x.Name, "", "unknown section")
		return
	}
	lines[x.Name] = x.Line
	for _, v := range x.Keys {
		i := slices.IndexFunc(keys, func(k key) bool { return k.section == x.Name && k.name == v.Name })
		if i < 0 {
			f.Fault(v.Line, x.Name, v.Name, "unknown key")
			continue
		}
		lines[x.Name+"."+v.Name] = v.Line
		if err := keys[i].set(s, v.Value); err != nil {
			f.Fault(v.Line, x.Name, v.Name, "%v", err)
		}
	}
}

// The kinds of platform.
const (
	KindTables = "tables"
	KindRows   = "rows"
)

const sectionPlatform = "platform"

func checkRequired(f *thini.File, s *Settings, role Role, lines map[string]int) {
	rows := s.Platform.Kind == KindRows
	if rows && !s.Platform.Store.IsValid() {
		f.Fault(lines[sectionPlatform], sectionPlatform, "store", "missing for kind %s", KindRows)
	}
	for _, k := range keys {
		if k.requiredBy != requiredByAll && k.requiredBy != string(role) || rows && k.section == sectionPlatform {
			continue
		}
		if _, found := lines[k.section+"."+k.name]; !found {
			f.Fault(lines[k.section], k.section, k.name, "missing")
		}
	}
}

// checkConflicts reports values that are valid alone but not together.
func checkConflicts(f *thini.File, s *Settings, lines map[string]int) {
	taken := map[netip.AddrPort]string{}
	for _, l := range []struct {
		name    string
		address netip.AddrPort
	}{{"ingress", s.Listen.Ingress}, {"peer", s.Listen.Peer}, {"local", s.Listen.Local}, {"admin", s.Listen.Admin}, {"ready", s.Listen.Ready}} {
		if !l.address.IsValid() {
			continue
		}
		if other, found := taken[l.address]; found {
			f.Fault(lines["listen."+l.name], "listen", l.name, "%s is the address of %s", l.address, other)
			continue
		}
		taken[l.address] = l.name
	}
	if s.Stop.Notice >= s.Stop.Grace {
		f.Fault(max(lines["stop.notice"], lines["stop.grace"]), "stop", "notice", "%s is not below grace %s", s.Stop.Notice, s.Stop.Grace)
	}
}
