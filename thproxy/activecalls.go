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
	byID  map[string]*activeCall
}

// activeCall is a call in progress at the backend server.
type activeCall struct {
	mutex     sync.Mutex
	retry     bool // an earlier attempt of the call may have run
	responses int  // calls that it made and that were answered
}

// add adds a call. The function returned takes it out.
func (s *ActiveCalls) add(id string, o *thwire.Open) func() {
	if s == nil || id == "" {
		return func() {}
	}
	n := &activeCall{retry: o.Again}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byID == nil {
		s.byID = map[string]*activeCall{}
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
func (s *ActiveCalls) parent(id, mark string) *activeCall {
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

// hasResponses reports whether the run has got answers to calls before, which are
// wasted if a further one fails.
func (r *activeCall) hasResponses() bool {
	if r == nil {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.responses > 0
}

// isRetry reports whether the run repeats an earlier one.
func (r *activeCall) isRetry() bool { return r != nil && r.retry }

// countResponse counts an answer.
func (r *activeCall) countResponse() {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.responses++
}
