package thstore

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thmemory"
)

// Guards against a departure of an instance that is not stored, and against an
// instance without one that is reported as departed.
func TestInstanceDeparture(t *testing.T) {
	clock := clockwork.NewRealClock()
	s := &Store{Table: &thmemory.Table{}, Clock: clock}
	startTime := time.UnixMilli(1_700_000_000_000)
	_, found, err := s.Departure(t.Context(), "i-1")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	assert.NilError(t, s.RecordDeparture(t.Context(), "i-1", startTime))
	assert.NilError(t, s.RecordDeparture(t.Context(), "i-1", startTime))
	got, found, err := s.Departure(t.Context(), "i-1")
	assert.NilError(t, err)
	assert.Assert(t, found && got.Equal(startTime))
	assert.ErrorContains(t, s.RecordDeparture(t.Context(), "", startTime), "needs an id")
}
