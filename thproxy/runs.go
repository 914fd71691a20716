package thproxy

import (
	"strings"
	"sync"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// ActiveCalls knows the calls in progress at the backend server beside a daemon, so that
// the calls that it makes for them can be told from new ones. The zero value
// works; one Runs belongs to the Target and the Ingress of a daemon.
type ActiveCalls struct {
	mutex sync.Mutex
	byID  map[string]*run
}

// run is a call in progress at the backend server.
type run struct {
	mutex    sync.Mutex
	again    bool // an earlier attempt of the call may have run
	answered int  // calls that it made and that were answered
}

// begin adds a call. The function returned takes it out.
func (s *ActiveCalls) begin(id string, o *thwire.Open) func() {
	if s == nil || id == "" {
		return func() {}
	}
	n := &run{again: o.Again}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byID == nil {
		s.byID = map[string]*run{}
	}
	s.byID[id] = n
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.byID[id] == n {
			delete(s.byID, id)
		}
	}
}

// parent returns the run that made a call, or nil. The mark is Headers.Child.
func (s *ActiveCalls) parent(id, mark string) *run {
	if s == nil || mark == "" {
		return nil
	}
	end := strings.LastIndex(id, mark)
	if end <= 0 {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id[:end]]
}

// begun reports whether the run has got answers to calls before, which are
// wasted if a further one fails.
func (r *run) begun() bool {
	if r == nil {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.answered > 0
}

// repeated reports whether the run repeats an earlier one.
func (r *run) repeated() bool { return r != nil && r.again }

// count counts an answer.
func (r *run) count() {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.answered++
}
