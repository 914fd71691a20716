package thstandin

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Limits of the stand-in's answers.
const (
	maxPageRows = 500
	maxFeedWait = 30 * time.Second
)

// Row is a row of a store of rows.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Dropped bool   `json:"tombstone,omitempty"`
}

// RowStoreFaults are what goes wrong at a store of rows.
type RowStoreFaults struct {
	Unavailable  bool          // every call is answered 503
	Hang         bool          // no call is answered
	LoseResponse bool          // writes take effect and their connections break
	CommitDelay  time.Duration // lost writes take effect only after this time
	Latency      time.Duration // added to each call
	RejectedIPs  []string      // IP numbers of callers that are answered 503
}

// RowStore serves the protocol of the users' store: rows with one version counter,
// transactions with preconditions, ranges, and a feed of changes. State is in
// memory. The zero value is empty and works.
type RowStore struct {
	Clock clockwork.Clock

	mutex          sync.Mutex
	rows           map[rowKey]Row
	history        []Row // in order of versions, dropped rows included
	droppedVersion uint64
	version        uint64
	changed        chan struct{} // closed with the next change
	faults         RowStoreFaults
	reads          int
	writes         int
}

type rowKey struct{ table, part, key string }

// rowsResponse is the body of all answers.
type rowsResponse struct {
	Rows []Row   `json:"rows,omitempty"`
	More bool    `json:"has_more"`
	Ver  uint64  `json:"ver"`
	Now  float64 `json:"now_s"`
}

// rowEntry is an entry of a transaction.
type rowEntry struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Ver   uint64 `json:"ver"`
}

func (e rowEntry) key() rowKey { return rowKey{e.Table, e.Part, e.Key} }

type rowsTransaction struct {
	Conditions []rowEntry `json:"precondition"`
	Writes     []rowEntry `json:"writes"`
	Deletes    []rowEntry `json:"deletes"`
}

// ServeHTTP serves the store's calls to daemons.
func (s *RowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	// net/http notices a caller that goes away only after the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.Latency > 0 {
		thclock.Or(s.Clock).Sleep(f.Latency)
	}
	if f.Unavailable || slices.Contains(f.RejectedIPs, host) {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /api/rows-get":
		s.get(w, r)
	case "GET /api/rows-feed":
		s.feed(w, r)
	case "POST /api/rows-tx":
		s.transact(w, r, f)
	default:
		http.NotFound(w, r)
	}
}

// Faults returns the faults in force.
func (s *RowStore) Faults() RowStoreFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the faults. Questions that are held are answered first.
func (s *RowStore) SetFaults(f RowStoreFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
	s.notifyFeeds()
}

// CallCounts returns the calls that were answered.
func (s *RowStore) CallCounts() (reads, writes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads, s.writes
}

// DropHistory drops the history, so that feeds from earlier versions fail.
func (s *RowStore) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.droppedVersion = nil, s.version
}

// Put writes a row as an operator does and returns its version; a nil value
// drops it.
func (s *RowStore) Put(table, part, key string, value []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.apply(rowKey{table, part, key}, value, value == nil)
	s.notifyFeeds()
	return s.version
}

// Row returns a row.
func (s *RowStore) Row(table, part, key string) (Row, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, found := s.rows[rowKey{table, part, key}]
	return r, found
}

func (s *RowStore) notifyFeeds() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *RowStore) apply(k rowKey, value []byte, dropped bool) {
	if s.rows == nil {
		s.rows = map[rowKey]Row{}
	}
	r := Row{Table: k.table, Part: k.part, Key: k.key, Value: value, Ver: s.version, Dropped: dropped}
	if dropped {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *RowStore) respond(w http.ResponseWriter, code int, a rowsResponse) {
	a.Ver, a.Now = s.version, float64(thclock.Or(s.Clock).Now().UnixMilli())/1000
	writeJSON(w, code, "application/json", a)
}

func (s *RowStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	var a rowsResponse
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			a.Rows = append(a.Rows, v)
		}
	}
	slices.SortFunc(a.Rows, func(x, y Row) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	s.respond(w, http.StatusOK, a)
}

func (s *RowStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := thclock.Or(s.Clock).NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for ended := false; ; {
		s.mutex.Lock()
		s.reads++
		if after < s.droppedVersion {
			s.mutex.Unlock()
			http.Error(w, "history dropped", http.StatusGone)
			return
		}
		var a rowsResponse
		for _, h := range s.history {
			if h.Ver > after && h.Table == q.Get("table") {
				a.Rows = append(a.Rows, h)
			}
		}
		slices.SortStableFunc(a.Rows, func(x, y Row) int { return cmp.Compare(x.Ver, y.Ver) })
		down := s.faults.Unavailable
		if len(a.Rows) > 0 || ended || down {
			if down {
				http.Error(w, "unavailable", http.StatusServiceUnavailable)
			} else {
				s.respond(w, http.StatusOK, a)
			}
			s.mutex.Unlock()
			return
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.Chan():
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *RowStore) transact(w http.ResponseWriter, r *http.Request, f RowStoreFaults) {
	var t rowsTransaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, e := range slices.Concat(t.Writes, t.Deletes) {
		if e.Table == "op" || e.Table == "servers" {
			http.Error(w, "read only", http.StatusForbidden)
			return
		}
	}
	if f.CommitDelay > 0 {
		thclock.Or(s.Clock).AfterFunc(f.CommitDelay, func() { s.commit(t) })
		breakConnection()
	}
	rows, ok := s.commit(t)
	if f.LoseResponse {
		breakConnection()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !ok {
		s.respond(w, http.StatusPreconditionFailed, rowsResponse{Rows: rows})
		return
	}
	s.respond(w, http.StatusOK, rowsResponse{})
}

// commit applies a transaction if its preconditions hold; else it returns
// their rows.
func (s *RowStore) commit(t rowsTransaction) ([]Row, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writes++
	var current []Row
	holds := true
	for _, c := range t.Conditions {
		r := s.rows[c.key()]
		holds = holds && r.Ver == c.Ver
		if r.Ver > 0 {
			current = append(current, r)
		}
	}
	if !holds {
		return current, false
	}
	s.version++
	for _, e := range t.Writes {
		s.apply(e.key(), e.Value, false)
	}
	for _, e := range t.Deletes {
		s.apply(e.key(), nil, true)
	}
	s.notifyFeeds()
	return nil, true
}
