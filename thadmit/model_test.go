package thadmit

import (
	"container/list"
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// model performs the steps of Enter one by one, so that rapid can generate every
// interleaving of admission, timeout, cancellation, SetClosed and Done.
type model struct {
	gate    *Gate
	clock   *clockwork.FakeClock
	waiting []*list.Element
	passes  []*Pass
}

// held returns the number of admitted calls, including queued calls that were
// admitted but haven't noticed it yet.
func (m *model) held() int {
	n := len(m.passes)
	for _, e := range m.waiting {
		w := e.Value.(*waiter)
		select {
		case <-w.done:
			if w.err == nil {
				n++
			}
		default:
		}
	}
	return n
}

func (m *model) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1, 2, 3:
		e, err := m.gate.tryEnter()
		switch {
		case e != nil:
			m.waiting = append(m.waiting, e)
		case err == nil:
			m.passes = append(m.passes, &Pass{gate: m.gate})
		}
	case 4, 5:
		m.end(t)
	case 6:
		m.endWait(t)
	case 7:
		m.clock.Advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
	case 8:
		m.gate.SetReportedLoad(rapid.IntRange(0, 50).Draw(t, "load"))
	case 9:
		m.gate.SetClosed(rapid.SampledFrom([]therror.Kind{"", "", therror.Leaving}).Draw(t, "reason"))
		if rapid.Bool().Draw(t, "restart") {
			m.gate.SetServer(&thwire.Server{Slots: m.gate.limiter.slots, State: thwire.ServerStarting})
			m.gate.SetServer(&thwire.Server{Slots: m.gate.limiter.slots, State: thwire.ServerReady})
		}
	}
}

func (m *model) end(t *rapid.T) {
	if len(m.passes) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.passes)-1).Draw(t, "pass")
	p := m.passes[i]
	m.passes = append(m.passes[:i:i], m.passes[i+1:]...)
	if rapid.Bool().Draw(t, "release") {
		p.Release()
	}
	p.Done(time.Duration(rapid.IntRange(0, 60).Draw(t, "latency"))*time.Millisecond, rapid.Bool().Draw(t, "ok"))
}

// endWait ends the wait of a queued call by cancellation or by the maximum wait.
func (m *model) endWait(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiter")
	e := m.waiting[i]
	m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
	var cause error
	if rapid.Bool().Draw(t, "cancel") {
		cause = contextError(context.Canceled)
	}
	if m.gate.abandon(e, cause) == nil {
		m.passes = append(m.passes, &Pass{gate: m.gate})
	}
}

// Guards against passes beyond the limit, a limit outside 1 to slots, a queue longer
// than slots, and passes that are lost or counted twice in any interleaving.
func TestGateKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SampledFrom([]int{1, 2, 5, 20}).Draw(t, "slots")
		m := &model{clock: clockwork.NewFakeClock()}
		m.gate = &Gate{Slots: slots, Clock: m.clock}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			before := m.gate.Load().Active
			m.step(t)
			l := m.gate.Load()
			switch {
			case l.Limit < 1 || l.Limit > slots:
				t.Fatalf("limit out of range: %+v", l)
			case l.Active > before && l.Active > l.Limit:
				t.Fatalf("admitted beyond the limit: %+v", l)
			case l.Active != m.held():
				t.Fatalf("%d passes are held, the gate counts %+v", m.held(), l)
			case l.Queued > slots:
				t.Fatalf("queue too long: %+v", l)
			// After a load report expires, queued calls are admitted only by the next Done.
			case l.Queued > 0 && l.Active < l.Limit && m.gate.externalCalls == 0:
				t.Fatalf("calls are queued below the limit: %+v", l)
			}
		}
	})
}
