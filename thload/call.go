package thload

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thclock"
)

// The values of header Th-Outcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Call is the record of one attempt of a call.
type Call struct {
	ID      string    `json:"id"`             // header X-Request-Id, unique per attempt
	Key     string    `json:"key,omitempty"`  // header Idempotency-Key
	Once    bool      `json:"once,omitempty"` // non-idempotent: the backend servers may run it at most once
	Try     int       `json:"try,omitempty"`  // number of earlier attempts
	Due     time.Time `json:"due"`            // scheduled time; latency is measured from here
	Start   time.Time `json:"start"`
	First   time.Time `json:"first"` // when the first part arrived
	End     time.Time `json:"end"`
	Status  int       `json:"status"`            // zero without a response
	Outcome string    `json:"outcome,omitempty"` // header Th-Outcome, or OutcomeUnknown when the connection failed
	Retry   string    `json:"retry,omitempty"`   // header Retry-After
	Version string    `json:"version,omitempty"` // header X-Version of the backend server
	Server  string    `json:"server,omitempty"`  // header X-Server of the backend server
	Whole   bool      `json:"whole"`             // the response ended without an error
	Cut     bool      `json:"cut,omitempty"`     // the response was truncated after its header
	Wrong   bool      `json:"wrong,omitempty"`   // Foreign, or Whole without all parts
	Foreign bool      `json:"foreign,omitempty"` // content that isn't a prefix of the expected response
	Parts   int       `json:"parts,omitempty"`   // correct parts received
	Dropped bool      `json:"dropped,omitempty"` // never sent, because the generator was overloaded
	Error   string    `json:"error,omitempty"`
}

// Succeeded reports whether the caller received the complete expected response.
func (c *Call) Succeeded() bool { return c.Status == http.StatusOK && c.Whole && !c.Wrong }

// send sends one attempt and fills in c.
func (g *Generator) send(ctx context.Context, sequence int, c *Call) {
	clock := thclock.OrSystem(g.Clock)
	timeout := g.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	// The client's timeout is longer than the deadline in Th-Deadline, so that the
	// mesh's own timeout response arrives.
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	c.Start = clock.Now()
	defer func() { c.End = clock.Now() }()
	method := g.Method
	if method == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+g.Targets[sequence%len(g.Targets)]+g.Path, nil)
	if err != nil {
		c.Error = err.Error()
		return
	}
	if g.NonIdempotent || g.IdempotencyKeys {
		// net/http's client retries a request with an Idempotency-Key after a
		// connection failure. A body that can't be read twice prevents that.
		body := strings.NewReader(c.ID)
		request.Body, request.ContentLength = io.NopCloser(body), int64(body.Len())
	}
	request.Host = g.Host
	request.Header.Set("X-Request-Id", c.ID)
	request.Header.Set("Th-Deadline", strconv.FormatInt(timeout.Milliseconds(), 10))
	if c.Key != "" {
		request.Header.Set("Idempotency-Key", c.Key)
	}
	response, err := g.client.Do(request)
	if err != nil {
		c.Error = err.Error()
		// Without a response the caller can't know whether its request ran.
		c.Outcome = OutcomeUnknown
		return
	}
	c.Status = response.StatusCode
	c.Outcome, c.Retry = response.Header.Get("Th-Outcome"), response.Header.Get("Retry-After")
	c.Version, c.Server = response.Header.Get("X-Version"), response.Header.Get("X-Server")
	g.readResponse(response, c)
	if err := response.Body.Close(); err != nil && c.Error == "" {
		c.Error = err.Error()
	}
	if c.Cut && c.Outcome == "" {
		c.Outcome = OutcomeUnknown
	}
}

// readResponse reads the response part by part and compares each part with the one
// that the backend server must send for this request.
func (g *Generator) readResponse(response *http.Response, c *Call) {
	in := bufio.NewReader(response.Body)
	number := 0
	for {
		line, err := in.ReadBytes('\n')
		if number == 0 {
			c.First = thclock.OrSystem(g.Clock).Now()
		}
		if len(line) > 0 && c.Status == http.StatusOK {
			want := thbackend.ResponsePart(c.ID, number)
			switch {
			case bytes.Equal(line, want):
				c.Parts++
			case err == nil || !bytes.HasPrefix(want, line):
				c.Wrong, c.Foreign = true, true
			}
		}
		if err == nil {
			number++
			continue
		}
		if !errors.Is(err, io.EOF) {
			c.Cut, c.Error = true, err.Error()
			return
		}
		c.Whole = true
		// A response that ends normally must have all of its parts.
		c.Wrong = c.Wrong || c.Status == http.StatusOK && c.Parts != max(1, g.Parts)
		return
	}
}
