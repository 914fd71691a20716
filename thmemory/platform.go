package thmemory

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

// Table is an in-memory thplatform.TableService. The zero value is an empty table.
type Table struct {
	FaultInjector
	mutex sync.Mutex
	items map[thplatform.Key]thplatform.Item
}

// Objects is an in-memory thplatform.ObjectStore. The zero value is an empty store.
type Objects struct {
	FaultInjector
	mutex  sync.Mutex
	bodies map[string][]byte
}

var (
	_ thplatform.TableService = (*Table)(nil)
	_ thplatform.ObjectStore  = (*Objects)(nil)
)

// Get returns items; see thplatform.TableService.
func (t *Table) Get(ctx context.Context, keys ...thplatform.Key) ([]thplatform.Item, error) {
	if _, err := t.BeforeRequest(ctx, false); err != nil {
		return nil, err
	}
	if len(keys) > thplatform.MaxGetKeys {
		return nil, therror.New(therror.Bad, "read of %d keys", len(keys))
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var items []thplatform.Item
	for _, k := range keys {
		if i, found := t.findUnexpired(k); found {
			items = append(items, clone(i))
		}
	}
	return items, nil
}

// Query returns a range of items; see thplatform.TableService.
func (t *Table) Query(ctx context.Context, partition, from, to string, limit int) ([]thplatform.Item, error) {
	if _, err := t.BeforeRequest(ctx, false); err != nil {
		return nil, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var items []thplatform.Item
	for k := range t.items {
		if k.Partition != partition || k.Sort < from || (to != "" && k.Sort >= to) {
			continue
		}
		if i, found := t.findUnexpired(k); found {
			items = append(items, clone(i))
		}
	}
	slices.SortFunc(items, func(a, b thplatform.Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return items[:min(len(items), max(limit, 0))], nil
}

// Write applies operations in one transaction; see thplatform.TableService.
func (t *Table) Write(ctx context.Context, ops ...thplatform.Op) error {
	lost, err := t.BeforeRequest(ctx, true)
	if err != nil {
		return err
	}
	if err := t.apply(ops); err != nil {
		return err
	}
	if lost {
		return requestError(true, errResponseLost)
	}
	return nil
}

func (t *Table) apply(ops []thplatform.Op) error {
	if len(ops) > thplatform.MaxWriteOps {
		return therror.New(therror.Bad, "write of %d operations", len(ops))
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, o := range ops {
		if len(o.Item.Body) > thplatform.MaxBodySize {
			return therror.New(therror.Refused, "item of %d bytes is too large", len(o.Item.Body))
		}
		if i, found := t.findUnexpired(o.Item.Key); !conditionHolds(o.If, i, found) {
			return therror.New(therror.Conflict, "condition of %s/%s does not hold", o.Item.Key.Partition, o.Item.Key.Sort)
		}
	}
	if t.items == nil {
		t.items = map[thplatform.Key]thplatform.Item{}
	}
	for _, o := range ops {
		if o.Delete {
			delete(t.items, o.Item.Key)
		} else {
			t.items[o.Item.Key] = clone(o.Item)
		}
	}
	return nil
}

// conditionHolds reports whether c holds for item i; found is false if the item does
// not exist.
func conditionHolds(c thplatform.Condition, i thplatform.Item, found bool) bool {
	switch c := c.(type) {
	case thplatform.Missing:
		return !found
	case thplatform.NumberEquals:
		return found && i.Number == uint64(c)
	case thplatform.DigestEquals:
		return found && string(i.Digest) == string(c)
	}
	return true
}

// findUnexpired returns the item of the key, unless it has expired. The caller holds
// the mutex.
func (t *Table) findUnexpired(k thplatform.Key) (thplatform.Item, bool) {
	i, found := t.items[k]
	if found && !i.Expiry.IsZero() && !i.Expiry.After(thclock.OrSystem(t.Clock).Now()) {
		return thplatform.Item{}, false
	}
	return i, found
}

func clone(i thplatform.Item) thplatform.Item {
	i.Body, i.Digest = bytes.Clone(i.Body), bytes.Clone(i.Digest)
	return i
}

// Get reads an object; see thplatform.ObjectStore.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if _, err := o.BeforeRequest(ctx, false); err != nil {
		return nil, err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	body, found := o.bodies[name]
	if !found {
		return nil, therror.New(therror.Absent, "object %s does not exist", name)
	}
	return bytes.Clone(body), nil
}

// Put writes an object; see thplatform.ObjectStore.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	lost, err := o.BeforeRequest(ctx, true)
	if err != nil {
		return err
	}
	o.mutex.Lock()
	if o.bodies == nil {
		o.bodies = map[string][]byte{}
	}
	o.bodies[name] = bytes.Clone(body)
	o.mutex.Unlock()
	if lost {
		return requestError(true, errResponseLost)
	}
	return nil
}
