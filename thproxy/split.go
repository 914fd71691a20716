package thproxy

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// splits hands out the pools of split routes in turn by weight, so that the
// shares are near the weights within few calls. The zero value works.
type splits struct{ byRoute sync.Map }

// split is the state of one route. Each part collects its weight with each
// call, and the one that has collected most is taken and pays the sum.
type split struct {
	mutex sync.Mutex
	parts []thconfig.Part
	saved []int
}

// next returns the pool of the next call of a split route.
func (s *splits) next(r *thconfig.Route) string {
	v, ok := s.byRoute.Load(r.Name)
	if !ok {
		v, _ = s.byRoute.LoadOrStore(r.Name, &split{})
	}
	return v.(*split).next(r.Split)
}

func (s *split) next(parts []thconfig.Part) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, p := range parts {
		total += p.Weight
	}
	if !slices.Equal(s.parts, parts) {
		s.parts, s.saved = parts, make([]int, len(parts))
		// The daemons begin at different places, so that their first calls do not
		// all go to the part with the largest weight.
		for i := range s.saved {
			s.saved[i] = rand.IntN(total)
		}
	}
	best := -1
	for i, p := range parts {
		s.saved[i] += p.Weight
		if p.Weight > 0 && (best < 0 || s.saved[i] > s.saved[best]) {
			best = i
		}
	}
	s.saved[best] -= total
	return parts[best].Pool
}
