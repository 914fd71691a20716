// Package thmemory provides in-memory fakes of the platform's table service and object
// store for tests, with fault injection.
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

// Faults defines the faults that a fake injects. The zero value injects none.
type Faults struct {
	Fail  bool          // requests fail with kind Down and have no effect
	Delay time.Duration // delay before each request
	Lost  bool          // writes take effect but fail with kind Unknown
	Rate  float64       // requests per second, above which they fail with kind Limited; zero means no limit
}

// Counts holds the number of requests that a fake received.
type Counts struct{ Reads, Writes uint64 }

// FaultInjector applies the current faults to requests and counts the requests. The
// zero value injects no faults.
type FaultInjector struct {
	Clock clockwork.Clock

	mutex   sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	counts  Counts
}

// SetFaults replaces the faults for later requests.
func (fi *FaultInjector) SetFaults(f Faults) {
	fi.mutex.Lock()
	defer fi.mutex.Unlock()
	fi.faults, fi.limiter = f, nil
	if f.Rate > 0 {
		fi.limiter = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate)))
	}
}

// Faults returns the current faults.
func (fi *FaultInjector) Faults() Faults {
	fi.mutex.Lock()
	defer fi.mutex.Unlock()
	return fi.faults
}

// Counts returns the number of requests since the fake was created.
func (fi *FaultInjector) Counts() Counts {
	fi.mutex.Lock()
	defer fi.mutex.Unlock()
	return fi.counts
}

// BeforeRequest counts a request and applies the faults that precede its effect. It
// returns true if the caller must drop the response to a write after its effect.
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

var errResponseLost = errors.New("response lost on demand")

// requestError wraps err in the kind of a request without a response: Unknown for
// writes, Down for reads.
func requestError(write bool, err error) error {
	if write {
		return therror.Wrap(therror.Unknown, err, "write")
	}
	return therror.Wrap(therror.Down, err, "read")
}
