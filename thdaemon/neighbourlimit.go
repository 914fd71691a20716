package thdaemon

import (
	"math"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// greeting tells a daemon that connects the limit that the backend server beside it has
// stated: a daemon that restarts forgets it, and its own callers would exceed it until the
// first response.
func (d *Daemon) greeting(member string) (thwire.Type, thwire.Message) {
	instance, rate := d.balancer.StatedLimit(member)
	if instance == "" || rate == 0 {
		return 0, nil
	}
	return thwire.TypeServerLimit, &thwire.ServerLimit{Instance: instance, Rate: rate}
}

// handleNeighbourLimit handles a neighbour's message about the limit of the local backend server.
func (l *localServer) handleNeighbourLimit(from string, payload []byte) {
	var limit thwire.ServerLimit
	if err := thwire.Decode(payload, &limit); err != nil {
		l.Log.Warn("ignoring malformed limit of an instance", "from", from, "error", err)
		return
	}
	if limit.Instance == "" || !(limit.Rate > 0) || math.IsInf(limit.Rate, 1) {
		l.Log.Warn("ignoring invalid limit of an instance", "from", from, "instance", limit.Instance, "limit", limit.Rate)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if limit.Instance == l.neighbourLimit.Instance && limit.Rate >= l.neighbourLimit.Rate {
		return
	}
	l.neighbourLimit = limit
	l.adoptNeighbourLimit()
	l.Log.Info("neighbour knows the limit of an instance", "from", from, "instance", limit.Instance, "limit", limit.Rate,
		"current", l.instance)
}

// adoptNeighbourLimit applies the limit that neighbours know if it is that of the current
// instance. The mutex is held.
func (l *localServer) adoptNeighbourLimit() {
	if l.instance != "" && l.neighbourLimit.Instance == l.instance {
		l.scheduler.AdoptLimit(l.neighbourLimit.Rate)
	}
}
