package thadmit

// usualSlowdown is the slowdown, in percent, at which work takes the usual time.
const usualSlowdown = 100

// SetSlowdown adopts the time that work takes at the moment, in percent of the usual time, as the
// backend server has reported it. Zero means that the report doesn't state it.
func (s *Scheduler) SetSlowdown(percent int) {
	s.slowdown.Store(int64(percent))
}

// statedSlowdown returns the slowdown to advertise; zero while work takes the usual time.
func (s *Scheduler) statedSlowdown() int {
	if n := s.slowdown.Load(); n > usualSlowdown {
		return int(n)
	}
	return 0
}
