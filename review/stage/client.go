package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sendTimes holds when requests were sent, by id.
var sendTimes sync.Map

// sendTime returns when a request was sent, zero if it is unknown.
func (*machine) sendTime(id string) time.Time {
	at, _ := sendTimes.Load(id)
	t, _ := at.(time.Time)
	return t
}

// requestPause is the mean time between two requests of one client. A machine has a client
// for each kind of request.
const requestPause = 50 * time.Millisecond

// traffic sends requests from each machine to its own outbound address until stop is called.
// clients is the number of clients of a machine for each kind of request.
func (d *deployment) traffic(clients int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, m := range d.machines {
		for _, kind := range []struct{ method, prefix string }{
			{http.MethodGet, "/slots/"}, {http.MethodPost, "/book/"}, {http.MethodGet, "/roster/"},
		} {
			for c := range clients {
				running.Go(func() { m.client(ctx, kind.method, fmt.Sprintf("%s%d-", kind.prefix, c)) })
			}
		}
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// client sends requests, one after the other, on a kept connection.
func (m *machine) client(ctx context.Context, method, prefix string) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s%s%d", m.name, strings.ReplaceAll(prefix, "/", "-"), i)
		m.request(c, method, prefix+id, id)
		select {
		case <-ctx.Done():
		case <-time.After(requestPause):
		}
	}
}

// request sends one request and records its answer.
func (m *machine) request(c *http.Client, method, path, id string) {
	const deadline = 2500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(portOutbound)+path, nil) //nolint:gosec // a loopback address of this program
	if err != nil {
		return
	}
	r.Host = siteHost
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	sendTimes.Store(id, time.Now())
	m.record.write("sent", map[string]any{"id": id, "machine": m.name, "method": method, "path": path})
	response, err := c.Do(r) //nolint:gosec // see above
	if err != nil {
		m.record.write("answered", map[string]any{"id": id, "error": err.Error()})
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	m.record.write("answered", map[string]any{
		"id": id, fieldStatus: response.StatusCode, "stamp": response.Header.Get("X-Server-Stamp"), "whole": err == nil,
	})
}
