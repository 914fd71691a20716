package thbalance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// zoneInterval is the time between two decisions: at usual rates a daemon gets some
	// responses in it, and information of other servers is 100 ms to a second old.
	zoneInterval = 200 * time.Millisecond
	// zoneTrip is the round trip to another zone of the region, rounded up.
	zoneTrip = 3 * time.Millisecond
	// defaultObjective stands in for the latency objective of a route without one.
	defaultObjective = time.Second
	// maxZoneAge is the validity of what is known of a zone. It is above maxLoadAge, so that a
	// loaded zone isn't tried again with each decision.
	maxZoneAge = 3 * time.Second
	// Fractions of the objective that the expected time must exceed before the share of calls
	// to other zones grows, and must fall below before it shrinks. Answers well within the
	// objective are worth as much as faster ones, so nothing is gained by crossing earlier.
	startRatio = 0.45
	stopRatio  = 0.4
	// shareGrowth is the growth of a zone's share in one interval at full gain. With information
	// that is a second old, the share exceeds what is needed by at most five times as much.
	shareGrowth = 0.05
	fullGain    = 0.25 // gain, as a fraction of the objective, at which a share grows fastest
	// releaseUtilisation is the utilisation of the local servers up to which calls return. It is
	// below that at which queues form, or the share would shrink and grow in turns.
	releaseUtilisation = 0.85
	releaseFactor      = 0.85 // lower bound of what remains of a share that is not needed, each interval
	retreatFactor      = 0.8  // what remains of a share to a loaded zone, each interval
	probeShare         = 0.1  // maximum share of calls to zones about which nothing is known
	minShare           = 0.01 // smaller shares end
	// maxShare leaves some calls in the local zone, whose responses show when it has recovered.
	maxShare      = 0.9
	sampleWeight  = 8 // number of responses that weigh as much as all earlier ones
	zoneRatioUnit = 1 << 16
)

// zoneFlow holds what a daemon knows of one zone's servers in a pool and the share of its
// calls that it sends there.
type zoneFlow struct {
	// Sums over the responses since the last decision, added by Done.
	calls, ratios, objectives, active, limit, failures atomic.Int64

	// Moving averages, written by the decision.
	ratio       atomic.Uint64 // bits of the expected time to an answer as a fraction of the objective
	utilisation atomic.Uint64 // bits of the fraction of the limit in use
	sampled     atomic.Int64  // stamp of the last response; zero if none
	share       atomic.Uint64 // bits of the share of calls sent to this zone; unused for the local zone
}

// zoneRule decides what share of a daemon's calls to a pool leaves the zone. The state is
// local to the daemon and kept across Updates.
type zoneRule struct {
	cost      time.Duration
	due       atomic.Int64  // stamp of the next decision
	objective atomic.Int64  // ns, average over the calls
	total     atomic.Uint64 // bits of the sum of the shares
	rescue    atomic.Int32  // 1 + index of the zone for calls that a local server has rejected; zero if none
	// stay is set while the local zone and all others are loaded: a local server that has
	// rejected calls a moment ago is as likely to accept one as a server elsewhere.
	stay  atomic.Bool
	flows map[string]*zoneFlow
}

// poolZone is a zone of the local region in a pool: its servers from first to end.
type poolZone struct {
	first, end int
	flow       *zoneFlow
}

// zoneFigures is the basis of a decision about one other zone. Times and the cost are
// fractions of the latency objective.
type zoneFigures struct {
	home, there float64 // expected times to an answer, the round trip included
	known       bool    // there is based on recent responses
	failed      bool    // most recent calls to the zone broke
	cost        float64
	utilisation float64 // of the local servers
	share       float64 // of this zone
	total       float64 // of all other zones
}

// nextShare returns the share of calls that is sent to the zone from now on.
func nextShare(f zoneFigures) float64 {
	gain := f.home - f.there
	share := f.share
	switch {
	case f.failed:
		return 0
	case !f.known && share > probeShare:
		share = probeShare
	case f.pays():
		limit := maxShare
		if !f.known {
			limit = probeShare
		}
		step := shareGrowth * min(1, (gain-f.cost)/fullGain)
		share = max(share, min(share+step, limit-(f.total-share)))
	case f.known && f.there > startRatio && gain < 0:
		share *= retreatFactor
	case f.home < stopRatio && f.total > 0:
		// The local servers would have this utilisation if all calls returned.
		offered := f.utilisation / max(1-f.total, 1-maxShare)
		needed := 0.0
		if offered > releaseUtilisation {
			needed = 1 - releaseUtilisation/offered
		}
		share *= min(1, max(releaseFactor, needed/f.total))
	default:
		return share
	}
	if share < minShare {
		return 0
	}
	return share
}

// pays reports whether more calls than now are worth sending to the zone. A zone that is nearly
// as loaded as the local one is left alone: the difference is then within the error of a few
// responses, and its own daemons need its servers.
func (f zoneFigures) pays() bool {
	return !f.failed && f.home > startRatio && f.home-f.there > f.cost && f.there < (startRatio+f.home)/2
}

// flow returns the state of a zone, which it creates. It is called by Update only.
func (z *zoneRule) flow(zone string) *zoneFlow {
	if z.flows[zone] == nil {
		z.flows[zone] = &zoneFlow{}
	}
	return z.flows[zone]
}

// ruleFor returns the rule of a pool, nil while the fixed rule is in effect.
func (b *Balancer) ruleFor(pool string) *zoneRule {
	if !b.AutoZones {
		return nil
	}
	if b.zoneRules == nil {
		b.zoneRules = map[string]*zoneRule{}
	}
	if b.zoneRules[pool] == nil {
		b.zoneRules[pool] = &zoneRule{cost: b.ZoneCost, flows: map[string]*zoneFlow{}}
	}
	return b.zoneRules[pool]
}

// addZones lists the zones of the local region, whose servers are sorted by zone.
func (p *pool) addZones(z *zoneRule) {
	if z == nil || p.tierEnds[0] == 0 {
		return // without servers in the local zone all others are alike
	}
	p.rule = z
	for i, s := range p.servers[:p.tierEnds[1]] {
		s.flow = z.flow(s.Member.Zone)
		if i == 0 || s.flow != p.servers[i-1].flow {
			p.zones = append(p.zones, poolZone{first: i, flow: s.flow})
		}
		p.zones[len(p.zones)-1].end = i + 1
	}
}

// chooseZone selects a server by the rule; nil if it finds no usable one in the zone, which
// then is one of any zone.
func (b *Balancer) chooseZone(p *pool, exclude []string, now time.Time, at int64) *Server {
	p.rule.advance(p.zones, at)
	z := p.zones[0]
	if i := p.rule.rescue.Load(); i > 0 && len(exclude) > 0 && int(i) < len(p.zones) {
		z = p.zones[i]
	} else if total := math.Float64frombits(p.rule.total.Load()); total > 0 {
		x := float64(b.randomUint64()>>11) / (1 << 53)
		for _, o := range p.zones[1:] {
			if x -= math.Float64frombits(o.flow.share.Load()); x < 0 {
				z = o
				break
			}
		}
	}
	if s := b.drawPair(p.servers[z.first:z.end], exclude, now, false); s != nil {
		return s
	}
	if z.first > 0 {
		if s := b.drawPair(p.servers[:p.zones[0].end], exclude, now, false); s != nil {
			return s
		}
	}
	if !p.rule.stay.Load() {
		// Not Choose's order of tiers, which would give servers that ramp up a second chance.
		return b.drawPair(p.servers[:p.tierEnds[1]], exclude, now, p.tierEnds[1] == len(p.servers))
	}
	if s := b.scanAll(p.servers[:p.zones[0].end], exclude, now); s.class(exclude, now) <= classAvoided {
		return s
	}
	return nil
}

// advance makes the decisions that are due.
func (z *zoneRule) advance(zones []poolZone, at int64) {
	due := z.due.Load()
	if at < due || !z.due.CompareAndSwap(due, at+int64(zoneInterval)) {
		return
	}
	home := zones[0].flow
	if !home.known(at) {
		// An average that began with one slow response would send calls away.
		home.ratio.Store(0)
		home.sampled.Store(at)
	}
	z.collect(home, at)
	objective := float64(max(z.objective.Load(), int64(time.Millisecond)))
	f := zoneFigures{cost: float64(z.cost) / objective, utilisation: math.Float64frombits(home.utilisation.Load())}
	f.home = math.Float64frombits(home.ratio.Load())
	for _, o := range zones[1:] {
		f.total += math.Float64frombits(o.flow.share.Load())
	}
	total, rescue, best, loaded := 0.0, 0, 0.0, 0
	for i, o := range zones[1:] {
		f.failed = z.collect(o.flow, at)
		f.known, f.there = o.flow.known(at), float64(zoneTrip)/objective
		if f.known {
			f.there += math.Float64frombits(o.flow.ratio.Load())
		}
		f.share = math.Float64frombits(o.flow.share.Load())
		share := nextShare(f)
		o.flow.share.Store(math.Float64bits(share))
		f.total += share - f.share
		total += share
		if f.pays() && (rescue == 0 || f.there < best) {
			rescue, best = i+1, f.there
		}
		if f.known && f.there > startRatio {
			loaded++
		}
	}
	z.total.Store(math.Float64bits(total))
	z.rescue.Store(int32(rescue))
	z.stay.Store(rescue == 0 && f.home > startRatio && loaded == len(zones)-1)
}

// collect adds the responses since the last decision to the averages of a zone. It reports
// whether most of the calls broke. Adding a response to the next decision is harmless.
func (z *zoneRule) collect(f *zoneFlow, at int64) (failed bool) {
	n, failures := f.calls.Swap(0), f.failures.Swap(0)
	ratios, objectives, active, limit := f.ratios.Swap(0), f.objectives.Swap(0), f.active.Swap(0), f.limit.Swap(0)
	if n == 0 {
		return failures > 0
	}
	weight := float64(n) / float64(n+sampleWeight)
	if !f.known(at) {
		weight = 1
	}
	average(&f.ratio, float64(ratios)/float64(n)/zoneRatioUnit, weight)
	if limit > 0 {
		average(&f.utilisation, float64(active)/float64(limit), weight)
	}
	f.sampled.Store(at)
	if old := z.objective.Load(); old > 0 {
		z.objective.Store(old + int64(weight*float64(objectives/n-old)))
	} else {
		z.objective.Store(objectives / n)
	}
	return failures > n
}

func average(v *atomic.Uint64, sample, weight float64) {
	old := math.Float64frombits(v.Load())
	v.Store(math.Float64bits(old + weight*(sample-old)))
}

func (f *zoneFlow) known(at int64) bool {
	t := f.sampled.Load()
	return t > 0 && at-t <= int64(maxZoneAge)
}

// observe adds the result of a call to the figures of the server's zone. A rejected call
// counts with at least its objective, since it has to be tried elsewhere.
func (f *zoneFlow) observe(r *Result, objective time.Duration) {
	expected := expectedTime(&r.Load)
	if expected == 0 {
		expected = r.Latency
	}
	switch r.Kind {
	case "":
	case therror.Full:
		expected = max(expected, objective)
	case therror.Broken, therror.Crashed, therror.Down, therror.Late:
		f.failures.Add(1)
		return
	default:
		return
	}
	f.calls.Add(1)
	f.ratios.Add(int64(float64(expected) / float64(objective) * zoneRatioUnit))
	f.objectives.Add(int64(objective))
	if r.HasLoad {
		f.active.Add(int64(r.Load.Active))
		f.limit.Add(int64(r.Load.Limit))
	}
}

// expectedTime returns the time that a further call of the route would wait and run; zero if
// the server's daemon doesn't state it.
func expectedTime(l *thwire.Load) time.Duration {
	if l.Time <= 0 {
		return 0
	}
	return time.Duration(l.Wait + l.Time)
}

// objective returns the latency objective of a route.
func (v *view) objective(route string) time.Duration {
	if d := v.objectives[route]; d > 0 {
		return d
	}
	return defaultObjective
}
