package thdaemon

import (
	"os"
	"runtime/debug"

	"github.com/turmerichaven/turmerichaven/thsettings"
)

// tuneMemory sets the garbage collector's growth percentage and memory limit.
// GOGC and GOMEMLIMIT in the environment take precedence.
func tuneMemory(s thsettings.MemorySettings) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(s.Growth)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(s.Limit))
	}
}
