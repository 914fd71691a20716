package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	hostView, pathView = "jepu9.example", "/lepu270/"
	hostBook, pathBook = "hulo84.example", "/xapu221/ny95/"
	serviceView        = "huvo11a"
	serviceBook        = "wuno96b"
)

// configuration returns a configuration with a safe route and an unsafe one, like that of the
// deployment.
func configuration(version int, timeout float64) string {
	return fmt.Sprintf(`{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"host":"%s","routing_rules":[{"name":"r-book","kind":"unsafe","target_latency_s":0.6,"priority":1,"match":{"prefix":"%s"},"action":{"service":"%s","timeout_s":%g,"max_attempts":2}}]},
{"host":"%s","routing_rules":[{"name":"r-view","kind":"safe","target_latency_s":0.5,"priority":2,"match":{"prefix":"%s"},"action":{"service":"%s","timeout_s":%g,"max_attempts":2}}]}],
"clusters":[{"name":"%s","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":18.0},
{"name":"%s","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":18.0}]}`,
		version, hostBook, pathBook, serviceBook, timeout, hostView, pathView, serviceView, timeout, serviceView, serviceBook)
}

// deploy starts two machines of each service in two zones with their backend servers, and waits
// until all are ready.
func (f *fleet) deploy(work time.Duration, timeout float64) ([]*upstream, error) {
	f.store.put("config", configuration(7, timeout))
	var all []*upstream
	for i, place := range []struct{ zone, service string }{
		{"sapporo", serviceView}, {"otaru", serviceView}, {"sapporo", serviceBook}, {"otaru", serviceBook},
	} {
		m, err := f.add(place.zone, place.service)
		if err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
		u, err := startUpstream(m, fmt.Sprintf("i-%08d", i+1), "v1", work)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	if err := f.awaitReady(f.machines, 15*time.Second); err != nil {
		return nil, err
	}
	f.serving = true
	return all, sleep(f.ctx, 8*time.Second)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// caseLeft: a server deregisters while the store turns its machine away; then all processes are
// killed at the same moment, and a heartbeat of the server arrives seconds late.
func caseLeft(f *fleet, trouble bool) (int, error) { return f.playLeaving(trouble, true) }

// caseUnread: a server deregisters; then all processes are killed at the same moment. The store
// turns its machine away when it starts again, and a heartbeat of the server arrives seconds late.
func caseUnread(f *fleet, trouble bool) (int, error) { return f.playLeaving(trouble, false) }

// playLeaving plays caseLeft, or caseUnread if the store is to turn the machine away later.
func (f *fleet) playLeaving(trouble, early bool) (int, error) {
	servers, err := f.deploy(150*time.Millisecond, 1.2)
	if err != nil {
		return failed, err
	}
	c := &clients{fleet: f}
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	c.load(ctx, f.machines, 50*time.Millisecond, func(m *machine) {
		c.call(m, "POST", hostBook, fmt.Sprintf("%sb%d", pathBook, c.number.Load()), []byte("one van"), 2500*time.Millisecond)
	})
	if err := sleep(ctx, 2*time.Second); err != nil {
		return failed, err
	}
	leaving := servers[3]
	late, lateSent := leaving.nextBeat("ready"), time.Now()
	f.record.say("a heartbeat of %s is sent, and is late", leaving.id)
	if trouble && early {
		leaving.machine.turnAway(true)
	}
	if err := sleep(ctx, 500*time.Millisecond); err != nil {
		return failed, err
	}
	acked, err := leaving.deregister()
	if err != nil || !acked {
		return failed, fmt.Errorf("the deregistration was not acknowledged: %w", err)
	}
	left := time.Now()
	f.record.say("%s has deregistered, and the daemon has acknowledged it; it goes on to serve", leaving.id)
	if err := sleep(ctx, 700*time.Millisecond); err != nil {
		return failed, err
	}
	leaving.machine.turnAway(trouble && !early)
	if err := sleep(ctx, 500*time.Millisecond); err != nil {
		return failed, err
	}
	started := time.Now()
	if trouble {
		if started, err = f.killAll(ctx); err != nil {
			return failed, err
		}
	}
	if err := sleep(ctx, 700*time.Millisecond); err != nil {
		return failed, err
	}
	acked, err = leaving.say("Heartbeat", late)
	f.record.say("the late heartbeat arrives %s after it was sent: acknowledged %t, error %v", time.Since(lateSent).Round(time.Millisecond), acked, err)
	if err := sleep(ctx, time.Second); err != nil {
		return failed, err
	}
	leaving.machine.turnAway(false)
	judged := time.Now()
	for _, t := range []time.Time{left.Add(drainTime), started.Add(contactTime + time.Second), time.Now().Add(contactTime + time.Second)} {
		if t.After(judged) {
			judged = t // from then on requests were sent on by machines in touch
		}
	}
	if err := sleep(ctx, 10*time.Second); err != nil {
		return failed, err
	}
	f.record.say("%s ends", leaving.id)
	leaving.end()
	if err := sleep(ctx, time.Second); err != nil {
		return failed, err
	}
	stop()
	c.group.Wait()
	reached := f.record.runsSince(leaving.id, judged)
	f.record.say("%d requests have reached %s later than %s after its leaving was acknowledged, from machines in touch; %d of them have no good answer",
		len(reached), leaving.id, judged.Sub(left).Round(100*time.Millisecond), c.lost(reached))
	if len(reached) > 0 {
		f.record.say("broken: DRAIN")
		return broken, nil
	}
	f.record.say("held")
	return held, nil
}

// turnAway makes the store turn the machine away, or serve it.
func (m *machine) turnAway(busy bool) {
	if m.door.setBusy(busy) {
		m.fleet.record.say("the store turns %s away: %t", m.name, busy)
	}
}

// killAll kills all daemons at the same moment and starts them again after a short delay.
func (f *fleet) killAll(ctx context.Context) (started time.Time, err error) {
	f.record.say("all processes are killed")
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range f.machines {
		m.kill()
	}
	if err := sleep(ctx, restartDelay); err != nil {
		return time.Time{}, err
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return time.Time{}, err
		}
	}
	f.record.say("all processes have been started again")
	return time.Now(), nil
}

// lost counts those of the runs whose clients got no success.
func (c *clients) lost(runs []run) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	byID := map[string]answer{}
	for _, a := range c.answers {
		byID[a.id] = a
	}
	n := 0
	for _, r := range runs {
		if a := byID[r.id]; a.status != 200 || !a.whole {
			n++
		}
	}
	return n
}
