package thproxy

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// routeSplits chooses the pools of split routes by smooth weighted round-robin, so
// that the traffic fractions come close to the weights within few calls. The zero
// value is ready to use.
type routeSplits struct{ byRoute sync.Map }

// weightedSplit is the round-robin state of one route. Each call adds the weight of
// every part to its current weight. The part with the largest current weight is
// chosen, and the sum of all weights is subtracted from it.
type weightedSplit struct {
	mutex          sync.Mutex
	parts          []thconfig.WeightedPool
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

func (s *weightedSplit) nextPool(parts []thconfig.WeightedPool) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, p := range parts {
		total += p.Weight
	}
	if !slices.Equal(s.parts, parts) {
		s.parts, s.currentWeights = parts, make([]int, len(parts))
		// Random initial weights, so that the first calls of all daemons do not go to
		// the part with the largest weight.
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
