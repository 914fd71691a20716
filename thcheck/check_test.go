package thcheck

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thload"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func ran(id, key, server string) thbackend.Record {
	return thbackend.Record{ID: id, Key: key, Server: server, Service: "page", Version: "1", Start: at(0), End: at(1), Status: 200, Run: true}
}

func kinds(list []Violation) []Kind {
	var k []Kind
	for _, v := range list {
		k = append(k, v.Kind)
	}
	return k
}

// Guards against a missed violation and against a violation reported for a correct
// call.
func TestCheck(t *testing.T) {
	good := thload.Call{ID: "a", Status: http.StatusOK, Whole: true, Parts: 1}
	with := func(f func(*thload.Call)) thload.Call {
		c := good
		f(&c)
		return c
	}
	cases := map[string]struct {
		call    thload.Call
		records []thbackend.Record
		want    []Kind
	}{
		"good":                        {good, []thbackend.Record{ran("a", "", "x")}, nil},
		"idempotent run twice":        {good, []thbackend.Record{ran("a", "", "x"), ran("a", "", "y")}, nil},
		"non-idempotent run twice":    {with(func(c *thload.Call) { c.Once = true }), []thbackend.Record{ran("a", "", "x"), ran("a", "", "y")}, []Kind{RunTwice}},
		"key run twice":               {with(func(c *thload.Call) { c.Key = "k" }), []thbackend.Record{ran("a", "k", "x"), ran("b", "k", "y")}, []Kind{RunTwice}},
		"rejected above slots":        {thload.Call{ID: "a", Outcome: thload.OutcomeNotRun}, []thbackend.Record{{ID: "a"}}, nil},
		"false not run":               {thload.Call{ID: "a", Outcome: thload.OutcomeNotRun}, []thbackend.Record{ran("a", "", "x")}, []Kind{FalseNotRun}},
		"foreign":                     {with(func(c *thload.Call) { c.Wrong, c.Foreign = true, true }), []thbackend.Record{ran("a", "", "x")}, []Kind{ForeignContent}},
		"foreign and truncated":       {with(func(c *thload.Call) { c.Wrong, c.Foreign, c.Whole = true, true, false }), []thbackend.Record{ran("a", "", "x")}, []Kind{ForeignContent}},
		"truncated, ended normally":   {with(func(c *thload.Call) { c.Wrong = true }), []thbackend.Record{ran("a", "", "x")}, []Kind{TruncatedAsComplete}},
		"truncated, ended with error": {with(func(c *thload.Call) { c.Whole, c.Cut = false, true }), []thbackend.Record{ran("a", "", "x")}, nil},
		"never run":                   {good, nil, []Kind{NoRecord}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, kinds(Check([]thload.Call{c.call}, c.records)), c.want)
		})
	}
}

// Guards against missing a request after the stop, and against reporting one before it
// or of another server.
func TestStopped(t *testing.T) {
	before, after, other := ran("a", "", "x"), ran("b", "", "x"), ran("c", "", "y")
	after.Start, other.Start = at(5), at(5)
	got := CheckStopped([]thbackend.Record{before, after, other}, OnServers("x"), at(3))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].ID, "b")
}

// Guards against counting consecutive requests as concurrent, and against ignoring
// unfinished ones.
func TestPeak(t *testing.T) {
	a, b, c := ran("a", "", "x"), ran("b", "", "x"), ran("c", "", "x")
	b.Start, b.End = at(1), time.Time{}
	c.Start, c.End = at(9), at(10)
	list := []thbackend.Record{c, b, a}
	assert.DeepEqual(t, PeakConcurrency(list), map[string]int{"x": 2})
	assert.Equal(t, len(CheckPeaks(list, 2)), 0)
	assert.DeepEqual(t, kinds(CheckPeaks(list, 1)), []Kind{Overload})
}

// Guards against a share that counts other services, other times or rejected requests.
func TestShare(t *testing.T) {
	bad, other, late, rejected := ran("b", "", "y"), ran("c", "", "z"), ran("d", "", "y"), ran("e", "", "y")
	bad.Version, other.Service, late.Start, rejected.Run = "2", "order", at(60), false
	list := []thbackend.Record{ran("a", "", "x"), bad, other, late, rejected}
	w := Window{at(0), at(10)}
	share, n := Share(list, "page", "2", w)
	assert.Equal(t, share, 0.5)
	assert.Equal(t, n, 2)
	assert.Equal(t, len(CheckShare(list, "page", "2", w, 0.4, 0.6)), 0)
	assert.DeepEqual(t, kinds(CheckShare(list, "page", "2", w, 0, 0.02)), []Kind{WrongShare})
}
