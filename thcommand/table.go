package thcommand

import (
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thtable"
)

type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

type applyCommand struct {
	editor
	Argument fileArgument `positional-args:"yes"`
	Base     *uint64      `long:"base" value-name:"VERSION" description:"Refuse when the committed version is no longer this one, as shown by diff"`
}

// Execute commits the edits that turn the committed routes and pools into those of
// the table file.
func (c *applyCommand) Execute([]string) error {
	target, err := thtable.Load(c.Argument.File)
	if err != nil {
		return err
	}
	return c.commit(0, func(t thconfig.Tables) ([]thconfig.Edit, error) {
		if c.Base != nil && t.Version != *c.Base {
			return nil, therror.New(therror.Conflict, "the committed version is %d, not %d; run diff again", t.Version, *c.Base)
		}
		edits := thconfig.Diff(t, target)
		if len(edits) == 0 {
			return nil, therror.New(therror.Refused, "nothing to apply: version %d has the routes and pools of %s", t.Version, c.Argument.File)
		}
		for _, e := range edits {
			if r, ok := e.(thconfig.RemoveRoute); ok {
				edits = append(edits, removeFinished(t, r.Name)...)
			}
		}
		return edits, nil
	})
}

type diffCommand struct {
	session  *session
	Argument fileArgument `positional-args:"yes"`
}

// editView is the JSON form of an edit. The text output prints changes instead of
// Old and New.
type editView struct {
	Edit    string `json:"edit"` // set or remove
	Type    string `json:"type"` // route or pool
	Name    string `json:"name"`
	Old     any    `json:"old,omitempty"`
	New     any    `json:"new,omitempty"`
	changes []keyChange
}

// Execute prints the edits that the apply command would commit.
func (c *diffCommand) Execute([]string) error {
	s := c.session
	target, err := thtable.Load(c.Argument.File)
	if err != nil {
		return err
	}
	t, err := s.loadTables()
	if err != nil {
		return err
	}
	edits := thconfig.Diff(t, target)
	views := make([]editView, 0, len(edits))
	for _, e := range edits {
		views = append(views, newEditView(&t, e))
	}
	return s.printResult(listing{Version: t.Version, Edits: views}, func() {
		s.printf(s.Out, "# against version %d: %d edits\n", t.Version, len(views))
		for _, v := range views {
			s.printf(s.Out, "%s %s %s\n", v.Edit, v.Type, v.Name)
			for _, k := range v.changes {
				s.printf(s.Out, "  %s: %s -> %s\n", k.name, formatCell(k.old), formatCell(k.next))
			}
		}
	})
}

func newEditView(t *thconfig.Tables, e thconfig.Edit) editView {
	switch e := e.(type) {
	case thconfig.SetRoute:
		v := editView{Edit: "set", Type: "route", Name: e.Route.Name, New: newRouteView(e.Route)}
		var oldKeys []thtable.KeyValue
		if old, found := t.Route(e.Route.Name); found {
			v.Old, oldKeys = newRouteView(old), thtable.RouteKeys(old)
		}
		v.changes = changedKeys(oldKeys, thtable.RouteKeys(e.Route))
		return v
	case thconfig.SetPool:
		v := editView{Edit: "set", Type: "pool", Name: e.Pool.Name, New: newPoolView(e.Pool)}
		var oldKeys []thtable.KeyValue
		if old, found := t.Pool(e.Pool.Name); found {
			v.Old, oldKeys = newPoolView(old), thtable.PoolKeys(old)
		}
		v.changes = changedKeys(oldKeys, thtable.PoolKeys(e.Pool))
		return v
	case thconfig.RemoveRoute:
		return editView{Edit: "remove", Type: "route", Name: e.Name}
	case thconfig.RemovePool:
		return editView{Edit: "remove", Type: "pool", Name: e.Name}
	}
	return editView{}
}

// keyChange is a key whose value differs between two versions of a route or pool.
type keyChange struct{ name, old, next string }

// changedKeys returns the keys whose values differ. old is nil for a new route or
// pool.
func changedKeys(old, next []thtable.KeyValue) []keyChange {
	var changes []keyChange
	for i, k := range next {
		oldValue := ""
		if old != nil {
			oldValue = old[i].Value
		}
		if oldValue != k.Value {
			changes = append(changes, keyChange{k.Name, oldValue, k.Value})
		}
	}
	return changes
}
