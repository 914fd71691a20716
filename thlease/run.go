package thlease

import (
	"context"

	"github.com/jonboulle/clockwork"
)

// stopCalls is the number of store calls after which a stopping daemon leaves its record to
// expire: a write whose version was wrong, a read and a second write.
const stopCalls = 3

// run performs the machine's actions until ctx ends, and then releases the duty.
func (l *Lease) run(ctx context.Context) {
	defer close(l.done)
	// A call under way is completed: its outcome is needed for the release.
	calls := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		a := l.next()
		w, ok := a.(waitAction)
		if !ok {
			l.perform(calls, a)
			continue
		}
		timer := l.Clock.NewTimer(w.until - l.Elapsed())
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-timer.Chan():
		}
		timer.Stop()
	}
	l.stop()
	for range stopCalls {
		a := l.next()
		if _, ok := a.(waitAction); ok {
			return
		}
		l.perform(calls, a)
	}
}

// perform makes a call of the store.
func (l *Lease) perform(ctx context.Context, a action) {
	ctx, cancel := clockwork.WithTimeout(ctx, l.Clock, l.Duration/callPart)
	defer cancel()
	switch a := a.(type) {
	case waitAction:
	case readAction:
		var s stored
		var err error
		s.record, s.version, s.rows, err = l.Store.Read(ctx)
		l.readDone(s, err)
	case writeAction:
		version, err := l.Store.Replace(ctx, a.version, a.record, a.rows...)
		l.writeDone(version, err)
	}
}

// next asks the machine for the next action, and reports what has changed before it.
func (l *Lease) next() action {
	rank := 0
	if l.Rank != nil {
		rank = l.Rank()
	}
	l.mutex.Lock()
	a := l.machine.next(l.Elapsed(), rank)
	events := l.takeEvents()
	l.mutex.Unlock()
	l.report(events)
	return a
}

func (l *Lease) readDone(s stored, err error) {
	l.mutex.Lock()
	l.machine.readDone(l.Elapsed(), s, err)
	events := l.takeEvents()
	l.mutex.Unlock()
	if err != nil {
		l.Log.Debug("read of the holder failed", "error", err)
	}
	l.report(events)
}

func (l *Lease) writeDone(version uint64, err error) {
	l.mutex.Lock()
	l.machine.writeDone(l.Elapsed(), version, err)
	events := l.takeEvents()
	l.mutex.Unlock()
	if err != nil {
		l.Log.Debug("write of the holder failed", "error", err)
	}
	l.report(events)
}

// stop ends the tenure for good.
func (l *Lease) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.machine.yield(l.Elapsed(), 0, "stopped")
	l.machine.stopped = true
}

// takeEvents removes the machine's events. Those who wait for a release are informed.
func (l *Lease) takeEvents() []event {
	if !l.machine.releasing() {
		for _, c := range l.released {
			close(c)
		}
		l.released = nil
	}
	events := l.machine.events
	l.machine.events = nil
	return events
}

// report logs events and calls OnStart and OnEnd.
func (l *Lease) report(events []event) {
	for _, e := range events {
		switch e := e.(type) {
		case startEvent:
			l.Log.Info("became holder of the duty", "name", l.Name, "token", e.record.Token, "reason", e.reason)
			t := Tenure{Token: e.record.Token, Start: l.Clock.Now()}
			l.mutex.Lock()
			l.tenure = t
			l.mutex.Unlock()
			if l.OnStart != nil {
				l.OnStart(t, e.record, e.rows)
			}
			l.mutex.Lock()
			l.machine.activate(t.Token)
			l.mutex.Unlock()
		case endEvent:
			l.Log.Info("no longer holder of the duty", "name", l.Name, "token", e.token, "next", e.holder, "reason", e.reason)
			if l.OnEnd != nil {
				l.OnEnd(l.tenure)
			}
		case lapseEvent:
			l.Log.Warn("lease of the duty has expired without a renewal", "name", l.Name, "token", e.token)
		}
	}
}
