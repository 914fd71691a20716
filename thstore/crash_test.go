package thstore

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thmemory"
)

// Guards against quarantined requests that the store forgets, and against ones that it returns
// after their expiry.
func TestCrashRecords(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &Store{Table: &thmemory.Table{}, Clock: clock}
	assert.NilError(t, s.PutCrashRecord(t.Context(), "a", []byte("one"), clock.Now().Add(time.Hour)))
	assert.NilError(t, s.PutCrashRecord(t.Context(), "a", []byte("two"), clock.Now().Add(time.Hour)))
	assert.NilError(t, s.PutCrashRecord(t.Context(), "b", []byte("three"), clock.Now().Add(2*time.Hour)))
	bodies, err := s.CrashRecords(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, bodies, [][]byte{[]byte("two"), []byte("three")})
	clock.Advance(time.Hour)
	bodies, err = s.CrashRecords(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, bodies, [][]byte{[]byte("three")})
	assert.ErrorContains(t, s.PutCrashRecord(t.Context(), strings.Repeat("x", 300), nil, clock.Now()), "name")
}
