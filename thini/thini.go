// Package thini parses INI files strictly, with gopkg.in/ini.v1, and records the line
// number of every section and key for error messages.
package thini

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/turmerichaven/turmerichaven/therror"
)

// MaxFileSize is the maximum size of a file, in bytes.
const MaxFileSize = 1 << 20

// File is a parsed file with the errors found so far.
type File struct {
	Name     string
	Sections []*Section
	Errors   ErrorList
}

// Section is a section with its keys in file order.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// Key is a key and its value, on one line of a section.
type Key struct {
	Name, Value string
	Line        int
}

// Error is an error at a position of a file. Line 0 means the whole file.
type Error struct {
	File    string
	Line    int
	Section string
	Key     string
	Message string
}

// String formats the error as "file:line: [section] key: message".
func (e Error) String() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Section != "" {
		fmt.Fprintf(&b, "[%s] ", e.Section)
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	return b.String() + e.Message
}

// ErrorList holds all errors of a file.
type ErrorList []Error

// Err returns nil for an empty list, and otherwise an error of kind Bad that lists
// every error, one per line.
func (l ErrorList) Err() error {
	if len(l) == 0 {
		return nil
	}
	lines := make([]string, 0, len(l))
	for _, e := range l {
		lines = append(lines, e.String())
	}
	return therror.New(therror.Bad, "%d faults:\n%s", len(l), strings.Join(lines, "\n"))
}

// AddError appends an error; format and args are the message as in fmt.Errorf. Line 0
// means the whole file.
func (f *File) AddError(line int, section, key, format string, args ...any) {
	f.Errors = append(f.Errors, Error{f.Name, line, section, key, fmt.Sprintf(format, args...)})
}

// ReadFile returns the content of a file. A file above MaxFileSize is an error; errors
// are of kind Bad.
func ReadFile(name string) ([]byte, error) {
	r, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, therror.Wrap(therror.Bad, err, "open file")
	}
	defer func() { _ = r.Close() }()
	body, err := io.ReadAll(io.LimitReader(r, MaxFileSize+1))
	if err != nil {
		return nil, therror.Wrap(therror.Bad, err, "read %s", name)
	}
	if len(body) > MaxFileSize {
		return nil, therror.New(therror.Bad, "%s: larger than %d bytes", name, MaxFileSize)
	}
	return body, nil
}

// Parse parses body; name is used in error messages. Syntax errors, duplicate
// sections and duplicate keys are collected in File.Errors. A value extends to the
// end of its line: there are no inline comments, so that a secret may contain any
// character.
func Parse(name string, body []byte) *File {
	f := &File{Name: name}
	if len(body) > MaxFileSize {
		f.AddError(0, "", "", "larger than %d bytes", MaxFileSize)
		return f
	}
	f.scan(body)
	if len(f.Errors) > 0 {
		return f
	}
	values, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:      true,
		IgnoreInlineComment:     true,
		KeyValueDelimiters:      "=",
		PreserveSurroundedQuote: true,
	}, body)
	if err != nil {
		f.AddError(0, "", "", "%v", err)
		return f
	}
	for _, s := range f.Sections {
		f.fillValues(s, values)
	}
	return f
}

// fillValues copies the values of a scanned section from the result of package ini.
func (f *File) fillValues(s *Section, values *ini.File) {
	v, err := values.GetSection(s.Name)
	if err != nil {
		f.AddError(s.Line, s.Name, "", "%v", err)
		return
	}
	hash := v.KeysHash()
	for i := range s.Keys {
		value, found := hash[s.Keys[i].Name]
		if !found {
			f.AddError(s.Keys[i].Line, s.Name, s.Keys[i].Name, "malformed line")
		}
		s.Keys[i].Value = value
	}
}

// scan finds the line numbers of sections and keys, which package ini does not report.
// It rejects syntax that is ambiguous or spans lines: quoted keys and multi-line
// values.
func (f *File) scan(body []byte) {
	var s *Section
	sections := map[string]int{}
	keys := map[string]int{}
	body = bytes.TrimPrefix(body, []byte("\xef\xbb\xbf"))
	for i, raw := range strings.Split(string(body), "\n") {
		line, n := strings.TrimSpace(raw), i+1
		if !utf8.ValidString(line) || strings.ContainsFunc(line, isControl) {
			f.AddError(n, "", "", "control character or invalid UTF-8")
			continue
		}
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			name, rest, closed := strings.Cut(line[1:], "]")
			name = strings.TrimSpace(name)
			if !closed || name == "" || strings.TrimSpace(rest) != "" {
				f.AddError(n, "", "", "malformed section header %q", line)
				continue
			}
			if first, exists := sections[name]; exists {
				f.AddError(n, name, "", "section already on line %d", first)
			}
			sections[name] = n
			keys = map[string]int{}
			s = &Section{Name: name, Line: n}
			f.Sections = append(f.Sections, s)
			continue
		}
		f.scanKey(s, line, n, keys)
	}
}

// isControl reports whether r is a control character, which a terminal would interpret
// when a message quotes it.
func isControl(r rune) bool { return unicode.IsControl(r) && r != '\t' }

// scanKey scans a key line. keys maps the keys of the section to their line numbers.
func (f *File) scanKey(s *Section, line string, n int, keys map[string]int) {
	if s == nil {
		f.AddError(n, "", "", "key outside a section")
		return
	}
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !found:
		f.AddError(n, s.Name, "", "expected key = value, found %q", name)
		return
	case name == "" || name == "-" || strings.ContainsAny(name, "\"'`"):
		f.AddError(n, s.Name, name, "malformed key")
		return
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		f.AddError(n, s.Name, name, "multi-line values are not allowed")
		return
	}
	if first, exists := keys[name]; exists {
		f.AddError(n, s.Name, name, "already set on line %d", first)
		return
	}
	keys[name] = n
	s.Keys = append(s.Keys, Key{Name: name, Line: n})
}
