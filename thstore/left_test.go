package thstore

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thmemory"
)

// Guards against an instance whose end is lost, and one that is held for gone
// for ever.
func TestLeftInstance(t *testing.T) {
	clock := clockwork.NewRealClock()
	s := &Store{Table: &thmemory.Table{}, Clock: clock}
	born := time.UnixMilli(1_700_000_000_000)
	_, found, err := s.Left(t.Context(), "i-1")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	assert.NilError(t, s.Leave(t.Context(), "i-1", born))
	assert.NilError(t, s.Leave(t.Context(), "i-1", born))
	got, found, err := s.Left(t.Context(), "i-1")
	assert.NilError(t, err)
	assert.Assert(t, found && got.Equal(born))
	assert.ErrorContains(t, s.Leave(t.Context(), "", born), "needs an id")
}
