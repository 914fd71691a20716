package thproof

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against daemons that end, stop following the configuration or lose each other because
// another writer leaves odd entries: in the store's tables, among heartbeats, and among the
// messages between daemons.
func TestHostedOddEntries(t *testing.T) {
	h := newHostedFleet(t, 3)
	h.configure(1)
	h.waitServing()
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	odd := []string{
		"", "null", "[]", "-1", "18446744073709551616", nested, `{"name":` + nested + `}`, "\x00\xff", strings.Repeat("x", 60_000),
		`{"n":-1}`, `{"e":"x"}`, `{"b":7}`, `{"b":"` + strings.Repeat("QUFB", 10_000) + `"}`,
	}
	for i, value := range odd {
		key := fmt.Sprint("odd-", i)
		for _, part := range []string{"member", "left", "crash", ""} {
			h.store.Put("turmerichaven", part, key, []byte(value))
		}
		for _, table := range []string{"op", "servers", "status"} {
			h.store.Put(table, "", key, []byte(value))
			h.store.Put(table, "", "rollout/"+key, []byte(value))
		}
	}
	client := http.Client{Timeout: time.Second}
	for _, n := range h.nodes {
		for _, body := range odd {
			for _, path := range []string{"Heartbeat/i-9", "Heartbeat/" + n.instance.ID, "Deregister/i-9"} {
				response, err := client.Post(fmt.Sprintf("http://%s/api/Instances.%s", n.instance.ControlAddress, path), "application/json", strings.NewReader(body))
				assert.NilError(t, err)
				response.Body.Close()
			}
		}
		n.sendOddFrames(t)
	}
	pids := make([]int, len(h.nodes))
	for i, n := range h.nodes {
		pids[i] = n.daemon.PID()
	}
	h.configure(2, "later")
	for i, n := range h.nodes {
		waitUntil(t, "the change is in effect on "+n.name, func() bool {
			status, _, err := n.call("GET", "/later/x", fmt.Sprint(i, time.Now().UnixNano()), "")
			return err == nil && status == http.StatusOK
		})
	}
	// A daemon that starts reads the odd entries first.
	h.nodes[2].daemon.Kill()
	h.nodes[2].clearBootstrap(h)
	h.nodes[2].start(h)
	h.waitServing()
	h.countServed(h.nodes[0], "odd")
	for i, n := range h.nodes[:2] {
		assert.Equal(t, n.daemon.PID(), pids[i])
		select {
		case <-n.daemon.Done():
			t.Errorf("%s ended", n.name)
		default:
		}
	}
}

// sendOddFrames sends frames of another writer to the daemon's address for other daemons.
func (n *hostedNode) sendOddFrames(t *testing.T) {
	nested := append([]byte{0x81, 0xa1, 'z'}, []byte(strings.Repeat("\x91", 500_000)+"\xc0")...)
	largest, err := (&thwire.Update{Members: []thwire.Member{{Name: "odd", Incarnation: 1<<64 - 1, Sequence: 1<<64 - 1, State: 7}}}).MarshalMsg(nil)
	assert.NilError(t, err)
	// Fewer connections than a daemon accepts in a second.
	for _, kind := range []thwire.Type{thwire.TypeUpdate, thwire.TypeSummary, thwire.TypeBatch, thwire.TypeReport, thwire.TypeDeparture, 99} {
		for _, payload := range [][]byte{nil, {0xdf, 0xff, 0xff, 0xff, 0xff}, nested, largest} {
			conn, err := net.Dial("tcp", net.JoinHostPort(n.ip(), strconv.Itoa(hostedPeerPort)))
			assert.NilError(t, err)
			hello, err := thwire.AppendFrame(nil, thwire.TypeHello, &thwire.Hello{Protocol: thwire.Protocol, Kind: thwire.KindControl, Name: "odd", Zone: "odd"})
			assert.NilError(t, err)
			frame := binary.BigEndian.AppendUint32(hello, uint32(len(payload)+1))
			_, _ = conn.Write(append(append(frame, byte(kind)), payload...)) // the daemon may close first
			_ = conn.Close()
		}
	}
}
