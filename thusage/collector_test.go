package thusage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

func counts(process uint64, window int64, final bool, pairs ...any) *thwire.UsageCounts {
	w := thwire.UsageWindow{Number: window, Final: final}
	for i := 0; i < len(pairs); i += 2 {
		w.Counts = append(w.Counts, thwire.UsageCount{Account: pairs[i].(string), Count: uint64(pairs[i+1].(int))})
	}
	return &thwire.UsageCounts{Process: process, Windows: []thwire.UsageWindow{w}}
}

func at(window int64) time.Duration { return time.Duration(window) * defaultWindow }

// Guards against counts that are added instead of replaced, against processes of one daemon that
// replace each other, and against changes of final counts.
func TestCollectorMergesCounts(t *testing.T) {
	c := collector{window: defaultWindow}
	c.receive("a", counts(1, 7, false, "x", 3, "y", 1), at(7))
	c.receive("a", counts(1, 7, false, "x", 4, "y", 0), at(7))
	c.receive("a", counts(2, 7, false, "x", 1), at(7))
	assert.DeepEqual(t, c.total(7), map[string]uint64{"x": 5})
	members := []thwire.Member{{Name: "a"}, {Name: "b"}}
	assert.DeepEqual(t, c.receive("a", counts(2, 7, true, "x", 2), at(8)), []int64{7})
	assert.Assert(t, !c.isComplete(7, "a", members))
	assert.DeepEqual(t, c.receive("a", counts(2, 7, true, "x", 9), at(8)), []int64{7})
	c.receive("b", counts(3, 7, true), at(8))
	assert.Assert(t, c.isComplete(7, "a", members))
	assert.DeepEqual(t, c.total(7), map[string]uint64{"x": 6})
}

// Guards against windows of a daemon with a wrong time that are confirmed and then not sent
// again, and against one that repeats windows for which it is too late.
func TestWindowsOutsideTheRange(t *testing.T) {
	c := collector{window: defaultWindow}
	assert.Equal(t, len(c.receive("a", counts(1, 102, true, "x", 1), at(100))), 0)
	assert.DeepEqual(t, c.receive("a", counts(1, 101, true, "x", 1), at(100)), []int64{101})
	assert.DeepEqual(t, c.receive("a", counts(1, 100-detailedWindows-1, true, "x", 1), at(100)), []int64{100 - detailedWindows - 1})
	assert.Equal(t, len(c.windows), 1)
}

// Guards against a malformed message of another writer that changes a part of the counts.
func TestMalformedCountsChangeNothing(t *testing.T) {
	r, _ := newTestReporter()
	assert.NilError(t, r.prepare())
	r.node.settled = true
	valid := counts(1, firstWindow, true, "x", 1)
	good, err := valid.MarshalMsg(nil)
	assert.NilError(t, err)
	var many []thwire.UsageCount
	for i := range thwire.MaxUsageCounts + 1 {
		many = append(many, thwire.UsageCount{Account: fmt.Sprint(i), Count: 1})
	}
	windows := make([]thwire.UsageWindow, thwire.MaxUsageWindows+1)
	for i := range windows {
		windows[i].Number = firstWindow
	}
	odd := map[string][]byte{"empty": nil, "cut": good[:len(good)-1], "longer": append(append([]byte(nil), good...), 0xc0)}
	for name, w := range map[string][]thwire.UsageWindow{
		"negative":     {valid.Windows[0], {Number: -1}},
		"no account":   {valid.Windows[0], {Number: firstWindow, Counts: []thwire.UsageCount{{Count: 1}}}},
		"long account": {valid.Windows[0], {Number: firstWindow, Counts: []thwire.UsageCount{{Account: strings.Repeat("x", thwire.MaxAccountBytes+1)}}}},
		"many counts":  {valid.Windows[0], {Number: firstWindow, Counts: many}},
		"many windows": windows,
	} {
		odd[name], err = (&thwire.UsageCounts{Windows: w}).MarshalMsg(nil)
		assert.NilError(t, err)
	}
	for name, payload := range odd {
		r.HandleCounts("b", payload)
		r.HandleReply("b", payload[:min(len(payload), 3)])
		assert.Equal(t, len(r.node.collector.windows), 0, name)
	}
	r.HandleCounts("b", good)
	assert.DeepEqual(t, r.node.collector.total(firstWindow), map[string]uint64{"x": 1})
}

// FuzzUsageCounts handles arbitrary payloads. Guards against a panic, and against a message
// with an error that changes something.
func FuzzUsageCounts(f *testing.F) {
	good, err := counts(1, firstWindow, true, "x", 1).MarshalMsg(nil)
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte{0x81, 0xa1, 'w', 0x91, 0x80})
	f.Fuzz(func(t *testing.T, payload []byte) {
		r, _ := newTestReporter()
		assert.NilError(t, r.prepare())
		r.node.settled = true
		var m thwire.UsageCounts
		valid := thwire.Decode(payload, &m) == nil && check(&m) == nil
		r.HandleCounts("b", payload)
		r.HandleReply("b", payload)
		assert.Assert(t, valid || len(r.node.collector.windows) == 0)
		assert.Assert(t, len(r.node.collector.windows) <= thwire.MaxUsageWindows)
	})
}

// Guards against memory of a collector that grows without a bound while the store is down, and
// against sums that differ from the counts.
func TestCollectorIsBounded(t *testing.T) {
	c := collector{window: defaultWindow}
	for w := range int64(2 * sumWindows) {
		c.receive("a", counts(1, w, true, "x", 2), at(w+1))
		c.receive("b", counts(1, w, true, "x", 3, "y", 1), at(w+1))
		c.expire(at(w+1), 0)
	}
	detailed := 0
	for _, k := range c.windows {
		if k.sums == nil {
			detailed++
		}
	}
	assert.Assert(t, len(c.windows) <= sumWindows+1 && detailed <= detailedWindows+1)
	assert.DeepEqual(t, c.total(sumWindows+2), map[string]uint64{"x": 5, "y": 1})
	c.expire(at(2*sumWindows), 2*sumWindows-1)
	assert.Equal(t, len(c.windows), 1)

	for i := range maxProcesses + 2 {
		received := c.receive("crashing", counts(uint64(i), 2*sumWindows, true, "x", 1), at(2*sumWindows))
		assert.Equal(t, len(received) == 1, i < maxProcesses)
	}
	m := counts(1, 2*sumWindows, true)
	for i := range maxAccounts + 1 {
		m.Windows[0].Counts = append(m.Windows[0].Counts, thwire.UsageCount{Account: fmt.Sprint(i), Count: 1})
	}
	assert.Equal(t, len(c.receive("many", m, at(2*sumWindows))), 0)
}

// Guards against counts that do not fit one message and arrive without their last part.
func TestManyAccountsTakeSeveralMessages(t *testing.T) {
	f := newFleet("a")
	n := f.daemons[0].node
	list := []windowCounts{{number: 8, final: true, counts: map[string]uint64{}}, {number: 7, final: true, counts: map[string]uint64{}}}
	for i := range 3 * thwire.MaxUsageCounts / 2 {
		list[0].counts[fmt.Sprint("p", i)] = 1
		list[1].counts[fmt.Sprint("q", i)] = 1
	}
	c := collector{window: defaultWindow}
	var received []int64
	messages := n.messages(list, at(9))
	for _, m := range messages {
		payload, err := m.MarshalMsg(nil)
		assert.NilError(t, err)
		var decoded thwire.UsageCounts
		assert.NilError(t, thwire.Decode(payload, &decoded))
		received = append(received, c.receive("a", &decoded, at(9))...)
	}
	assert.Equal(t, len(messages), 3)
	assert.DeepEqual(t, received, []int64{7, 8})
	assert.DeepEqual(t, c.total(7), list[0].counts)
	assert.DeepEqual(t, c.total(8), list[1].counts)
	assert.Assert(t, therror.KindOf(check(messages[0])) == "")
}
