// Package thcheck compares what callers were told with what backend servers
// recorded, and lists each violation of the guarantees.
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
	RunTwice            Kind = "run-twice"  // a call that may run once was run more often
	FalseNotRun         Kind = "false-not"  // refused as not run, but was run
	ForeignContent      Kind = "mixed"      // an answer holds content of another request
	TruncatedAsComplete Kind = "cut-whole"  // an incomplete answer was shown as whole
	RunAfterStop        Kind = "late-work"  // work after the moment at which it had to end
	Overload            Kind = "overload"   // more calls at once than slots
	WrongShare          Kind = "wrong-part" // share of a version outside its bounds
	VersionDecreased    Kind = "gone-back"  // a configuration version went down
	Diverged            Kind = "diverged"   // a version in effect differs between daemons or from the change log
	Dangling            Kind = "dangling"   // a committed version is invalid, as with a route to a missing pool
	ReadyWithoutVersion Kind = "not-held"   // a daemon accepts calls without a version
	NoRecord            Kind = "no-record"  // a good answer to a call that no server ran
)

// Violation is one breach of a guarantee.
type Violation struct {
	Kind   Kind      `json:"kind"`
	ID     string    `json:"id,omitempty"` // request id, key, server or daemon
	Time   time.Time `json:"time"`
	Detail string    `json:"detail"`
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s id=%s time=%s %s", v.Kind, v.ID, v.Time.Format(time.RFC3339Nano), v.Detail)
}

// Check compares calls with the records of all servers that could have run
// them. The records must be complete: collect them after the calls have ended.
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
		add(wrongContentKind(c), "answer with %d correct parts shown as whole", c.Parts)
	case c.Wrong:
		add(ForeignContent, "content of another request after %d correct parts", c.Parts)
	case c.Succeeded() && len(runs) == 0:
		add(NoRecord, "answered with status %d", c.Status)
	}
	if c.Once && c.Key == "" {
		list = append(list, checkRuns(c.ID, runs)...)
	}
	return list
}

// wrongContentKind tells an answer that lacks parts from one with foreign content.
func wrongContentKind(c *thload.Call) Kind {
	if c.Foreign {
		return ForeignContent
	}
	return TruncatedAsComplete
}

func checkRuns(id string, runs []*thbackend.Record) []Violation {
	if len(runs) < 2 {
		return nil
	}
	return []Violation{{
		Kind: RunTwice, ID: id, Time: runs[1].Start,
		Detail: fmt.Sprintf("%d runs, by %s and %s", len(runs), runs[0].Server, runs[1].Server),
	}}
}
