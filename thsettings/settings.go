// Package thsettings loads and validates the settings of the daemon and of the
// operator commands. The settings structs, their validation, the reference in
// docs/settings.md and the sample are generated from schema.ini.
package thsettings

import (
	"net/netip"
	"slices"

	"github.com/turmerichaven/turmerichaven/thini"
)

//go:generate go run ./generate

// Role is the program that uses the settings. It determines the required keys.
type Role string

// The values of Role.
const (
	RoleDaemon  Role = "daemon"  // requires identity, addresses and platform
	RoleCommand Role = "command" // requires only the platform
)

// requiredByAll is the value of key.requiredBy for keys that all roles require.
// Otherwise requiredBy is a Role, or empty for an optional key.
const requiredByAll = "all"

// key is an entry of the generated list of settings. set parses a value, checks
// its range and stores it.
type key struct {
	section, name, defaultValue, requiredBy string
	set                                     func(*Settings, string) error
}

// Default returns the default settings. Keys without default have the zero value.
func Default() Settings {
	var s Settings
	for _, k := range keys {
		if k.defaultValue == "" {
			continue
		}
		if err := k.set(&s, k.defaultValue); err != nil {
			// Defaults are constants, and a test parses all of them.
			panic(err)
		}
	}
	return s
}

// Load reads and validates a settings file. The error is of kind Bad and lists all
// errors with file, line and key.
func Load(file string, role Role) (Settings, error) {
	body, err := thini.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, body, role)
}

// Parse parses and validates the content of a settings file; see Load. file is
// used in errors.
func Parse(file string, body []byte, role Role) (Settings, error) {
	f := thini.Parse(file, body)
	s := Default()
	lines := map[string]int{}
	for _, section := range f.Sections {
		readSection(f, section, &s, lines)
	}
	checkRequired(f, &s, role, lines)
	checkConflicts(f, &s, lines)
	if err := f.Errors.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// readSection stores the values of a section in s, and the lines of the section
// ("section") and of its keys ("section.key") in lines. A key without a value counts as
// omitted: a platform that fills in a template has no value for a term that it doesn't use.
func readSection(f *thini.File, section *thini.Section, s *Settings, lines map[string]int) {
	if !slices.Contains(sectionNames, section.Name) {
		f.AddError(section.Line, section.Name, "", "unknown section")
		return
	}
	lines[section.Name] = section.Line
	for _, entry := range section.Keys {
		i := slices.IndexFunc(keys, func(k key) bool { return k.section == section.Name && k.name == entry.Name })
		if i < 0 {
			f.AddError(entry.Line, section.Name, entry.Name, "unknown key")
			continue
		}
		if entry.Value == "" {
			continue
		}
		lines[section.Name+"."+entry.Name] = entry.Line
		if err := keys[i].set(s, entry.Value); err != nil {
			f.AddError(entry.Line, section.Name, entry.Name, "%v", err)
		}
	}
}

// The values of platform.kind.
const (
	KindTables = "tables" // table service and object store
	KindRows   = "rows"   // store of rows that operators write to
)

// The values of limits.choice.
const (
	ChoiceLoad = "load" // slots in use
	ChoiceTime = "time" // expected time to an answer
)

// The values of limits.zones.
const (
	ZonesFixed = "fixed" // limits.spill
	ZonesAuto  = "auto"  // expected time to an answer and limits.cost
)

const sectionPlatform = "platform"

// checkRequired reports keys that the role requires and the file omits. With kind
// rows, section platform requires only store.
func checkRequired(f *thini.File, s *Settings, role Role, lines map[string]int) {
	rows := s.Platform.Kind == KindRows
	if rows && !s.Platform.Store.IsValid() {
		f.AddError(lines[sectionPlatform], sectionPlatform, "store", "missing for kind %s", KindRows)
	}
	for _, k := range keys {
		if k.requiredBy != requiredByAll && k.requiredBy != string(role) || rows && k.section == sectionPlatform {
			continue
		}
		if _, found := lines[k.section+"."+k.name]; !found {
			f.AddError(lines[k.section], k.section, k.name, "missing")
		}
	}
}

// checkConflicts reports combinations of values that are invalid together.
func checkConflicts(f *thini.File, s *Settings, lines map[string]int) {
	names := map[netip.AddrPort]string{}
	for _, a := range []struct {
		name    string
		address netip.AddrPort
	}{{"ingress", s.Listen.Ingress}, {"peer", s.Listen.Peer}, {"local", s.Listen.Local}, {"admin", s.Listen.Admin}, {"ready", s.Listen.Ready}} {
		if !a.address.IsValid() {
			continue
		}
		if other, found := names[a.address]; found {
			f.AddError(lines["listen."+a.name], "listen", a.name, "%s is the address of %s", a.address, other)
			continue
		}
		names[a.address] = a.name
	}
	if s.Stop.Notice >= s.Stop.Grace {
		f.AddError(max(lines["stop.notice"], lines["stop.grace"]), "stop", "notice", "%s is not below grace %s", s.Stop.Notice, s.Stop.Grace)
	}
}
