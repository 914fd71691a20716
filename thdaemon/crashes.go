package thdaemon

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/turmerichaven/turmerichaven/thcrash"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Timing of the stored crash records.
const (
	// crashStoreDelay is the delay until a record is stored. By then further crashes may show
	// that another request caused them.
	crashStoreDelay        = 500 * time.Millisecond
	crashStoreTimeout      = 2 * time.Second // of one call
	crashStoreRetries      = 5
	crashRetryDelay        = 2 * time.Second // doubled by each retry, plus up to half as jitter
	maxWaitingCrashRecords = 16
	// crashReadDelay is the delay of the read at start, for the fleet to be found.
	crashReadDelay = 500 * time.Millisecond
	// minHolderAge is how long before this daemon another one must have started to hold the
	// records. Daemons that restart together differ by less.
	minHolderAge = 10 * time.Second
)

// crashStore keeps the records of quarantined requests in the store, for a restart of all
// daemons at the same moment. Otherwise daemons that start get them from the others.
type crashStore struct {
	*Daemon
	waiting chan thwire.CrashRecord // records to store, of requests that were quarantined or released
}

// offer has a record stored in the background. It drops the record when many are waiting.
func (c *crashStore) offer(r thwire.CrashRecord) {
	select {
	case c.waiting <- r:
	default:
		c.Log.Warn("crash record not stored, too many are waiting", "fingerprint", hex.EncodeToString([]byte(r.Request)))
	}
}

// run reads the stored records if needed, and then stores those that are offered until ctx
// ends.
func (c *crashStore) run(ctx context.Context) {
	if c.Settings.Daemon.Bootstrap != "true" && c.wait(ctx, crashReadDelay) && !c.heldByOthers() {
		c.retry(ctx, "read crash records", c.read)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.waiting:
			if !c.wait(ctx, crashStoreDelay) {
				return
			}
			if state, _ := c.crashes.State(r.Request); state == thcrash.Quarantined || len(r.Crashes) == 0 {
				c.retry(ctx, "store a crash record", func(ctx context.Context) error { return c.write(ctx, r) })
			}
		}
	}
}

// heldByOthers reports whether a live member started so long before this daemon that it holds
// the records.
func (c *crashStore) heldByOthers() bool {
	self := c.node.Self().Incarnation
	for _, m := range c.node.View().Alive() {
		if m.Incarnation+uint64(minHolderAge) < self {
			return true
		}
	}
	return false
}

func (c *crashStore) read(ctx context.Context) error {
	bodies, err := c.platform.CrashRecords(ctx)
	if err != nil {
		return err
	}
	for _, b := range bodies {
		var r thwire.CrashRecord
		if err := thwire.Decode(b, &r); err != nil {
			c.Log.Warn("ignoring corrupt crash record", "error", err)
			continue
		}
		c.node.MergeCrashRecord(r)
	}
	c.Log.Info("crash records read from the store", "records", len(bodies))
	return nil
}

func (c *crashStore) write(ctx context.Context, r thwire.CrashRecord) error {
	body, err := r.MarshalMsg(nil)
	if err != nil {
		return err
	}
	return c.platform.PutCrashRecord(ctx, hex.EncodeToString([]byte(r.Request)), body, thcrash.Expiry(r))
}

// retry calls f until it succeeds, crashStoreRetries times at most.
func (c *crashStore) retry(ctx context.Context, what string, f func(context.Context) error) {
	delay := crashRetryDelay
	for attempt := 1; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, crashStoreTimeout)
		err := f(callCtx)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		c.Log.Warn("failed to "+what, "attempt", attempt, "error", err)
		if attempt >= crashStoreRetries || !c.wait(ctx, delay+rand.N(delay/2)) {
			return
		}
		delay *= 2
	}
}
