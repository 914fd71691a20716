package thstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

const (
	partitionLeft = "left"
	// leftLife is how long the end of an instance is kept: longer than an instance
	// serves after it has said that it leaves, and than a heartbeat may be late.
	leftLife = 2 * time.Minute
)

// left is the body of an item in partitionLeft.
type left struct {
	Born time.Time `json:"born,omitzero"`
}

func leftKey(instance string) thplatform.Key {
	return thplatform.Key{Partition: partitionLeft, Sort: instance}
}

// Leave records that a backend server instance leaves, so that its daemon is
// bound by that also after a restart. Writing it again changes nothing.
func (s *Store) Leave(ctx context.Context, instance string, born time.Time) error {
	if instance == "" || len(instance) > maxName {
		return therror.New(therror.Bad, "an instance needs an id of 1 to %d bytes", maxName)
	}
	body, err := json.Marshal(left{Born: born})
	if err != nil {
		return therror.Wrap(therror.Internal, err, "encode the end of an instance")
	}
	return s.Table.Write(ctx, thplatform.Op{Item: thplatform.Item{
		Key: leftKey(instance), Body: body, Expiry: s.clock().Now().Add(leftLife),
	}})
}

// Left reports whether an instance has left, and when the one that left was born.
func (s *Store) Left(ctx context.Context, instance string) (born time.Time, found bool, err error) {
	items, err := s.Table.Get(ctx, leftKey(instance))
	if err != nil || len(items) == 0 {
		return time.Time{}, false, err
	}
	var l left
	if err := json.Unmarshal(items[0].Body, &l); err != nil {
		s.log().Warn("corrupt end of an instance ignored", "instance", instance, "error", err)
		return time.Time{}, false, nil
	}
	return l.Born, true, nil
}
