package thwire

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// testPeer accepts call sessions on a loopback address.
type testPeer struct {
	net.Listener
	address  netip.AddrPort
	mutex    sync.Mutex
	sessions []*Session
}

func listen(t testing.TB, handler func(*Incoming)) *testPeer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &testPeer{Listener: l, address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if handler == nil {
				continue // accepts and stays silent
			}
			p.mutex.Lock()
			p.sessions = append(p.sessions, ServeCalls(c, handler, nil))
			p.mutex.Unlock()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		p.mutex.Lock()
		defer p.mutex.Unlock()
		for _, s := range p.sessions {
			s.Close()
		}
	})
	return p
}

func echo(i *Incoming) {
	body, err := io.ReadAll(i)
	if err != nil {
		return
	}
	_ = i.WriteHead(Head{Status: 200, Header: []Header{{"Route", i.Open().Route}}})
	_, _ = i.Write(body)
	_ = i.End([]Header{{"Sum", fmt.Sprint(len(body))}}, Load{Limit: 7})
}

func newDialer(t testing.TB) *Dialer {
	d := &Dialer{Hello: func() Hello { return Hello{Name: "test"} }}
	t.Cleanup(d.Close)
	return d
}

func exchange(ctx context.Context, d *Dialer, a netip.AddrPort, route string, body []byte) ([]byte, *Stream, error) {
	s, err := d.Open(ctx, a, Open{Route: route})
	if err != nil {
		return nil, nil, err
	}
	defer s.Cancel(therror.Cancelled)
	go func() {
		_, _ = s.Write(body)
		_ = s.CloseWrite()
	}()
	h, err := s.Head(ctx)
	if err != nil {
		return nil, s, err
	}
	response, err := io.ReadAll(s)
	if err == nil && h.Header[0].Value != route {
		err = fmt.Errorf("head of %s on the stream of %s", h.Header[0].Value, route)
	}
	return response, s, err
}

// Guards against responses that are delivered to the wrong stream, and against leaked
// goroutines and buffers.
func TestThousandStreams(t *testing.T) {
	before := runtime.NumGoroutine()
	p := listen(t, echo)
	d := newDialer(t)
	var group sync.WaitGroup
	for i := range 1000 {
		group.Go(func() {
			body := bytes.Repeat(binary.BigEndian.AppendUint32(nil, uint32(i)), 1+i*20)
			got, s, err := exchange(t.Context(), d, p.address, fmt.Sprint(i), body)
			assert.Check(t, err)
			assert.Check(t, bytes.Equal(got, body), "stream %d", i)
			assert.Check(t, s != nil && len(s.Trailer()) == 1 && s.Trailer()[0].Value == fmt.Sprint(len(body)))
		})
	}
	group.Wait()
	for _, s := range d.peers[p.address].sessions {
		assert.Equal(t, s.Active(), 0)
		assert.Equal(t, s.buffered.Load(), int64(0))
	}
	d.Close()
	p.mutex.Lock()
	for _, s := range p.sessions {
		<-s.Done()
		assert.Equal(t, s.buffered.Load(), int64(0))
	}
	p.mutex.Unlock()
	eventually(t, "goroutines remain", func() bool { return runtime.NumGoroutine() <= before+3 })
}

func eventually(t testing.TB, failure string, f func() bool) {
	t.Helper()
	for range 5000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal(failure)
}

// Guards against a slow reader that blocks the other streams of its session.
func TestSlowReaderBlocksOnlyItself(t *testing.T) {
	sent := make(chan error, 1)
	p := listen(t, func(i *Incoming) {
		if i.Open().Route != "slow" {
			echo(i)
			return
		}
		_ = i.WriteHead(Head{Status: 200})
		_, err := i.Write(make([]byte, 4<<20))
		sent <- err
		_ = i.End(nil, Load{})
	})
	d := newDialer(t)
	slow, err := d.Open(t.Context(), p.address, Open{Route: "slow", Ended: true})
	assert.NilError(t, err)
	_, err = slow.Head(t.Context())
	assert.NilError(t, err)
	for range 50 {
		_, _, err := exchange(t.Context(), d, p.address, "fast", make([]byte, 600<<10))
		assert.NilError(t, err)
	}
	select {
	case <-sent:
		t.Fatal("4 MiB were sent to a reader that took nothing")
	default:
	}
	n, err := io.Copy(io.Discard, slow)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(4<<20))
	assert.NilError(t, <-sent)
}

// Guards against handlers that keep running after the call was cancelled or its deadline
// has passed.
func TestCancelReachesHandler(t *testing.T) {
	ended := make(chan error, 2)
	p := listen(t, func(i *Incoming) {
		_ = i.WriteHead(Head{Status: 200})
		<-i.Context().Done()
		_, err := i.Write([]byte("late"))
		ended <- err
	})
	d := newDialer(t)
	s, err := d.Open(t.Context(), p.address, Open{Ended: true})
	assert.NilError(t, err)
	_, err = s.Head(t.Context())
	assert.NilError(t, err)
	s.Cancel(therror.Cancelled)
	assert.Assert(t, therror.Is(<-ended, therror.Cancelled))
	_, err = s.Read(make([]byte, 1))
	assert.Assert(t, therror.Is(err, therror.Cancelled))

	_, err = d.Open(t.Context(), p.address, Open{Ended: true, Deadline: int64(time.Millisecond)})
	assert.NilError(t, err)
	assert.Assert(t, therror.Is(<-ended, therror.Late))
}

// truncatingConn closes after a number of bytes in one direction.
type truncatingConn struct {
	net.Conn
	writeBudget, readBudget int64 // bytes until the close; negative for no limit
}

func (c *truncatingConn) Write(p []byte) (int, error) {
	if c.writeBudget >= 0 && int64(len(p)) > c.writeBudget {
		n, _ := c.Conn.Write(p[:c.writeBudget])
		c.Close()
		return n, io.ErrUnexpectedEOF
	}
	c.writeBudget -= int64(len(p))
	return c.Conn.Write(p)
}

func (c *truncatingConn) Read(p []byte) (int, error) {
	if c.readBudget == 0 {
		c.Close()
		return 0, io.EOF
	}
	if c.readBudget > 0 {
		p = p[:min(int64(len(p)), c.readBudget)]
	}
	n, err := c.Conn.Read(p)
	c.readBudget -= int64(n)
	return n, err
}

// Guards against an interrupted call that is reported as not run although it has, and
// against a truncated response that looks complete, at whatever byte the connection
// breaks.
func TestConnectionLossAtEachByte(t *testing.T) {
	var ran atomic.Int32
	p := listen(t, func(i *Incoming) {
		ran.Add(1)
		echo(i)
	})
	for _, reads := range []bool{false, true} {
		completed := 0
		for n := int64(0); n < 400 && completed == 0; n++ {
			d := newDialer(t)
			d.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if reads {
					return &truncatingConn{Conn: c, writeBudget: -1, readBudget: n}, err
				}
				return &truncatingConn{Conn: c, writeBudget: n, readBudget: -1}, err
			}
			before := ran.Load()
			got, s, err := exchange(t.Context(), d, p.address, "route", []byte("body"))
			switch {
			case err == nil:
				assert.Equal(t, string(got), "body")
				assert.Equal(t, len(s.Trailer()), 1)
				completed++
			case therror.IsNotRun(err):
				d.Close()
				assert.Equal(t, ran.Load(), before, "closed after %d bytes: %v", n, err)
			default:
				assert.Assert(t, therror.Is(err, therror.Broken), "%v", err)
			}
			assert.Assert(t, !errors.Is(err, io.EOF), "a truncated response looks complete: %v", err)
			d.Close()
		}
		assert.Equal(t, completed, 1, "no call completed within the largest number of bytes")
	}
}

// rawSession returns the dialling side of a session and the other end of its connection.
func rawSession(t *testing.T) (*Session, net.Conn) {
	a, b := net.Pipe()
	s := startSession(a, nil, nil, nil)
	go io.Copy(io.Discard, b)
	t.Cleanup(func() { b.Close(); s.Close() })
	return s, b
}

func frame(t *testing.T, b []byte, k Type, m Message) []byte {
	b, err := AppendFrame(b, k, m)
	assert.NilError(t, err)
	return b
}

func rawFrame(t *testing.T, b []byte, k Type, id uint32, data string) []byte {
	b, err := AppendRaw(b, k, id, []byte(data))
	assert.NilError(t, err)
	return b
}

// Guards against interleaved, late and unknown frames that are delivered to the wrong
// response.
func TestCrossedAndLateFrames(t *testing.T) {
	s, c := rawSession(t)
	one, err := s.open(t.Context(), &Open{Ended: true})
	assert.NilError(t, err)
	two, err := s.open(t.Context(), &Open{Ended: true})
	assert.NilError(t, err)
	cancelled, err := s.open(t.Context(), &Open{Ended: true})
	assert.NilError(t, err)
	cancelled.Cancel(therror.Cancelled)
	b := frame(t, nil, TypeHead, &Head{Stream: 2, Status: 202})
	b = rawFrame(t, b, TypeResponseBody, 3, "late")
	b = rawFrame(t, b, TypeResponseBody, 2, "second")
	b = frame(t, b, TypeHead, &Head{Stream: 1, Status: 201})
	b = rawFrame(t, b, TypeResponseBody, 99, "unknown")
	b = frame(t, b, TypeEnd, &End{Stream: 2})
	b = rawFrame(t, b, TypeResponseBody, 2, "after the end")
	b = rawFrame(t, b, TypeResponseBody, 1, "first")
	b = frame(t, b, TypeEnd, &End{Stream: 1})
	b = frame(t, b, TypeRefuse, &Refuse{Stream: 1, Kind: "full"})
	_, err = c.Write(b)
	assert.NilError(t, err)
	for want, st := range map[string]*Stream{"201 first": one, "202 second": two} {
		h, err := st.Head(t.Context())
		assert.NilError(t, err)
		body, err := io.ReadAll(st)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(h.Status, " ", string(body)), want)
	}
	assert.Assert(t, s.alive())
}

// Guards against a call that is reported as not run although its response had started
// before the Refuse frame.
func TestRefusalAfterHead(t *testing.T) {
	s, c := rawSession(t)
	st, err := s.open(t.Context(), &Open{Ended: true})
	assert.NilError(t, err)
	b := frame(t, nil, TypeHead, &Head{Stream: 1, Status: 200})
	_, err = c.Write(frame(t, b, TypeRefuse, &Refuse{Stream: 1, Kind: "full"}))
	assert.NilError(t, err)
	_, err = io.ReadAll(st)
	assert.Assert(t, therror.Is(err, therror.Broken))
}

// Guards against malformed and malicious frames that are accepted or make a session
// buffer data without bound.
func TestHostileFrames(t *testing.T) {
	open := frame(t, nil, TypeOpen, &Open{Stream: 5})
	flood := append([]byte(nil), open...)
	for range initialWindow/1024 + 1 {
		flood = rawFrame(t, flood, TypeRequestBody, 5, string(make([]byte, 1024)))
	}
	for name, b := range map[string][]byte{
		"oversized":      {0xff, 0xff, 0xff, 0xff, byte(TypeOpen)},
		"empty":          {0, 0, 0, 0, 0},
		"unknown type":   {0, 0, 0, 1, 200},
		"not msgpack":    {0, 0, 0, 3, byte(TypeOpen), 1, 2},
		"short raw":      {0, 0, 0, 2, byte(TypeRequestBody), 1},
		"stream reused":  append(append([]byte(nil), open...), open...),
		"beyond credit":  flood,
		"after the end":  rawFrame(t, rawFrame(t, append([]byte(nil), open...), TypeRequestEnd, 5, ""), TypeRequestBody, 5, "x"),
		"from the wrong": frame(t, nil, TypeHead, &Head{Stream: 1}),
		"other protocol": frame(t, nil, TypeHello, &Hello{Protocol: 99}),
	} {
		a, c := net.Pipe()
		s := ServeCalls(a, func(i *Incoming) { <-i.Context().Done() }, nil)
		go io.Copy(io.Discard, c)
		_, _ = c.Write(b)
		select {
		case <-s.Done():
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the session stayed open", name)
		}
		assert.Check(t, s.buffered.Load() <= initialWindow, name)
		c.Close()
	}
}

// Guards against an unbounded number of handlers when a peer opens and cancels streams
// in a loop.
func TestRapidCancel(t *testing.T) {
	a, c := net.Pipe()
	defer c.Close()
	var running atomic.Int32
	release := make(chan struct{})
	s := ServeCalls(a, func(*Incoming) {
		running.Add(1)
		<-release
	}, nil)
	go io.Copy(io.Discard, c)
	for id := range uint32(2 * maxStreams) {
		b := frame(t, nil, TypeOpen, &Open{Stream: id + 1})
		_, err := c.Write(frame(t, b, TypeCancel, &Cancel{Stream: id + 1}))
		assert.NilError(t, err)
	}
	eventually(t, "handlers not started", func() bool { return running.Load() >= maxStreams })
	assert.Equal(t, running.Load(), int32(maxStreams))
	close(release)
	s.Close()
}

func BenchmarkFrameOpen(b *testing.B) {
	o := Open{Stream: 1, Route: "route", Pool: "pool", Method: "GET", Target: "/path", Host: "host", Header: make([]Header, 8)}
	b.ReportAllocs()
	var buffer []byte
	var got Open
	for b.Loop() {
		buffer, _ = AppendFrame(buffer[:0], TypeOpen, &o)
		_ = Decode(buffer[5:], &got)
	}
}

func BenchmarkRoundTrip(b *testing.B) {
	p := listen(b, echo)
	d := newDialer(b)
	body := make([]byte, 512)
	b.ReportAllocs()
	for b.Loop() {
		s, err := d.Open(b.Context(), p.address, Open{Route: "r"})
		if err != nil {
			b.Fatal(err)
		}
		_, _ = s.Write(body)
		_ = s.CloseWrite()
		_, _ = s.Head(b.Context())
		_, _ = io.Copy(io.Discard, s)
		s.Cancel(therror.Cancelled)
	}
}
