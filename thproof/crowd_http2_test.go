package thproof

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// http2Client is an uncontrolled client that speaks HTTP/2.
type http2Client struct {
	*crowdClient
	*http2.Framer
}

// startHTTP2 sends the preface and settings under which the server may send no body.
func startHTTP2(c *crowdClient) *http2Client {
	k := &http2Client{c, http2.NewFramer(c, c)}
	c.send(http2.ClientPreface)
	_ = k.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	return k
}

// http2Head returns the encoded head of a request with a field of a size.
func http2Head(path string, size int) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	for _, f := range []hpack.HeaderField{
		{Name: ":method", Value: "POST"},
		{Name: ":scheme", Value: "http"},
		{Name: ":path", Value: path},
		{Name: ":authority", Value: "site.example"},
		{Name: "x-deadline-ms", Value: "3000"},
		{Name: "x-fill", Value: strings.Repeat("x", size)},
	} {
		f.Sensitive = true // is not kept in the table
		_ = e.WriteField(f)
	}
	return b.Bytes()
}

// openStream sends a request. It reports whether the connection is still open.
func (k *http2Client) openStream(id uint32, head []byte) bool {
	return k.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: head, EndStream: true, EndHeaders: true}) == nil
}

// http2Cases returns the crowds that speak HTTP/2 with prior knowledge.
func http2Cases() []crowdCase {
	head := http2Head("/book/slow", crowdHeadSize)
	return []crowdCase{
		{"HTTP/2 connections", 300, func(c *crowdClient) { startHTTP2(c).awaitClose() }},
		{"HTTP/2 streams", 60, func(c *crowdClient) {
			k := startHTTP2(c)
			go k.awaitClose()
			for i := range uint32(100) {
				if !k.openStream(2*i+1, head) {
					return
				}
			}
			k.awaitEnd()
		}},
		{"HTTP/2 streams that are reset", 60, func(c *crowdClient) {
			k := startHTTP2(c)
			go k.awaitClose()
			for i := uint32(1); k.openStream(i, head) && k.WriteRSTStream(i, http2.ErrCodeCancel) == nil; i += 2 {
			}
		}},
		{"HTTP/2 heads without end", 300, func(c *crowdClient) {
			k := startHTTP2(c)
			go k.awaitClose()
			if k.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head}) != nil {
				return
			}
			for k.WriteContinuation(1, false, http2Head("/", crowdHeadSize)[1:]) == nil {
			}
		}},
		{"HTTP/2 unfinished heads", 300, func(c *crowdClient) {
			k := startHTTP2(c)
			_ = k.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head})
			k.awaitClose()
		}},
		{"HTTP/2 unfinished frames of the largest size", 90, func(c *crowdClient) {
			k := startHTTP2(c)
			const size = 1 << 20
			c.send(string([]byte{size >> 16, 0, 0, byte(http2.FrameData), 0, 0, 0, 0, 1}))
			c.send(strings.Repeat("x", size-1))
			k.awaitClose()
		}},
		{"HTTP/2 pings whose answers are not read", 300, func(c *crowdClient) {
			k := startHTTP2(c)
			var pings bytes.Buffer
			f := http2.NewFramer(&pings, nil)
			for range 256 {
				_ = f.WritePing(false, [8]byte{})
			}
			for {
				if _, err := io.Copy(k, bytes.NewReader(pings.Bytes())); err != nil {
					return
				}
			}
		}},
	}
}

// Guards against the same with HTTP/2, where one connection has many streams.
func TestCrowdOfHTTP2KeepsMemoryAndDescriptorsBounded(t *testing.T) {
	runCrowds(t, http2Cases())
}
