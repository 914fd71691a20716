package thcrash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/thwire"
)

var testTime = time.UnixMilli(1_700_000_000_000)

func drawRecord(t *rapid.T) thwire.CrashRecord {
	r := thwire.CrashRecord{
		Request: "request-00000000", Round: rapid.Uint64Range(0, 2).Draw(t, "round"),
		Time: testTime.UnixMilli() + rapid.Int64Range(0, 5).Draw(t, "time"), Alone: rapid.Bool().Draw(t, "alone"),
	}
	for c := range uint64(12) {
		if rapid.Bool().Draw(t, "listed") && len(r.Crashes) < maxCrashes {
			r.Crashes = append(r.Crashes, c)
		}
	}
	return r
}

// Guards against daemons that hold different records of a request, depending on the order in
// which they learned of its crashes.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		assert.Assert(t, Equal(Merge(a, b), Merge(b, a)))
		assert.Assert(t, Equal(Merge(Merge(a, b), c), Merge(a, Merge(b, c))))
		assert.Assert(t, Equal(Merge(a, a), a))
		assert.Assert(t, IsValid(Merge(a, b), testTime))
	})
}

// Guards against different requests that count as the same one, as when the end of one field
// is the start of the next.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	seen := map[string]int{}
	for i, r := range []struct {
		method, host, target, caller string
		length                       int64
		body                         string
	}{
		{"GET", "shop.example", "/a", "web", 0, ""},
		{"HEAD", "shop.example", "/a", "web", 0, ""},
		{"GET", "shop.example", "/a?", "web", 0, ""},
		{"GET", "shop.example", "/a?page=1", "web", 0, ""},
		{"GET", "shop.example", "/a", "app", 0, ""},
		{"GET", "shop.example/", "a", "web", 0, ""},
		{"GET", "shop.example", "/aw", "eb", 0, ""},
		{"POST", "shop.example", "/a", "web", 1, "x"},
		{"POST", "shop.example", "/a", "web", 1, "y"},
		{"POST", "shop.example", "/a", "web", 1, ""},
		{"POST", "shop.example", "/a", "web", -1, ""},
	} {
		f := Fingerprint(r.method, r.host, r.target, r.caller, r.length, []byte(r.body))
		other, found := seen[f]
		assert.Assert(t, !found, "requests %d and %d have the same fingerprint", i, other)
		seen[f] = i
	}
	assert.Equal(t, Fingerprint("GET", "Shop.Example", "/a", "web", 0, nil), Fingerprint("GET", "shop.example", "/a", "web", 0, nil))
}

// Guards against one crash that counts twice because two daemons have seen it, and against
// two crashes of one instance that count once.
func TestProcessID(t *testing.T) {
	id := ProcessID("d1", "i-1", 7, testTime)
	assert.Equal(t, ProcessID("d1", "i-1", 7, testTime.Add(time.Minute)), id)
	assert.Assert(t, ProcessID("d1", "i-1", 8, testTime) != id)
	assert.Assert(t, ProcessID("d1", "i-2", 7, testTime) != id)
	assert.Equal(t, ProcessID("d1", "", 0, testTime), ProcessID("d1", "", 0, testTime.Add(time.Millisecond)))
	assert.Assert(t, ProcessID("d1", "", 0, testTime) != ProcessID("d1", "", 0, testTime.Add(time.Minute)))
}

// Guards against records of a daemon with a wrong clock, or malformed ones, that are kept.
func TestInvalidRecords(t *testing.T) {
	valid := thwire.CrashRecord{Request: "request-00000000", Crashes: []uint64{1, 2}, Time: testTime.UnixMilli()}
	assert.Assert(t, IsValid(valid, testTime))
	for name, change := range map[string]func(*thwire.CrashRecord){
		"from the future":  func(r *thwire.CrashRecord) { r.Time = testTime.Add(2 * time.Hour).UnixMilli() },
		"overflowing time": func(r *thwire.CrashRecord) { r.Time = 1<<63 - 1 },
		"negative time":    func(r *thwire.CrashRecord) { r.Time = -1 << 63 },
		"expired":          func(r *thwire.CrashRecord) { r.Time = testTime.Add(-30 * time.Hour).UnixMilli() },
		"short request":    func(r *thwire.CrashRecord) { r.Request = "x" },
		"unsorted":         func(r *thwire.CrashRecord) { r.Crashes = []uint64{2, 1} },
		"too many crashes": func(r *thwire.CrashRecord) { r.Crashes = make([]uint64, maxCrashes+1) },
	} {
		r := valid
		change(&r)
		assert.Assert(t, !IsValid(r, testTime), name)
	}
}
