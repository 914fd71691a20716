package thwire

import (
	"io"
	"testing"

	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	smallBody = 5 << 10  // trip-history
	largeBody = 90 << 10 // statement-pdf
)

// Measures responses of several frames, for which the send queue may hold more than one write.
func BenchmarkLargeResponses(b *testing.B) {
	body := make([]byte, largeBody)
	p := listen(b, func(i *Incoming) {
		_ = i.WriteHead(Head{Status: 200, Header: []Header{{"Content-Length", "92160"}}})
		_, _ = i.Write(body)
		_ = i.End(nil, Load{})
	})
	d := newDialer(b)
	b.ReportAllocs()
	b.SetBytes(largeBody)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s, err := d.Open(b.Context(), p.address, Open{Route: "r", Ended: true})
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = s.Head(b.Context())
			_, _ = io.Copy(io.Discard, s)
			s.Cancel(therror.Cancelled)
		}
	})
}
