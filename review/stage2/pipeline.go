package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ahead is a client that sends requests on one kept connection before the earlier ones are
// answered, at most depth at a time, and reads the answers in their order. It sends until the
// server tells it to close, or the connection ends.
type ahead struct {
	clients *clients
	machine *machine
	depth   int
	every   time.Duration
	host    func(n int64) (host, path string)

	mutex sync.Mutex
	sent  []answer // requests without an answer, in their order
}

// run sends requests on connections one after the other until ctx ends.
func (a *ahead) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", a.machine.at(portOutbound))
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		a.use(ctx, conn)
		_ = conn.Close()
	}
}

// use uses one connection until its end.
func (a *ahead) use(ctx context.Context, conn net.Conn) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.read(conn)
	}()
	ticker := time.NewTicker(a.every)
	defer ticker.Stop()
	open := true
	for open {
		select {
		case <-ended:
			open = false
		case <-ctx.Done():
			open = false
		case <-ticker.C:
			open = a.send(conn)
		}
	}
	// No more requests; the answers to those sent are awaited.
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		_ = conn.Close()
		<-ended
	}
	a.mutex.Lock()
	rest := a.sent
	a.sent = nil
	a.mutex.Unlock()
	for _, r := range rest {
		r.took = time.Since(r.sent)
		r.err = io.ErrUnexpectedEOF
		a.clients.fleet.record.printf("none   %s: the connection has ended after %s", r.id, r.took.Round(time.Millisecond))
		a.clients.add(r)
	}
}

func (c *clients) add(a answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers = append(c.answers, a)
}

// send sends one request if fewer than depth are without an answer.
func (a *ahead) send(conn net.Conn) bool {
	a.mutex.Lock()
	if len(a.sent) >= a.depth {
		a.mutex.Unlock()
		return true
	}
	n := a.clients.number.Add(1)
	id := fmt.Sprintf("%016x", 0x5eed000000000000+n)
	host, path := a.host(n)
	a.sent = append(a.sent, answer{id: id, machine: a.machine.name, sent: time.Now()})
	a.mutex.Unlock()
	a.clients.fleet.record.printf("sent   %s to %s: GET %s%s", id, a.machine.name, host, path)
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", path, host, id)
	return err == nil
}

// read reads the answers.
func (a *ahead) read(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.mutex.Lock()
		if len(a.sent) == 0 {
			a.mutex.Unlock()
			return
		}
		r := a.sent[0]
		a.sent = a.sent[1:]
		a.mutex.Unlock()
		r.took, r.status, r.server, r.err = time.Since(r.sent), response.StatusCode, response.Header.Get("X-Server-Stamp"), err
		r.whole = err == nil && bytes.Equal(body, answerTo(r.id))
		a.clients.fleet.record.printf("answer %s: status %d, stamp %q, whole %t, after %s, error %v", r.id, r.status, r.server, r.whole, r.took.Round(time.Millisecond), err)
		a.clients.add(r)
		if err != nil || response.Close {
			return
		}
	}
}

// caseBeside: one of the two servers of a service breaks off a twentieth of its answers; other
// requests on the same connections are run by sound servers.
func caseBeside(f *fleet, trouble bool) (int, error) {
	servers, err := f.deploy(40*time.Millisecond, 1.2)
	if err != nil {
		return failed, err
	}
	c := &clients{fleet: f}
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	for _, m := range f.machines {
		a := &ahead{clients: c, machine: m, depth: 8, every: 5 * time.Millisecond, host: func(n int64) (string, string) {
			if n%4 == 0 {
				return hostBoard, fmt.Sprintf("%sn%d", pathBoard, n)
			}
			return hostView, fmt.Sprintf("%sn%d", pathView, n)
		}}
		c.group.Go(func() { a.run(ctx) })
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return failed, err
	}
	if trouble {
		f.record.say("%s breaks off a twentieth of its answers", servers[2].id)
		servers[2].setBreaks(0.05)
	}
	if err := sleep(ctx, 5500*time.Millisecond); err != nil {
		return failed, err
	}
	servers[2].setBreaks(0)
	f.record.say("all servers are sound")
	if err := sleep(ctx, time.Second); err != nil {
		return failed, err
	}
	stop()
	c.group.Wait()
	n := 0
	sound := map[string]bool{servers[0].id: true, servers[1].id: true, servers[3].id: true}
	ran := f.record.ranAt()
	for _, a := range c.answers {
		if a.status == 0 && sound[ran[a.id]] {
			n++
			f.record.printf("lost   %s: run by %s, not answered", a.id, ran[a.id])
		}
	}
	f.record.say("%d of %d requests were passed on to sound servers, and their connection was closed without an answer", n, len(c.answers))
	if n > 3 {
		f.record.say("broken: LOST")
		return broken, nil
	}
	f.record.say("held")
	return held, nil
}

// ranAt returns which instance has run each request; several are joined.
func (r *record) ranAt() map[string]string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at := map[string]string{}
	for _, x := range r.runs {
		at[x.id] = strings.TrimPrefix(at[x.id]+"+"+x.instance, "+")
	}
	return at
}
