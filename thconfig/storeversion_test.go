package thconfig

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Guards against a version of an earlier generation that counts as newer, and against
// numbers that overflow into the generation.
func TestStoreVersionOrder(t *testing.T) {
	first, err := StoreVersion(0, maxStoreNumber)
	assert.NilError(t, err)
	later, err := StoreVersion(1, 1)
	assert.NilError(t, err)
	assert.Assert(t, later > first)
	assert.Equal(t, Generation(first), uint64(0))
	assert.Equal(t, Generation(later), uint64(1))
	_, err = StoreVersion(0, maxStoreNumber+1)
	assert.Assert(t, therror.Is(err, therror.Bad))
	_, err = StoreVersion(maxGeneration+1, 0)
	assert.Assert(t, therror.Is(err, therror.Bad))
}
