package thdynamo

import (
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

// Attribute names of an item. Expressions use them without placeholders, which
// works because none is a reserved word of DynamoDB.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeNumber    = "num"
	attributeDigest    = "sha"
	attributeBody      = "body"
	attributeExpiry    = "expires" // seconds since 1970; the table's TTL attribute
)

type row = map[string]types.AttributeValue

// asRows gives the items of a response the type row.
func asRows(items []map[string]types.AttributeValue) []row { return items }

func encodeKey(k thplatform.Key) row {
	return row{attributePartition: stringValue(k.Partition), attributeSort: stringValue(k.Sort)}
}

func encodeItem(i thplatform.Item) row {
	r := encodeKey(i.Key)
	r[attributeNumber] = numberValue(i.Number)
	if len(i.Digest) > 0 {
		r[attributeDigest] = &types.AttributeValueMemberB{Value: i.Digest}
	}
	if len(i.Body) > 0 {
		r[attributeBody] = &types.AttributeValueMemberB{Value: i.Body}
	}
	if !i.Expiry.IsZero() {
		r[attributeExpiry] = numberValue(uint64(i.Expiry.Unix()))
	}
	return r
}

// decode converts rows to items. It omits missing items, which are empty rows, and
// expired ones.
func (t *Table) decode(rows []row) ([]thplatform.Item, error) {
	items := make([]thplatform.Item, 0, len(rows))
	for _, r := range rows {
		if len(r) == 0 {
			continue
		}
		i, err := decodeItem(r)
		if err != nil {
			return nil, err
		}
		if i.Expiry.IsZero() || i.Expiry.After(t.now()) {
			items = append(items, i)
		}
	}
	return items, nil
}

func decodeItem(r row) (thplatform.Item, error) {
	var i thplatform.Item
	for name, v := range r {
		ok := true
		switch name {
		case attributePartition:
			i.Key.Partition, ok = decodeString(v)
		case attributeSort:
			i.Key.Sort, ok = decodeString(v)
		case attributeNumber:
			i.Number, ok = decodeNumber(v)
		case attributeDigest:
			i.Digest, ok = decodeBytes(v)
		case attributeBody:
			i.Body, ok = decodeBytes(v)
		case attributeExpiry:
			var n uint64
			if n, ok = decodeNumber(v); ok {
				i.Expiry = time.Unix(int64(n), 0).UTC()
			}
		}
		if !ok {
			return i, therror.New(therror.Refused, "item of the table service: attribute %q has the wrong type", name)
		}
	}
	if i.Key.Partition == "" {
		return i, therror.New(therror.Refused, "item of the table service: key is missing")
	}
	return i, nil
}

func decodeString(v types.AttributeValue) (string, bool) {
	s, ok := v.(*types.AttributeValueMemberS)
	if !ok {
		return "", false
	}
	return s.Value, true
}

func decodeBytes(v types.AttributeValue) ([]byte, bool) {
	b, ok := v.(*types.AttributeValueMemberB)
	if !ok {
		return nil, false
	}
	return b.Value, true
}

func decodeNumber(v types.AttributeValue) (uint64, bool) {
	n, ok := v.(*types.AttributeValueMemberN)
	if !ok {
		return 0, false
	}
	u, err := strconv.ParseUint(n.Value, 10, 64)
	return u, err == nil
}
