package thcommand

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thtable"
)

type nameArgument struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

// routeView is the JSON form of a route.
type routeView struct {
	Name    string `json:"name"`
	Host    string `json:"host,omitempty"`
	Path    string `json:"path"`
	Method  string `json:"method,omitempty"`
	Pool    string `json:"pool"`
	Class   string `json:"class,omitempty"`
	Repeat  string `json:"repeat"`
	Timeout string `json:"timeout"`
	Retry   int    `json:"retry"`
}

func newRouteView(r thconfig.Route) routeView {
	return routeView{r.Name, r.Host, r.Path, r.Method, r.Pool, r.Class, r.Repeat, r.Timeout.String(), r.Retry}
}

type routeList struct{ session *session }

// Execute prints the committed routes.
func (c *routeList) Execute([]string) error {
	s := c.session
	t, err := s.loadTables()
	if err != nil {
		return err
	}
	views := make([]routeView, 0, len(t.Routes))
	rows := make([][]any, 0, len(t.Routes))
	for _, r := range t.Routes {
		v := newRouteView(r)
		views = append(views, v)
		rows = append(rows, []any{v.Name, v.Host, v.Path, v.Method, v.Pool, v.Class, v.Repeat, v.Timeout, v.Retry})
	}
	return s.printResult(listing{Version: t.Version, Routes: views}, func() {
		s.printTable("NAME HOST PATH METHOD POOL CLASS REPEAT TIMEOUT RETRY", rows)
	})
}

// loadTables reads the committed tables from the store.
func (s *session) loadTables() (thconfig.Tables, error) {
	store, err := s.openStore()
	if err != nil {
		return thconfig.Tables{}, err
	}
	t, _, err := store.Load(s.ctx)
	return t, err
}

type routeSet struct {
	editor
	Argument nameArgument   `positional-args:"yes"`
	Host     *string        `long:"host" value-name:"HOST" description:"Host name; empty matches any host"`
	Path     *string        `long:"path" value-name:"PREFIX" description:"Path prefix, begins with a slash"`
	Method   *string        `long:"method" value-name:"METHOD" description:"HTTP method; empty matches any method"`
	Pool     *string        `long:"pool" value-name:"POOL" description:"Pool that the calls go to; use a move to change it under load"`
	Class    *string        `long:"class" value-name:"CLASS" description:"Customer class, the label of the histograms"`
	Repeat   *string        `long:"repeat" choice:"safe" choice:"once" description:"safe: the mesh may repeat a call; once: it dispatches a call at most once"`
	Timeout  *time.Duration `long:"timeout" value-name:"DURATION" description:"Deadline of a call, 1ms to 10m"`
	Retry    *int           `long:"retry" value-name:"PERCENT" description:"Retry budget in percent of first attempts, 0 to 100"`
}

// Execute commits a new route, or the given options of an existing one.
func (c *routeSet) Execute([]string) error {
	return c.commit(0, func(t thconfig.Tables) ([]thconfig.Edit, error) {
		r, found := t.Route(c.Argument.Name)
		if !found {
			if c.Path == nil || c.Pool == nil || c.Repeat == nil {
				return nil, therror.New(therror.Bad, "route %q is new and needs --path, --pool and --repeat", c.Argument.Name)
			}
			r = thtable.NewRoute(c.Argument.Name)
		}
		setIfGiven(&r.Host, c.Host)
		setIfGiven(&r.Path, c.Path)
		setIfGiven(&r.Method, c.Method)
		setIfGiven(&r.Pool, c.Pool)
		setIfGiven(&r.Class, c.Class)
		setIfGiven(&r.Repeat, c.Repeat)
		if c.Timeout != nil {
			r.Timeout = *c.Timeout
		}
		if c.Retry != nil {
			r.Retry = *c.Retry
		}
		return []thconfig.Edit{thconfig.SetRoute{Route: r}}, nil
	})
}

// setIfGiven sets field to the value of an option, unless the option is nil, that
// is, not on the command line.
func setIfGiven(field, value *string) {
	if value != nil {
		*field = *value
	}
}

type routeRemove struct {
	editor
	Argument nameArgument `positional-args:"yes"`
}

// Execute commits the removal of a route and of its finished moves.
func (c *routeRemove) Execute([]string) error {
	return c.commit(0, func(t thconfig.Tables) ([]thconfig.Edit, error) {
		return append(removeFinished(t, c.Argument.Name), thconfig.RemoveRoute{Name: c.Argument.Name}), nil
	})
}

// removeFinished returns edits that remove the finished moves of a route. They are
// kept until the route's next move or its removal.
func removeFinished(t thconfig.Tables, route string) []thconfig.Edit {
	var edits []thconfig.Edit
	for _, m := range t.Moves {
		if m.Route == route && m.State != thconfig.MoveRunning {
			edits = append(edits, thconfig.RemoveMove{Name: m.Name})
		}
	}
	return edits
}
