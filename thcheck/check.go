// Package thcheck compares the responses that callers received with the requests that
// backend servers recorded, and lists each violation of the mesh's guarantees.
package thcheck

import (
	"fmt"
	"time"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thload"
)

// Kind classifies a violation.
type Kind string

// The kinds of violation.
const (
	RunTwice            Kind = "run-twice"  // a non-idempotent call or a key ran more than once
	FalseNotRun         Kind = "false-not"  // a call reported as not run was run
	ForeignContent      Kind = "mixed"      // a response has content of another request
	TruncatedAsComplete Kind = "cut-whole"  // a truncated response ended normally
	RunAfterStop        Kind = "late-work"  // a request started after its server should have stopped
	Overload            Kind = "overload"   // more concurrent requests than slots
	WrongShare          Kind = "wrong-part" // a backend version's share of the requests is out of bounds
	VersionDecreased    Kind = "gone-back"  // a daemon's configuration version decreased
	Diverged            Kind = "diverged"   // one version has different digests, or the change log lacks it
	Dangling            Kind = "dangling"   // a committed version is invalid, e.g. a route refers to a missing pool
	ReadyWithoutVersion Kind = "not-held"   // a daemon accepts calls without a configuration version
	NoRecord            Kind = "no-record"  // a successful call that no backend server ran
)

// Violation is one violation of a guarantee.
type Violation struct {
	Kind   Kind      `json:"kind"`
	ID     string    `json:"id,omitempty"` // request id, key, server, service and version, configuration version, or daemon
	Time   time.Time `json:"time"`
	Detail string    `json:"detail"`
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s id=%s time=%s %s", v.Kind, v.ID, v.Time.Format(time.RFC3339Nano), v.Detail)
}

// Check compares calls with the records of all backend servers that could have run
// them. Collect the records after the calls have completed, else it reports false
// violations.
func Check(calls []thload.Call, records []thbackend.Record) []Violation {
	byID, byKey := map[string][]*thbackend.Record{}, map[string][]*thbackend.Record{}
	for i := range records {
		r := &records[i]
		if !r.Run {
			continue
		}
		byID[r.ID] = append(byID[r.ID], r)
		if r.Key != "" {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	var list []Violation
	keys := map[string]bool{}
	for i := range calls {
		c := &calls[i]
		list = append(list, checkCall(c, byID[c.ID])...)
		if c.Key != "" && !keys[c.Key] {
			keys[c.Key] = true
			list = append(list, checkRuns(c.Key, byKey[c.Key])...)
		}
	}
	return list
}

// checkCall checks one attempt against the runs of its request id.
func checkCall(c *thload.Call, runs []*thbackend.Record) []Violation {
	var list []Violation
	add := func(k Kind, format string, args ...any) {
		list = append(list, Violation{Kind: k, ID: c.ID, Time: c.End, Detail: fmt.Sprintf(format, args...)})
	}
	if c.Outcome == thload.OutcomeNotRun && len(runs) > 0 {
		add(FalseNotRun, "status %d, run by %s at %s", c.Status, runs[0].Server, runs[0].Start.Format(time.RFC3339Nano))
	}
	switch {
	case c.Wrong && c.Whole:
		add(wrongContentKind(c), "response with %d correct parts ended normally", c.Parts)
	case c.Wrong:
		add(ForeignContent, "content of another request after %d correct parts", c.Parts)
	case c.Succeeded() && len(runs) == 0:
		add(NoRecord, "status %d, but no backend server ran it", c.Status)
	}
	if c.Once && c.Key == "" {
		list = append(list, checkRuns(c.ID, runs)...)
	}
	return list
}

// wrongContentKind returns the kind of a wrong response that ended normally: foreign
// content or missing parts.
func wrongContentKind(c *thload.Call) Kind {
	if c.Foreign {
		return ForeignContent
	}
	return TruncatedAsComplete
}

// checkRuns reports a request id or key with more than one run.
func checkRuns(id string, runs []*thbackend.Record) []Violation {
	if len(runs) < 2 {
		return nil
	}
	return []Violation{{
		Kind: RunTwice, ID: id, Time: runs[1].Start,
		Detail: fmt.Sprintf("%d runs, by %s and %s", len(runs), runs[0].Server, runs[1].Server),
	}}
}
