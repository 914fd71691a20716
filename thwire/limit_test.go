package thwire

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/tinylib/msgp/msgp"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// maxDecoded is the memory limit for decoding a frame: a daemon has up to 19 control
// connections and 256 MB, half of which is available for decoding frames concurrently.
const maxDecoded = 128 << 20 / 19

// Guards against a malicious frame that takes much more memory than it has bytes.
func TestDecodedSizeOfHostileFrames(t *testing.T) {
	const array = 16384
	// arrays returns a map with one field: a list of empty values, or with inner set a list
	// of maps with such a list.
	arrays := func(outer, inner string, empty byte) []byte {
		b := msgp.AppendMapHeader(nil, 1)
		b = msgp.AppendString(b, outer)
		count := MaxFrame/(array+16) - 1
		if inner == "" {
			b = msgp.AppendArrayHeader(b, array)
			return append(b, bytes.Repeat([]byte{empty}, array)...)
		}
		b = msgp.AppendArrayHeader(b, uint32(count))
		for range count {
			b = msgp.AppendMapHeader(b, 1)
			b = msgp.AppendString(b, inner)
			b = msgp.AppendArrayHeader(b, array)
			b = append(b, bytes.Repeat([]byte{empty}, array)...)
		}
		return b
	}
	const emptyMap, zero = 0x80, 0
	// records returns a Batch of one change whose records have the minimum length.
	records := func(fields ...string) []byte {
		record := msgp.AppendMapHeader(nil, uint32(len(fields)+1))
		for _, f := range fields {
			record = append(msgp.AppendString(record, f), emptyMap)
		}
		record = msgp.AppendString(record, "kind")
		record = msgp.AppendString(record, strings.Repeat("x", max(1, 70-len(record))))
		b := msgp.AppendString(msgp.AppendMapHeader(nil, 1), "c")
		b = msgp.AppendString(msgp.AppendMapHeader(msgp.AppendArrayHeader(b, 1), 1), "edits")
		n := (MaxFrame - 100) / len(record)
		return append(msgp.AppendArrayHeader(b, uint32(n)), bytes.Repeat(record, n)...)
	}
	for name, c := range map[string]struct {
		message Message
		payload []byte
	}{
		"edits of a batch":     {&Batch{}, arrays("c", "edits", emptyMap)},
		"short edits":          {&Batch{}, records()},
		"edits with a move":    {&Batch{}, records("move")},
		"edits with several":   {&Batch{}, records("move", "route", "pool", "zone")},
		"changes of a batch":   {&Batch{}, arrays("c", "", emptyMap)},
		"members of an update": {&Update{}, arrays("m", "", emptyMap)},
		"held of an update":    {&Update{}, arrays("h", "", emptyMap)},
		"facts of an update":   {&Update{}, arrays("f", "", emptyMap)},
		"counts of a report":   {&Report{}, arrays("c", "", emptyMap)},
		"latency of a report":  {&Report{}, arrays("c", "l", zero)},
		"usage windows":        {&UsageCounts{}, arrays("w", "", emptyMap)},
		"counts of usage":      {&UsageCounts{}, arrays("w", "c", emptyMap)},
		"windows of a reply":   {&UsageReply{}, arrays("r", "", zero)},
		"headers of a call":    {&Open{}, arrays("e", "", emptyMap)},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := Decode(c.payload, c.message)
			runtime.ReadMemStats(&after)
			t.Logf("%d bytes take %d: %v", len(c.payload), after.TotalAlloc-before.TotalAlloc, err)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc <= maxDecoded)
		})
	}
}

// Guards against a decoding limit that rejects a Batch that daemons send.
func TestEditsSurviveTheLimit(t *testing.T) {
	edits := []thconfig.Edit{thconfig.RemoveRoute{}, thconfig.RemovePool{Name: "p"}, thconfig.SetZone{}, thconfig.SetPool{}, thconfig.SetRoute{}, thconfig.SetMove{}}
	for i := range 4000 {
		edits = append(edits, thconfig.SetPool{Pool: thconfig.Pool{Name: fmt.Sprint("p", i)}})
	}
	want := &Batch{Changes: []thconfig.Change{{Version: 2, Base: 1, Edits: thconfig.EncodeEdits(edits)}, {Version: 3, Base: 2}}}
	b, err := want.MarshalMsg(nil)
	assert.NilError(t, err)
	var got Batch
	assert.NilError(t, Decode(b, &got))
	assert.Equal(t, len(got.Changes), 2)
	assert.DeepEqual(t, got.Changes[0].Edits, want.Changes[0].Edits)
	assert.Equal(t, len(got.Changes[1].Edits), 0)
}
