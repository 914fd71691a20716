package thdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thserver"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Timeouts of the store calls that delay the response to a heartbeat. The sender of
// a heartbeat times out after one second.
const (
	departureReadTimeout  = 300 * time.Millisecond
	departureWriteTimeout = 600 * time.Millisecond
)

// departureRecorder handles the heartbeats of the local backend server and stores its
// departure, so that it binds this daemon also after a restart.
type departureRecorder struct {
	*Daemon

	registry *thserver.Registry
	mutex    sync.Mutex       // guards the fields below, and serialises the calls of the store
	recorded thwire.Departure // stored last
	lookedUp string           // instance of which a stored departure was read last
}

// countRejectedMessage counts and logs a message of a backend server that was rejected.
func (d *Daemon) countRejectedMessage(err error) {
	d.metrics.CountRejectedMessage(therror.KindOf(err))
	d.Log.Warn("message of a backend server rejected", "error", err)
}

// handleHeartbeat handles a heartbeat. It stores the departure of an instance before
// it acknowledges it. Before the first message of an instance it reads a stored departure,
// because a heartbeat that was sent before the departure may arrive after a restart.
// A store that fails or exceeds its timeout is only logged: the heartbeat is handled
// nevertheless, and the departure is stored with the next one.
func (d *departureRecorder) handleHeartbeat(b thserver.Heartbeat) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.lookedUp != b.Instance && d.Settings.Daemon.Bootstrap != "true" {
		d.lookUp(b.Instance)
	}
	if err := d.registry.HandleHeartbeat(b); err != nil {
		return err
	}
	d.store(b.Instance)
	return nil
}

// markLeaving handles a response in which an instance states that it is leaving. The
// departure is stored in the background, so that the response is not delayed.
func (d *departureRecorder) markLeaving(instance string, start time.Time) {
	d.registry.MarkLeaving(instance, start)
	go func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.store(instance)
	}()
}

// storeAgain stores the departure of the current instance again, for a store that has come
// back from a copy. A store that fails gets it with the next heartbeat.
func (d *departureRecorder) storeAgain() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recorded = thwire.Departure{}
	if e := d.registry.Current(); e != nil {
		d.store(e.Instance)
	}
}

// handleMessage handles a member's message about the departure of an instance.
func (d *departureRecorder) handleMessage(from string, payload []byte) {
	var m thwire.Departure
	if err := thwire.Decode(payload, &m); err != nil {
		d.Log.Warn("ignoring malformed departure of an instance", "from", from, "error", err)
		return
	}
	d.Log.Info("instance has left before this daemon started", "instance", m.Instance, "told_by", from)
	d.registry.MarkLeft(m.Instance, time.UnixMilli(m.Born))
}

// store stores the latest departure of an instance, if it has one that is not the one
// stored last; the mutex is held.
func (d *departureRecorder) store(instance string) {
	start, departed := d.registry.Departure(instance)
	departure := thwire.Departure{Instance: instance, Born: start.UnixMilli()}
	if !departed || d.recorded == departure {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), departureWriteTimeout)
	defer cancel()
	if err := d.platform.RecordDeparture(ctx, instance, start); err != nil {
		d.Log.Warn("failed to record the departure of an instance", "instance", instance, "error", err)
		return
	}
	d.recorded = departure
}

// lookUp marks an instance as left if its departure is stored.
func (d *departureRecorder) lookUp(instance string) {
	ctx, cancel := context.WithTimeout(context.Background(), departureReadTimeout)
	defer cancel()
	startTime, found, err := d.platform.Departure(ctx, instance)
	if err != nil {
		d.Log.Warn("failed to look up an earlier departure of an instance", "instance", instance, "error", err)
		return
	}
	d.lookedUp = instance
	if found {
		d.registry.MarkLeft(instance, startTime)
		d.recorded = thwire.Departure{Instance: instance, Born: startTime.UnixMilli()}
	}
}
