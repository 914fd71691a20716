package thdaemon

import (
	"context"
	"net/http"
	"time"

	"github.com/turmerichaven/turmerichaven/thaccount"
	"github.com/turmerichaven/turmerichaven/thadmit"
	"github.com/turmerichaven/turmerichaven/thbalance"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thmetric"
	"github.com/turmerichaven/turmerichaven/thproxy"
	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// balancer adapts a Balancer to the ingress.
type balancer struct{ *thbalance.Balancer }

// Choose selects a backend server of the pool that is not excluded.
func (b balancer) Choose(pool string, exclude []string) (thproxy.Choice, error) {
	s, err := b.Balancer.Choose(pool, exclude)
	if err != nil {
		return nil, err
	}
	return choice{s}, nil
}

// ChooseByKey selects the usable backend server of the pool that belongs to a key.
func (b balancer) ChooseByKey(pool, key string, exclude []string) (thproxy.Choice, error) {
	s, err := b.Balancer.ChooseByKey(pool, key, exclude)
	if err != nil {
		return nil, err
	}
	return choice{s}, nil
}

// ChoosePacked selects the first backend server with room in the order of a key.
func (b balancer) ChoosePacked(pool, key string, position float64, exclude []string) (thproxy.Choice, error) {
	s, err := b.Balancer.ChoosePacked(pool, key, position, exclude)
	if err != nil {
		return nil, err
	}
	return choice{s}, nil
}

// choice is a chosen backend server.
type choice struct{ server *thbalance.Server }

func (c choice) Member() *thwire.Member { return &c.server.Member }
func (c choice) StatedRate() float64    { return c.server.StatedRate() }
func (c choice) Begin()                 { c.server.Begin() }

func (c choice) Done(r thproxy.Result) {
	c.server.Done(thbalance.Result{
		Kind: r.Kind, Status: r.Status, Latency: r.Latency, Load: r.Load, HasLoad: r.HasLoad, RetryAfter: r.RetryAfter, Route: r.Route,
	})
}

// gate adapts a Gate to the target.
type gate struct{ *thadmit.Gate }

// Enter waits until the call is admitted or rejected.
func (g gate) Enter(ctx context.Context, _ *thwire.Open) (thproxy.Pass, error) {
	p, err := g.Gate.Enter(ctx)
	if err != nil {
		return nil, err
	}
	return pass{p}, nil
}

// Load returns the load of the gate, which is the same for all routes.
func (g gate) Load(string) thwire.Load { return g.Gate.Load() }

// pass adapts a Pass to the target.
type pass struct{ *thadmit.Pass }

// Done ends the call. A latency of zero means that it was not dispatched, so that
// it does not count as a sample.
func (p pass) Done(latency time.Duration, ok bool) {
	if latency == 0 {
		p.Release()
		return
	}
	p.Pass.Done(latency, ok)
}

// membership adapts the membership node to the Mover.
type membership struct{ *thmember.Node }

// Live returns the members that may coordinate moves.
func (f membership) Live() []thwire.Member { return f.View().Alive() }

// First returns the first of the members in the rendezvous order of the key.
func (f membership) First(key string, members []thwire.Member) (thwire.Member, bool) {
	first := thmember.Rendezvous(key, members, 1)
	if len(first) == 0 {
		return thwire.Member{}, false
	}
	return first[0], true
}

// moveCommitter commits the final state of moves to the table service.
type moveCommitter struct {
	*thstore.Store
	metrics *thmetric.Metrics
}

// CommitEnd commits the move's final state, and the route's new pool when the move is
// done. If the move is no longer running, it changes nothing and returns the end that
// the move has, empty if the move no longer exists.
func (f moveCommitter) CommitEnd(ctx context.Context, move thconfig.Move, state, reason string) (string, error) {
	end := ""
	change, err := f.Commit(ctx, thstore.Proposal{
		Request: "move/" + move.Name + "/" + state,
		Author:  "turmerichaven",
		Edit: func(t thconfig.Tables) ([]thconfig.Edit, error) {
			current, found := t.Move(move.Name)
			if !found || current.State != thconfig.MoveRunning {
				end = current.State
				return nil, nil
			}
			end = state
			current.State, current.Reason = state, reason
			edits := []thconfig.Edit{thconfig.SetMove{Move: current}}
			if state == thconfig.MoveDone {
				route, _ := t.Route(current.Route)
				route.Pool = current.To
				edits = append(edits, thconfig.SetRoute{Route: route})
			}
			return edits, nil
		},
	})
	if err == nil && len(change.Edits) > 0 {
		f.metrics.CountEndedMove(state == thconfig.MoveReverted)
	}
	return end, err
}

// metrics adapts the metrics to the ingress.
type metrics struct{ *thmetric.Metrics }

// ObserveCall records a finished call. An added latency of zero means that it is unknown.
func (m metrics) ObserveCall(class string, status int, outcome string, total, added time.Duration) {
	kind := therror.Kind(outcome)
	if kind == "" && status >= http.StatusInternalServerError {
		kind = outcomeServerError
	}
	if added == 0 {
		added = -1
	}
	m.Metrics.ObserveCall(class, kind, total, added)
}

// outcomeServerError is the outcome label of a 5xx response of a backend server.
const outcomeServerError therror.Kind = "server"

// router returns the version in effect and the match function of its routes; false
// without a configuration.
func (d *Daemon) router() (uint64, func(*http.Request) (*thconfig.Route, bool), bool) {
	s := d.replica.Current()
	if s == nil {
		return 0, nil, false
	}
	return s.Tables.Version, s.Router.Match, true
}

// accounts returns the client accounts in effect, nil if requests need no key.
func (d *Daemon) accounts() *thaccount.Table {
	if s := d.replica.Current(); s != nil {
		return s.Accounts
	}
	return nil
}
