package thwire

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// messages returns an empty message of every frame type with a msgpack payload.
func messages() map[Type]Message {
	return map[Type]Message{
		TypeHello: &Hello{}, TypeUpdate: &Update{}, TypeDelta: &Delta{}, TypeKnownVersion: &KnownVersion{}, TypeFetch: &Fetch{},
		TypeBatch: &Batch{}, TypePing: &Ping{}, TypePong: &Pong{}, TypeProbe: &Probe{}, TypeProbeResult: &ProbeResult{},
		TypeStateDigest: &StateDigest{}, TypeSummary: &Summary{}, TypeRecordRequest: &RecordRequest{}, TypeConfigHeadRequest: &ConfigHeadRequest{}, TypeConfigHead: &ConfigHead{}, TypeDeparture: &Departure{}, TypeReport: &Report{}, TypeOpen: &Open{}, TypeHead: &Head{},
		TypeEnd: &End{}, TypeRefuse: &Refuse{}, TypeCancel: &Cancel{}, TypeCredit: &Credit{}, TypeGoAway: &GoAway{},
	}
}

// Guards against frames from a peer that cause a panic, are accepted although they are
// only partly decoded, or allocate far more memory than the size of a frame.
func FuzzFrame(f *testing.F) {
	for t, m := range messages() {
		b, err := AppendFrame(nil, t, m)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 2})
	f.Add([]byte{0, 0, 0, 9, byte(TypeUpdate), 0x81, 0xa1, 'm', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		r := bytes.NewReader(input)
		var buffer []byte
		for {
			kind, payload, grown, err := ReadFrame(r, buffer)
			if err != nil {
				assert.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || therror.Is(err, therror.Frame), "%v", err)
				assert.Assert(t, cap(grown) <= MaxFrame)
				return
			}
			buffer = grown
			m, found := messages()[kind]
			if !found {
				_, _, _ = SplitRaw(payload)
				continue
			}
			if err := Decode(payload, m); err != nil {
				assert.Assert(t, therror.Is(err, therror.Frame), "%v", err)
				continue
			}
			encoded, err := AppendFrame(nil, kind, m)
			assert.NilError(t, err)
			assert.NilError(t, Decode(encoded[lengthSize+typeSize:], messages()[kind]))
		}
	})
}

// Guards against a short payload whose header announces a long list, for which the
// decoder allocates memory.
func TestDecodeAllocation(t *testing.T) {
	for kind, m := range messages() {
		b, err := AppendFrame(nil, kind, m)
		assert.NilError(t, err)
		// Every byte is replaced by the header of an array of 16384 or 2^32-1 elements.
		for i := lengthSize + typeSize; i < len(b); i++ {
			for _, head := range [][]byte{{0xdc, 0x40, 0x00}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0xc6, 0xff, 0xff, 0xff, 0xff}, {0xdb, 0xff, 0xff, 0xff, 0xff}} {
				payload := append(bytes.Clone(b[lengthSize+typeSize:i]), head...)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				// A header inside a key makes an unknown key, which is no error.
				err := Decode(payload, messages()[kind])
				assert.Assert(t, err == nil || therror.Is(err, therror.Frame), "%v", err)
				runtime.ReadMemStats(&after)
				assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 8*MaxFrame, "type %d allocated %d bytes", kind, after.TotalAlloc-before.TotalAlloc)
			}
		}
	}
}

func pipe(t *testing.T) (client, server net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// Guards against lost or reordered frames, wrong byte counts and queued frames that
// CloseAfterFlush drops.
func TestConnOrder(t *testing.T) {
	a, b := pipe(t)
	sender, receiver := NewConn(a), NewConn(b)
	for i := range 1000 {
		assert.NilError(t, sender.Send(TypePing, &Ping{Number: uint64(i)}))
	}
	sender.CloseAfterFlush()
	for i := range 1000 {
		kind, payload, err := receiver.Read()
		assert.NilError(t, err)
		var p Ping
		assert.NilError(t, Decode(payload, &p))
		assert.Equal(t, kind, TypePing)
		assert.Equal(t, p.Number, uint64(i))
	}
	_, _, err := receiver.Read()
	assert.Assert(t, errors.Is(err, io.EOF))
	<-sender.Done()
	assert.Assert(t, therror.Is(sender.Send(TypePing, &Ping{}), therror.Broken))
	in, _ := receiver.Bytes()
	_, out := sender.Bytes()
	assert.Equal(t, in, out)
	receiver.Close()
	<-receiver.Done()
}

// Guards against a peer that doesn't read and makes the send queue grow without bound or
// blocks the sender.
func TestConnBoundedQueue(t *testing.T) {
	a, _ := pipe(t)
	c := NewConn(a)
	large := &KnownVersion{Digest: make([]byte, MaxFrame/2)}
	var err error
	for range 200 {
		if err = c.Send(TypeKnownVersion, large); err != nil {
			break
		}
	}
	assert.Assert(t, therror.Is(err, therror.Full), "%v", err)
	assert.Assert(t, therror.Is(NewConn(a).Send(TypeKnownVersion, &KnownVersion{Digest: make([]byte, 2*MaxFrame)}), therror.Frame))
	c.Close()
	<-c.Done()
}

func startListener(t *testing.T, l *Listener) netip.AddrPort {
	l.Address = netip.MustParseAddrPort("127.0.0.1:0")
	assert.NilError(t, l.Start(context.Background()))
	t.Cleanup(l.Stop)
	return l.Addr()
}

// Guards against connections that are dispatched to the wrong handler, and against
// accepting another protocol version or an oversized first frame.
func TestListenerHello(t *testing.T) {
	got := make(chan string, 8)
	handler := func(name string) func(net.Conn, Hello) {
		return func(c net.Conn, h Hello) {
			_, payload, err := NewConn(c).Read()
			assert.Check(t, err)
			var p Ping
			assert.Check(t, Decode(payload, &p))
			got <- name + " " + h.Name + " " + string(rune('0'+p.Number))
			c.Close()
		}
	}
	address := startListener(t, &Listener{Control: handler("control"), Call: handler("call")})
	for _, kind := range []string{KindControl, KindCall, KindDirect} {
		c, err := Dial(context.Background(), address, Hello{Kind: kind, Name: "n"})
		assert.NilError(t, err)
		// Bytes that follow Hello immediately must be left for the handler.
		assert.NilError(t, NewConn(c).Send(TypePing, &Ping{Number: 7}))
		want := kind
		if kind == KindDirect {
			want = KindControl
		}
		assert.Equal(t, <-got, want+" n 7")
	}
	otherVersion, err := AppendFrame(nil, TypeHello, &Hello{Protocol: Protocol + 1, Kind: KindControl})
	assert.NilError(t, err)
	ping, err := AppendFrame(nil, TypePing, &Ping{})
	assert.NilError(t, err)
	unknownKind, err := AppendFrame(nil, TypeHello, &Hello{Protocol: Protocol, Kind: "other"})
	assert.NilError(t, err)
	for _, first := range [][]byte{otherVersion, ping, unknownKind, binary.BigEndian.AppendUint32(nil, MaxFrame), {0, 0, 0, 0}} {
		c, err := net.Dial("tcp", address.String())
		assert.NilError(t, err)
		_, err = c.Write(first)
		assert.NilError(t, err)
		_, err = c.Read(make([]byte, 1))
		assert.Assert(t, err != nil, "the connection must be closed")
		c.Close()
	}
}

// Guards against a reconnect storm that overloads a daemon, and against connections that
// send no Hello and stay open.
func TestListenerLimits(t *testing.T) {
	served := make(chan struct{}, 100)
	address := startListener(t, &Listener{Rate: 20, Control: func(c net.Conn, _ Hello) { c.Close(); served <- struct{}{} }})
	silent, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	start := time.Now()
	for range 40 {
		c, err := Dial(context.Background(), address, Hello{Kind: KindControl, Name: "n"})
		assert.NilError(t, err)
		defer c.Close()
	}
	for range 40 {
		<-served
	}
	// The limiter admits a burst of 20 at once; 20 further connections take a second.
	assert.Assert(t, time.Since(start) > 800*time.Millisecond)
	_, err = silent.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	_, err = Dial(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), Hello{})
	assert.Assert(t, therror.Is(err, therror.Down))
}
