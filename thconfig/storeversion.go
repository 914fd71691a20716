package thconfig

import (
	"strconv"

	"github.com/turmerichaven/turmerichaven/therror"
)

// A store may come back from a copy: it then gives versions out again, and its
// generation rises. Version numbers of the configuration combine both, with the
// generation in the upper bits, so that a later generation is newer.
const (
	storeNumberBits = 44 // 1,000 writes a second for 500 years
	maxGeneration   = 1<<(64-storeNumberBits) - 1
	maxStoreNumber  = 1<<storeNumberBits - 1
)

// StoreVersion combines the generation of a store with a version of that generation. The
// error is of kind Bad if one of them is too large.
func StoreVersion(generation, number uint64) (uint64, error) {
	if generation > maxGeneration || number > maxStoreNumber {
		return 0, therror.New(therror.Bad, "generation %d or version %d of the store is too large", generation, number)
	}
	return generation<<storeNumberBits | number, nil
}

// Generation returns the generation of a version returned by StoreVersion.
func Generation(version uint64) uint64 { return version >> storeNumberBits }

// StoreNumber returns the version of the generation of a version returned by StoreVersion.
func StoreNumber(version uint64) uint64 { return version & maxStoreNumber }

// VersionText returns a version as text: its number, after the generation and a dot if
// that is above zero.
func VersionText(version uint64) string {
	number := strconv.FormatUint(StoreNumber(version), 10)
	if g := Generation(version); g > 0 {
		return strconv.FormatUint(g, 10) + "." + number
	}
	return number
}
