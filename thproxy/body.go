package thproxy

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/turmerichaven/turmerichaven/therror"
)

// maxReplayBytes is the largest request body that is kept for a retry.
const maxReplayBytes = 64 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// replayBuffer lets successive attempts read the same request body. Only the latest
// attempt may read. It keeps the bytes read so far, up to maxReplayBytes.
type replayBuffer struct {
	source         io.Reader
	currentAttempt atomic.Int32 // number of the latest attempt
	overflowed     atomic.Bool  // more than maxReplayBytes were read: no further attempt is possible

	ended atomic.Bool // the source has returned io.EOF

	mutex    sync.Mutex // held while reading from source
	buffered []byte
	err      error // sticky; io.EOF after the whole body
}

var errSuperseded = therror.New(therror.Internal, "a later attempt reads the request body")

// read reads at the offset of an attempt and advances it. It returns errSuperseded
// if a later attempt has started.
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
	// A read that started before a retry was decided is kept even beyond the limit,
	// so that the new attempt gets every byte.
	if !r.overflowed.Load() {
		r.buffered = append(r.buffered, p[:n]...)
		*offset += n
		r.overflowed.Store(len(r.buffered) > maxReplayBytes)
	}
	return n, nil
}

// copyTo copies the body to an attempt. It returns nil after the whole body or if
// the attempt has ended, and otherwise the read error of the caller's connection or
// the error of CloseWrite.
func (r *replayBuffer) copyTo(attempt int32, w upstream) error {
	p := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	offset := 0
	for {
		n, err := r.read(attempt, &offset, *p)
		if n > 0 {
			if _, err := w.Write((*p)[:n]); err != nil {
				return nil // the attempt itself reports the error
			}
		}
		switch err {
		case nil:
		case io.EOF: //nolint:errorlint // a wrapped io.EOF means a broken connection
			return w.CloseWrite()
		default:
			return err
		}
	}
}

// done reports whether the whole body was read.
func (r *replayBuffer) done() bool { return r.ended.Load() }
