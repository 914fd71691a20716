package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// oldAddressTime is how long the old address of the store is served beside the new one.
const oldAddressTime = 10 * time.Second

// caseMoved: the store gets another address. The platform changes the settings files and sends
// SIGHUP to half of the machines, and to the others two seconds later. The old address is served
// for another ten seconds.
func caseMoved(f *fleet, trouble bool) (int, error) {
	if _, err := f.deploy(40*time.Millisecond, 1.2); err != nil {
		return failed, err
	}
	c := &clients{fleet: f}
	if trouble {
		if err := f.moveStore(); err != nil {
			return failed, err
		}
	}
	if err := sleep(f.ctx, contactTime+2*time.Second); err != nil {
		return failed, err
	}
	const host, path = "nony93.example", "/added/"
	f.store.put("config", strings.Replace(configuration(9, 1.2), `"listeners":[`, fmt.Sprintf(
		`"listeners":[{"host":"%s","routing_rules":[{"name":"r-added","kind":"safe","target_latency_s":0.5,"priority":2,"match":{"prefix":"%s"},"action":{"service":"%s","timeout_s":1.2,"max_attempts":2}}]},`,
		host, path, serviceView), 1))
	f.record.say("the operator has added a route, and the store has acknowledged it")
	if err := sleep(f.ctx, applyTime+500*time.Millisecond); err != nil {
		return failed, err
	}
	older, n := 0, 0
	for i := range 20 {
		for _, m := range f.machines {
			n++
			if c.call(m, "GET", host, fmt.Sprintf("%s%d", path, i), nil, 2*time.Second).status == 404 {
				older++
			}
		}
		if err := sleep(f.ctx, 300*time.Millisecond); err != nil {
			return failed, err
		}
	}
	f.record.say("%d of %d requests on the new route, sent later than %s after the acknowledgement, were answered 404", older, n, applyTime)
	if older > 0 {
		f.record.say("broken: CONFIG")
		return broken, nil
	}
	f.record.say("held")
	return held, nil
}

// moveStore gives the store another address.
func (f *fleet) moveStore() error {
	var old []*door
	for i, m := range f.machines {
		d, err := openDoor(f.store.address)
		if err != nil {
			return err
		}
		old = append(old, m.door)
		m.door = d
		if _, err := m.place(); err != nil {
			return err
		}
		m.signal(syscall.SIGHUP)
		f.record.say("the settings of %s name the new address of the store, and its daemon has got SIGHUP", m.name)
		if i+1 == len(f.machines)/2 {
			if err := sleep(f.ctx, 2*time.Second); err != nil {
				return err
			}
		}
	}
	if err := sleep(f.ctx, oldAddressTime); err != nil {
		return err
	}
	for _, d := range old {
		d.close()
	}
	f.record.say("the old address is no longer served")
	return nil
}
