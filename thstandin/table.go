package thstandin

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmemory"
)

const (
	targetPrefix = "DynamoDB_20120810."
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
	tableJSON    = "application/x-amz-json-1.0"

	maxItemBytes        = 400 << 10 // bytes, as in DynamoDB
	maxTransactionItems = 100       // items, as in DynamoDB
	maxPageBytes        = 1 << 20   // bytes of items in one page of a query, as in DynamoDB
)

// tableAPI serves the operations of the DynamoDB JSON API that the adapter uses. Tables
// are created by the first write; their keys are pk and sk. Items are deleted when the
// time in attribute expires has passed.
type tableAPI struct {
	faults thmemory.FaultInjector
	mutex  sync.Mutex
	tables map[string]map[itemKey]item
	saved  map[string]map[itemKey]item // nil before the first save
}

type itemKey struct{ partition, sort string }

// tableError is the JSON body of an error response.
type tableError struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
	status  int
}

// reason is the result of one condition in a cancelled transaction.
type reason struct {
	Code    string
	Message string `json:",omitempty"`
}

func (e *tableError) Error() string { return e.Type + ": " + e.Message }

func newTableError(code, message string) *tableError {
	return &tableError{Type: errorPrefix + code, Message: message, status: http.StatusBadRequest}
}

func validationError(message string) *tableError {
	e := newTableError("ValidationException", message)
	e.Type = "com.amazon.coral.validate#ValidationException"
	return e
}

// operation is one read or write of an item. It has the fields of all such requests of
// the protocol.
type operation struct {
	TableName                 string
	Key                       item
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type tableRequest struct {
	operation
	KeyConditionExpression string
	ExclusiveStartKey      item
	Limit                  int
	TransactItems          []struct{ Get, Put, Delete *operation }
}

func (t *tableAPI) serve(w http.ResponseWriter, r *http.Request, now time.Time) {
	target := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	// Read the body before any injected delay: net/http detects that the client has
	// closed the connection only after the body has been read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.writeError(w, newTableError("SerializationException", err.Error()))
		return
	}
	write := target == "PutItem" || target == "DeleteItem" || target == "TransactWriteItems"
	lost, err := t.faults.BeforeRequest(r.Context(), write)
	switch therror.KindOf(err) {
	case "":
	case therror.Limited:
		t.writeError(w, newTableError("ProvisionedThroughputExceededException", "the level of configured provisioned throughput was exceeded"))
		return
	default:
		e := newTableError("InternalServerError", err.Error())
		e.status = http.StatusInternalServerError
		t.writeError(w, e)
		return
	}
	var in tableRequest
	if err := json.Unmarshal(body, &in); err != nil {
		t.writeError(w, newTableError("SerializationException", err.Error()))
		return
	}
	out, fault := t.execute(target, &in, now)
	switch {
	case lost:
		breakConnection()
	case fault != nil:
		t.writeError(w, fault)
	default:
		writeJSON(w, http.StatusOK, tableJSON, out)
	}
}

func (t *tableAPI) writeError(w http.ResponseWriter, e *tableError) {
	writeJSON(w, e.status, tableJSON, e)
}

// execute runs an operation and returns its response body.
func (t *tableAPI) execute(target string, in *tableRequest, now time.Time) (any, *tableError) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	switch target {
	case "GetItem":
		i, err := t.get(&in.operation)
		return itemResponse(i), err
	case "TransactGetItems":
		return t.getAll(in)
	case "Query":
		return t.query(in)
	case "PutItem":
		err := t.writeAll([]*write{{operation: &in.operation}})
		if err != nil && len(err.Reasons) > 0 {
			err = newTableError("ConditionalCheckFailedException", "the conditional request failed")
		}
		return struct{}{}, err
	case "DeleteItem":
		err := t.writeAll([]*write{{operation: &in.operation, remove: true}})
		if err != nil && len(err.Reasons) > 0 {
			err = newTableError("ConditionalCheckFailedException", "the conditional request failed")
		}
		return struct{}{}, err
	case "TransactWriteItems":
		var writes []*write
		for _, i := range in.TransactItems {
			switch {
			case i.Put != nil:
				writes = append(writes, &write{operation: i.Put})
			case i.Delete != nil:
				writes = append(writes, &write{operation: i.Delete, remove: true})
			default:
				return nil, validationError("a transaction item is neither Put nor Delete")
			}
		}
		return struct{}{}, t.writeAll(writes)
	}
	return nil, newTableError("UnknownOperationException", "operation "+target+" is not implemented")
}

// expire deletes the expired items. The caller holds the mutex.
func (t *tableAPI) expire(now time.Time) {
	for _, items := range t.tables {
		for k, i := range items {
			if i.expired(now) {
				delete(items, k)
			}
		}
	}
}

func (t *tableAPI) get(o *operation) (item, *tableError) {
	k, err := o.Key.key()
	if err != nil {
		return nil, err
	}
	return t.tables[o.TableName][k], nil
}

func (t *tableAPI) getAll(in *tableRequest) (any, *tableError) {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactionItems {
		return nil, validationError("a transaction has 1 to 100 items")
	}
	out := struct{ Responses []map[string]item }{}
	for _, i := range in.TransactItems {
		if i.Get == nil {
			return nil, validationError("a transaction item is not Get")
		}
		found, err := t.get(i.Get)
		if err != nil {
			return nil, err
		}
		out.Responses = append(out.Responses, itemResponse(found))
	}
	return out, nil
}

// itemResponse returns the response body for an item, which is empty for a missing
// item.
func itemResponse(i item) map[string]item {
	if i == nil {
		return map[string]item{}
	}
	return map[string]item{"Item": i}
}

func (t *tableAPI) query(in *tableRequest) (any, *tableError) {
	c, err := parseKeyCondition(in.KeyConditionExpression, in.ExpressionAttributeValues)
	if err != nil {
		return nil, err
	}
	var keys []itemKey
	for k := range t.tables[in.TableName] {
		if c.matches(k) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b itemKey) int { return cmp.Compare(a.sort, b.sort) })
	if in.ExclusiveStartKey != nil {
		start, err := in.ExclusiveStartKey.key()
		if err != nil {
			return nil, err
		}
		keys = slices.DeleteFunc(keys, func(k itemKey) bool { return k.sort <= start.sort })
	}
	out := struct {
		Items            []item
		Count            int
		LastEvaluatedKey item `json:",omitempty"`
	}{Items: []item{}}
	size := 0
	for n, k := range keys {
		i := t.tables[in.TableName][k]
		out.Items = append(out.Items, i)
		size += i.size()
		if n+1 < len(keys) && (len(out.Items) == in.Limit || size >= maxPageBytes) {
			out.LastEvaluatedKey = item{partitionKeyName: i[partitionKeyName], sortKeyName: i[sortKeyName]}
			break
		}
	}
	out.Count = len(out.Items)
	return out, nil
}

// write is one put or delete of a transaction.
type write struct {
	*operation
	remove bool
	key    itemKey
}

// writeAll applies all writes or none. If a condition fails it returns an error with
// the reasons.
func (t *tableAPI) writeAll(writes []*write) *tableError {
	if len(writes) == 0 || len(writes) > maxTransactionItems {
		return validationError("a transaction has 1 to 100 items")
	}
	reasons := make([]reason, len(writes))
	failed := false
	seen := map[itemKey]bool{}
	for n, w := range writes {
		keyed := w.Item
		if w.remove {
			keyed = w.Key
		}
		var err *tableError
		if w.key, err = keyed.key(); err != nil {
			return err
		}
		if seen[w.key] {
			return validationError("transaction request cannot include multiple operations on one item")
		}
		seen[w.key] = true
		if w.Item.size() > maxItemBytes {
			return validationError("item size has exceeded the maximum allowed size")
		}
		ok, err := evaluate(w.ConditionExpression, w.ExpressionAttributeValues, t.tables[w.TableName][w.key])
		if err != nil {
			return err
		}
		reasons[n] = reason{Code: "None"}
		if !ok {
			reasons[n], failed = reason{Code: "ConditionalCheckFailed", Message: "the conditional request failed"}, true
		}
	}
	if failed {
		e := newTableError("TransactionCanceledException", "transaction cancelled, please refer to the cancellation reasons")
		e.Reasons = reasons
		return e
	}
	for _, w := range writes {
		t.applyWrite(w)
	}
	return nil
}

func (t *tableAPI) applyWrite(w *write) {
	if t.tables == nil {
		t.tables = map[string]map[itemKey]item{}
	}
	if t.tables[w.TableName] == nil {
		t.tables[w.TableName] = map[itemKey]item{}
	}
	if w.remove {
		delete(t.tables[w.TableName], w.key)
		return
	}
	t.tables[w.TableName][w.key] = w.Item
}

// save keeps a copy of all tables. The copy shares the items, because an item is only
// replaced as a whole, never modified.
func (t *tableAPI) save() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.saved = cloneTables(t.tables)
}

// restore replaces all items by the ones that were saved last.
func (t *tableAPI) restore() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.saved == nil {
		return therror.New(therror.Bad, "no state has been saved")
	}
	t.tables = cloneTables(t.saved)
	return nil
}

func cloneTables(tables map[string]map[itemKey]item) map[string]map[itemKey]item {
	c := make(map[string]map[itemKey]item, len(tables))
	for name, items := range tables {
		c[name] = maps.Clone(items)
	}
	return c
}
