package thstore

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

const (
	maxLostRaces   = 8 // conflicts with other commits before a commit fails
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
	// resolveTimeout limits the time spent on finding out the outcome of a write if
	// the context has no earlier deadline.
	resolveTimeout   = 30 * time.Second
	maxRequestIDSize = 200 // bytes
	// maxAboveVersion limits Proposal.Above, so that version numbers cannot overflow.
	maxAboveVersion = 1 << 62
)

// Proposal is a request to change the configuration. Edit computes the edits from
// the current tables, and runs again after a conflict with another commit. If Above
// is not zero, the resulting version is greater than Above. Repair accepts tables
// that do not match the digest of the head, and commits them with a correct digest.
type Proposal struct {
	Request, Author string
	Above           uint64
	Repair          bool
	Edit            func(thconfig.Tables) ([]thconfig.Edit, error)
}

// commitRun is the state of one call of Store.Commit.
type commitRun struct {
	*Proposal
	store         *Store
	editVersion   uint64 // version for which Edit first returned valid edits
	editsValid    bool   // the edits were valid for editVersion
	lostRaces     int
	damaged       bool            // the tables do not match the digest of the head, and Repair is set
	unknownErr    error           // error of a write that may have taken effect or still may
	unknownBase   uint64          // version that the write of unknown outcome is based on
	unknownTables thconfig.Tables // tables that the write of unknown outcome contains
}

// Commit applies a proposal. For a request id that was already committed it
// returns the earlier change. If the edits change nothing, nothing is written and
// the returned change has the current version and no edits. Error kinds are those
// of the edits, Refused, Conflict, Down, Limited, and Unknown when the outcome of
// the write could not be found out within resolveTimeout or before ctx ended.
//
// The transaction is conditional on the version of the head and on a request id
// that is not yet recorded, so repeating a write of unknown outcome cannot commit
// a request twice.
func (s *Store) Commit(ctx context.Context, p Proposal) (thconfig.Change, error) {
	if p.Above > maxAboveVersion {
		return thconfig.Change{}, therror.New(therror.Bad, "version %d is above the limit of %d", p.Above, uint64(maxAboveVersion))
	}
	if p.Request == "" || len(p.Request) > maxRequestIDSize || p.Edit == nil {
		return thconfig.Change{}, therror.New(therror.Bad, "a commit needs edits and a request id of 1 to %d bytes", maxRequestIDSize)
	}
	c := &commitRun{Proposal: &p, store: s}
	var deadline time.Time
	for n := 0; ; n++ {
		change, retry, err := c.attempt(ctx)
		if !retry {
			return change, err
		}
		now := s.clock().Now()
		if c.unknownErr != nil && deadline.IsZero() {
			deadline = now.Add(resolveTimeout)
		}
		if !deadline.IsZero() && now.After(deadline) {
			return thconfig.Change{}, c.failure(err)
		}
		if !s.wait(ctx, rand.N(min(maxBackoff, initialBackoff<<min(n, 10)))) {
			return thconfig.Change{}, c.failure(err)
		}
	}
}

// failure returns the final error of a commit: kind Unknown if a write of unknown
// outcome is pending, otherwise err.
func (c *commitRun) failure(err error) error {
	if c.unknownErr != nil {
		return therror.Wrap(therror.Unknown, c.unknownErr, "request %s: cannot tell whether it was committed after version %d", c.Request, c.unknownBase)
	}
	return err
}

// attempt reads, edits and writes once. The bool reports whether to retry.
func (c *commitRun) attempt(ctx context.Context) (thconfig.Change, bool, error) {
	items, err := c.store.Table.Get(ctx, append(tablesKeys(), requestKey(c.Request))...)
	if err != nil {
		return thconfig.Change{}, c.unknownErr != nil, err
	}
	for _, i := range items {
		if i.Key == requestKey(c.Request) {
			change, err := c.store.readChange(ctx, i.Number, c.Request)
			if err == nil && c.unknownErr != nil && bytes.Equal(change.Digest, thconfig.Digest(c.unknownTables)) {
				c.store.snapshotIfDue(ctx, c.unknownTables)
			}
			return change, err != nil && c.unknownErr != nil, err
		}
	}
	t, digest, err := decodeVerified(items)
	if c.damaged = c.Repair && therror.Is(err, therror.Diverged); c.damaged {
		t, digest, err = decodeUnverified(items)
	}
	if err != nil {
		return thconfig.Change{}, false, c.failure(err)
	}
	if t.Version != c.unknownBase {
		// The head has changed and the request is not recorded, so the write of
		// unknown outcome, which is conditional on the old head, can no longer take
		// effect.
		c.unknownErr = nil
	}
	next, edits, err := c.plan(t)
	if err != nil {
		return thconfig.Change{}, false, c.failure(err)
	}
	if next.Version == t.Version {
		return thconfig.Change{Version: t.Version, Base: t.Version, Request: c.Request, Author: c.Author, Time: c.store.clock().Now().UTC(), Digest: digest}, false, nil
	}
	return c.write(ctx, t, next, edits)
}

// plan computes the edits and the next tables, whose version is that of t when
// nothing changes. Edits that were valid for an earlier version and are not valid
// for t give kind Conflict.
func (c *commitRun) plan(t thconfig.Tables) (thconfig.Tables, []thconfig.Edit, error) {
	next, edits, err := c.apply(t)
	if err == nil && !c.editsValid {
		c.editVersion, c.editsValid = t.Version, true
	}
	if err != nil && c.editsValid && c.editVersion != t.Version {
		return next, nil, therror.Wrap(therror.Conflict, err, "edits made for version %d no longer apply to version %d", c.editVersion, t.Version)
	}
	return next, edits, err
}

func (c *commitRun) apply(t thconfig.Tables) (thconfig.Tables, []thconfig.Edit, error) {
	edits, err := c.Edit(t)
	if err != nil {
		return t, nil, err
	}
	next, err := thconfig.Apply(t, edits)
	if err != nil {
		return t, nil, err
	}
	next.Version = t.Version
	if !c.damaged && (c.Above == 0 || c.Above < t.Version) && bytes.Equal(thconfig.Digest(next), thconfig.Digest(t)) {
		return next, nil, nil
	}
	next.Version = max(t.Version, c.Above) + 1
	return next, edits, thconfig.Validate(next)
}

func (c *commitRun) write(ctx context.Context, t, next thconfig.Tables, edits []thconfig.Edit) (thconfig.Change, bool, error) {
	change := thconfig.Change{
		Version: next.Version, Base: t.Version, Request: c.Request, Author: c.Author,
		Time: c.store.clock().Now().UTC(), Edits: thconfig.EncodeEdits(edits), Digest: thconfig.Digest(next),
	}
	ops, err := transactionOps(t, next, change)
	if err != nil {
		return thconfig.Change{}, false, c.failure(err)
	}
	err = c.store.Table.Write(ctx, ops...)
	switch therror.KindOf(err) {
	case "":
		c.store.snapshotIfDue(ctx, next)
		return change, false, nil
	case therror.Conflict:
		c.lostRaces++
		return thconfig.Change{}, c.lostRaces < maxLostRaces || c.unknownErr != nil, therror.Wrap(therror.Conflict, err,
			"edits made for version %d conflicted with other commits %d times, most recently with a successor of version %d", c.editVersion, c.lostRaces, t.Version)
	case therror.Unknown:
		c.unknownErr, c.unknownBase, c.unknownTables = err, t.Version, next
		return thconfig.Change{}, true, err
	}
	return thconfig.Change{}, c.unknownErr != nil, err
}

// transactionOps returns the transaction that replaces t by next. The error is of
// kind Refused when an item would exceed the size limit.
func transactionOps(t, next thconfig.Tables, change thconfig.Change) ([]thplatform.Op, error) {
	var condition thplatform.Condition = thplatform.NumberEquals(t.Version)
	if t.Version == 0 {
		condition = thplatform.Missing{}
	}
	body, err := change.MarshalMsg(nil)
	if err != nil {
		return nil, therror.Wrap(therror.Internal, err, "encode change")
	}
	ops := []thplatform.Op{
		{Item: thplatform.Item{Key: headKey(), Number: next.Version, Digest: change.Digest}, If: condition},
		{Item: thplatform.Item{Key: changeKey(next.Version), Number: next.Version, Digest: change.Digest, Body: body}, If: thplatform.Missing{}},
		{Item: thplatform.Item{Key: requestKey(change.Request), Number: next.Version}, If: thplatform.Missing{}},
	}
	before, err := encodeTables(t)
	if err != nil {
		return nil, err
	}
	after, err := encodeTables(next)
	if err != nil {
		return nil, err
	}
	for i, name := range tableNames {
		if !bytes.Equal(before[i], after[i]) {
			ops = append(ops, thplatform.Op{Item: thplatform.Item{Key: tableKey(name), Number: next.Version, Body: after[i]}})
		}
	}
	for _, o := range ops {
		if len(o.Item.Body) > thplatform.MaxBodySize {
			return nil, therror.New(therror.Refused, "item %s/%s would have %d bytes, at most %d are allowed",
				o.Item.Key.Partition, o.Item.Key.Sort, len(o.Item.Body), thplatform.MaxBodySize)
		}
	}
	return ops, nil
}

// encodeTables encodes each table separately, in the order of tableNames, as a
// thconfig.Tables with one slice set and no version.
func encodeTables(t thconfig.Tables) ([][]byte, error) {
	var parts [][]byte
	for _, p := range []thconfig.Tables{{Routes: t.Routes}, {Pools: t.Pools}, {Zones: t.Zones}, {Moves: t.Moves}} {
		body, err := p.MarshalMsg(nil)
		if err != nil {
			return nil, therror.Wrap(therror.Internal, err, "encode tables")
		}
		parts = append(parts, body)
	}
	return parts, nil
}

func (s *Store) readChange(ctx context.Context, version uint64, request string) (thconfig.Change, error) {
	items, err := s.Table.Get(ctx, changeKey(version))
	if err != nil {
		return thconfig.Change{}, err
	}
	if len(items) != 1 {
		return thconfig.Change{}, therror.New(therror.Refused, "change %d of request %s is missing", version, request)
	}
	c, err := decodeChange(items[0])
	if err == nil && c.Request != request {
		return thconfig.Change{}, therror.New(therror.Refused, "change %d belongs to request %s, not to %s", version, c.Request, request)
	}
	return c, err
}

// snapshotIfDue writes a snapshot if the version is a multiple of
// snapshotInterval. Errors are only logged: without the snapshot, starting daemons
// read the full tables.
func (s *Store) snapshotIfDue(ctx context.Context, t thconfig.Tables) {
	if t.Version%snapshotInterval != 0 || s.Objects == nil {
		return
	}
	if err := s.PutSnapshot(ctx, t); err != nil {
		s.log().Warn("failed to write snapshot", "version", t.Version, "error", err)
	}
}

// wait waits for d or the end of ctx, and reports whether ctx is still live.
func (s *Store) wait(ctx context.Context, d time.Duration) bool {
	t := s.clock().NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
