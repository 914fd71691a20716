package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// run is a request at which a backend server began to work.
type run struct {
	id, instance string
	at           time.Time
}

// record is what was sent, answered and run.
type record struct {
	start time.Time

	mutex sync.Mutex
	file  *os.File
	runs  []run
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path) //nolint:gosec // the path is that of the case
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.write(time.Now(), fmt.Sprintf(format, args...))
}

func (r *record) write(at time.Time, text string) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.start).Seconds(), text)
}

// say writes a line that is printed too.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.printf(format, args...)
}

func (r *record) ran(u *upstream, id string, q *http.Request, body []byte) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, run{id: id, instance: u.id, at: now})
	r.write(now, fmt.Sprintf("runs   %s at %s %s %s, caller %s, %d bytes", id, u.id, q.Method, q.URL.RequestURI(), q.Header.Get("X-Caller-Service"), len(body)))
}

// runsSince returns the requests that an instance began to run from a time on.
func (r *record) runsSince(instance string, from time.Time) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var list []run
	for _, x := range r.runs {
		if x.instance == instance && !x.at.Before(from) {
			list = append(list, x)
		}
	}
	return list
}
