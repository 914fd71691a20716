package thconfig

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

// DesiredState is what operators have asked for where they write to a store of the
// platform instead of using the operator commands: a whole configuration,
// rollouts of service versions, and zones to take out.
type DesiredState struct {
	Version   uint64 // of the store; rises with each change
	Config    Config
	ConfigErr error // why Config could not be read; nil where it could
	Rollouts  []Rollout
	OutZones  []string // availability zones that are out
}

// Config is a whole configuration as operators write it.
type Config struct {
	Revision uint64 // of the operators; zero where there is none
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Rollout asks that the traffic of a service goes to a new version.
type Rollout struct {
	Service      string
	Target       string        // version that takes over
	OrderVersion uint64        // version of the store at which it was ordered
	Span         time.Duration // time from the order to its deadline
	State        string        // MoveRunning, MoveDone or MoveReverted
}

// servicePoolFloor is the Floor of the pools that stand for services.
const servicePoolFloor = 50

// Tables returns the tables that stand for the orders. Each service becomes a
// pool; a rollout makes a second pool with the servers of its target.
func (o *DesiredState) Tables() Tables {
	t := Tables{Version: o.Version, Routes: slices.Clone(o.Config.Routes), Services: slices.Clone(o.Config.Services)}
	limits := o.Config.Limits
	t.Limits = &limits
	for _, s := range o.Config.Services {
		t.Pools = append(t.Pools, Pool{Name: s.Name, Service: s.Name, Floor: servicePoolFloor})
	}
	for _, z := range o.OutZones {
		t.Zones = append(t.Zones, Zone{Name: z, Out: true})
	}
	for _, r := range o.Rollouts {
		t.addRollout(r)
	}
	t.sortByName()
	return t
}

// addRollout adds the pool and the move of a rollout of a known service.
func (t *Tables) addRollout(r Rollout) {
	i := slices.IndexFunc(t.Pools, func(p Pool) bool { return p.Name == r.Service })
	if i < 0 || r.Target == "" {
		return
	}
	if r.State == MoveDone {
		t.Pools[i].Version = r.Target
		return
	}
	t.Pools[i].Except = r.Target
	if r.State != MoveRunning {
		return
	}
	to := TargetPoolName(r.Service, r.Target)
	t.Pools = append(t.Pools, Pool{Name: to, Service: r.Service, Version: r.Target, Floor: servicePoolFloor})
	t.Moves = append(t.Moves, Move{
		Name: MoveName(r), From: r.Service, To: to, State: MoveRunning, Span: r.Span,
	})
}

// TargetPoolName names the pool of a rollout's target. The separator occurs in no
// name of a service.
func TargetPoolName(service, version string) string { return service + "@" + version }

// MoveName names the move of a rollout; a later order has another name.
func MoveName(r Rollout) string {
	return TargetPoolName(r.Service, r.Target) + "#" + strconv.FormatUint(r.OrderVersion, 10)
}

func (t *Tables) sortByName() {
	slices.SortFunc(t.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Moves, func(a, b Move) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}

// Service returns the service of that name.
func (t *Tables) Service(name string) (Service, bool) {
	i, found := slices.BinarySearchFunc(t.Services, name, func(s Service, n string) int { return cmp.Compare(s.Name, n) })
	if !found {
		return Service{}, false
	}
	return t.Services[i], true
}

// Validate reports what makes a configuration unusable: no version, a route
// without host, prefix, timeout or service, a reference to a service that is
// missing, or two routes for the same requests. The error is of kind Refused
// and lists every fault.
func (c *Config) Validate() error {
	k := checker{tables: &Tables{}}
	if c.Revision == 0 {
		k.addError("no version")
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			k.addError("service %q: no name, or listed twice", s.Name)
		}
		services[s.Name] = true
	}
	names, patterns := map[string]bool{}, map[string]string{}
	for _, r := range c.Routes {
		if r.Name == "" || names[r.Name] {
			k.addError("route %q: no name, or listed twice", r.Name)
		}
		names[r.Name] = true
		if other, taken := patterns[r.Host+r.Path]; taken {
			k.addError("route %q: host and prefix are those of route %q", r.Name, other)
		}
		patterns[r.Host+r.Path] = r.Name
		k.checkConfigRoute(r, services)
	}
	if len(k.errors) > 0 {
		return therror.New(therror.Refused, "invalid configuration %d:\n%s", c.Revision, strings.Join(k.errors, "\n"))
	}
	return nil
}

// checkConfigRoute checks one route of a Config.
func (c *checker) checkConfigRoute(r Route, services map[string]bool) {
	if r.Host == "" || !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") {
		c.addError("route %q: no host, or prefix %q does not begin and end with a slash", r.Name, r.Path)
	}
	if r.Timeout < MinTimeout || r.Timeout > MaxTimeout {
		c.addError("route %q: timeout %s is not between %s and %s", r.Name, r.Timeout, MinTimeout, MaxTimeout)
	}
	if r.Repeat != RepeatSafe && r.Repeat != RepeatOnce {
		c.addError("route %q: unknown kind", r.Name)
	}
	if r.Attempts < 1 {
		c.addError("route %q: %d attempts", r.Name, r.Attempts)
	}
	total := 0
	for _, p := range r.WeightedPools() {
		if !services[p.Pool] {
			c.addError("route %q: service %q does not exist", r.Name, p.Pool)
		}
		if p.Weight < 0 {
			c.addError("route %q: service %q has a negative weight", r.Name, p.Pool)
		}
		total += max(p.Weight, 0)
	}
	if total == 0 {
		c.addError("route %q: no service with a weight", r.Name)
	}
}

// WeightedPools returns the pools of a route; one without Split has a single part.
func (r *Route) WeightedPools() []WeightedPool {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedPool{{Pool: r.Pool, Weight: 1}}
}

// RolloutFromMove returns the rollout that a move stands for, in a state.
func RolloutFromMove(m Move, state string) (Rollout, bool) {
	rest, number, found := strings.Cut(m.Name, "#")
	service, target, named := strings.Cut(rest, "@")
	order, err := strconv.ParseUint(number, 10, 64)
	if !found || !named || err != nil {
		return Rollout{}, false
	}
	return Rollout{Service: service, Target: target, OrderVersion: order, Span: m.Span, State: state}, true
}
