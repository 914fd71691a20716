package thproxy

import (
	"context"
	"slices"
	"sync"
)

// connSlots limits the connections in use at once. The zero value has no limit.
type connSlots struct {
	mutex   sync.Mutex
	limit   int // zero means none
	used    int
	waiting []chan struct{} // in the order of arrival; closed when a slot is passed on
}

// acquire waits for a slot. It returns false if ctx ends first.
func (s *connSlots) acquire(ctx context.Context) bool {
	s.mutex.Lock()
	if s.isFree() {
		s.used++
		s.mutex.Unlock()
		return true
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.mutex.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if i := slices.Index(s.waiting, granted); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return false
	}
	return true // granted at the same time
}

func (s *connSlots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used--
	s.grant()
}

// setLimit changes the limit. Slots in use stay in use.
func (s *connSlots) setLimit(limit int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = limit
	s.grant()
}

// unused returns the number of further connections that the limit allows; false without a
// limit.
func (s *connSlots) unused() (int, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(0, s.limit-s.used), s.limit > 0
}

func (s *connSlots) isFree() bool { return s.limit == 0 || s.used < s.limit }

// grant passes free slots on; the mutex is held.
func (s *connSlots) grant() {
	for len(s.waiting) > 0 && s.isFree() {
		s.used++
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}
