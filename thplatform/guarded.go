package thplatform

import (
	"context"
	"strings"
)

// ClaimPrefix is the prefix of the partitions that hold idempotency claims.
// Requests for claims are exempt from the guard's rate limit, since claims have a
// limit of their own.
const ClaimPrefix = "claim/"

// GuardedTable is a TableService whose requests go through a Guard.
type GuardedTable struct {
	Guard
	Table TableService
}

// Get reads items; see TableService.
func (g *GuardedTable) Get(ctx context.Context, keys ...Key) ([]Item, error) {
	var items []Item
	err := g.do(ctx, request{unlimited: onlyClaims(keys), send: func(ctx context.Context) (err error) {
		items, err = g.Table.Get(ctx, keys...)
		return err
	}})
	return items, err
}

// Query reads a range of items; see TableService.
func (g *GuardedTable) Query(ctx context.Context, partition, from, to string, limit int) ([]Item, error) {
	var items []Item
	err := g.do(ctx, request{send: func(ctx context.Context) (err error) {
		items, err = g.Table.Query(ctx, partition, from, to, limit)
		return err
	}})
	return items, err
}

// Write writes items; see TableService.
func (g *GuardedTable) Write(ctx context.Context, ops ...Op) error {
	keys := make([]Key, 0, len(ops))
	for _, o := range ops {
		keys = append(keys, o.Item.Key)
	}
	return g.do(ctx, request{write: true, unlimited: onlyClaims(keys), send: func(ctx context.Context) error {
		return g.Table.Write(ctx, ops...)
	}})
}

// onlyClaims reports whether keys is not empty and all keys are idempotency claims.
func onlyClaims(keys []Key) bool {
	for _, k := range keys {
		if !strings.HasPrefix(k.Partition, ClaimPrefix) {
			return false
		}
	}
	return len(keys) > 0
}

// GuardedObjects is an ObjectStore whose requests go through a Guard.
type GuardedObjects struct {
	Guard
	Objects ObjectStore
}

// Get reads an object; see ObjectStore.
func (g *GuardedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := g.do(ctx, request{send: func(ctx context.Context) (err error) {
		body, err = g.Objects.Get(ctx, name)
		return err
	}})
	return body, err
}

// Put writes an object; see ObjectStore.
func (g *GuardedObjects) Put(ctx context.Context, name string, body []byte) error {
	return g.do(ctx, request{write: true, send: func(ctx context.Context) error {
		return g.Objects.Put(ctx, name, body)
	}})
}
