package thcommand

import (
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thtable"
)

// poolView is the JSON form of a pool.
type poolView struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Version string `json:"version"`
	Floor   int    `json:"floor"`
}

func newPoolView(p thconfig.Pool) poolView { return poolView{p.Name, p.Service, p.Version, p.Floor} }

type poolList struct{ session *session }

// Execute prints the committed pools.
func (c *poolList) Execute([]string) error {
	s := c.session
	t, err := s.loadTables()
	if err != nil {
		return err
	}
	views := make([]poolView, 0, len(t.Pools))
	rows := make([][]any, 0, len(t.Pools))
	for _, p := range t.Pools {
		views = append(views, newPoolView(p))
		rows = append(rows, []any{p.Name, p.Service, p.Version, p.Floor})
	}
	return s.printResult(listing{Version: t.Version, Pools: views}, func() {
		s.printTable("NAME SERVICE VERSION FLOOR", rows)
	})
}

type poolSet struct {
	editor
	Argument nameArgument `positional-args:"yes"`
	Service  *string      `long:"service" value-name:"SERVICE" description:"Service of the backend servers"`
	Version  *string      `long:"version" value-name:"VERSION" description:"Version of the backend servers"`
	Floor    *int         `long:"floor" value-name:"PERCENT" description:"Percentage of servers that outlier ejection leaves in use, 0 to 100"`
}

// Execute commits a new pool, or the given options of an existing one.
func (c *poolSet) Execute([]string) error {
	return c.commit(0, func(t thconfig.Tables) ([]thconfig.Edit, error) {
		p, found := t.Pool(c.Argument.Name)
		if !found {
			if c.Service == nil || c.Version == nil {
				return nil, therror.New(therror.Bad, "pool %q is new and needs --service and --version", c.Argument.Name)
			}
			p = thconfig.Pool{Name: c.Argument.Name, Floor: thtable.DefaultFloor}
		}
		setIfGiven(&p.Service, c.Service)
		setIfGiven(&p.Version, c.Version)
		if c.Floor != nil {
			p.Floor = *c.Floor
		}
		return []thconfig.Edit{thconfig.SetPool{Pool: p}}, nil
	})
}

type poolRemove struct {
	editor
	Argument nameArgument `positional-args:"yes"`
}

// Execute commits the removal of a pool.
func (c *poolRemove) Execute([]string) error {
	return c.commit(0, func(thconfig.Tables) ([]thconfig.Edit, error) {
		return []thconfig.Edit{thconfig.RemovePool{Name: c.Argument.Name}}, nil
	})
}
