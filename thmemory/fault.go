// Package thmemory holds in-memory fakes of the platform's table service and
// object store for tests, with switches for faults.
package thmemory

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

// Faults says how a fake misbehaves.
type Faults struct {
	Fail  bool          // every request gives kind Down and has no effect
	Delay time.Duration // before each request
	Lost  bool          // writes take effect and give kind Unknown
	Rate  float64       // requests per second before kind Limited; zero means no limit
}

// Counts counts the requests that a fake received.
type Counts struct{ Reads, Writes uint64 }

// FaultInjector holds the faults in force and the counters.
type FaultInjector struct {
	Clock clockwork.Clock

	mutex   sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	counts  Counts
}

// SetFaults replaces the faults.
func (fi *FaultInjector) SetFaults(f Faults) {
	fi.mutex.Lock()
	defer fi.mutex.Unlock()
	fi.faults, fi.limiter = f, nil
	if f.Rate > 0 {
		fi.limiter = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate)))
	}
}

// Faults returns the faults in force.
func (fi *FaultInjector) Faults() Faults {
	fi.mutex.Lock()
	defer fi.mutex.Unlock()
	return fi.faults
}

// Counts returns the number of requests since the start.
func (fi *FaultInjector) Counts() Counts {
	fi.mutex.Lock()
	defer fi.mutex.Unlock()
	return fi.counts
}

// BeforeRequest counts a request and applies the faults that come before its effect.
// It reports whether the answer to a write is to be lost.
func (fi *FaultInjector) BeforeRequest(ctx context.Context, write bool) (bool, error) {
	clock := thclock.OrSystem(fi.Clock)
	fi.mutex.Lock()
	if write {
		fi.counts.Writes++
	} else {
		fi.counts.Reads++
	}
	f := fi.faults
	throttled := fi.limiter != nil && !fi.limiter.AllowN(clock.Now(), 1)
	fi.mutex.Unlock()
	if f.Delay > 0 {
		t := clock.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.Chan():
		case <-ctx.Done():
			return false, requestError(write, ctx.Err())
		}
	}
	switch {
	case f.Fail:
		return false, therror.New(therror.Down, "platform fails on demand")
	case throttled:
		return false, therror.New(therror.Limited, "platform throttles on demand")
	}
	return f.Lost && write, nil
}

var errResponseLost = errors.New("answer lost on demand")

func requestError(write bool, err error) error {
	if write {
		return therror.Wrap(therror.Unknown, err, "write")
	}
	return therror.Wrap(therror.Down, err, "read")
}
