package thconfig

import (
	"fmt"
	"slices"
	"strings"
)

// CompareConfigs lists what differs between two configurations, a line for each entry that was
// added, removed or changed. It shows no keys, only how many an account gains and loses.
func CompareConfigs(old, next *Config) []string {
	lines := compareEntries(configEntries(old), configEntries(next))
	if old.Keyed != next.Keyed {
		lines = append(lines, fmt.Sprintf("requests need a key: %t -> %t", old.Keyed, next.Keyed))
	}
	return append(lines, compareAccounts(old.Accounts, next.Accounts)...)
}

// configEntry is an entry of a configuration with its values.
type configEntry struct {
	name   string // with its kind
	values []namedValue
}

type namedValue struct{ name, value string }

func newValue(name string, v any) namedValue { return namedValue{name, fmt.Sprint(v)} }

// configEntries returns the routes, the services and the limits of a configuration.
func configEntries(c *Config) []configEntry {
	list := make([]configEntry, 0, len(c.Routes)+len(c.Services)+1)
	for _, r := range c.Routes {
		pools := r.WeightedPools()
		parts := make([]string, 0, len(pools))
		for _, p := range pools {
			parts = append(parts, fmt.Sprintf("%s:%d", p.Pool, p.Weight))
		}
		list = append(list, configEntry{fmt.Sprintf("route %q", r.Name), []namedValue{
			newValue("host", r.Host), newValue("prefix", r.Path), newValue("services", strings.Join(parts, ",")),
			newValue("repeat", r.Repeat), newValue("timeout", r.Timeout), newValue("objective", r.Target),
			newValue("attempts", r.Attempts), newValue("priority", r.Priority), newValue("anonymous", r.Anonymous),
		}})
	}
	for _, s := range c.Services {
		list = append(list, configEntry{fmt.Sprintf("service %q", s.Name), []namedValue{
			newValue("health", s.Health), newValue("connections", s.Connections), newValue("cold", s.Cold), newValue("rate", s.Rate),
		}})
	}
	return append(list, configEntry{"limits", []namedValue{
		newValue("header", c.Limits.Header), newValue("body", c.Limits.Body), newValue("wait", c.Limits.Wait), newValue("idle", c.Limits.Idle),
	}})
}

// compareEntries lists the entries that differ: those of next in order, then those that were
// removed.
func compareEntries(old, next []configEntry) []string {
	before := make(map[string][]namedValue, len(old))
	for _, e := range old {
		before[e.name] = e.values
	}
	var lines []string
	for _, e := range next {
		values, found := before[e.name]
		delete(before, e.name)
		if !found {
			lines = append(lines, e.name+": added")
		} else if changes := changedValues(values, e.values); changes != "" {
			lines = append(lines, e.name+": "+changes)
		}
	}
	for _, e := range old {
		if _, left := before[e.name]; left {
			lines = append(lines, e.name+": removed")
		}
	}
	return lines
}

// changedValues lists the values that differ, empty if none does.
func changedValues(old, next []namedValue) string {
	var changes []string
	for i, v := range next {
		if old[i].value != v.value {
			changes = append(changes, fmt.Sprintf("%s %s -> %s", v.name, old[i].value, v.value))
		}
	}
	return strings.Join(changes, ", ")
}

// compareAccounts lists the accounts that differ.
func compareAccounts(old, next []Account) []string {
	before := make(map[string]Account, len(old))
	for _, a := range old {
		before[a.Name] = a
	}
	var lines []string
	for _, a := range next {
		b, found := before[a.Name]
		delete(before, a.Name)
		gained, lost := countMissing(a.Keys, b.Keys), countMissing(b.Keys, a.Keys)
		switch {
		case !found:
			lines = append(lines, fmt.Sprintf("account %q: added with %d keys, priority %d", a.Name, len(a.Keys), a.Priority))
		case gained+lost > 0 || a.Priority != b.Priority:
			lines = append(lines, fmt.Sprintf("account %q: %d keys added, %d removed, priority %d -> %d", a.Name, gained, lost, b.Priority, a.Priority))
		}
	}
	for _, a := range old {
		if _, left := before[a.Name]; left {
			lines = append(lines, fmt.Sprintf("account %q: removed", a.Name))
		}
	}
	return lines
}

// countMissing returns how many of the keys are not among others.
func countMissing(keys, others []KeyHash) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}
