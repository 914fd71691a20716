package thlease

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	duration = DefaultDuration
	full     = duration + duration/marginPart // wait of those that would take over
	lease    = duration - duration/marginPart
	third    = duration / renewalPart
)

var (
	errDown    = therror.New(therror.Down, "down")
	errUnknown = therror.New(therror.Unknown, "no answer")
)

// fakeStore keeps a record in memory. Its calls may come from several goroutines.
type fakeStore struct {
	mutex   sync.Mutex
	record  Record
	version uint64
	rows    map[string][]byte
	err     error // answer to all calls, which have no effect
	lost    bool  // answers to writes are lost
	dropped bool  // writes are not performed and get no answer
	// conflict makes the store answer each write with a conflict.
	conflict bool
	ahead    uint64 // added to versions in answers to writes
	reads    int
	writes   []Record // attempted ones
}

func (s *fakeStore) Read(_ context.Context) (Record, uint64, []Row, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	var rows []Row
	for k, v := range s.rows {
		rows = append(rows, Row{Key: k, Value: v})
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return s.record, s.version, rows, s.err
}

func (s *fakeStore) Replace(_ context.Context, version uint64, r Record, rows ...Row) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writes = append(s.writes, r)
	switch {
	case s.err != nil:
		return 0, s.err
	case s.dropped:
		return 0, errUnknown
	case s.conflict || version != s.version:
		return 0, therror.New(therror.Conflict, "changed")
	}
	s.put(r)
	for _, row := range rows {
		if row.Value == nil {
			delete(s.rows, row.Key)
			continue
		}
		if s.rows == nil {
			s.rows = map[string][]byte{}
		}
		s.rows[row.Key] = row.Value
	}
	if s.lost {
		return 0, errUnknown
	}
	return s.version + s.ahead, nil
}

// put stores a record as another daemon does.
func (s *fakeStore) put(r Record) { s.record, s.version = r, s.version+1+s.ahead }

func (s *fakeStore) current() Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.record
}

// bench steps one lease without a goroutine.
type bench struct {
	t      *testing.T
	store  *fakeStore
	lease  *Lease
	now    time.Duration
	rank   int
	starts []startEvent
	ends   []uint64
}

func newBench(t *testing.T, s *fakeStore) *bench {
	b := &bench{t: t, store: s, now: time.Hour}
	b.lease = &Lease{
		Name: "a", Store: s, Clock: clockwork.NewFakeClock(),
		Elapsed: func() time.Duration { return b.now },
		Rank:    func() int { return b.rank },
		OnStart: func(_ Tenure, r Record, rows []Row) {
			_, held := b.lease.Held()
			assert.Assert(t, !held, "the holder may act before OnStart has returned")
			b.starts = append(b.starts, startEvent{record: r, rows: rows})
		},
		OnEnd: func(tenure Tenure) { b.ends = append(b.ends, tenure.Token) },
	}
	assert.NilError(t, b.lease.initialise(77))
	return b
}

// newHolder returns a bench whose daemon became the holder at this moment, with token 1.
func newHolder(t *testing.T) *bench {
	b := newBench(t, &fakeStore{})
	b.run(full)
	assert.Equal(t, b.held(), uint64(1))
	return b
}

// settle performs calls until the lease waits.
func (b *bench) settle() time.Duration {
	for range 100 {
		a := b.lease.next()
		if w, ok := a.(waitAction); ok {
			assert.Assert(b.t, w.until > b.now, "a wait that is over")
			return w.until
		}
		b.lease.perform(b.t.Context(), a)
	}
	b.t.Fatal("the lease makes calls without end")
	return 0
}

// run lets time pass, with steps at the times that the lease waits for.
func (b *bench) run(d time.Duration) {
	end := b.now + d
	for {
		until := b.settle()
		if until > end {
			b.now = end
			return
		}
		b.now = until
	}
}

// held returns the token, or zero if the daemon may not act.
func (b *bench) held() uint64 {
	t, ok := b.lease.Held()
	assert.Equal(b.t, ok, b.lease.Valid() > 0)
	return t.Token
}

// other returns a store whose record another daemon has just written.
func other(token uint64) *fakeStore {
	return &fakeStore{record: Record{Holder: "b", Process: 5, Token: token, Renewal: 9}, version: 40}
}
