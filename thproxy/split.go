package thproxy

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// routeSplits hands out the pools of split routes in turn by weight, so that the
// shares are near the weights within few calls. The zero value works.
type routeSplits struct{ byRoute sync.Map }

// weightedSplit is the state of one route. Each part collects its weight with each
// call, and the one that has collected most is taken and pays the sum.
type weightedSplit struct {
	mutex          sync.Mutex
	parts          []thconfig.Part
	currentWeights []int
}

// nextPool returns the pool of the next call of a split route.
func (s *routeSplits) nextPool(r *thconfig.Route) string {
	v, ok := s.byRoute.Load(r.Name)
	if !ok {
		v, _ = s.byRoute.LoadOrStore(r.Name, &weightedSplit{})
	}
	return v.(*weightedSplit).nextPool(r.Split)
}

func (s *weightedSplit) nextPool(parts []thconfig.Part) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, p := range parts {
		total += p.Weight
	}
	if !slices.Equal(s.parts, parts) {
		s.parts, s.currentWeights = parts, make([]int, len(parts))
		// The daemons begin at different places, so that their first calls do not
		// all go to the part with the largest weight.
		for i := range s.currentWeights {
			s.currentWeights[i] = rand.IntN(total)
		}
	}
	best := -1
	for i, p := range parts {
		s.currentWeights[i] += p.Weight
		if p.Weight > 0 && (best < 0 || s.currentWeights[i] > s.currentWeights[best]) {
			best = i
		}
	}
	s.currentWeights[best] -= total
	return parts[best].Pool
}
