package thstore

import (
	"bytes"
	"context"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

// PutSnapshot writes the tables to the object store. The content depends only on
// the version, so the write is idempotent. The error is of kind Absent without an
// object store.
func (s *Store) PutSnapshot(ctx context.Context, t thconfig.Tables) error {
	if s.Objects == nil {
		return therror.New(therror.Absent, "no object store is configured")
	}
	body, err := t.MarshalMsg(nil)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "encode snapshot")
	}
	return s.Objects.Put(ctx, snapshotName(t.Version), body)
}

// Restore returns the current tables and their digest, computed from the newest
// snapshot and the changes after it. If that fails it falls back to Load.
func (s *Store) Restore(ctx context.Context) (thconfig.Tables, []byte, error) {
	h, err := s.Head(ctx)
	if err != nil {
		return thconfig.Tables{}, nil, err
	}
	base := h.Version - h.Version%snapshotInterval
	if s.Objects == nil || base == 0 {
		return s.Load(ctx)
	}
	t, digest, err := s.replaySnapshot(ctx, h, base)
	if err != nil {
		s.log().Info("failed to restore from snapshot; loading the tables instead", "snapshot", base, "head", h.Version, "error", err)
		return s.Load(ctx)
	}
	return t, digest, nil
}

// replaySnapshot applies the changes after snapshot base to it. The error is of
// kind Diverged when the result does not match the head.
func (s *Store) replaySnapshot(ctx context.Context, h Head, base uint64) (thconfig.Tables, []byte, error) {
	body, err := s.Objects.Get(ctx, snapshotName(base))
	if err != nil {
		return thconfig.Tables{}, nil, err
	}
	t, err := decodeTables(body)
	if err != nil {
		return thconfig.Tables{}, nil, err
	}
	if t.Version != base {
		return thconfig.Tables{}, nil, therror.New(therror.Refused, "snapshot %d contains version %d", base, t.Version)
	}
	digest := thconfig.Digest(t)
	if base < h.Version {
		changes, err := s.Changes(ctx, base, snapshotInterval)
		if err != nil {
			return thconfig.Tables{}, nil, err
		}
		for _, c := range changes {
			if c.Version > h.Version {
				break
			}
			if t, err = thconfig.ApplyChange(t, c); err != nil {
				return thconfig.Tables{}, nil, err
			}
			digest = c.Digest
		}
	}
	if t.Version != h.Version || !bytes.Equal(digest, h.Digest) {
		return thconfig.Tables{}, nil, therror.New(therror.Diverged, "snapshot %d with the changes after it gives version %d with digest %x, the head is %d with %x",
			base, t.Version, digest[:4], h.Version, h.Digest[:4])
	}
	return t, digest, nil
}
