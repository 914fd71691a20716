package thbackend

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// Record is one request that the server received, run or rejected.
type Record struct {
	ID       string    `json:"id"` // header X-Request-Id
	Server   string    `json:"server"`
	Service  string    `json:"service"`
	Version  string    `json:"version"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Key      string    `json:"key,omitempty"` // header Idempotency-Key
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`      // zero while the request is in progress
	Status   int       `json:"status"`   // zero while the request is in progress
	Run      bool      `json:"run"`      // false for a request rejected above the slots
	Overload bool      `json:"overload"` // more concurrent requests than the server's capacity, which is below the slots while cold
}

// Summary holds the counters and the state of a server.
type Summary struct {
	Server    string `json:"server"`
	Slots     int    `json:"slots"`
	Requests  int    `json:"requests"`
	Peak      int    `json:"peak"`      // maximum of concurrent requests, rejected ones included
	Overloads int    `json:"overloads"` // rejected above the slots
	Strained  int    `json:"strained"`  // run above the capacity of a cold server
	Probes    int    `json:"probes"`
	Cold      bool   `json:"cold"`
	Draining  bool   `json:"draining"`
}

// journal keeps the records and counters of a server.
type journal struct {
	mutex   sync.Mutex
	records []*Record
	summary Summary
	file    *os.File // nil keeps records in memory only
}

// write appends the state of a record to the file without buffering, so that the file
// has the started requests of a server that is killed.
func (j *journal) write(r *Record) {
	if j.file == nil {
		return
	}
	if line, err := json.Marshal(r); err == nil {
		_, _ = j.file.Write(append(line, '\n'))
	}
}

func (j *journal) startRecord(r Record, active int64, strained bool) *Record {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.records = append(j.records, &r)
	j.summary.Requests++
	j.summary.Peak = max(j.summary.Peak, int(active))
	switch {
	case !r.Run:
		j.summary.Overloads++
	case strained:
		j.summary.Strained++
	}
	j.write(&r)
	return &r
}

func (j *journal) finish(r *Record, now time.Time, status int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r.End, r.Status = now, status
	j.write(r)
}

func (j *journal) countProbe() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.summary.Probes++
}

// Records returns a copy of the records so far.
func (b *Backend) Records() []Record {
	b.journal.mutex.Lock()
	defer b.journal.mutex.Unlock()
	list := make([]Record, 0, len(b.journal.records))
	for _, r := range b.journal.records {
		list = append(list, *r)
	}
	return list
}

// Summary returns the current counters and state.
func (b *Backend) Summary() Summary {
	b.journal.mutex.Lock()
	defer b.journal.mutex.Unlock()
	s := b.journal.summary
	s.Server, s.Slots, s.Draining = b.name(), int(b.slots()), b.draining.Load()
	s.Cold = b.capacity() < b.slots()
	return s
}

func (b *Backend) serveRecord(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := bufio.NewWriter(w)
	e := json.NewEncoder(out)
	for _, r := range b.Records() {
		if e.Encode(r) != nil {
			return
		}
	}
	_ = out.Flush()
}

// ReadJournal decodes the file at Backend.JournalPath. Each request has a line for its
// start and, unless the server was killed, one for its end, which replaces the first.
func ReadJournal(r io.Reader) ([]Record, error) {
	type key struct {
		id    string
		start int64
	}
	var list []Record
	index := map[key]int{}
	all, err := ReadRecords(r)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) { // the last line is truncated by a kill
		return nil, err
	}
	for i := range all {
		k := key{all[i].ID, all[i].Start.UnixNano()}
		if n, ok := index[k]; ok {
			list[n] = all[i]
			continue
		}
		index[k] = len(list)
		list = append(list, all[i])
	}
	return list, nil
}

// ReadRecords decodes the JSON lines of /record. With an error it returns the records
// before the faulty line.
func ReadRecords(r io.Reader) ([]Record, error) {
	var list []Record
	d := json.NewDecoder(r)
	for {
		var one Record
		err := d.Decode(&one)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		list = append(list, one)
	}
}
