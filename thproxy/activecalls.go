package thproxy

import (
	"strings"
	"sync"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// ActiveCalls tracks the calls in progress at the local backend server, so that the
// ingress can recognise the nested calls that the server makes for them. The Target
// and the Ingress of a daemon share one ActiveCalls. The zero value is ready to use;
// a nil *ActiveCalls tracks nothing.
type ActiveCalls struct {
	mutex sync.Mutex
	byID  map[string]*activeCall
}

// activeCall is a call in progress at the backend server. A nil *activeCall means
// that a call is not nested.
type activeCall struct {
	mutex     sync.Mutex
	retry     bool   // an earlier attempt of the call may have run
	account   string // of the call, and of its nested calls
	rank      int    // priority of the account
	responses int    // successful responses to its nested calls
}

// add adds a call and returns a function that removes it. If the ID is added again,
// the earlier function does not remove the later call.
func (s *ActiveCalls) add(id string, o *thwire.Open) func() {
	if s == nil || id == "" {
		return func() {}
	}
	a := &activeCall{retry: o.Again, account: o.Account, rank: o.Rank}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byID == nil {
		s.byID = map[string]*activeCall{}
	}
	s.byID[id] = a
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.byID[id] == a {
			delete(s.byID, id)
		}
	}
}

// parent returns the active call that made the nested call id, or nil. The
// separator is Headers.ChildSeparator.
func (s *ActiveCalls) parent(id, separator string) *activeCall {
	if s == nil || separator == "" {
		return nil
	}
	end := strings.LastIndex(id, separator)
	if end <= 0 {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id[:end]]
}

// hasResponses reports whether the call has got responses to nested calls. Their
// work is wasted if a further nested call fails.
func (a *activeCall) hasResponses() bool {
	if a == nil {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.responses > 0
}

// isRetry reports whether an earlier attempt of the call may have run.
func (a *activeCall) isRetry() bool { return a != nil && a.retry }

// countResponse counts a successful response to a nested call.
func (a *activeCall) countResponse() {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.responses++
}
