package thstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

const (
	partitionDeparture = "left"
	// DepartureTTL is how long the departure of an instance is stored. It exceeds the
	// time for which an instance serves after announcing its departure, and the
	// maximum delay of a heartbeat.
	DepartureTTL = 2 * time.Minute
)

// departure is the encoded body of an item in partitionDeparture.
type departure struct {
	Born time.Time `json:"born,omitzero"`
}

func departureKey(instance string) thplatform.Key {
	return thplatform.Key{Partition: partitionDeparture, Sort: instance}
}

// RecordDeparture stores that a backend server instance is leaving, so that its
// daemon also treats it as leaving after a restart of the daemon. It is idempotent.
func (s *Store) RecordDeparture(ctx context.Context, instance string, startTime time.Time) error {
	if instance == "" || len(instance) > maxNameSize {
		return therror.New(therror.Bad, "an instance needs an id of 1 to %d bytes", maxNameSize)
	}
	body, err := json.Marshal(departure{Born: startTime})
	if err != nil {
		return therror.Wrap(therror.Internal, err, "encode the departure of an instance")
	}
	return s.Table.Write(ctx, thplatform.Op{Item: thplatform.Item{
		Key: departureKey(instance), Body: body, Expiry: s.clock().Now().Add(DepartureTTL),
	}})
}

// Departure reports whether the departure of an instance is stored, and the start
// time of the process that left. A corrupt record is treated as absent.
func (s *Store) Departure(ctx context.Context, instance string) (startTime time.Time, found bool, err error) {
	items, err := s.Table.Get(ctx, departureKey(instance))
	if err != nil || len(items) == 0 {
		return time.Time{}, false, err
	}
	var d departure
	if err := json.Unmarshal(items[0].Body, &d); err != nil {
		s.log().Warn("ignoring corrupt departure of an instance", "instance", instance, "error", err)
		return time.Time{}, false, nil
	}
	return d.Born, true, nil
}
