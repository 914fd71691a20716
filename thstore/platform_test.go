package thstore_test

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thdynamo"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/ths3"
	"github.com/turmerichaven/turmerichaven/thstandin"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// open returns a store configured as in an operator's command, with guards in
// front of the adapters.
func open(url string) *thstore.Store {
	return &thstore.Store{
		Table:   &thplatform.GuardedTable{Table: thdynamo.New(thdynamo.Settings{Endpoint: url, Table: "t", Region: "x", AccessKey: "a", Secret: "s"})},
		Objects: &thplatform.GuardedObjects{Objects: ths3.New(ths3.Settings{Endpoint: url, Bucket: "b", Region: "x", AccessKey: "a", Secret: "s"})},
	}
}

// Guards against details of the HTTP protocol, or retries of the guard, that break
// the commit protocol between two concurrent commands, with and without lost
// responses.
func TestCommitsOverHTTP(t *testing.T) {
	platform := &thstandin.Platform{}
	server := httptest.NewServer(platform)
	defer server.Close()
	for _, lost := range []bool{false, true} {
		assert.NilError(t, platform.SetFaults(thstandin.Faults{Table: &thstandin.Fault{Lost: lost}}))
		var group sync.WaitGroup
		for o := range 2 {
			group.Go(func() {
				s := open(server.URL)
				for n := range 4 {
					name := fmt.Sprintf("p-%t-%d-%d", lost, o, n)
					_, err := s.Commit(t.Context(), propose(name, pool(name)))
					assert.Check(t, err)
				}
			})
		}
		group.Wait()
	}
	s := open(server.URL)
	tables, _, err := s.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, tables.Version, uint64(16))
	assert.Equal(t, len(tables.Pools), 16)
	// The commit of version 16 wrote the snapshot.
	before := platform.Status()
	restored, _, err := s.Restore(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, thconfig.Digest(restored), thconfig.Digest(tables))
	assert.Equal(t, platform.Status().Object.Reads, before.Object.Reads+1)
	assert.Equal(t, platform.Status().Table.Reads, before.Table.Reads+1)

	assert.NilError(t, platform.SetFaults(thstandin.Faults{Table: &thstandin.Fault{Fail: true}}))
	for range 3 {
		_, err = s.Commit(t.Context(), propose("last", pool("last")))
		assert.Assert(t, therror.Is(err, therror.Down), "%v", err)
	}
	assert.Equal(t, s.Table.(*thplatform.GuardedTable).Stats().Breaker, thplatform.BreakerOpen)
}
