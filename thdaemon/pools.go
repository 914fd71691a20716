package thdaemon

import (
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// removedPoolLifetime is how long a removed pool stays usable. A call that matched
// a route of an earlier version may choose its backend server, or another one for a
// retry, after the version has changed.
const removedPoolLifetime = 10 * time.Second

// usablePools holds the tables for the balancer: those of the version that takes
// effect next, extended by recently removed pools.
type usablePools struct {
	tables  *thconfig.Tables // nil before the first version
	removed map[string]removedPool
}

// removedPool is a removed pool and the time up to which it stays usable.
type removedPool struct {
	pool   thconfig.Pool
	expiry time.Time
}

// setTables replaces the tables by those of the next version and keeps the pools
// that it removes until removedPoolLifetime has passed.
func (p *usablePools) setTables(t *thconfig.Tables, now time.Time) {
	removed := map[string]removedPool{}
	for name, r := range p.removed {
		if _, found := t.Pool(name); !found && now.Before(r.expiry) {
			removed[name] = r
		}
	}
	if p.tables != nil {
		for _, pool := range p.tables.Pools {
			_, found := t.Pool(pool.Name)
			if _, kept := removed[pool.Name]; !found && !kept && p.removed[pool.Name].expiry.IsZero() {
				removed[pool.Name] = removedPool{pool, now.Add(removedPoolLifetime)}
			}
		}
	}
	usable := *t
	usable.Pools = slices.Clone(t.Pools)
	for _, r := range removed {
		usable.Pools = append(usable.Pools, r.pool)
	}
	slices.SortFunc(usable.Pools, func(a, b thconfig.Pool) int { return strings.Compare(a.Name, b.Name) })
	p.tables, p.removed = &usable, removed
}
