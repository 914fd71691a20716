package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// The bounds of rollouts.
const (
	rolloutTime = 16 * time.Second
	exposeShare = 0.1
	exposeSlack = 50
)

// caseReplaced: right after a change of the configuration the operator orders a new version of a
// service, and replaces the order by one of the next version. The servers of both versions start. The
// first of the two is bad.
func caseReplaced(f *fleet, trouble bool) (int, error) {
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
	ordered, err := f.orderTwice(ctx, trouble)
	if err != nil {
		return failed, err
	}
	bad, err := f.startVersions(trouble)
	if err != nil {
		return failed, err
	}
	if err := sleep(ctx, time.Until(ordered.Add(rolloutTime))); err != nil {
		return failed, err
	}
	row, _ := f.store.rows.Row("status", "", "rollout/"+serviceView)
	f.record.say("deadline of the order of v2; the status is %s", row.Value)
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

// startOld starts three machines with servers of v1 and waits until they serve.
func (f *fleet) startOld() ([]*machine, error) {
	f.store.put("config", configuration(7, 1.2))
	var old []*machine
	for i, zone := range []string{"sapporo", "otaru", "ebetsu"} {
		m, err := f.addStarted(zone)
		if err != nil {
			return nil, err
		}
		if _, err := startUpstream(m, fmt.Sprintf("i-v1-%d", i), "v1", 100*time.Millisecond); err != nil {
			return nil, err
		}
		old = append(old, m)
	}
	if err := f.awaitReady(old, 15*time.Second); err != nil {
		return nil, err
	}
	f.serving = true
	return old, sleep(f.ctx, 8*time.Second)
}

// orderTwice changes the configuration and orders v2, unless it is left out, and then v3. It
// returns when the first of them was ordered.
func (f *fleet) orderTwice(ctx context.Context, both bool) (ordered time.Time, err error) {
	f.store.put("config", configuration(8, 1.2))
	f.record.say("the operator has changed the configuration")
	if err := sleep(ctx, 250*time.Millisecond); err != nil {
		return ordered, err
	}
	ordered = time.Now()
	if both {
		f.order("v2")
		if err := sleep(ctx, 300*time.Millisecond); err != nil {
			return ordered, err
		}
	}
	f.order("v3")
	return ordered, sleep(ctx, 2*time.Second)
}

// exposure returns the number of requests that were run between an order and its deadline, and how
// many of them were run by servers of the bad version. The latter leaves out those that were sent by or
// to machines that were not in touch.
func (c *clients) exposure(ordered time.Time, bad map[string]time.Time) (total, exposed int) {
	inTouch := map[string]bool{}
	for _, a := range c.answers {
		inTouch[a.id] = c.fleet.inTouch(a.machine, a.sent)
	}
	r := c.fleet.record
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, x := range r.runs {
		if x.at.Before(ordered) || x.at.After(ordered.Add(rolloutTime)) {
			continue
		}
		total++
		if started, isBad := bad[x.instance]; isBad && inTouch[x.id] && !x.at.Before(started.Add(contactTime)) {
			exposed++
		}
	}
	return total, exposed
}

// span is a time in which a machine is not in touch.
type span struct{ from, to time.Time }

// leaveTouch records that a machine was not in touch.
func (m *machine) leaveTouch(from, to time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.out = append(m.out, span{from, to})
}

// inTouch reports whether the named machine was in touch at a moment.
func (f *fleet) inTouch(name string, at time.Time) bool {
	for _, m := range f.machines {
		if m.name != name {
			continue
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		for _, s := range m.out {
			if !at.Before(s.from) && at.Before(s.to) {
				return false
			}
		}
	}
	return true
}

// addStarted adds a machine of the service of views and starts its daemon.
func (f *fleet) addStarted(zone string) (*machine, error) {
	m, err := f.add(zone, serviceView)
	if err != nil {
		return nil, err
	}
	return m, m.start()
}

// order writes the order of a rollout.
func (f *fleet) order(version string) {
	f.store.put("rollout/"+serviceView, fmt.Sprintf(`{"service":"%s","target":"%s","duration_s":%g}`, serviceView, version, rolloutTime.Seconds()))
	f.record.say("the operator has ordered %s", version)
}

// startVersions starts the machines and the servers of the ordered versions, and returns when the
// daemons beside the servers of v2 have started, by instance.
func (f *fleet) startVersions(both bool) (bad map[string]time.Time, err error) {
	if both {
		if bad, err = f.startVersion("v2", 0.2); err != nil {
			return nil, err
		}
	}
	_, err = f.startVersion("v3", 0)
	return bad, err
}

// startVersion starts three machines with servers of a version, of which a share of the requests
// fails. It returns when the daemons have started, by instance.
func (f *fleet) startVersion(version string, fails float64) (map[string]time.Time, error) {
	started := map[string]time.Time{}
	for i, zone := range []string{"sapporo", "otaru", "ebetsu"} {
		m, err := f.addStarted(zone)
		if err != nil {
			return nil, err
		}
		u, err := startUpstream(m, fmt.Sprintf("i-%s-%d", version, i), version, 100*time.Millisecond)
		if err != nil {
			return nil, err
		}
		u.setFails(fails)
		started[u.id] = time.Now()
	}
	f.record.say("the servers of %s have started", version)
	return started, nil
}
