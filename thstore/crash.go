package thstore

import (
	"context"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

const (
	partitionCrash = "crash"
	// maxCrashRecords limits the records that CrashRecords reads.
	maxCrashRecords = 256
)

// PutCrashRecord stores the encoded record of a quarantined request until its expiry. The
// name identifies the request.
func (s *Store) PutCrashRecord(ctx context.Context, name string, body []byte, expiry time.Time) error {
	if name == "" || len(name) > maxNameSize {
		return therror.New(therror.Bad, "a crash record needs a name of 1 to %d bytes", maxNameSize)
	}
	return s.Table.Write(ctx, thplatform.Op{Item: thplatform.Item{
		Key: thplatform.Key{Partition: partitionCrash, Sort: name}, Body: body, Expiry: expiry,
	}})
}

// CrashRecords returns the encoded records that have not expired, up to maxCrashRecords.
func (s *Store) CrashRecords(ctx context.Context) ([][]byte, error) {
	items, err := s.Table.Query(ctx, partitionCrash, "", "", maxCrashRecords)
	if err != nil {
		return nil, err
	}
	now := s.clock().Now()
	var bodies [][]byte
	for _, i := range items {
		if i.Expiry.After(now) {
			bodies = append(bodies, i.Body)
		}
	}
	return bodies, nil
}
