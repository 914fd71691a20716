package thbackend

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	coldSlowdown     = 4      // factor of the processing time while the server is cold
	overloadSlowdown = 10     // factor instead while it is cold and above its capacity
	maxParts         = 100000 // limit of numbers in a query
)

// chainClient keeps 100 idle connections per host instead of net/http's default of two.
var chainClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: time.Minute}}

// ResponsePart returns the content of one part of the response to a request. It depends
// on the request's id, so that a checker can tell to which request it belongs.
func ResponsePart(id string, number int) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", id, number))
	return fmt.Appendf(nil, "%s %d %x\n", id, number, sum[:16])
}

// ServeHTTP serves requests, probes and the control paths /record, /summary, /fault,
// /cold and /drain. A path that ends in /stream responds with several parts, one that
// ends in /chain calls further services; all other paths respond with one part.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health", "/load":
		b.probe(w, r)
	case "/record":
		b.serveRecord(w)
	case "/summary":
		writeJSON(w, b.Summary())
	case "/fault":
		b.serveFault(w, r)
	case "/cold":
		b.SetCold()
	case "/drain":
		b.drain()
	default:
		b.serveRequest(w, r)
	}
}

// SetCold makes the server cold again, as after a restart.
func (b *Backend) SetCold() { b.warmupDone.Store(0) }

// capacity returns how many concurrent requests the server can handle: a tenth of its
// slots when cold, rising to all slots over WarmupRequests completed requests.
func (b *Backend) capacity() int64 {
	done := b.warmupDone.Load()
	if b.WarmupRequests == 0 || done >= int64(b.WarmupRequests) {
		return b.slots()
	}
	minCapacity := max(1, b.slots()/10)
	return minCapacity + (b.slots()-minCapacity)*done/int64(b.WarmupRequests)
}

// serveRequest records a request and runs it, unless it is above the slots or a fault
// applies.
func (b *Backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	active := b.active.Add(1)
	defer b.active.Add(-1)
	capacity := b.capacity()
	n := Record{
		ID: r.Header.Get("X-Request-Id"), Server: b.name(), Service: b.Service, Version: b.Version,
		Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Start: b.clock().Now(),
		Run: active <= b.slots(), Overload: active > capacity,
	}
	record := b.journal.startRecord(n, active, active > capacity)
	status := http.StatusServiceUnavailable
	defer func() { b.journal.finish(record, b.clock().Now(), status) }()
	if !n.Run {
		http.Error(w, "overload", status)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		status = therror.StatusClientClosed
		return
	}
	f := b.faultFor(r.URL.Path, active)
	work := b.ProcessingTime
	switch {
	case capacity < b.slots() && active > capacity:
		work *= overloadSlowdown
	case capacity < b.slots():
		work *= coldSlowdown
	}
	if status = b.sleep(ctx, work+f.delay()); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	fails := f.shouldFail()
	if fails && f.Drop {
		status = therror.StatusClientClosed
		panic(http.ErrAbortHandler)
	}
	if fails && !f.Cut {
		status = http.StatusInternalServerError
		if f.Status != 0 {
			status = f.Status
		}
		http.Error(w, "fault", status)
		return
	}
	defer b.warmupDone.Add(1)
	w.Header().Set("X-Server", b.name())
	w.Header().Set("X-Version", b.Version)
	status = therror.StatusClientClosed // recorded if a panic truncates the response
	if strings.HasSuffix(r.URL.Path, "/chain") {
		status = b.chain(ctx, w, r)
		return
	}
	status = b.stream(ctx, w, r, fails)
}

// withDeadline returns the request's context with the timeout of header Th-Deadline, in
// milliseconds.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get("Th-Deadline"), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// sleep waits for d or the end of ctx and returns the status of the request: 200, 504
// if its deadline has passed, or 499 if its client has closed the connection.
func (b *Backend) sleep(ctx context.Context, d time.Duration) int {
	if d > 0 {
		timer := b.clock().NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
		}
	}
	switch ctx.Err() {
	case nil:
		return http.StatusOK
	case context.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return therror.StatusClientClosed
	}
}

// queryInt returns a number of a query, at most maxParts, or defaultValue if it is
// missing or invalid.
func queryInt(q url.Values, name string, defaultValue int) int {
	n, err := strconv.Atoi(q.Get(name))
	if err != nil || n < 0 {
		return defaultValue
	}
	return min(n, maxParts)
}

// stream sends the parts with a gap between them. To truncate the response it panics
// with http.ErrAbortHandler, for which net/http closes the connection.
func (b *Backend) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, truncate bool) int {
	parts, gap := 1, time.Duration(0)
	if strings.HasSuffix(r.URL.Path, "/stream") {
		q := r.URL.Query()
		parts, gap = queryInt(q, "parts", 1), time.Duration(queryInt(q, "gap", 0))*time.Millisecond
	}
	id := r.Header.Get("X-Request-Id")
	controller := http.NewResponseController(w)
	for i := range parts {
		if i > 0 {
			if status := b.sleep(ctx, gap); status != http.StatusOK {
				panic(http.ErrAbortHandler)
			}
		}
		if truncate && i == parts/2 {
			_, _ = w.Write(ResponsePart(id, i)[:len(id)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(ResponsePart(id, i)); err != nil {
			return therror.StatusClientClosed
		}
		if i+1 < parts && controller.Flush() != nil {
			return therror.StatusClientClosed
		}
	}
	return http.StatusOK
}

// chain calls another service through the daemon's ingress while query depth is above
// zero. Query next is the path of the next call or a comma-separated list of paths that
// the levels use in turn; the request's own path when empty. Query last is the path of
// the last call. After a successful call the response is this request's own part.
func (b *Backend) chain(ctx context.Context, w http.ResponseWriter, r *http.Request) int {
	q := r.URL.Query()
	depth := queryInt(q, "depth", 0)
	if depth > 0 {
		if status := b.callNext(ctx, r, q, depth); status != http.StatusOK {
			w.WriteHeader(status)
			return status
		}
	}
	if _, err := w.Write(ResponsePart(r.Header.Get("X-Request-Id"), 0)); err != nil {
		return therror.StatusClientClosed
	}
	return http.StatusOK
}

// callNext makes the next call of a chain and returns its status: 502 if the call failed
// or its response isn't the expected part, 504 or 499 if ctx has ended.
func (b *Backend) callNext(ctx context.Context, r *http.Request, q url.Values, depth int) int {
	path, rest, isList := strings.Cut(q.Get("next"), ",")
	if isList {
		q.Set("next", rest+","+path)
	}
	if path == "" {
		path = r.URL.Path
	}
	if last := q.Get("last"); last != "" && depth == 1 {
		path = last
	}
	q.Set("depth", strconv.Itoa(depth-1))
	//nolint:gosec // the host is fixed, and the path is the one that the test asks for
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+b.Ingress+path+"?"+q.Encode(), nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	request.Host = r.Host
	for _, h := range []string{"Th-Depth", "Th-Attempt"} {
		if v := r.Header.Get(h); v != "" {
			request.Header.Set(h, v)
		}
	}
	id := r.Header.Get("X-Request-Id") + "." + strconv.Itoa(depth-1)
	request.Header.Set("X-Request-Id", id)
	if d, ok := ctx.Deadline(); ok {
		request.Header.Set("Th-Deadline", strconv.FormatInt(max(1, time.Until(d).Milliseconds()), 10))
	}
	response, err := chainClient.Do(request) //nolint:gosec // see above
	if err != nil {
		if status := b.sleep(ctx, 0); status != http.StatusOK {
			return status
		}
		return http.StatusBadGateway
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case response.StatusCode != http.StatusOK:
		return response.StatusCode
	case err != nil || string(body) != string(ResponsePart(id, 0)):
		return http.StatusBadGateway
	}
	return http.StatusOK
}
