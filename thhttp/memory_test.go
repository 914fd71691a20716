package thhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReader(r) }

const idleConnections = 500

// idleConnectionBytes returns the bytes of heap and stack per connection after its
// first response.
func idleConnectionBytes(t testing.TB, address net.Addr) float64 {
	measure := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	connections := make([]net.Conn, idleConnections)
	head := []byte(get("/"))
	response := make([]byte, 512)
	before := measure()
	for i := range connections {
		c, err := net.Dial("tcp", address.String())
		assert.NilError(t, err)
		connections[i] = c
		_, err = c.Write(head)
		assert.NilError(t, err)
		_, err = c.Read(response)
		assert.NilError(t, err)
	}
	after := measure()
	for _, c := range connections {
		c.Close()
	}
	return float64(after-before) / idleConnections
}

// BenchmarkIdleConnection reports the bytes per idle connection, including the client
// side, and those of the net/http server for comparison.
func BenchmarkIdleConnection(b *testing.B) {
	empty := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	b.Run("thhttp", func(b *testing.B) {
		address := start(b, &Server{Handler: empty})
		for range b.N {
			b.ReportMetric(idleConnectionBytes(b, address), "B/connection")
		}
	})
	b.Run("net", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		s := &http.Server{Handler: empty}
		go s.Serve(l)
		defer s.Close()
		for range b.N {
			b.ReportMetric(idleConnectionBytes(b, l.Addr()), "B/connection")
		}
	})
}

// BenchmarkRequest measures sequential requests on a keep-alive connection.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		io.WriteString(w, "ok")
	})
	run := func(b *testing.B, address net.Addr) {
		c, err := net.Dial("tcp", address.String())
		assert.NilError(b, err)
		defer c.Close()
		head, response := []byte(get("/")), make([]byte, 512)
		b.ReportAllocs()
		for range b.N {
			c.Write(head)
			c.Read(response)
		}
	}
	b.Run("thhttp", func(b *testing.B) { run(b, start(b, &Server{Handler: handler})) })
	b.Run("net", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		s := &http.Server{Handler: handler}
		go s.Serve(l)
		defer s.Close()
		run(b, l.Addr())
	})
}
