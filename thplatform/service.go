// Package thplatform holds the interfaces to the platform's table service and
// object store, and a guard that protects both from the fleet.
package thplatform

import (
	"context"
	"time"
)

// Limits of one call, in items. They fit the limits of the DynamoDB API.
const (
	MaxGetKeys  = 25
	MaxWriteOps = 25
)

// MaxBodySize is the largest body of an item, in bytes. DynamoDB refuses items
// above 400 KB, keys and attribute names included.
const MaxBodySize = 390_000

// Key names an item: Partition groups items that are read as a range, Sort orders them.
type Key struct{ Partition, Sort string }

// Item is a row of the table service. The zero Expiry means that it never expires.
type Item struct {
	Key    Key
	Number uint64 // version counter, compared by NumberEquals
	Digest []byte // compared by DigestEquals
	Body   []byte
	Expiry time.Time
}

// Condition is what must hold for an operation to take effect.
type Condition interface{ condition() }

// The conditions.
type (
	// Always holds for any item.
	Always struct{}
	// Missing holds when no item has the key.
	Missing struct{}
	// NumberEquals holds when the item's Number equals the value.
	NumberEquals uint64
	// DigestEquals holds when the item's Digest equals the value.
	DigestEquals string
)

func (Always) condition()       {}
func (Missing) condition()      {}
func (NumberEquals) condition() {}
func (DigestEquals) condition() {}

// Op puts or deletes one item under a condition. A nil If means Always.
type Op struct {
	Item   Item // only the key counts for a delete
	Delete bool
	If     Condition
}

// TableService is the platform's transactional table service. Errors are of
// kind Conflict (a condition did not hold, nothing was written), Down (nothing
// was written), Limited (throttled, nothing was written), Unknown (a write may
// have taken effect) or Bad.
type TableService interface {
	// Get reads up to MaxGetKeys items in one consistent transaction. Items
	// that do not exist are left out; the order is that of the keys.
	Get(ctx context.Context, keys ...Key) ([]Item, error)
	// Query reads consistently up to limit items of a partition whose sort
	// keys are at least from and below to, in order. An empty to means no bound.
	Query(ctx context.Context, partition, from, to string, limit int) ([]Item, error)
	// Write applies up to MaxWriteOps operations in one transaction.
	Write(ctx context.Context, ops ...Op) error
}

// ObjectStore is the platform's store of immutable objects. A missing object
// gives an error of kind Absent.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, body []byte) error
}
