// Package thtable parses and formats the operators' table files: INI files with
// one section [route NAME] or [pool NAME] per route or pool.
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

// Defaults of keys that a section omits.
const (
	DefaultRetry   = 20 // percent
	DefaultFloor   = 50 // percent
	DefaultTimeout = 10 * time.Second
)

// Load reads a table file. The error is of kind Bad and lists all errors with
// file, line and key.
func Load(file string) (thconfig.Tables, error) {
	body, err := thini.ReadFile(file)
	if err != nil {
		return thconfig.Tables{}, err
	}
	return Parse(file, body)
}

// Parse parses the content of a table file; see Load. file is used in errors. The
// result has version 0 and neither zones nor moves.
func Parse(file string, body []byte) (thconfig.Tables, error) {
	p := parser{file: thini.Parse(file, body), sectionLines: map[string]int{}}
	for _, s := range p.file.Sections {
		p.parseSection(s)
	}
	slices.SortFunc(p.tables.Routes, func(a, b thconfig.Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(p.tables.Pools, func(a, b thconfig.Pool) int { return strings.Compare(a.Name, b.Name) })
	if len(p.file.Errors) == 0 {
		p.validate()
	}
	if err := p.file.Errors.Err(); err != nil {
		return thconfig.Tables{}, err
	}
	return p.tables, nil
}

type parser struct {
	file         *thini.File
	tables       thconfig.Tables
	sectionLines map[string]int // by section, such as: route "name"
}

func (p *parser) parseSection(s *thini.Section) {
	kind, name, _ := strings.Cut(s.Name, " ")
	name = strings.TrimSpace(name)
	if (kind != "route" && kind != "pool") || name == "" {
		p.file.AddError(s.Line, s.Name, "", "unknown section, expected [route NAME] or [pool NAME]")
		return
	}
	id := fmt.Sprintf("%s %q", kind, name)
	if firstLine, taken := p.sectionLines[id]; taken {
		p.file.AddError(s.Line, s.Name, "", "section already on line %d", firstLine)
		return
	}
	p.sectionLines[id] = s.Line
	if kind == "pool" {
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

// addKeyError records an error of a key. It ignores nil.
func (p *parser) addKeyError(s *thini.Section, k thini.Key, err error) {
	if err != nil {
		p.file.AddError(k.Line, s.Name, k.Name, "%v", err)
	}
}

// requireKeys records an error for each of the named keys that the section lacks.
func (p *parser) requireKeys(s *thini.Section, names ...string) {
	for _, n := range names {
		if !slices.ContainsFunc(s.Keys, func(k thini.Key) bool { return k.Name == n }) {
			p.file.AddError(s.Line, s.Name, n, "missing")
		}
	}
}

// NewRoute returns a route with default values. Repeat has no default: only the
// operator can decide whether a request may run twice.
func NewRoute(name string) thconfig.Route {
	return thconfig.Route{Name: name, Timeout: DefaultTimeout, Retry: DefaultRetry}
}

var errUnknownKey = errors.New("unknown key")

// SetRouteKey sets the field of a route that corresponds to a key of a table
// file. It doesn't validate the route beyond the syntax of the value.
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

// SetPoolKey sets the field of a pool that corresponds to a key of a table file;
// see SetRouteKey.
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
	if _, floatErr := strconv.ParseFloat(v, 64); err != nil || floatErr == nil { // ParseDuration accepts 0 without unit
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

// entryPattern matches the entry at the start of an error of thconfig.Validate.
var entryPattern = regexp.MustCompile(`^(route|pool) "[^"]*"`)

// validate validates the tables as a whole and assigns each error to the line of
// the section that it names.
func (p *parser) validate() {
	err := thconfig.Validate(p.tables)
	if err == nil {
		return
	}
	_, list, _ := strings.Cut(err.Error(), "\n")
	for line := range strings.SplitSeq(list, "\n") {
		p.file.AddError(p.sectionLines[entryPattern.FindString(line)], "", "", "%s", line)
	}
}

// Format returns the routes and pools as a table file, which Parse converts back
// to the same routes and pools. Invalid tables are an error of kind Refused.
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

func writeSection(b *strings.Builder, kind, name string, keys []KeyValue) {
	fmt.Fprintf(b, "[%s %s]\n", kind, name)
	for _, k := range keys {
		if k.Value != "" {
			fmt.Fprintf(b, "%s = %s\n", k.Name, k.Value)
		}
	}
	b.WriteString("\n")
}

// KeyValue is a key of a section and its value as text.
type KeyValue struct{ Name, Value string }

// RouteKeys returns the keys of a route's section in the order of a table file.
// Keys that the route omits have an empty value.
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
