package thproxy

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/turmerichaven/turmerichaven/therror"
)

// maxReplayBytes is how much of a request body is kept for a retry, in bytes.
const maxReplayBytes = 64 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// replayBuffer hands a request body to one attempt after another. Only the latest
// attempt reads; what earlier ones have read is kept up to maxReplayBytes.
type replayBuffer struct {
	source         io.Reader
	currentAttempt atomic.Int32 // number of the latest attempt
	overflowed     atomic.Bool  // more was read than is kept

	ended atomic.Bool // the source has reported its end

	mutex    sync.Mutex // held while reading from source
	buffered []byte
	err      error // sticky; io.EOF after the whole body
}

var errSuperseded = therror.New(therror.Internal, "a later attempt reads the request body")

// read reads from the position of an attempt.
func (r *replayBuffer) read(attempt int32, offset *int, p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.currentAttempt.Load() != attempt {
		return 0, errSuperseded
	}
	if *offset < len(r.buffered) {
		n := copy(p, r.buffered[*offset:])
		*offset += n
		return n, nil
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	r.err = err
	r.ended.Store(err == io.EOF)
	// A read that began before a retry was decided is kept even beyond the
	// limit, so that the new attempt finds every byte.
	if !r.overflowed.Load() {
		r.buffered = append(r.buffered, p[:n]...)
		*offset += n
		r.overflowed.Store(len(r.buffered) > maxReplayBytes)
	}
	return n, nil
}

// copyTo copies the body to an attempt. It returns nil when the whole body was
// read, or the error of the caller's side.
func (r *replayBuffer) copyTo(attempt int32, w upstream) error {
	p := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	offset := 0
	for {
		n, err := r.read(attempt, &offset, *p)
		if n > 0 {
			if _, err := w.Write((*p)[:n]); err != nil {
				return nil // the attempt reports its own end
			}
		}
		switch err {
		case nil:
		case io.EOF: //nolint:errorlint // a wrapped io.EOF is a connection that broke
			return w.CloseWrite()
		default:
			return err
		}
	}
}

// done reports whether the whole body was read.
func (r *replayBuffer) done() bool { return r.ended.Load() }
