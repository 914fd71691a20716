package thconfig

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

// DesiredState is the state that operators request on a platform where they write
// to a store of rows instead of using the operator commands: a complete
// configuration, rollouts of service versions, and zones to take out of service.
type DesiredState struct {
	Version   uint64 // as returned by StoreVersion; increases with each change
	Config    Config
	ConfigErr error // error of reading Config; nil if it was read
	Rollouts  []Rollout
	Excluded  []ServiceVersion // get traffic by a rollout of their own only; the latest last
	Current   []ServiceVersion // that completed rollouts have brought into service; never excluded
	OutZones  []string         // availability zones that are out of service
}

// Config is a complete configuration as operators write it.
type Config struct {
	Revision uint64 // version number that operators assign; zero means no configuration
	Routes   []Route
	Services []Service
	Limits   Limits
	Keyed    bool // requests need the key of an account
	Accounts []Account
}

// Rollout is a request to shift the traffic of a service to a new version.
type Rollout struct {
	Service      string
	Target       string        // version that receives the traffic
	OrderVersion uint64        // version of the store that added the rollout, as returned by StoreVersion
	Span         time.Duration // time from the request to its deadline
	State        string        // MoveRunning, MoveDone or MoveReverted
	Move         string        // name of the move that the rollout continues; empty for a new one
	// Excluded and Current are those of the service's pool. They are set in rollouts whose
	// state is to be stored.
	Excluded []string
	Current  string
}

// servicePoolFloor is the Floor, in percent, of the pools that represent services.
const servicePoolFloor = 50

// Tables converts the desired state to tables. Each service becomes a pool; a
// running rollout adds a second pool with the backend servers of its target, and
// a move between the two pools.
func (d *DesiredState) Tables() Tables {
	t := Tables{Version: d.Version, Revision: d.Config.Revision, Routes: slices.Clone(d.Config.Routes), Services: slices.Clone(d.Config.Services)}
	t.Keyed, t.Accounts = d.Config.Keyed, slices.Clone(d.Config.Accounts)
	limits := d.Config.Limits
	t.Limits = &limits
	for _, s := range d.Config.Services {
		t.Pools = append(t.Pools, Pool{Name: s.Name, Service: s.Name, Floor: servicePoolFloor})
	}
	for _, z := range d.OutZones {
		t.Zones = append(t.Zones, Zone{Name: z, Out: true})
	}
	for _, r := range d.Rollouts {
		t.addRollout(r)
	}
	for i := range t.Pools {
		if p := &t.Pools[i]; p.Name == p.Service {
			p.Except, p.Current = d.excluded(p.Service), d.current(p.Service)
		}
	}
	t.sortByName()
	return t
}

// addRollout adds the move of a rollout and, while it is running, the pool of its target.
// It ignores a rollout of an unknown service or without target.
func (t *Tables) addRollout(r Rollout) {
	i := slices.IndexFunc(t.Pools, func(p Pool) bool { return p.Name == r.Service })
	if i < 0 || r.Target == "" {
		return
	}
	to := TargetPoolName(r.Service, r.Target)
	t.Moves = append(t.Moves, Move{
		Name: MoveName(r), From: r.Service, To: to, State: r.State, Span: r.Span, Order: r.OrderVersion,
	})
	switch r.State {
	case MoveDone:
		t.Pools[i].Version = r.Target
	case MoveRunning:
		t.Pools = append(t.Pools, Pool{Name: to, Service: r.Service, Version: r.Target, Floor: servicePoolFloor})
	}
}

// ContinueRollouts makes rollouts continue their moves in the tables in effect. The end of
// a rollout is final, also where a store that has come back from a copy has lost it. The
// orders that such a store has, or that operators write to it again, are those from before,
// whatever their version is. Versions that the tables exclude stay excluded until a rollout
// of them is done.
func (d *DesiredState) ContinueRollouts(t *Tables) {
	restored := Generation(d.Version) > Generation(t.Version)
	for i := range d.Rollouts {
		r := &d.Rollouts[i]
		to := TargetPoolName(r.Service, r.Target)
		for _, m := range t.Moves {
			if m.From != r.Service || m.To != to || m.Order != r.OrderVersion && !restored {
				continue
			}
			r.Move = m.Name
			if r.State == MoveRunning {
				r.State = m.State
			}
		}
	}
	var excluded []ServiceVersion
	for _, p := range t.Pools {
		if p.Name != p.Service {
			continue
		}
		for _, v := range p.Except {
			excluded = append(excluded, ServiceVersion{p.Service, v})
		}
		if c := p.InService(); c != "" {
			d.Current = append(d.Current, ServiceVersion{p.Service, c})
		}
	}
	d.Excluded = append(excluded, d.Excluded...) // those that the store names are the latest
}

// Config returns the configuration that DesiredState.Tables has converted; its Revision is
// zero for tables of another origin.
func (t *Tables) Config() Config {
	c := Config{Revision: t.Revision, Routes: t.Routes, Services: t.Services, Keyed: t.Keyed, Accounts: t.Accounts}
	if t.Limits != nil {
		c.Limits = *t.Limits
	}
	return c
}

// TargetPoolName returns the name of the pool of a rollout's target. The separator
// doesn't occur in names of services.
func TargetPoolName(service, version string) string { return service + "@" + version }

// MoveName returns the name of a rollout's move. The OrderVersion makes the names
// of repeated rollouts to the same target distinct.
func MoveName(r Rollout) string {
	if r.Move != "" {
		return r.Move
	}
	return TargetPoolName(r.Service, r.Target) + "#" + VersionText(r.OrderVersion)
}

func (t *Tables) sortByName() {
	slices.SortFunc(t.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Moves, func(a, b Move) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	sortAccounts(t.Accounts)
}

// Service returns the service with the given name and whether it exists.
func (t *Tables) Service(name string) (Service, bool) {
	i, found := slices.BinarySearchFunc(t.Services, name, func(s Service, n string) int { return cmp.Compare(s.Name, n) })
	if !found {
		return Service{}, false
	}
	return t.Services[i], true
}

// Validate checks the revision, the names, and each route's host, path prefix,
// timeout, attempts and services, that no two routes match the same requests, and that no
// two accounts hold the same key.
// The error is of kind Refused and lists all errors, one per line.
func (c *Config) Validate() error {
	v := checker{tables: &Tables{}}
	if c.Revision == 0 {
		v.addError("no version")
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			v.addError("service %q: no name, or listed twice", s.Name)
		}
		services[s.Name] = true
	}
	names, patterns := map[string]bool{}, map[string]string{}
	for _, r := range c.Routes {
		if r.Name == "" || names[r.Name] {
			v.addError("route %q: no name, or listed twice", r.Name)
		}
		names[r.Name] = true
		if other, taken := patterns[r.Host+r.Path]; taken {
			v.addError("route %q: host and prefix are those of route %q", r.Name, other)
		}
		patterns[r.Host+r.Path] = r.Name
		v.checkConfigRoute(r, services)
	}
	v.checkAccounts(c.Accounts)
	if len(v.errors) > 0 {
		return therror.New(therror.Refused, "invalid configuration %d:\n%s", c.Revision, strings.Join(v.errors, "\n"))
	}
	return nil
}

// checkConfigRoute checks a route of a Config, where services take the place of pools.
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

// WeightedPools returns the pools of a route with their weights. A route without
// Split has a single pool of weight 1.
func (r *Route) WeightedPools() []WeightedPool {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedPool{{Pool: r.Pool, Weight: 1}}
}

// RolloutFromMove returns the rollout of a move in the given state. The result is false
// for a move that is no rollout.
func RolloutFromMove(m Move, state string) (Rollout, bool) {
	service, target, named := strings.Cut(m.To, "@")
	if !named || service != m.From || m.Order == 0 {
		return Rollout{}, false
	}
	return Rollout{Service: service, Target: target, OrderVersion: m.Order, Span: m.Span, State: state, Move: m.Name}, true
}
