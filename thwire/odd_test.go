package thwire

import (
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/tinylib/msgp/msgp"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Guards against messages of another writer that end a daemon: by a panic, by memory for
// elements that never come, or by a recursion that exceeds the stack. Each message type gets
// each odd payload, and as each of its fields.
func TestOddMessagesAreErrors(t *testing.T) {
	const maxBytes = 32 << 20 // allocated to decode one message, whose frame is 1 MiB at most
	messages := []msgp.Unmarshaler{
		&Hello{}, &Update{}, &Delta{}, &KnownVersion{}, &Fetch{}, &Batch{}, &Ping{}, &Pong{}, &Probe{}, &ProbeResult{}, &StateDigest{},
		&Summary{}, &Report{}, &Open{}, &Head{}, &End{}, &Refuse{}, &Cancel{}, &Credit{}, &GoAway{}, &RecordRequest{},
		&ConfigHeadRequest{}, &ConfigHead{}, &Departure{}, &CrashRecord{}, &UsageCounts{}, &UsageWindow{}, &UsageReply{},
	}
	odd := map[string]string{
		"nil": "\xc0", "largest map": "\xdf\xff\xff\xff\xff", "largest array": "\xdd\xff\xff\xff\xff", "largest text": "\xdb\xff\xff\xff\xff",
		"largest bytes": "\xc6\xff\xff\xff\xff", "nested arrays": strings.Repeat("\x91", MaxFrame-64) + "\xc0",
		"nested maps": strings.Repeat("\x81\xa1a", MaxFrame/4) + "\xc0", "largest number": "\xcf\xff\xff\xff\xff\xff\xff\xff\xff",
		"smallest number": "\xd3\x80\x00\x00\x00\x00\x00\x00\x00", "fraction": "\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00", "extension": "\xc9\xff\xff\xff\xff\x01",
		"reserved": "\xc1", "address": "\xa3abc", "long text": "\xda\xff\xff" + strings.Repeat("x", 1<<16-1),
	}
	for _, m := range messages {
		kind := reflect.TypeOf(m).Elem()
		payloads := map[string]string{"empty": ""}
		for name, value := range odd {
			payloads[name] = value
			payloads["unknown field "+name] = "\x81\xa2zz" + value
			for i := range kind.NumField() {
				field, _, _ := strings.Cut(kind.Field(i).Tag.Get("msg"), ",")
				payloads[kind.Field(i).Name+" "+name] = "\x81\xa1" + field + value
			}
		}
		for name, payload := range payloads {
			fresh := reflect.New(kind).Interface().(msgp.Unmarshaler)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := Decode([]byte(payload), fresh)
			runtime.ReadMemStats(&after)
			assert.Assert(t, err == nil || therror.Is(err, therror.Frame), "%s, %s: %v", kind, name, err)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxBytes, "%s, %s: %d bytes", kind, name, after.TotalAlloc-before.TotalAlloc)
		}
	}
}
