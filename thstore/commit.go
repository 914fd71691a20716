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
	maxRaces     = 8 // lost races before a commit gives up
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
	// resolveTime bounds the search for the outcome of a write, for contexts
	// without an earlier end.
	resolveTime = 30 * time.Second
	maxRequest  = 200 // bytes of a request id
	// maxVersion bounds Above, so that versions never overflow.
	maxVersion = 1 << 62
)

// Proposal is a wish to change the configuration. Edit computes the edits from
// the current tables; it runs again after a lost race. A non-zero Above makes
// the new version exceed it. Repair accepts tables that contradict
// the digest of their head, and commits them with a right one.
type Proposal struct {
	Request, Author string
	Above           uint64
	Repair          bool
	Edit            func(thconfig.Tables) ([]thconfig.Edit, error)
}

// commit is the state of one run of Store.Commit.
type commit struct {
	*Proposal
	store   *Store
	first   uint64 // version for which the edits were first computed
	tried   bool   // the edits were valid for version first
	races   int
	damaged bool            // the tables contradict the digest of their head
	unknown error           // result of a write that may have taken effect or still may
	base    uint64          // version that the unknown write depends on
	written thconfig.Tables // what the unknown write would make current
}

// Commit applies a proposal. A request id that was committed before gives the
// change of that time. When the edits change nothing, nothing is written and the
// change has the current version and no edits. The kinds of errors are those of
// the edits, Refused, Conflict, Down, Limited, and Unknown when the outcome of
// the write could not be found out before the context ended.
//
// The transaction requires head n and a request id that is not yet recorded.
// Therefore repeating a write of unknown outcome cannot commit a request twice.
func (s *Store) Commit(ctx context.Context, p Proposal) (thconfig.Change, error) {
	if p.Above > maxVersion {
		return thconfig.Change{}, therror.New(therror.Bad, "version %d is above the limit of %d", p.Above, uint64(maxVersion))
	}
	if p.Request == "" || len(p.Request) > maxRequest || p.Edit == nil {
		return thconfig.Change{}, therror.New(therror.Bad, "a commit needs edits and a request id of 1 to %d bytes", maxRequest)
	}
	c := &commit{Proposal: &p, store: s}
	var end time.Time
	for n := 0; ; n++ {
		change, again, err := c.try(ctx)
		if !again {
			return change, err
		}
		now := s.clock().Now()
		if c.unknown != nil && end.IsZero() {
			end = now.Add(resolveTime)
		}
		if !end.IsZero() && now.After(end) {
			return thconfig.Change{}, c.end(err)
		}
		if !s.sleep(ctx, rand.N(min(maxBackoff, firstBackoff<<min(n, 10)))) {
			return thconfig.Change{}, c.end(err)
		}
	}
}

// end gives the error for a commit that runs out of time.
func (c *commit) end(err error) error {
	if c.unknown != nil {
		return therror.Wrap(therror.Unknown, c.unknown, "request %s: cannot tell whether it was committed after version %d", c.Request, c.base)
	}
	return err
}

// try reads, edits and writes once. It reports whether to try again.
func (c *commit) try(ctx context.Context) (thconfig.Change, bool, error) {
	items, err := c.store.Table.Get(ctx, append(loadKeys(), requestKey(c.Request))...)
	if err != nil {
		return thconfig.Change{}, c.unknown != nil, err
	}
	for _, i := range items {
		if i.Key == requestKey(c.Request) {
			change, err := c.store.readChange(ctx, i.Number, c.Request)
			if err == nil && c.unknown != nil && bytes.Equal(change.Digest, thconfig.Digest(c.written)) {
				c.store.snapshot(ctx, c.written)
			}
			return change, err != nil && c.unknown != nil, err
		}
	}
	t, digest, err := decodeState(items)
	if c.damaged = c.Repair && therror.Is(err, therror.Diverged); c.damaged {
		t, digest, err = decodeContent(items)
	}
	if err != nil {
		return thconfig.Change{}, false, c.end(err)
	}
	if t.Version != c.base {
		// The head moved on without this request, so the write of unknown
		// outcome can no longer take effect.
		c.unknown = nil
	}
	next, edits, err := c.plan(t)
	if err != nil {
		return thconfig.Change{}, false, c.end(err)
	}
	if next.Version == t.Version {
		return thconfig.Change{Version: t.Version, Base: t.Version, Request: c.Request, Author: c.Author, Time: c.store.clock().Now().UTC(), Digest: digest}, false, nil
	}
	return c.write(ctx, t, next, edits)
}

// plan computes the next tables; their version is that of t when nothing changes.
func (c *commit) plan(t thconfig.Tables) (thconfig.Tables, []thconfig.Edit, error) {
	next, edits, err := c.apply(t)
	if err == nil && !c.tried {
		c.first, c.tried = t.Version, true
	}
	if err != nil && c.tried && c.first != t.Version {
		return next, nil, therror.Wrap(therror.Conflict, err, "edits made for version %d no longer apply to version %d", c.first, t.Version)
	}
	return next, edits, err
}

func (c *commit) apply(t thconfig.Tables) (thconfig.Tables, []thconfig.Edit, error) {
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

func (c *commit) write(ctx context.Context, t, next thconfig.Tables, edits []thconfig.Edit) (thconfig.Change, bool, error) {
	change := thconfig.Change{
		Version: next.Version, Base: t.Version, Request: c.Request, Author: c.Author,
		Time: c.store.clock().Now().UTC(), Edits: thconfig.EncodeEdits(edits), Digest: thconfig.Digest(next),
	}
	ops, err := operations(t, next, change)
	if err != nil {
		return thconfig.Change{}, false, c.end(err)
	}
	err = c.store.Table.Write(ctx, ops...)
	switch therror.KindOf(err) {
	case "":
		c.store.snapshot(ctx, next)
		return change, false, nil
	case therror.Conflict:
		c.races++
		return thconfig.Change{}, c.races < maxRaces || c.unknown != nil, therror.Wrap(therror.Conflict, err,
			"edits made for version %d lost %d races, the last against a successor of version %d", c.first, c.races, t.Version)
	case therror.Unknown:
		c.unknown, c.base, c.written = err, t.Version, next
		return thconfig.Change{}, true, err
	}
	return thconfig.Change{}, c.unknown != nil, err
}

// operations builds the transaction from t to next.
func operations(t, next thconfig.Tables, change thconfig.Change) ([]thplatform.Op, error) {
	var condition thplatform.Condition = thplatform.NumberIs(t.Version)
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
	before, err := encodeParts(t)
	if err != nil {
		return nil, err
	}
	after, err := encodeParts(next)
	if err != nil {
		return nil, err
	}
	for i, name := range tableNames {
		if !bytes.Equal(before[i], after[i]) {
			ops = append(ops, thplatform.Op{Item: thplatform.Item{Key: tableKey(name), Number: next.Version, Body: after[i]}})
		}
	}
	for _, o := range ops {
		if len(o.Item.Body) > thplatform.MaxBody {
			return nil, therror.New(therror.Refused, "item %s/%s would have %d bytes, at most %d are allowed",
				o.Item.Key.Partition, o.Item.Key.Sort, len(o.Item.Body), thplatform.MaxBody)
		}
	}
	return ops, nil
}

// encodeParts encodes the tables one by one, in the order of tableNames. Each
// is a Tables with one slice set, and without the version.
func encodeParts(t thconfig.Tables) ([][]byte, error) {
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

// snapshot writes a snapshot when one is due. A failure only costs starting
// daemons a full read.
func (s *Store) snapshot(ctx context.Context, t thconfig.Tables) {
	if t.Version%snapshotInterval != 0 || s.Objects == nil {
		return
	}
	if err := s.PutSnapshot(ctx, t); err != nil {
		s.log().Warn("snapshot not written", "version", t.Version, "error", err)
	}
}

func (s *Store) sleep(ctx context.Context, d time.Duration) bool {
	t := s.clock().NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
