package thcommand

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

type routeArgument struct {
	Route string `positional-arg-name:"ROUTE" required:"yes"`
}

type moveStart struct {
	editor
	Argument struct {
		Route string `positional-arg-name:"ROUTE" required:"yes"`
		Pool  string `positional-arg-name:"POOL" required:"yes"`
	} `positional-args:"yes"`
	Deadline string `long:"deadline" short:"d" value-name:"TIME" required:"yes" description:"When all traffic must have moved: a duration from now or a time in RFC 3339"`
}

// Execute commits a new running move of the route.
func (c *moveStart) Execute([]string) error {
	now := c.session.clock.Now().UTC().Truncate(time.Millisecond)
	deadline, err := parseDeadline(c.Deadline, now)
	if err != nil {
		return err
	}
	var live *thadmin.Status
	if c.session.options.Admin.IsValid() {
		v, err := c.session.fetchStatus()
		if err != nil {
			return err
		}
		live = &v
	}
	return c.commit(0, func(t thconfig.Tables) ([]thconfig.Edit, error) {
		r, found := t.Route(c.Argument.Route)
		if !found {
			return nil, therror.New(therror.Absent, "route %q does not exist", c.Argument.Route)
		}
		if m, found := t.RunningMove(r.Name); found {
			return nil, therror.New(therror.Refused, "move %q of route %q is running; cancel it first", m.Name, r.Name)
		}
		if p, found := t.Pool(c.Argument.Pool); found && live != nil && !poolHasServer(live, p) {
			c.session.printf(c.session.Err, "turmerichaven: warning: pool %q has no server: no live daemon has service %q version %q\n", p.Name, p.Service, p.Version)
		}
		m := thconfig.Move{
			Name: moveName(r.Name, t.Version+1), Route: r.Name, From: r.Pool, To: c.Argument.Pool,
			Start: now, Deadline: deadline, State: thconfig.MoveRunning,
		}
		return append(removeFinished(t, r.Name), thconfig.SetMove{Move: m}), nil
	})
}

// poolHasServer reports whether a live daemon has a backend server of the pool that
// accepts new calls.
func poolHasServer(status *thadmin.Status, p thconfig.Pool) bool {
	return slices.ContainsFunc(status.Members, func(m thadmin.MemberEntry) bool { return servesPool(m, p) })
}

// parseDeadline parses a duration from now or a time in RFC 3339.
func parseDeadline(v string, now time.Time) (time.Time, error) {
	d, err := time.ParseDuration(v)
	deadline := now.Add(d)
	if err != nil {
		if deadline, err = time.Parse(time.RFC3339, v); err != nil {
			return time.Time{}, therror.New(therror.Bad, "--deadline: %q is neither a duration such as 30m nor a time in RFC 3339", v)
		}
	}
	if !deadline.After(now) {
		return time.Time{}, therror.New(therror.Bad, "--deadline: %s is not in the future", deadline.Format(time.RFC3339))
	}
	return deadline.UTC(), nil
}

// moveName returns <route>-<version>. It truncates the route if the name would
// exceed 63 bytes, the maximum length of a name; the version keeps names unique.
func moveName(route string, version uint64) string {
	suffix := "-" + strconv.FormatUint(version, 10)
	return route[:min(len(route), 63-len(suffix))] + suffix
}

type moveCancel struct {
	editor
	Argument routeArgument `positional-args:"yes"`
}

// Execute commits the running move of the route as cancelled.
func (c *moveCancel) Execute([]string) error {
	return c.commit(0, func(t thconfig.Tables) ([]thconfig.Edit, error) {
		m, found := t.RunningMove(c.Argument.Route)
		if !found {
			return nil, therror.New(therror.Absent, "route %q has no running move", c.Argument.Route)
		}
		m.State, m.Reason = thconfig.MoveCancelled, "cancelled by an operator"
		return []thconfig.Edit{thconfig.SetMove{Move: m}}, nil
	})
}

type moveStatus struct {
	session  *session
	Argument struct {
		Route string `positional-arg-name:"ROUTE"`
	} `positional-args:"yes"`
}

// Execute prints the moves, or those of the given route: from the daemon at --admin
// or else from the store.
func (c *moveStatus) Execute([]string) error {
	s := c.session
	var all []thadmin.MoveEntry
	live := s.options.Admin.IsValid()
	if live {
		v, err := s.fetchStatus()
		if err != nil {
			return err
		}
		all = v.Moves
	} else {
		t, err := s.loadTables()
		if err != nil {
			return err
		}
		for _, m := range t.Moves {
			all = append(all, thadmin.MoveEntry{
				Name: m.Name, Route: m.Route, From: m.From, To: m.To, State: m.State, Reason: m.Reason,
				Start: m.Start, Deadline: m.Deadline, Late: m.State == thconfig.MoveRunning && m.Deadline.Before(s.clock.Now()),
			})
		}
	}
	list := []thadmin.MoveEntry{}
	for _, m := range all {
		if c.Argument.Route == "" || m.Route == c.Argument.Route {
			list = append(list, m)
		}
	}
	if c.Argument.Route != "" && len(list) == 0 {
		return therror.New(therror.Absent, "route %q has no move", c.Argument.Route)
	}
	return s.printResult(map[string]any{"live": live, "moves": list}, func() { s.printMoves(list, live) })
}

// printMoves prints a table of moves. live says whether share and step are known.
func (s *session) printMoves(list []thadmin.MoveEntry, live bool) {
	rows := make([][]any, 0, len(list))
	for _, m := range list {
		share, step := "-", "-"
		if live && m.State == thconfig.MoveRunning { // a finished move has no traffic share, because its route uses a single pool
			share, step = fmt.Sprintf("%.0f%%", 100*m.Share), strconv.Itoa(m.Step)
		}
		rows = append(rows, []any{m.Name, m.Route, m.From, m.To, m.State + choose(m.Late, " (late)", ""), share, step, m.Deadline, m.Reason})
	}
	s.printTable("MOVE ROUTE FROM TO STATE SHARE STEP DEADLINE REASON", rows)
}
