package thstore

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

const (
	maxNameSize = 255 // bytes
	// minItemsToEnd is the number of items from the start name to the last name below
	// which Announcements continues at the first name. That many peers suffice to
	// join the fleet.
	minItemsToEnd = 8
	// fleetPageSize limits the announcements that Fleet reads: about 16 KB, which is
	// four reads of the table service. After a restore of the table every live daemon
	// announces itself again, so any page shows the fleet's version.
	fleetPageSize = 64
)

// Announcement is the record by which starting daemons find a daemon's peer
// address, and operator commands the version that it held at that time.
type Announcement struct {
	Name   string         `json:"name"`
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	Peer   netip.AddrPort `json:"peer"`
	// Version is the held version, or zero; Digest is the first 8 bytes of its digest.
	Version uint64 `json:"version,omitempty"`
	Digest  uint64 `json:"digest,omitempty"`
	// Expiry is set by Announcements; Announce ignores it.
	Expiry time.Time `json:"-"`
}

// FleetVersion is the highest announced version, or zero, with the distinct
// digests that daemons announce for it.
type FleetVersion struct {
	Version uint64
	Digests []uint64
}

// Fleet returns the highest version in up to 64 announcements, read from a random
// name on. Versions are announced only after their commit, so a head below it
// means that the table service was restored from a backup.
func (s *Store) Fleet(ctx context.Context) (FleetVersion, error) {
	const letters = "0123456789abcdefghijklmnopqrstuvwxyz"
	list, err := s.Announcements(ctx, string(letters[rand.IntN(len(letters))]), fleetPageSize)
	if err != nil {
		return FleetVersion{}, err
	}
	var f FleetVersion
	for _, a := range list {
		if a.Version > f.Version {
			f = FleetVersion{Version: a.Version}
		}
		if a.Version == f.Version && a.Version > 0 && !slices.Contains(f.Digests, a.Digest) {
			f.Digests = append(f.Digests, a.Digest)
		}
	}
	return f, nil
}

// isDialable reports whether a daemon can listen at an address.
func isDialable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

func memberKey(name string) thplatform.Key {
	return thplatform.Key{Partition: partitionMember, Sort: name}
}

// Announce writes or replaces the announcement of a daemon, which expires after
// ttl. The error is of kind Bad when the name is empty or too long.
func (s *Store) Announce(ctx context.Context, a Announcement, ttl time.Duration) error {
	if a.Name == "" || len(a.Name) > maxNameSize {
		return therror.New(therror.Bad, "an announcement needs a name of 1 to %d bytes", maxNameSize)
	}
	body, err := json.Marshal(a)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "encode announcement")
	}
	return s.Table.Write(ctx, thplatform.Op{Item: thplatform.Item{
		Key: memberKey(a.Name), Body: body, Expiry: s.clock().Now().Add(ttl),
	}})
}

// Withdraw deletes the announcement of a daemon.
func (s *Store) Withdraw(ctx context.Context, name string) error {
	return s.Table.Write(ctx, thplatform.Op{Item: thplatform.Item{Key: memberKey(name)}, Delete: true})
}

// Announcements reads up to limit announcements in name order, starting at from.
// It wraps around to the first name if there are fewer than minItemsToEnd up to
// the last name. Expired and undecodable announcements are skipped.
func (s *Store) Announcements(ctx context.Context, from string, limit int) ([]Announcement, error) {
	items, err := s.Table.Query(ctx, partitionMember, from, "", limit)
	if err != nil {
		return nil, err
	}
	if from != "" && len(items) < min(limit, minItemsToEnd) {
		more, err := s.Table.Query(ctx, partitionMember, "", from, limit-len(items))
		if err != nil {
			return nil, err
		}
		items = append(items, more...)
	}
	now := s.clock().Now()
	list := make([]Announcement, 0, len(items))
	for _, i := range items {
		var a Announcement
		if !i.Expiry.IsZero() && !i.Expiry.After(now) {
			continue
		}
		if err := json.Unmarshal(i.Body, &a); err != nil || a.Name != i.Key.Sort || !isDialable(a.Peer) {
			s.log().Warn("ignoring corrupt announcement", "name", i.Key.Sort, "error", err)
			continue
		}
		a.Expiry = i.Expiry
		list = append(list, a)
	}
	return list, nil
}
