package thdaemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Guards against a removed pool that is missing for calls in progress, one that is
// never dropped, and one that hides a new pool of the same name.
func TestRemovedPoolStaysUsable(t *testing.T) {
	tables := func(pools ...thconfig.Pool) *thconfig.Tables { return &thconfig.Tables{Pools: pools} }
	a, b := thconfig.Pool{Name: "a", Version: "1"}, thconfig.Pool{Name: "b", Version: "1"}
	now := time.Unix(1000, 0)
	var p usablePools
	p.setTables(tables(a, b), now)
	p.setTables(tables(b), now)
	assert.DeepEqual(t, p.tables.Pools, []thconfig.Pool{a, b})
	p.setTables(tables(b), now.Add(removedPoolLifetime-1))
	assert.DeepEqual(t, p.tables.Pools, []thconfig.Pool{a, b})
	p.setTables(tables(b), now.Add(removedPoolLifetime))
	assert.DeepEqual(t, p.tables.Pools, []thconfig.Pool{b})
	p.setTables(tables(b), now.Add(2*removedPoolLifetime))
	assert.DeepEqual(t, p.tables.Pools, []thconfig.Pool{b})
	p.setTables(tables(a), now.Add(3*removedPoolLifetime))
	next := thconfig.Pool{Name: "b", Version: "2"}
	p.setTables(tables(next), now.Add(3*removedPoolLifetime))
	assert.DeepEqual(t, p.tables.Pools, []thconfig.Pool{a, next})
}
