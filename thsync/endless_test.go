package thsync

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// partOfTables returns a part of tables with routes of about 20 KB. It is not the last one.
func partOfTables(number int) thconfig.Tables {
	long := strings.Repeat("x", 100)
	t := thconfig.Tables{Version: 1 << 30}
	for i := range 100 {
		t.Routes = append(t.Routes, thconfig.Route{Name: fmt.Sprint(long, number, "-", i), Host: long})
	}
	return t
}

// Guards against a daemon that keeps the parts of tables which another one sends without end.
func TestEndlessPartsOfTablesAreDropped(t *testing.T) {
	followers, _ := newFollowers(t, nil, "a", "b")
	f := followers[0]
	var r repair
	refused := 0
	part := partOfTables(0)
	for i := range 3 * maxReceivedBytes / part.Msgsize() {
		part := partOfTables(i)
		payload, err := (&thwire.Batch{Tables: &part}).MarshalMsg(nil)
		assert.NilError(t, err)
		f.handleBatch("b", payload)
		f.mutex.Lock()
		assert.Assert(t, f.partial.Msgsize() <= maxReceivedBytes)
		f.mutex.Unlock()
		if i%20 == 0 { // adding a part sorts all of them
			_, err = r.join("b", thconfig.Tables{Version: part.Version, Routes: repeatRoutes(part, 20)})
			assert.Assert(t, r.partial.Msgsize() <= maxReceivedBytes)
			if err != nil {
				refused++
			}
		}
	}
	assert.Assert(t, refused > 0)
}

// repeatRoutes returns the routes of a part, several times under other names.
func repeatRoutes(part thconfig.Tables, times int) []thconfig.Route {
	var all []thconfig.Route
	for i := range times {
		for _, r := range part.Routes {
			r.Name += fmt.Sprint("/", i)
			all = append(all, r)
		}
	}
	return all
}
