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

// idleCost returns the bytes of heap and stacks that a connection takes after
// its first answer.
func idleCost(t testing.TB, address net.Addr) float64 {
	measure := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	all := make([]net.Conn, idleConnections)
	head := []byte(get("/"))
	answer := make([]byte, 512)
	before := measure()
	for i := range all {
		c, err := net.Dial("tcp", address.String())
		assert.NilError(t, err)
		all[i] = c
		_, err = c.Write(head)
		assert.NilError(t, err)
		_, err = c.Read(answer)
		assert.NilError(t, err)
	}
	after := measure()
	for _, c := range all {
		c.Close()
	}
	return float64(after-before) / idleConnections
}

// BenchmarkIdleConnection reports the bytes of an idle connection, the client's
// end included, with net/http's server for comparison.
func BenchmarkIdleConnection(b *testing.B) {
	empty := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	b.Run("thhttp", func(b *testing.B) {
		address := start(b, &Server{Handler: empty})
		for range b.N {
			b.ReportMetric(idleCost(b, address), "B/connection")
		}
	})
	b.Run("net", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		s := &http.Server{Handler: empty}
		go s.Serve(l)
		defer s.Close()
		for range b.N {
			b.ReportMetric(idleCost(b, l.Addr()), "B/connection")
		}
	})
}

// BenchmarkRequest measures one request after the other on a kept connection.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		io.WriteString(w, "ok")
	})
	run := func(b *testing.B, address net.Addr) {
		c, err := net.Dial("tcp", address.String())
		assert.NilError(b, err)
		defer c.Close()
		head, answer := []byte(get("/")), make([]byte, 512)
		b.ReportAllocs()
		for range b.N {
			c.Write(head)
			c.Read(answer)
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
