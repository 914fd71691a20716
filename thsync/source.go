package thsync

import (
	"context"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Source is a store into which operators write their orders directly.
type Source interface {
	// Next returns the current orders. The first call, and the first one after
	// Reset, returns them immediately; later calls wait for a change and return nil
	// if there is none within wait. A request to the store fails if it has no response
	// within timeout, or within wait and timeout if it waits for a change.
	Next(ctx context.Context, wait, timeout time.Duration) (*thconfig.DesiredState, error)
	// Reset makes the next call of Next read all orders, not only changes.
	Reset()
}
