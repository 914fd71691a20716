package thconfig

import (
	"slices"
	"strings"

	"github.com/turmerichaven/turmerichaven/therror"
)

// The values of Route.Repeat.
const (
	RepeatSafe = "safe" // idempotent: the mesh may retry the call
	RepeatOnce = "once" // non-idempotent: the mesh dispatches the call at most once
)

// The values of Move.State.
const (
	MoveRunning   = "running"
	MoveDone      = "done"
	MoveReverted  = "reverted"
	MoveCancelled = "cancelled"
)

// Edit is a single modification of the tables. A Change consists of edits.
type Edit interface {
	record() EditRecord
}

// The kinds of Edit. Set edits create or replace the entry with the same name;
// removing an entry that does not exist is an error.
type (
	// SetRoute creates or replaces a route.
	SetRoute struct{ Route Route }
	// RemoveRoute removes a route.
	RemoveRoute struct{ Name string }
	// SetPool creates or replaces a pool.
	SetPool struct{ Pool Pool }
	// RemovePool removes a pool.
	RemovePool struct{ Name string }
	// SetZone records that an availability zone is out of service or back in service.
	SetZone struct{ Zone Zone }
	// SetMove creates or replaces a move.
	SetMove struct{ Move Move }
	// RemoveMove removes a move. It does not check that the move has finished.
	RemoveMove struct{ Name string }
)

const (
	editSetRoute    = "route"
	editRemoveRoute = "noroute"
	editSetPool     = "pool"
	editRemovePool  = "nopool"
	editSetZone     = "zone"
	editSetMove     = "move"
	editRemoveMove  = "nomove"
)

func (e SetRoute) record() EditRecord    { return EditRecord{Kind: editSetRoute, Route: &e.Route} }
func (e RemoveRoute) record() EditRecord { return EditRecord{Kind: editRemoveRoute, Name: e.Name} }
func (e SetPool) record() EditRecord     { return EditRecord{Kind: editSetPool, Pool: &e.Pool} }
func (e RemovePool) record() EditRecord  { return EditRecord{Kind: editRemovePool, Name: e.Name} }
func (e SetZone) record() EditRecord     { return EditRecord{Kind: editSetZone, Zone: &e.Zone} }
func (e SetMove) record() EditRecord     { return EditRecord{Kind: editSetMove, Move: &e.Move} }
func (e RemoveMove) record() EditRecord  { return EditRecord{Kind: editRemoveMove, Name: e.Name} }

// EncodeEdits converts edits to the records of a Change.
func EncodeEdits(edits []Edit) []EditRecord {
	records := make([]EditRecord, 0, len(edits))
	for _, e := range edits {
		records = append(records, e.record())
	}
	return records
}

// DecodeEdits converts the records of a Change to edits. A record of an unknown
// kind or without its entry is an error of kind Refused.
func DecodeEdits(records []EditRecord) ([]Edit, error) {
	edits := make([]Edit, 0, len(records))
	for i, r := range records {
		e := r.decode()
		if e == nil {
			return nil, therror.New(therror.Refused, "edit %d: unknown or incomplete kind %q", i, r.Kind)
		}
		edits = append(edits, e)
	}
	return edits, nil
}

// decode returns nil for an unknown kind or a missing entry.
func (r EditRecord) decode() Edit {
	switch {
	case r.Kind == editSetRoute && r.Route != nil:
		return SetRoute{*r.Route}
	case r.Kind == editRemoveRoute:
		return RemoveRoute{r.Name}
	case r.Kind == editSetPool && r.Pool != nil:
		return SetPool{*r.Pool}
	case r.Kind == editRemovePool:
		return RemovePool{r.Name}
	case r.Kind == editSetZone && r.Zone != nil:
		return SetZone{*r.Zone}
	case r.Kind == editSetMove && r.Move != nil:
		return SetMove{*r.Move}
	case r.Kind == editRemoveMove:
		return RemoveMove{r.Name}
	}
	return nil
}

// Apply returns the tables at version t.Version+1 after the edits. It doesn't
// modify t. Removing an entry that does not exist is an error of kind Absent.
// The caller must validate the result with Validate.
func Apply(t Tables, edits []Edit) (Tables, error) {
	n := Tables{
		Version: t.Version + 1,
		Routes:  slices.Clone(t.Routes),
		Pools:   slices.Clone(t.Pools),
		Zones:   slices.Clone(t.Zones),
		Moves:   slices.Clone(t.Moves),
	}
	for _, e := range edits {
		if err := n.apply(e); err != nil {
			return Tables{}, err
		}
	}
	return n, nil
}

func (t *Tables) apply(e Edit) error {
	switch e := e.(type) {
	case SetRoute:
		from, to := t.findRoute(e.Route.Name)
		t.Routes = slices.Replace(t.Routes, from, to, e.Route)
	case RemoveRoute:
		from, to := t.findRoute(e.Name)
		if from == to {
			return absentError("route", e.Name)
		}
		t.Routes = slices.Delete(t.Routes, from, to)
	case SetPool:
		from, to := t.findPool(e.Pool.Name)
		t.Pools = slices.Replace(t.Pools, from, to, e.Pool)
	case RemovePool:
		from, to := t.findPool(e.Name)
		if from == to {
			return absentError("pool", e.Name)
		}
		t.Pools = slices.Delete(t.Pools, from, to)
	case SetZone:
		from, to := t.findZone(e.Zone.Name)
		t.Zones = slices.Replace(t.Zones, from, to, e.Zone)
	case SetMove:
		from, to := t.findMove(e.Move.Name)
		t.Moves = slices.Replace(t.Moves, from, to, e.Move)
	case RemoveMove:
		from, to := t.findMove(e.Name)
		if from == to {
			return absentError("move", e.Name)
		}
		t.Moves = slices.Delete(t.Moves, from, to)
	default:
		return therror.New(therror.Internal, "edit of unknown type %T", e)
	}
	return nil
}

func absentError(kind, name string) error {
	return therror.New(therror.Absent, "%s %q does not exist", kind, name)
}

// foundRange converts the result of a binary search to the index range of the
// entry. The range is empty, at the insertion point, if the entry is missing.
func foundRange(i int, found bool) (from, to int) {
	if found {
		return i, i + 1
	}
	return i, i
}

func (t *Tables) findRoute(name string) (from, to int) {
	return foundRange(slices.BinarySearchFunc(t.Routes, name, func(r Route, n string) int { return strings.Compare(r.Name, n) }))
}

func (t *Tables) findPool(name string) (from, to int) {
	return foundRange(slices.BinarySearchFunc(t.Pools, name, func(p Pool, n string) int { return strings.Compare(p.Name, n) }))
}

func (t *Tables) findZone(name string) (from, to int) {
	return foundRange(slices.BinarySearchFunc(t.Zones, name, func(z Zone, n string) int { return strings.Compare(z.Name, n) }))
}

func (t *Tables) findMove(name string) (from, to int) {
	return foundRange(slices.BinarySearchFunc(t.Moves, name, func(m Move, n string) int { return strings.Compare(m.Name, n) }))
}

// Route returns the route with the given name and whether it exists.
func (t *Tables) Route(name string) (Route, bool) {
	if from, to := t.findRoute(name); from < to {
		return t.Routes[from], true
	}
	return Route{}, false
}

// Pool returns the pool with the given name and whether it exists.
func (t *Tables) Pool(name string) (Pool, bool) {
	if from, to := t.findPool(name); from < to {
		return t.Pools[from], true
	}
	return Pool{}, false
}

// Zone returns the zone with the given name and whether it exists. Zones that
// were never taken out of service have no entry.
func (t *Tables) Zone(name string) (Zone, bool) {
	if from, to := t.findZone(name); from < to {
		return t.Zones[from], true
	}
	return Zone{}, false
}

// Move returns the move with the given name and whether it exists.
func (t *Tables) Move(name string) (Move, bool) {
	if from, to := t.findMove(name); from < to {
		return t.Moves[from], true
	}
	return Move{}, false
}

// RunningMove returns the running move of a route and whether there is one.
func (t *Tables) RunningMove(route string) (Move, bool) {
	for _, m := range t.Moves {
		if m.Route == route && m.State == MoveRunning {
			return m, true
		}
	}
	return Move{}, false
}
