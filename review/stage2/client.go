package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client has got for a request.
type answer struct {
	id      string
	machine string
	sent    time.Time
	took    time.Duration
	status  int // zero without an answer
	server  string
	whole   bool // the body is the whole one of the server
	err     error
}

// clients send requests to the daemons.
type clients struct {
	fleet  *fleet
	number atomic.Int64
	group  sync.WaitGroup

	mutex   sync.Mutex
	answers []answer
}

// call sends one request to a daemon and records the answer.
func (c *clients) call(m *machine, method, host, path string, body []byte, deadline time.Duration) answer {
	id := fmt.Sprintf("%016x", 0x5eed000000000000+c.number.Add(1))
	r := c.fleet.record
	ctx, cancel := context.WithTimeout(c.fleet.ctx, deadline)
	defer cancel()
	a := answer{id: id, machine: m.name, sent: time.Now()}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(portOutbound)+path, bytes.NewReader(body)) //nolint:gosec // addresses and folders of this program
	if err != nil {
		a.err = err
		return a
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.printf("sent   %s to %s: %s %s%s", id, m.name, method, host, path)
	response, err := transport.RoundTrip(q)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.server = response.StatusCode, response.Header.Get("X-Server-Stamp")
		a.whole = err == nil && bytes.Equal(b, answerTo(id))
	}
	a.err, a.took = err, time.Since(a.sent)
	r.printf("answer %s: status %d, stamp %q, whole %t, after %s, error %v", id, a.status, a.server, a.whole, a.took.Round(time.Millisecond), a.err)
	c.mutex.Lock()
	c.answers = append(c.answers, a)
	c.mutex.Unlock()
	return a
}

var transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 4 * time.Second, DisableCompression: true}

// load sends requests to each machine in turn, at a rate for each, until ctx ends.
func (c *clients) load(ctx context.Context, machines []*machine, every time.Duration, one func(*machine)) {
	for _, m := range machines {
		c.group.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					c.group.Go(func() { one(m) })
				}
			}
		})
	}
}
