package thhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"
)

// startHTTP2 runs the server, and one for the connections that it passes to HTTP2.
func startHTTP2(t *testing.T, s *Server) net.Addr {
	t.Helper()
	conns := &ConnListener{Address: &net.TCPAddr{}}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	h := &http.Server{Handler: s.Handler, Protocols: &protocols}
	s.ConfigureHTTP2(h)
	s.HTTP2 = conns.Deliver
	go h.Serve(conns)
	t.Cleanup(func() { h.Close() })
	return start(t, s)
}

// http2Client returns a client that speaks HTTP/2 with prior knowledge over one connection.
func http2Client(t *testing.T) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testTimeout}
}

// Guards against HTTP/2 connections that are outside the bounds, and against accounts that don't
// return to zero after them.
func TestHTTP2RequestsCount(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, begin(w, r, true))
		if r.URL.Path == "/slow" {
			entered <- struct{}{}
			<-release
		}
		io.Copy(w, r.Body)
	})}
	client := http2Client(t)
	address := "http://" + startHTTP2(t, s).String()
	done := make(chan error)
	go func() {
		response, err := client.Post(address+"/slow", "", strings.NewReader("body"))
		if err == nil {
			response.Body.Close()
		}
		done <- err
	}()
	<-entered
	s.clients.mutex.Lock()
	a := s.clients.members[0]
	s.clients.mutex.Unlock()
	assert.Equal(t, a.running.Load(), int32(1))
	assert.Assert(t, a.held.Load() > ConnectionCost+http2ConnectionCost+http2StreamCost)
	close(release)
	assert.NilError(t, <-done)
	for range 20 {
		response, err := client.Post(address, "", strings.NewReader(strings.Repeat("b", 300<<10)))
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(300<<10))
		assert.Equal(t, response.ProtoMajor, 2)
	}
	assert.Equal(t, a.running.Load(), int32(0))
	eventually(t, func() bool {
		client.CloseIdleConnections() // the last stream may not have ended yet
		s.clients.mutex.Lock()
		defer s.clients.mutex.Unlock()
		return len(s.clients.members) == 0
	})
	requireNothingHeld(t, s)
}

// Guards against an HTTP/2 request that is rejected although it runs, or without a time to come
// back, and against one that is run without memory for it.
func TestHTTP2RequestIsRejectedWithoutMemory(t *testing.T) {
	var ran atomic.Int32
	var limits limitCounter
	entered, release := make(chan struct{}), make(chan struct{})
	s := &Server{Bounds: Bounds{Bytes: 128 << 10}, OnLimit: limits.count, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, begin(w, r, true))
		ran.Add(1)
		if r.URL.Path == "/slow" {
			entered <- struct{}{}
			<-release
		}
	})}
	client := http2Client(t)
	address := "http://" + startHTTP2(t, s).String()
	slow := make(chan int)
	for range 2 {
		go func() {
			response, err := client.Get(address + "/slow")
			assert.Check(t, err)
			response.Body.Close()
			slow <- response.StatusCode
		}()
		<-entered // the second one uses the connection of the first one
	}
	response, err := client.Get(address)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "1")
	assert.Equal(t, ran.Load(), int32(2))
	assert.Equal(t, limits.get(LimitBytes), 1)
	close(release)
	for range 2 {
		assert.Equal(t, <-slow, http.StatusOK)
	}
}

// Guards against HTTP/2 connections that hold input without a request and are never closed: heads
// that are not finished, and frames whose answers are not read. Also guards against a server that
// serves nobody afterwards.
func TestHTTP2InputIsBounded(t *testing.T) {
	var head bytes.Buffer
	e := hpack.NewEncoder(&head)
	assert.NilError(t, e.WriteField(hpack.HeaderField{Name: "x", Value: strings.Repeat("x", 15<<10), Sensitive: true}))
	var pings bytes.Buffer
	for range 512 {
		assert.NilError(t, http2.NewFramer(&pings, nil).WritePing(false, [8]byte{}))
	}
	for name, send := range map[string]func(c net.Conn){
		"unfinished heads": func(c net.Conn) {
			_ = http2.NewFramer(c, nil).WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head.Bytes()})
		},
		"unread answers": func(c net.Conn) {
			for {
				if _, err := c.Write(pings.Bytes()); err != nil {
					return
				}
			}
		},
	} {
		var limits limitCounter
		s := &Server{Bounds: Bounds{Bytes: 2 << 20}, OnLimit: limits.count, Handler: echo}
		address := startHTTP2(t, s)
		var crowd []net.Conn
		for range 60 {
			c := dial(t, address)
			crowd = append(crowd, c)
			c.SetReadBuffer(4 << 10)
			c.send("%s", http2.ClientPreface)
			c.SetWriteDeadline(time.Now().Add(testTimeout))
			assert.NilError(t, http2.NewFramer(c, nil).WriteSettings())
			go send(c)
		}
		eventually(t, func() bool { return limits.get(LimitBytes) > 10 && s.clients.held.Load() <= 2<<20 })
		for _, c := range crowd {
			c.Close()
		}
		requireNothingHeld(t, s)
		response, err := http2Client(t).Get("http://" + address.String() + "/ordinary")
		assert.NilError(t, err, name)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusOK, name)
	}
}

// Guards against heads that are counted wrongly when frames arrive in parts.
func TestHTTP2HeadsAreFoundInParts(t *testing.T) {
	var b bytes.Buffer
	b.WriteString(http2.ClientPreface)
	f := http2.NewFramer(&b, nil)
	assert.NilError(t, f.WriteSettings())
	assert.NilError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: make([]byte, 700)}))
	assert.NilError(t, f.WriteContinuation(1, true, make([]byte, 70)))
	assert.NilError(t, f.WriteData(1, true, make([]byte, 5000)))
	assert.NilError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: make([]byte, 7), EndHeaders: true}))
	for _, size := range []int{1, 5, 9, 100, b.Len()} {
		var s http2HeadScanner
		heads := 0
		for p := b.Bytes(); len(p) > 0; p = p[min(size, len(p)):] {
			heads += s.scan(p[:min(size, len(p))])
		}
		assert.Equal(t, heads, 777, "parts of %d bytes", size)
	}
}

// Guards against a request that begins on an HTTP/2 connection that was closed for others, and
// against one whose client has reset it and that still keeps the connection from being closed.
func TestHTTP2RequestOfAClosedConnectionDoesNotBegin(t *testing.T) {
	ctx, reset := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "/", http.NoBody)
	assert.NilError(t, err)
	clientEnd, serverEnd := net.Pipe()
	defer clientEnd.Close()
	c := &http2Conn{Conn: serverEnd, account: &account{}}
	first, second := &http2Writer{conn: c, request: request}, &http2Writer{conn: c, request: request}
	assert.NilError(t, first.Begin(ctx, true))
	assert.Assert(t, !c.evict())
	reset()
	eventually(t, c.evict)
	assert.ErrorIs(t, second.Begin(ctx, true), errBroken)
}

// Guards against responses that wait for the client and don't count, because their handlers have
// returned.
func TestHTTP2ResponseCountsUntilItIsSent(t *testing.T) {
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "body") })}
	c := dial(t, startHTTP2(t, s))
	c.send("%s", http2.ClientPreface)
	f := http2.NewFramer(c, c)
	assert.NilError(t, f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}))
	var head bytes.Buffer
	e := hpack.NewEncoder(&head)
	for _, h := range []hpack.HeaderField{{Name: ":method", Value: "GET"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/"}, {Name: ":authority", Value: "h"}} {
		assert.NilError(t, e.WriteField(h))
	}
	assert.NilError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head.Bytes(), EndStream: true, EndHeaders: true}))
	go io.Copy(io.Discard, c)
	eventually(t, func() bool { return s.clients.held.Load() > ConnectionCost+http2ConnectionCost+http2StreamCost })
	time.Sleep(50 * time.Millisecond) // lets the handler return
	assert.Assert(t, s.clients.held.Load() > ConnectionCost+http2ConnectionCost+http2StreamCost)
	assert.NilError(t, f.WriteWindowUpdate(1, 100))
	eventually(t, func() bool { return s.clients.held.Load() < ConnectionCost+http2ConnectionCost+http2StreamCost })
	c.Close()
	requireNothingHeld(t, s)
}
