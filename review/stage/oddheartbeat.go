package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Times of the case odd-heartbeat.
const (
	calmTime   = 4 * time.Second // of traffic before the disruption, above contact_s
	beforeExit = 8 * time.Second // for which the server goes on after drain_s
)

// oddHeartbeat plays the rule DRAIN. One heartbeat of another writer, which lacks fields, names
// the id and the address of a backend server. Later that server drains and leaves.
func oddHeartbeat(d *deployment, trouble bool) (broken bool, err error) {
	time.Sleep(8 * time.Second) // lead_s
	stop := d.traffic(1)
	defer stop()
	time.Sleep(calmTime)
	server := d.machines[3].backend // of bookdesk
	if trouble {
		// zone, cold_remaining_s are missing; born and sequence are the other writer's own.
		now := time.Now().UnixMilli()
		body, err := json.Marshal(map[string]any{
			"address": server.at(portServer), "born": now,
			"info":      map[string]any{fieldService: server.service, fieldVersion: server.version, "slots": slots},
			fieldStatus: map[string]any{fieldState: stateReady, fieldSequence: 1},
		})
		if err != nil {
			return false, err
		}
		status, err := server.post("/api/Instances.Heartbeat/"+server.id, body)
		if err != nil {
			return false, err
		}
		d.record.write("odd heartbeat", map[string]any{fieldServer: server.id, "body": json.RawMessage(body), fieldStatus: status})
	}
	time.Sleep(calmTime)
	if err := server.drain(); err != nil {
		return false, fmt.Errorf("the drain is not acknowledged: %w", err)
	}
	time.Sleep(drainTime + beforeExit)
	server.leave()
	time.Sleep(2 * time.Second)
	arrivals, late := server.counts()
	d.record.write("result", map[string]any{fieldServer: server.id, "arrivals": arrivals, "later_than_drain_s": late})
	fmt.Printf("%d requests arrived at %s, %d of them later than %s after its drain was acknowledged\n", arrivals, server.id, late, drainTime)
	if arrivals == 0 {
		return false, fmt.Errorf("no request arrived at %s", server.id)
	}
	return late > 0, nil
}
