package thstore_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmemory"
	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/thstore"
)

func pool(name string) thconfig.SetPool {
	return thconfig.SetPool{Pool: thconfig.Pool{Name: name, Service: "slotboard", Version: "v1", Floor: 50}}
}

func propose(request string, edits ...thconfig.Edit) thstore.Proposal {
	return thstore.Proposal{Request: request, Author: "test", Edit: func(thconfig.Tables) ([]thconfig.Edit, error) { return edits, nil }}
}

func mustCommit(t *testing.T, s *thstore.Store, request string, edits ...thconfig.Edit) thconfig.Change {
	t.Helper()
	c, err := s.Commit(t.Context(), propose(request, edits...))
	assert.NilError(t, err)
	return c
}

// Guards against lost edits and duplicate versions when operators commit
// concurrently.
func TestRacingCommits(t *testing.T) {
	s := &thstore.Store{Table: &thmemory.Table{}, Objects: &thmemory.Objects{}}
	const operators, each = 2, 20
	var group sync.WaitGroup
	for o := range operators {
		group.Go(func() {
			for n := range each {
				name := fmt.Sprintf("p-%d-%d", o, n)
				_, err := s.Commit(t.Context(), propose(name, pool(name)))
				assert.Check(t, err)
			}
		})
	}
	group.Wait()
	tables, _, err := s.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, tables.Version, uint64(operators*each))
	assert.Equal(t, len(tables.Pools), operators*each)
	changes, err := s.Changes(t.Context(), 0, 100)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), operators*each)
}

// Guards against tables that no command can repair once they do not match the
// digest of the head: only a commit with Repair accepts them, and the version that
// it writes is valid.
func TestRepairCommitsContradictingTables(t *testing.T) {
	table := &thmemory.Table{}
	s := &thstore.Store{Table: table}
	mustCommit(t, s, "1", pool("a"))
	mustCommit(t, s, "2", pool("b"))
	body, err := (&thconfig.Tables{Pools: []thconfig.Pool{pool("a").Pool}}).MarshalMsg(nil)
	assert.NilError(t, err)
	assert.NilError(t, table.Write(t.Context(), thplatform.Op{Item: thplatform.Item{
		Key: thplatform.Key{Partition: "table", Sort: "pools"}, Number: 2, Body: body,
	}}))
	_, _, err = s.Load(t.Context())
	assert.Assert(t, therror.Is(err, therror.Diverged), "%v", err)
	p := propose("3")
	p.Above = 1
	_, err = s.Commit(t.Context(), p)
	assert.Assert(t, therror.Is(err, therror.Diverged), "%v", err)
	p.Repair = true
	c, err := s.Commit(t.Context(), p)
	assert.NilError(t, err)
	assert.Equal(t, c.Version, uint64(3))
	tables, digest, err := s.Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, digest, c.Digest)
	assert.Equal(t, len(tables.Pools), 1)
	again, err := s.Commit(t.Context(), p)
	assert.NilError(t, err)
	assert.Equal(t, again.Version, uint64(3))
}

// hookedTable is a table service that calls before ahead of each write. An error
// of before becomes the result of the write.
type hookedTable struct {
	*thmemory.Table
	before func(ops []thplatform.Op) error
}

func (h *hookedTable) Write(ctx context.Context, ops ...thplatform.Op) error {
	if h.before != nil {
		if err := h.before(ops); err != nil {
			return err
		}
	}
	return h.Table.Write(ctx, ops...)
}

// Guards against an edit that overwrites another operator's edit, and against a
// conflict error that does not name both versions.
func TestConflictNamesBothVersions(t *testing.T) {
	table := &hookedTable{Table: &thmemory.Table{}}
	s := &thstore.Store{Table: table}
	mustCommit(t, s, "1", pool("a"))
	table.before = func([]thplatform.Op) error {
		table.before = nil
		mustCommit(t, s, "2", thconfig.RemovePool{Name: "a"})
		return nil
	}
	_, err := s.Commit(t.Context(), propose("3", thconfig.RemovePool{Name: "a"}))
	assert.Assert(t, therror.Is(err, therror.Conflict), "%v", err)
	assert.ErrorContains(t, err, "version 1")
	assert.ErrorContains(t, err, "version 2")
}

// Guards against a missing or wrong result for a write whose response was lost.
func TestLostResponses(t *testing.T) {
	table := &thmemory.Table{}
	s := &thstore.Store{Table: table}
	table.SetFaults(thmemory.Faults{Lost: true})
	c := mustCommit(t, s, "1", pool("a"))
	assert.Equal(t, c.Version, uint64(1))
	h, err := s.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, h.Version, uint64(1))
}

// Guards against a request that is committed twice because its first write takes
// effect late: the write is reported as unknown, and applied before or after the
// second write.
func TestLateWriteCommitsOnce(t *testing.T) {
	for _, after := range []bool{false, true} {
		table := &hookedTable{Table: &thmemory.Table{}}
		s := &thstore.Store{Table: table}
		var late []thplatform.Op
		n := 0
		table.before = func(ops []thplatform.Op) error {
			n++
			if n == 1 {
				late = ops
				return therror.New(therror.Unknown, "no response")
			}
			if !after {
				assert.NilError(t, table.Table.Write(t.Context(), late...))
			}
			return nil
		}
		c := mustCommit(t, s, "1", pool("a"))
		assert.Equal(t, c.Version, uint64(1))
		if after {
			assert.Assert(t, therror.Is(table.Table.Write(t.Context(), late...), therror.Conflict))
		}
		changes, err := s.Changes(t.Context(), 0, 10)
		assert.NilError(t, err)
		assert.Equal(t, len(changes), 1)
	}
}

// Guards against reporting success or failure for a write whose outcome cannot be
// found out.
func TestOutageAfterWriteIsUnknown(t *testing.T) {
	table := &hookedTable{Table: &thmemory.Table{}}
	s := &thstore.Store{Table: table}
	table.before = func([]thplatform.Op) error {
		table.SetFaults(thmemory.Faults{Fail: true})
		return therror.New(therror.Unknown, "no response")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := s.Commit(ctx, propose("1", pool("a")))
	assert.Assert(t, therror.Is(err, therror.Unknown), "%v", err)
	_, err = s.Commit(t.Context(), propose("2", pool("a")))
	assert.Assert(t, therror.Is(err, therror.Down), "%v", err)
}

// Guards against a request that is committed twice, or whose reported result is
// wrong, under any mix of lost responses, late writes and throttling.
func TestCommitOutcomeIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &hookedTable{Table: &thmemory.Table{}}
		s := &thstore.Store{Table: table}
		var late [][]thplatform.Op
		table.before = func(ops []thplatform.Op) error {
			table.SetFaults(thmemory.Faults{})
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				table.SetFaults(thmemory.Faults{Lost: true})
			case 1:
				late = append(late, ops)
				return therror.New(therror.Unknown, "late")
			case 2:
				return therror.New(therror.Limited, "throttled")
			case 3:
				for _, l := range late {
					_ = table.Table.Write(t.Context(), l...)
				}
				late = nil
			}
			return nil
		}
		committed, unknown := map[string]uint64{}, []string{}
		for n := range rapid.IntRange(1, 8).Draw(t, "commits") {
			request := fmt.Sprint("r", n)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			c, err := s.Commit(ctx, propose(request, pool(request)))
			ended := ctx.Err() != nil
			cancel()
			switch {
			case err == nil:
				committed[request] = c.Version
			case therror.Is(err, therror.Unknown):
				// With about ten faults in a row the waits exceed the timeout.
				assert.Assert(t, ended, "%v", err)
				unknown = append(unknown, request)
			default:
				assert.Assert(t, therror.Is(err, therror.Limited), "%v", err)
			}
		}
		for _, l := range late {
			_ = table.Table.Write(t.Context(), l...)
		}
		table.SetFaults(thmemory.Faults{})
		changes, err := s.Changes(t.Context(), 0, 100)
		assert.NilError(t, err)
		found := map[string]uint64{}
		for _, c := range changes {
			assert.Equal(t, found[c.Request], uint64(0), "request %s committed twice", c.Request)
			found[c.Request] = c.Version
		}
		for _, request := range unknown {
			if version, ok := found[request]; ok {
				committed[request] = version
			}
		}
		assert.DeepEqual(t, found, committed)
		tables, _, err := s.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(tables.Pools), len(committed))
	})
}

// Guards against a repeated request id that commits again, an edit without effect
// that creates a version, and a recovery that commits a version below the fleet's
// version, which Above prevents.
func TestRequestIdNoChangeAndAbove(t *testing.T) {
	s := &thstore.Store{Table: &thmemory.Table{}}
	first := mustCommit(t, s, "1", pool("a"))
	again := mustCommit(t, s, "1", pool("b"))
	assert.Equal(t, again.Version, first.Version)
	assert.DeepEqual(t, again.Digest, first.Digest)
	none := mustCommit(t, s, "2", pool("a"))
	assert.Equal(t, none.Version, uint64(1))
	assert.Equal(t, len(none.Edits), 0)
	p := propose("3")
	p.Above = 100
	above, err := s.Commit(t.Context(), p)
	assert.NilError(t, err)
	assert.Equal(t, above.Version, uint64(101))
	assert.Equal(t, above.Base, uint64(1))
}

// Guards against wrong error kinds of rejected commits, and against a table above
// the item size limit that is not rejected before the write.
func TestRefusedCommits(t *testing.T) {
	s := &thstore.Store{Table: &thmemory.Table{}}
	check := func(p thstore.Proposal, k therror.Kind) {
		t.Helper()
		_, err := s.Commit(t.Context(), p)
		assert.Equal(t, therror.KindOf(err), k, "%v", err)
	}
	check(propose("1", thconfig.RemovePool{Name: "a"}), therror.Absent)
	check(propose("1", pool("NOT A NAME")), therror.Refused)
	check(propose("", pool("a")), therror.Bad)
	overflow := propose("1", pool("a"))
	overflow.Above = 1<<64 - 1
	check(overflow, therror.Bad)
	check(thstore.Proposal{Request: "1", Edit: func(thconfig.Tables) ([]thconfig.Edit, error) { return nil, errors.New("edit") }}, therror.Internal)
	edits := []thconfig.Edit{pool("a")}
	path := make([]byte, 480)
	for i := range path {
		path[i] = 'x'
	}
	for n := range 900 {
		edits = append(edits, thconfig.SetRoute{Route: thconfig.Route{
			Name: fmt.Sprint("r", n), Path: fmt.Sprintf("/%s%d", path, n), Pool: "a", Repeat: thconfig.RepeatSafe, Timeout: time.Second,
		}})
	}
	check(propose("1", edits...), therror.Refused)
	h, err := s.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, h.Version, uint64(0))
}
