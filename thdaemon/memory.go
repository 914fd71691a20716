package thdaemon

import (
	"os"
	"runtime/debug"

	"github.com/turmerichaven/turmerichaven/thsettings"
)

// tuneMemory sets the targets of the garbage collector for this process, unless
// the environment does.
func tuneMemory(s thsettings.MemorySettings) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(s.Growth)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(s.Limit))
	}
}
