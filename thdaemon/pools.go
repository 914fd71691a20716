package thdaemon

import (
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// removedPoolLifetime is how long a removed pool stays usable: a call that was matched
// to a route at an earlier version chooses its backend server, perhaps again for
// a retry, after the version has changed.
const removedPoolLifetime = 10 * time.Second

// usablePools keeps the tables for the balancer: those of the version that takes
// effect next, with the pools removed a short time ago.
type usablePools struct {
	tables  *thconfig.Tables // nil before the first version
	removed map[string]removedPool
}

type removedPool struct {
	pool  thconfig.Pool
	until time.Time
}

// setTables prepares for the tables of the next version.
func (p *usablePools) setTables(t *thconfig.Tables, now time.Time) {
	removed := map[string]removedPool{}
	for name, r := range p.removed {
		if _, found := t.Pool(name); !found && now.Before(r.until) {
			removed[name] = r
		}
	}
	if p.tables != nil {
		for _, o := range p.tables.Pools {
			_, found := t.Pool(o.Name)
			if _, kept := removed[o.Name]; !found && !kept && p.removed[o.Name].until.IsZero() {
				removed[o.Name] = removedPool{o, now.Add(removedPoolLifetime)}
			}
		}
	}
	n := *t
	n.Pools = slices.Clone(t.Pools)
	for _, r := range removed {
		n.Pools = append(n.Pools, r.pool)
	}
	slices.SortFunc(n.Pools, func(a, b thconfig.Pool) int { return strings.Compare(a.Name, b.Name) })
	p.tables, p.removed = &n, removed
}
