package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

// Bounds of the site.
const (
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * time.Second // rollback_s
)

// Times of the case next-order.
const (
	rolloutTime   = 16 * time.Second // duration_s of the first order
	orderPause    = time.Second      // from the end of the first rollout to the next order
	drainDelay    = 8 * time.Second  // from then until the upstreams that were rolled back drain
	badBeforeWait = 50               // bad answers from which rollbackTime counts
)

// Rows of the operator and of the system.
const (
	rolloutRow = "rollout/slotboard"
	rolledBack = "rolled_back"
	completed  = "completed"
)

// nextOrder plays the rule EXPOSURE. A new version is bad and is rolled back. The operator
// orders the next version while the upstreams of the bad one still run.
func nextOrder(d *deployment, trouble bool) (broken bool, err error) {
	time.Sleep(8 * time.Second) // lead_s
	stop := d.traffic(2)
	defer stop()
	time.Sleep(calmTime)
	second, err := d.order("v2", rolloutTime, trouble)
	if err != nil {
		return false, err
	}
	start := time.Now()
	end, err := d.awaitEnd(rolloutTime + 2*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(orderPause)
	if os.Getenv("NEXT") != "0" { // for comparison
		if _, err := d.order("v3", 14*time.Second, false); err != nil {
			return false, err
		}
	}
	if end == rolledBack {
		time.Sleep(drainDelay - orderPause)
		for _, m := range second {
			if err := m.backend.drain(); err != nil {
				return false, err
			}
		}
		time.Sleep(drainTime + time.Second)
		for _, m := range second {
			m.backend.leave()
		}
	}
	if left := time.Until(start.Add(rolloutTime)); left > 0 {
		time.Sleep(left)
	}
	return trouble && d.isExposed(second, start), nil
}

// order starts the upstreams of a version beside the others and orders the rollout.
func (d *deployment) order(version string, span time.Duration, bad bool) ([]*machine, error) {
	var added []*machine
	for _, z := range zones {
		m, err := d.add(z, services[0], version)
		if err != nil {
			return nil, err
		}
		m.backend.setBad(bad)
		added = append(added, m)
	}
	body, err := json.Marshal(map[string]any{fieldService: services[0], "target": version, "duration_s": span.Seconds()})
	if err != nil {
		return nil, err
	}
	d.store.Put("op", "", rolloutRow, body)
	d.record.write("rollout ordered", map[string]any{"target": version, "duration_s": span.Seconds()})
	return added, nil
}

// awaitEnd waits until the system has reported the end of a rollout.
func (d *deployment) awaitEnd(limit time.Duration) (string, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		row, found := d.store.Row("status", "", rolloutRow)
		var status struct {
			State string `json:"state"`
		}
		if found && json.Unmarshal(row.Value, &status) == nil && (status.State == rolledBack || status.State == completed) {
			d.record.write("rollout ended", map[string]any{fieldState: status.State})
			return status.State, nil
		}
	}
	return "", errors.New("the first rollout has no end")
}

// isExposed reports whether the bad version got more requests than the rule allows.
func (d *deployment) isExposed(bad []*machine, start time.Time) bool {
	deadline := start.Add(rolloutTime)
	all, exposed := 0, 0
	var badAnswers []time.Time
	for _, m := range d.machines {
		if m.service != services[0] {
			continue
		}
		n := m.backend.sentBetween(start, deadline)
		all += n
		if m.backend.isBad() {
			exposed += n
		}
	}
	for _, m := range bad {
		badAnswers = append(badAnswers, m.backend.badTimes()...)
	}
	allowed := exposeShare*float64(all) + exposeSlack
	late := 0
	if at, found := nth(badAnswers, badBeforeWait); found {
		for _, m := range bad {
			late += m.backend.sentBetween(at.Add(rollbackTime), time.Now())
		}
	}
	d.record.write("result", map[string]any{"requests": all, "of_bad_version": exposed, "allowed": allowed, "later_than_rollback_s": late})
	fmt.Printf("the bad version got %d of %d requests in the time of its rollout, allowed %.0f; %d were sent later than %s after its 50th bad answer\n",
		exposed, all, allowed, late, rollbackTime)
	return float64(exposed) > allowed || late > 0
}
