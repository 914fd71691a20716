package thdaemon

import (
	"slices"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// departedInstances remembers the backend server instances that members have announced
// as leaving, or that have stated it in a response. A daemon that starts again forgets the
// departure of its server, and reads it from the store only while that is available; the
// other daemons know it from the member record of the daemon's previous process.
type departedInstances struct {
	mutex sync.Mutex
	known map[thwire.Departure]time.Time // when the instance was last announced as leaving
}

// apply returns the members with the state of departed instances corrected to leaving,
// and the members whose record contradicts a known departure. Instances without an id are
// left as they are.
func (d *departedInstances) apply(members []thwire.Member, now time.Time) (corrected []thwire.Member, unaware []thwire.Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	corrected = members
	for i, m := range members {
		if m.Server == nil || m.Server.Instance == "" {
			continue
		}
		key := thwire.Departure{Instance: m.Server.Instance, Born: m.Server.Born}
		if m.Server.State == thwire.ServerLeaving {
			d.add(key, now)
			continue
		}
		if at, departed := d.known[key]; !departed || now.Sub(at) >= thstore.DepartureTTL {
			continue
		}
		if len(unaware) == 0 {
			corrected = slices.Clone(members)
		}
		server := *m.Server
		server.State = thwire.ServerLeaving
		corrected[i].Server = &server
		unaware = append(unaware, m)
	}
	return corrected, unaware
}

// record remembers a departure and returns false if it is known already.
func (d *departedInstances) record(key thwire.Departure, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if at, found := d.known[key]; found && now.Sub(at) < thstore.DepartureTTL {
		return false
	}
	d.add(key, now)
	return true
}

// add remembers a departure and removes expired ones; the mutex is held.
func (d *departedInstances) add(key thwire.Departure, now time.Time) {
	if d.known == nil {
		d.known = map[thwire.Departure]time.Time{}
	}
	if _, found := d.known[key]; !found {
		for k, at := range d.known {
			if now.Sub(at) >= thstore.DepartureTTL {
				delete(d.known, k)
			}
		}
	}
	d.known[key] = now
}

// observeLeaving remembers that the backend server of a member has stated in a response that
// it is leaving, and stops choosing it.
func (d *Daemon) observeLeaving(m *thwire.Member) {
	if m.Server == nil || m.Server.Instance == "" {
		return
	}
	departure := thwire.Departure{Instance: m.Server.Instance, Born: m.Server.Born}
	if d.departed.record(departure, d.Clock.Now()) {
		d.Log.Info("instance states that it is leaving", "instance", departure.Instance, "member", m.Name)
		d.updater.schedule()
	}
}

// correctMembers returns the members with the state of departed instances corrected, and
// tells neighbours whose server has departed so.
func (d *Daemon) correctMembers(members []thwire.Member) []thwire.Member {
	corrected, unaware := d.departed.apply(members, d.Clock.Now())
	if len(unaware) == 0 {
		return corrected
	}
	neighbours := d.node.Neighbours()
	for _, m := range unaware {
		if !slices.Contains(neighbours, m.Name) {
			continue
		}
		departure := thwire.Departure{Instance: m.Server.Instance, Born: m.Server.Born}
		if err := d.node.Send(m.Name, thwire.TypeDeparture, &departure); err != nil {
			d.Log.Debug("departure not sent", "to", m.Name, "instance", departure.Instance, "error", err)
		}
	}
	return corrected
}
