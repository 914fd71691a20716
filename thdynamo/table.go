// Package thdynamo implements thplatform.TableService with the DynamoDB JSON API.
package thdynamo

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

// maxResponseSize limits the size of a response body, in bytes. A transactional
// read returns at most 4 MB, which is 5.4 MB in base64.
const maxResponseSize = 8 << 20

// Settings holds the address of the table and the credentials.
type Settings struct {
	Endpoint  string // URL; empty means the default endpoint of the region
	Table     string
	Region    string
	AccessKey string
	Secret    string
}

// Table is a thplatform.TableService. Create one with New.
type Table struct {
	Clock  clockwork.Clock // for item expiry; nil means the system clock
	client *dynamodb.Client
	name   *string
}

var _ thplatform.TableService = (*Table)(nil)

// New returns a client for the table. It opens no connection.
func New(s Settings) *Table {
	o := dynamodb.Options{
		Region:      s.Region,
		Credentials: credentials.NewStaticCredentialsProvider(s.AccessKey, s.Secret, ""),
		HTTPClient:  thplatform.NewHTTPClient(maxResponseSize),
		// thplatform.Guard retries, within its retry budget.
		Retryer: aws.NopRetryer{},
	}
	if s.Endpoint != "" {
		o.BaseEndpoint = aws.String(s.Endpoint)
	}
	return &Table{client: dynamodb.New(o), name: aws.String(s.Table)}
}

// Get reads items in one consistent transaction; see thplatform.TableService.
func (t *Table) Get(ctx context.Context, keys ...thplatform.Key) ([]thplatform.Item, error) {
	switch {
	case len(keys) == 0:
		return nil, nil
	case len(keys) == 1:
		return t.getOne(ctx, keys[0])
	case len(keys) > thplatform.MaxGetKeys:
		return nil, therror.New(therror.Bad, "read of %d keys, at most %d are allowed", len(keys), thplatform.MaxGetKeys)
	}
	in := &dynamodb.TransactGetItemsInput{}
	for _, k := range keys {
		in.TransactItems = append(in.TransactItems, types.TransactGetItem{Get: &types.Get{TableName: t.name, Key: encodeKey(k)}})
	}
	ctx, trace := thplatform.WithTrace(ctx)
	out, err := t.client.TransactGetItems(ctx, in)
	if err != nil {
		return nil, wrapError(trace, err, false, "read items")
	}
	rows := make([]row, 0, len(out.Responses))
	for _, r := range out.Responses {
		rows = append(rows, r.Item)
	}
	return t.decode(rows)
}

func (t *Table) getOne(ctx context.Context, k thplatform.Key) ([]thplatform.Item, error) {
	ctx, trace := thplatform.WithTrace(ctx)
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{TableName: t.name, Key: encodeKey(k), ConsistentRead: aws.Bool(true)})
	if err != nil {
		return nil, wrapError(trace, err, false, "read item")
	}
	return t.decode([]row{out.Item})
}

// Query reads a range of a partition; see thplatform.TableService.
func (t *Table) Query(ctx context.Context, partition, from, to string, limit int) ([]thplatform.Item, error) {
	if limit <= 0 {
		return nil, nil
	}
	in := &dynamodb.QueryInput{
		TableName: t.name, ConsistentRead: aws.Bool(true),
		KeyConditionExpression:    aws.String("pk = :p"),
		ExpressionAttributeValues: row{":p": stringValue(partition)},
	}
	switch {
	case from != "" && to != "":
		if from >= to {
			return nil, nil
		}
		// BETWEEN includes the upper bound; the loop below excludes it.
		in.KeyConditionExpression = aws.String("pk = :p AND sk BETWEEN :f AND :t")
		in.ExpressionAttributeValues[":f"], in.ExpressionAttributeValues[":t"] = stringValue(from), stringValue(to)
	case from != "":
		in.KeyConditionExpression = aws.String("pk = :p AND sk >= :f")
		in.ExpressionAttributeValues[":f"] = stringValue(from)
	case to != "":
		in.KeyConditionExpression = aws.String("pk = :p AND sk < :t")
		in.ExpressionAttributeValues[":t"] = stringValue(to)
	}
	var items []thplatform.Item
	for {
		in.Limit = aws.Int32(int32(min(limit-len(items)+1, 1000)))
		queryCtx, trace := thplatform.WithTrace(ctx)
		out, err := t.client.Query(queryCtx, in)
		if err != nil {
			return nil, wrapError(trace, err, false, "query items")
		}
		page, err := t.decode(asRows(out.Items))
		if err != nil {
			return nil, err
		}
		for _, i := range page {
			if to != "" && i.Key.Sort >= to {
				return items, nil
			}
			if items = append(items, i); len(items) == limit {
				return items, nil
			}
		}
		if len(out.LastEvaluatedKey) == 0 {
			return items, nil
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
}

// Write applies operations in one transaction; see thplatform.TableService.
func (t *Table) Write(ctx context.Context, ops ...thplatform.Op) error {
	if len(ops) == 0 {
		return nil
	}
	if len(ops) > thplatform.MaxWriteOps {
		return therror.New(therror.Bad, "write of %d operations, at most %d are allowed", len(ops), thplatform.MaxWriteOps)
	}
	in := &dynamodb.TransactWriteItemsInput{}
	for _, o := range ops {
		if len(o.Item.Body) > thplatform.MaxBodySize {
			return therror.New(therror.Refused, "item %s/%s has %d bytes, at most %d are allowed",
				o.Item.Key.Partition, o.Item.Key.Sort, len(o.Item.Body), thplatform.MaxBodySize)
		}
		in.TransactItems = append(in.TransactItems, t.encodeOp(o))
	}
	ctx, trace := thplatform.WithTrace(ctx)
	var err error
	if w := in.TransactItems[0]; len(ops) > 1 {
		_, err = t.client.TransactWriteItems(ctx, in)
	} else if w.Put != nil {
		_, err = t.client.PutItem(ctx, &dynamodb.PutItemInput{
			TableName: t.name, Item: w.Put.Item,
			ConditionExpression: w.Put.ConditionExpression, ExpressionAttributeValues: w.Put.ExpressionAttributeValues,
		})
	} else {
		_, err = t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName: t.name, Key: w.Delete.Key,
			ConditionExpression: w.Delete.ConditionExpression, ExpressionAttributeValues: w.Delete.ExpressionAttributeValues,
		})
	}
	if err != nil {
		return wrapError(trace, err, true, "write items")
	}
	return nil
}

func (t *Table) encodeOp(o thplatform.Op) types.TransactWriteItem {
	condition, values := t.encodeCondition(o.If)
	if o.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: t.name, Key: encodeKey(o.Item.Key), ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: t.name, Item: encodeItem(o.Item), ConditionExpression: condition, ExpressionAttributeValues: values,
	}}
}

func (t *Table) encodeCondition(c thplatform.Condition) (*string, row) {
	// DynamoDB may delete expired items days late, so conditions treat them as missing.
	now := numberValue(uint64(t.now().Unix()))
	switch c := c.(type) {
	case thplatform.Missing:
		return aws.String("attribute_not_exists(pk) OR expires <= :now"), row{":now": now}
	case thplatform.NumberEquals:
		return aws.String("num = :num AND attribute_not_exists(expires) OR num = :num AND expires > :now"),
			row{":num": numberValue(uint64(c)), ":now": now}
	case thplatform.DigestEquals:
		return aws.String("sha = :sha AND attribute_not_exists(expires) OR sha = :sha AND expires > :now"),
			row{":sha": &types.AttributeValueMemberB{Value: []byte(c)}, ":now": now}
	}
	return nil, nil
}

func (t *Table) now() time.Time { return thclock.OrSystem(t.Clock).Now() }

// wrapError wraps an error of the SDK in a therror.Error. It handles the errors
// that are specific to DynamoDB and leaves the others to thplatform.Trace.
func wrapError(trace *thplatform.Trace, err error, write bool, operation string) error {
	var conditional *types.ConditionalCheckFailedException
	if errors.As(err, &conditional) {
		return therror.Wrap(therror.Conflict, err, "%s", operation)
	}
	var concurrent *types.TransactionConflictException
	if errors.As(err, &concurrent) {
		return therror.Wrap(therror.Limited, err, "%s", operation)
	}
	var inProgress *types.TransactionInProgressException
	if errors.As(err, &inProgress) {
		return therror.Wrap(therror.Unknown, err, "%s", operation)
	}
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) {
		return trace.WrapError(err, write, operation)
	}
	// A cancelled transaction wrote nothing and lists a reason for each item.
	kind := therror.Limited
	for _, r := range cancelled.CancellationReasons {
		switch aws.ToString(r.Code) {
		case "ConditionalCheckFailed":
			return therror.Wrap(therror.Conflict, err, "%s", operation)
		case "ItemCollectionSizeLimitExceeded", "ValidationError":
			kind = therror.Refused
		}
	}
	return therror.Wrap(kind, err, "%s", operation)
}

func numberValue(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }
