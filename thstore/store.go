// Package thstore stores the configuration, announcements of daemons, departures
// of instances and idempotency claims in the platform's table service, and
// snapshots of the configuration in its object store.
package thstore

import (
	"bytes"
	"context"
	"fmt"
	"strconv"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

const (
	partitionConfig  = "config"
	partitionTable   = "table"
	partitionChange  = "change"
	partitionRequest = "request" // maps a request id to its version in the change log
	partitionMember  = "member"

	snapshotInterval = 16  // versions between snapshots
	maxChanges       = 256 // per call of Changes
)

// tableNames are the sort keys of the items in partitionTable.
var tableNames = []string{"routes", "pools", "zones", "moves"}

// Store is the configuration store. Set the fields before use.
type Store struct {
	Table   thplatform.TableService
	Objects thplatform.ObjectStore // nil disables snapshots
	Clock   clockwork.Clock
	Log     hclog.Logger
}

// Head is the current version and its digest. An empty store has version 0 and the
// digest of empty tables.
type Head struct {
	Version uint64
	Digest  []byte
}

func (s *Store) clock() clockwork.Clock { return thclock.OrSystem(s.Clock) }

func (s *Store) log() hclog.Logger {
	if s.Log == nil {
		return hclog.NewNullLogger()
	}
	return s.Log
}

func headKey() thplatform.Key { return thplatform.Key{Partition: partitionConfig, Sort: "head"} }

func changeKey(version uint64) thplatform.Key {
	return thplatform.Key{Partition: partitionChange, Sort: formatVersion(version)}
}

func tableKey(name string) thplatform.Key {
	return thplatform.Key{Partition: partitionTable, Sort: name}
}

func requestKey(id string) thplatform.Key {
	return thplatform.Key{Partition: partitionRequest, Sort: id}
}

func formatVersion(v uint64) string { return fmt.Sprintf("%020d", v) }

func snapshotName(version uint64) string { return "snapshot/" + strconv.FormatUint(version, 10) }

// Head reads the current version and digest. The error is of kind Refused when the
// head is corrupt.
func (s *Store) Head(ctx context.Context) (Head, error) {
	items, err := s.Table.Get(ctx, headKey())
	if err != nil {
		return Head{}, err
	}
	return decodeHead(items)
}

func decodeHead(items []thplatform.Item) (Head, error) {
	for _, i := range items {
		if i.Key != headKey() {
			continue
		}
		if i.Number == 0 || len(i.Digest) != thconfig.DigestSize {
			return Head{}, therror.New(therror.Refused, "corrupt head: version %d with a digest of %d bytes", i.Number, len(i.Digest))
		}
		return Head{Version: i.Number, Digest: i.Digest}, nil
	}
	return Head{Digest: thconfig.Digest(thconfig.Tables{})}, nil
}

// Load reads the current tables and their digest in one transactional read. The
// error is of kind Diverged when the tables do not match the digest of the head,
// and of kind Refused when an item cannot be decoded.
func (s *Store) Load(ctx context.Context) (thconfig.Tables, []byte, error) {
	items, err := s.Table.Get(ctx, tablesKeys()...)
	if err != nil {
		return thconfig.Tables{}, nil, err
	}
	return decodeVerified(items)
}

func tablesKeys() []thplatform.Key {
	keys := make([]thplatform.Key, 0, 1+len(tableNames))
	keys = append(keys, headKey())
	for _, n := range tableNames {
		keys = append(keys, tableKey(n))
	}
	return keys
}

// decodeVerified decodes the tables and checks them against the digest of the head.
func decodeVerified(items []thplatform.Item) (thconfig.Tables, []byte, error) {
	t, digest, err := decodeUnverified(items)
	if err != nil {
		return thconfig.Tables{}, nil, err
	}
	if d := thconfig.Digest(t); !bytes.Equal(d, digest) {
		return thconfig.Tables{}, nil, therror.New(therror.Diverged,
			"version %d: digest of the tables is %x, the head has %x", t.Version, d[:4], digest[:4])
	}
	return t, digest, nil
}

// decodeUnverified decodes the tables and the digest of the head without comparing
// them.
func decodeUnverified(items []thplatform.Item) (thconfig.Tables, []byte, error) {
	h, err := decodeHead(items)
	if err != nil {
		return thconfig.Tables{}, nil, err
	}
	t := thconfig.Tables{Version: h.Version}
	for _, i := range items {
		if i.Key.Partition != partitionTable {
			continue
		}
		part, err := decodeTables(i.Body)
		if err != nil {
			return thconfig.Tables{}, nil, therror.Wrap(therror.Refused, err, "corrupt table %s", i.Key.Sort)
		}
		switch i.Key.Sort {
		case "routes":
			t.Routes = part.Routes
		case "pools":
			t.Pools = part.Pools
		case "zones":
			t.Zones = part.Zones
		case "moves":
			t.Moves = part.Moves
		}
	}
	return t, h.Digest, nil
}

// decodeTables decodes tables after checking the size of the input.
func decodeTables(body []byte) (thconfig.Tables, error) {
	var t thconfig.Tables
	if len(body) > len(tableNames)*thplatform.MaxBodySize {
		return t, therror.New(therror.Refused, "%d bytes of tables, at most %d are allowed", len(body), len(tableNames)*thplatform.MaxBodySize)
	}
	rest, err := t.UnmarshalMsg(body)
	if err != nil {
		return thconfig.Tables{}, therror.Wrap(therror.Refused, err, "decode tables")
	}
	if len(rest) > 0 {
		return thconfig.Tables{}, therror.New(therror.Refused, "decode tables: %d trailing bytes", len(rest))
	}
	return t, nil
}

// Changes reads the changes after a version in order, at most limit and at most
// 256.
func (s *Store) Changes(ctx context.Context, after uint64, limit int) ([]thconfig.Change, error) {
	items, err := s.Table.Query(ctx, partitionChange, formatVersion(after+1), "", min(limit, maxChanges))
	if err != nil {
		return nil, err
	}
	changes := make([]thconfig.Change, 0, len(items))
	for _, i := range items {
		c, err := decodeChange(i)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

func decodeChange(i thplatform.Item) (thconfig.Change, error) {
	var c thconfig.Change
	if len(i.Body) > thplatform.MaxBodySize {
		return c, therror.New(therror.Refused, "change %s has %d bytes, at most %d are allowed", i.Key.Sort, len(i.Body), thplatform.MaxBodySize)
	}
	rest, err := c.UnmarshalMsg(i.Body)
	if err != nil {
		return thconfig.Change{}, therror.Wrap(therror.Refused, err, "corrupt change %s", i.Key.Sort)
	}
	if len(rest) > 0 || formatVersion(c.Version) != i.Key.Sort || c.Base >= c.Version || len(c.Digest) != thconfig.DigestSize {
		return thconfig.Change{}, therror.New(therror.Refused, "corrupt change %s: it has version %d and base %d", i.Key.Sort, c.Version, c.Base)
	}
	return c, nil
}
