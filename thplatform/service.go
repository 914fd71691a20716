// Package thplatform defines the interfaces to the platform's table service and
// object store, and a Guard that limits and retries the requests to them.
package thplatform

import (
	"context"
	"time"
)

// Maximum number of items of one request. They are within the limits of the
// DynamoDB API.
const (
	MaxGetKeys  = 25
	MaxWriteOps = 25
)

// MaxBodySize is the maximum size of an item's body, in bytes. DynamoDB rejects
// items above 400 KB, including keys and attribute names.
const MaxBodySize = 390_000

// Key is the primary key of an item: Partition groups items that are read as a
// range, Sort orders them within the partition.
type Key struct{ Partition, Sort string }

// Item is a row of the table service. With a zero Expiry it never expires.
type Item struct {
	Key    Key
	Number uint64 // version counter, compared by NumberEquals
	Digest []byte // compared by DigestEquals
	Body   []byte
	Expiry time.Time
}

// Condition must hold for the item in the table, or the operation fails with kind
// Conflict.
type Condition interface{ condition() }

// Implementations of Condition.
type (
	// Always holds for any item.
	Always struct{}
	// Missing holds when no item has the key. DynamoDB also treats an expired item
	// as missing; the store of a platform of kind rows does not.
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

// Op is a conditional put or delete of one item. A nil If means Always.
type Op struct {
	Item   Item // only Key is used for a delete
	Delete bool
	If     Condition
}

// TableService is the platform's transactional table service. Errors are of
// kind Conflict (a condition did not hold, nothing was written), Down (nothing
// was written), Limited (throttled, nothing was written), Unknown (a write may
// have taken effect) or Bad.
type TableService interface {
	// Get reads up to MaxGetKeys items in one consistent transaction. It returns
	// the items that exist, in the order of the keys.
	Get(ctx context.Context, keys ...Key) ([]Item, error)
	// Query returns up to limit items of a partition with from <= Sort < to, in
	// ascending order, by a consistent read. An empty to means no upper bound.
	Query(ctx context.Context, partition, from, to string, limit int) ([]Item, error)
	// Write applies up to MaxWriteOps operations in one transaction: all or none.
	Write(ctx context.Context, ops ...Op) error
}

// ObjectStore is the platform's store of immutable objects. A missing object
// gives an error of kind Absent.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, body []byte) error
}
