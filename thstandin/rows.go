package thstandin

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
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

// Limits of the responses.
const (
	maxPageRows = 500
	maxFeedWait = 30 * time.Second
)

// Row is a row of a RowStore at one version.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Dropped bool   `json:"tombstone,omitempty"`
}

// RowStoreFaults are the faults that a RowStore injects.
type RowStoreFaults struct {
	Unavailable  bool          // every call gets status 503
	Hang         bool          // no call gets a response
	HangFeeds    bool          // no call of the feed that begins meanwhile gets a response
	LoseResponse bool          // transactions are committed, but their connections are closed without a response
	CommitDelay  time.Duration // transactions get no response and are committed after this time
	Latency      time.Duration // added to each call
	RejectedIPs  []string      // addresses of clients that get status 503
}

// RowStore serves the protocol of the users' store: rows with a shared version counter,
// transactions with preconditions, range reads, and a feed of changes. State is in
// memory. The zero value is empty and ready to use.
type RowStore struct {
	Clock clockwork.Clock

	mutex          sync.Mutex
	rows           map[rowKey]Row
	history        []Row  // in order of versions, deleted rows included
	droppedVersion uint64 // history starts after it; feeds from an earlier version get status 410
	version        uint64
	era            uint64        // number of restores, sent in header Store-Era
	changed        chan struct{} // closed at the next change of rows or faults; nil without waiting feeds
	faults         RowStoreFaults
	reads          int
	writes         int
}

type rowKey struct{ table, part, key string }

// rowsResponse is the body of all responses.
type rowsResponse struct {
	Rows []Row   `json:"rows,omitempty"`
	More bool    `json:"has_more"`
	Ver  uint64  `json:"ver"`
	Now  float64 `json:"now_s"`
}

// rowEntry is a precondition, write or delete of a transaction.
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

// RowStoreCopy is a copy of a RowStore at one version.
type RowStoreCopy struct {
	rows    map[rowKey]Row
	version uint64
}

// Copy returns a copy of the current rows.
func (s *RowStore) Copy() RowStoreCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return RowStoreCopy{rows: maps.Clone(s.rows), version: s.version}
}

// Restore replaces the rows by those of a copy. Later versions are given out again, the
// history starts at the copy, and the era rises by one.
func (s *RowStore) Restore(c RowStoreCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.history, s.droppedVersion = nil, c.version
	s.era++
	s.notifyFeeds()
}

// ServeHTTP serves reads, the feed and transactions to daemons.
func (s *RowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	s.mutex.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mutex.Unlock()
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	// net/http detects that the client has closed the connection only after the body
	// has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if f.Hang || f.HangFeeds && r.URL.Path == "/api/rows-feed" {
		<-r.Context().Done()
		return
	}
	if f.Latency > 0 {
		thclock.OrSystem(s.Clock).Sleep(f.Latency)
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

// Faults returns the active faults.
func (s *RowStore) Faults() RowStoreFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the faults and wakes waiting feeds. They fail with status 503
// if the store is unavailable now, else they wait on.
func (s *RowStore) SetFaults(f RowStoreFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
	s.notifyFeeds()
}

// CallCounts returns the numbers of reads, including those repeated inside a waiting
// feed, and of transactions, committed or not.
func (s *RowStore) CallCounts() (reads, writes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads, s.writes
}

// DropHistory drops the history, so that feeds from before the current version fail
// with status 410.
func (s *RowStore) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.droppedVersion = nil, s.version
}

// Put writes a row without preconditions, as an operator does, and returns its version.
// A nil value deletes the row.
func (s *RowStore) Put(table, part, key string, value []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.apply(rowKey{table, part, key}, value, value == nil)
	s.notifyFeeds()
	return s.version
}

// Row returns the current row, or false if it doesn't exist.
func (s *RowStore) Row(table, part, key string) (Row, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, found := s.rows[rowKey{table, part, key}]
	return r, found
}

// Keys returns the keys of the rows of a table and part that begin with prefix, in no order.
func (s *RowStore) Keys(table, part, prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for k := range s.rows {
		if k.table == table && k.part == part && strings.HasPrefix(k.key, prefix) {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// notifyFeeds wakes waiting feeds. The caller holds the mutex.
func (s *RowStore) notifyFeeds() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// apply writes or deletes a row at the current version. The caller holds the mutex.
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

// respond adds the version and the time to a response and sends it. The caller holds
// the mutex.
func (s *RowStore) respond(w http.ResponseWriter, code int, a rowsResponse) {
	a.Ver, a.Now = s.version, float64(thclock.OrSystem(s.Clock).Now().UnixMilli())/1000
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

// feed returns the changes after a version. Without changes it waits for the first one
// until the requested time, at most maxFeedWait, has passed.
func (s *RowStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := thclock.OrSystem(s.Clock).NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for ended := false; ; {
		s.mutex.Lock()
		s.reads++
		if after < s.droppedVersion || after > s.version {
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
		thclock.OrSystem(s.Clock).AfterFunc(f.CommitDelay, func() { s.commit(t) })
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

// commit applies a transaction if its preconditions hold. Else it returns false and the
// existing rows that the preconditions name.
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
