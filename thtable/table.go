// Package thtable reads and writes the operators' table files: routes and
// pools in INI, one section [route NAME] or [pool NAME] each.
package thtable

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thini"
)

// Values of keys that a section leaves out.
const (
	DefaultRetry   = 20 // percent
	DefaultFloor   = 50 // percent
	DefaultTimeout = 10 * time.Second
)

// Load reads a table file. The error is of kind Bad and lists every fault with
// file, line and key.
func Load(file string) (thconfig.Tables, error) {
	body, err := thini.ReadFile(file)
	if err != nil {
		return thconfig.Tables{}, err
	}
	return Parse(file, body)
}

// Parse reads the content of a table file; see Load. The result has version 0
// and neither zones nor moves.
func Parse(file string, body []byte) (thconfig.Tables, error) {
	p := parser{file: thini.Parse(file, body), sectionLines: map[string]int{}}
	for _, s := range p.file.Sections {
		p.parseSection(s)
	}
	slices.SortFunc(p.tables.Routes, func(a, b thconfig.Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(p.tables.Pools, func(a, b thconfig.Pool) int { return strings.Compare(a.Name, b.Name) })
	if len(p.file.Faults) == 0 {
		p.validate()
	}
	if err := p.file.Faults.Err(); err != nil {
		return thconfig.Tables{}, err
	}
	return p.tables, nil
}

type parser struct {
	file         *thini.File
	tables       thconfig.Tables
	sectionLines map[string]int // of the sections
}

func (p *parser) parseSection(s *thini.Section) {
	what, name, _ := strings.Cut(s.Name, " ")
	name = strings.TrimSpace(name)
	if (what != "route" && what != "pool") || name == "" {
		p.file.Fault(s.Line, s.Name, "", "unknown section, expected [route NAME] or [pool NAME]")
		return
	}
	id := fmt.Sprintf("%s %q", what, name)
	if first, taken := p.sectionLines[id]; taken {
		p.file.Fault(s.Line, s.Name, "", "section already on line %d", first)
		return
	}
	p.sectionLines[id] = s.Line
	if what == "pool" {
		p.parsePool(s, name)
		return
	}
	p.parseRoute(s, name)
}

func (p *parser) parsePool(s *thini.Section, name string) {
	v := thconfig.Pool{Name: name, Floor: DefaultFloor}
	for _, k := range s.Keys {
		p.addKeyError(s, k, SetPoolKey(&v, k.Name, k.Value))
	}
	p.requireKeys(s, "service", "version")
	p.tables.Pools = append(p.tables.Pools, v)
}

func (p *parser) parseRoute(s *thini.Section, name string) {
	v := NewRoute(name)
	for _, k := range s.Keys {
		p.addKeyError(s, k, SetRouteKey(&v, k.Name, k.Value))
	}
	p.requireKeys(s, "path", "pool", "repeat")
	p.tables.Routes = append(p.tables.Routes, v)
}

func (p *parser) addKeyError(s *thini.Section, k thini.Key, err error) {
	if err != nil {
		p.file.Fault(k.Line, s.Name, k.Name, "%v", err)
	}
}

func (p *parser) requireKeys(s *thini.Section, names ...string) {
	for _, n := range names {
		if !slices.ContainsFunc(s.Keys, func(k thini.Key) bool { return k.Name == n }) {
			p.file.Fault(s.Line, s.Name, n, "missing")
		}
	}
}

// NewRoute returns a route with the defaults. Repeat has none: whether a
// request may run twice is for the operator to say.
func NewRoute(name string) thconfig.Route {
	return thconfig.Route{Name: name, Timeout: DefaultTimeout, Retry: DefaultRetry}
}

var errUnknownKey = errors.New("unknown key")

// SetRouteKey sets one key of a route from its text in a table file.
func SetRouteKey(r *thconfig.Route, name, value string) (err error) {
	switch name {
	case "host":
		r.Host = value
	case "path":
		r.Path = value
	case "method":
		r.Method = value
	case "pool":
		r.Pool = value
	case "class":
		r.Class = value
	case "repeat":
		r.Repeat = value
	case "timeout":
		r.Timeout, err = parseDuration(value)
	case "retry":
		r.Retry, err = parsePercentage(value)
	default:
		return errUnknownKey
	}
	return err
}

// SetPoolKey sets one key of a pool from its text in a table file.
func SetPoolKey(p *thconfig.Pool, name, value string) (err error) {
	switch name {
	case "service":
		p.Service = value
	case "version":
		p.Version = value
	case "floor":
		p.Floor, err = parsePercentage(value)
	default:
		return errUnknownKey
	}
	return err
}

func parseDuration(v string) (time.Duration, error) {
	d, err := time.ParseDuration(v)
	if _, plain := strconv.ParseFloat(v, 64); err != nil || plain == nil {
		return 0, fmt.Errorf("%q is not a duration with a unit, such as 250ms, 2s or 1m", v)
	}
	return d, nil
}

func parsePercentage(v string) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > 100 {
		return 0, fmt.Errorf("%q is not a percentage from 0 to 100 without unit", v)
	}
	return n, nil
}

var entryPattern = regexp.MustCompile(`^(route|pool) "[^"]*"`)

// validate checks the tables as a whole and finds the line of each fault.
func (p *parser) validate() {
	err := thconfig.Validate(p.tables)
	if err == nil {
		return
	}
	_, list, _ := strings.Cut(err.Error(), "\n")
	for fault := range strings.SplitSeq(list, "\n") {
		p.file.Fault(p.sectionLines[entryPattern.FindString(fault)], "", "", "%s", fault)
	}
}

// Format returns the routes and pools as a table file. Parse gives the same
// routes and pools back. Kind Refused for values that a file can't hold.
func Format(t thconfig.Tables) ([]byte, error) {
	if err := thconfig.Validate(thconfig.Tables{Routes: t.Routes, Pools: t.Pools}); err != nil {
		return nil, therror.Wrap(therror.Refused, err, "format tables")
	}
	var b strings.Builder
	for _, p := range t.Pools {
		writeSection(&b, "pool", p.Name, PoolKeys(p))
	}
	for _, r := range t.Routes {
		writeSection(&b, "route", r.Name, RouteKeys(r))
	}
	return []byte(strings.TrimSuffix(b.String(), "\n")), nil
}

func writeSection(b *strings.Builder, what, name string, keys []KeyValue) {
	fmt.Fprintf(b, "[%s %s]\n", what, name)
	for _, k := range keys {
		if k.Value != "" {
			fmt.Fprintf(b, "%s = %s\n", k.Name, k.Value)
		}
	}
	b.WriteString("\n")
}

// KeyValue is a key of a section with its text.
type KeyValue struct{ Name, Value string }

// RouteKeys returns the keys of a route's section in the order of a table file;
// those that the route leaves out have no value.
func RouteKeys(r thconfig.Route) []KeyValue {
	return []KeyValue{
		{"host", r.Host},
		{"path", r.Path},
		{"method", r.Method},
		{"pool", r.Pool},
		{"class", r.Class},
		{"repeat", r.Repeat},
		{"timeout", r.Timeout.String()},
		{"retry", strconv.Itoa(r.Retry)},
	}
}

// PoolKeys returns the keys of a pool's section; see RouteKeys.
func PoolKeys(p thconfig.Pool) []KeyValue {
	return []KeyValue{{"service", p.Service}, {"version", p.Version}, {"floor", strconv.Itoa(p.Floor)}}
}
