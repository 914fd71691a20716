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
	maxName = 255 // bytes
	// wrapBelow is the number of rows up to the last name from which on a page needs
	// no second read from the first name: they are enough to find a fleet by.
	wrapBelow = 8
	// fleetPage bounds the announcements that Fleet reads: about 16 KB, which is
	// four reads of the table service. After a restore every live daemon announces
	// itself again, so that any page shows the fleet's version.
	fleetPage = 64
)

// Announcement tells starting daemons where a daemon listens for peers, and
// operator commands which version it held when it announced itself.
type Announcement struct {
	Name   string         `json:"name"`
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	Peer   netip.AddrPort `json:"peer"`
	// Version is zero without one; Digest is the first 8 bytes of its digest.
	Version uint64 `json:"version,omitempty"`
	Digest  uint64 `json:"digest,omitempty"`
	// Expiry is when a read announcement expires.
	Expiry time.Time `json:"-"`
}

// FleetVersion is the highest version that announcements name, zero without one, and
// the digests that daemons hold it with.
type FleetVersion struct {
	Version uint64
	Digests []uint64
}

// Fleet reads up to 64 announcements, from a random name on, and returns the
// highest version in them. A head below it means that the table service was
// restored from a backup: a version is announced only after its commit.
func (s *Store) Fleet(ctx context.Context) (FleetVersion, error) {
	const letters = "0123456789abcdefghijklmnopqrstuvwxyz"
	list, err := s.Announcements(ctx, string(letters[rand.IntN(len(letters))]), fleetPage)
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

func memberKey(name string) thplatform.Key {
	return thplatform.Key{Partition: partitionMember, Sort: name}
}

// Announce writes an announcement that expires after ttl.
func (s *Store) Announce(ctx context.Context, a Announcement, ttl time.Duration) error {
	if a.Name == "" || len(a.Name) > maxName {
		return therror.New(therror.Bad, "an announcement needs a name of 1 to %d bytes", maxName)
	}
	body, err := json.Marshal(a)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "encode announcement")
	}
	return s.Table.Write(ctx, thplatform.Op{Item: thplatform.Item{
		Key: memberKey(a.Name), Body: body, Expiry: s.clock().Now().Add(ttl),
	}})
}

// Withdraw removes an announcement.
func (s *Store) Withdraw(ctx context.Context, name string) error {
	return s.Table.Write(ctx, thplatform.Op{Item: thplatform.Item{Key: memberKey(name)}, Delete: true})
}

// Announcements reads up to limit announcements from a name on, in order, and
// continues at the first name where there are few up to the last. Expired ones and ones that cannot
// be decoded are left out.
func (s *Store) Announcements(ctx context.Context, from string, limit int) ([]Announcement, error) {
	items, err := s.Table.Query(ctx, partitionMember, from, "", limit)
	if err != nil {
		return nil, err
	}
	if from != "" && len(items) < min(limit, wrapBelow) {
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
		if err := json.Unmarshal(i.Body, &a); err != nil || a.Name != i.Key.Sort || !a.Peer.IsValid() {
			s.log().Warn("corrupt announcement ignored", "name", i.Key.Sort, "error", err)
			continue
		}
		a.Expiry = i.Expiry
		list = append(list, a)
	}
	return list, nil
}
