package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// caseWithdrawn: the operator orders a new version, which is bad, and removes the order three seconds
// later. Then all processes are killed at the same moment.
func caseWithdrawn(f *fleet, trouble bool) (int, error) {
	old, err := f.startOld()
	if err != nil {
		return failed, err
	}
	c := &clients{fleet: f}
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	c.load(ctx, old, 25*time.Millisecond, func(m *machine) {
		c.call(m, "GET", hostView, fmt.Sprintf("%sv%d", pathView, c.number.Load()), nil, 2*time.Second)
	})
	if err := sleep(ctx, 4*time.Second); err != nil {
		return failed, err
	}
	ordered := time.Now()
	f.order("v2")
	bad, err := f.startVersion("v2", 0.2)
	if err != nil {
		return failed, err
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return failed, err
	}
	f.store.rows.Put("op", "", "rollout/"+serviceView, nil)
	f.record.say("the operator has removed the order")
	if trouble {
		killed := time.Now()
		if _, err := f.killAll(ctx); err != nil {
			return failed, err
		}
		for _, m := range f.machines {
			m.leaveTouch(killed, time.Now().Add(contactTime))
		}
		for id := range bad {
			bad[id] = time.Now()
		}
	}
	if err := sleep(ctx, time.Until(ordered.Add(rolloutTime))); err != nil {
		return failed, err
	}
	stop()
	c.group.Wait()
	total, exposed := c.exposure(ordered, bad)
	wrong := 0
	for _, a := range c.answers {
		if a.status == http.StatusInternalServerError {
			wrong++
		}
	}
	allowed := exposeShare*float64(total) + exposeSlack
	f.record.say("the bad version got %d of %d requests from machines in touch, %.0f are allowed; clients got %d of its failures", exposed, total, allowed, wrong)
	if float64(exposed) > allowed {
		f.record.say("broken: EXPOSURE")
		return broken, nil
	}
	f.record.say("held")
	return held, nil
}
