// Package thmetric holds the daemon's metrics and their registry.
package thmetric

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	// MaxClasses bounds the classes that have histograms of their own. Classes
	// come from the route table, so that an operator could otherwise create
	// any number of time series.
	MaxClasses = 64
	// OtherClass counts the calls of classes above MaxClasses.
	OtherClass = "other"
	// NoClass counts the calls of routes without class.
	NoClass = "none"
)

// OutcomeOK is the outcome of a call with a complete response.
const OutcomeOK = "ok"

// Operation names a request to the platform.
type Operation string

// The operations.
const (
	Read  Operation = "read"
	Write Operation = "write"
)

// Metrics records what a daemon does. The zero value works; all methods may be
// called concurrently.
type Metrics struct {
	once     sync.Once
	registry *prometheus.Registry

	callsTotal       *prometheus.CounterVec
	callSeconds      *prometheus.HistogramVec
	addedSeconds     *prometheus.HistogramVec
	platformRequests *prometheus.CounterVec
	platformSeconds  *prometheus.HistogramVec
	controlBytes     *prometheus.CounterVec
	members          *prometheus.GaugeVec
	moves            *prometheus.GaugeVec
	movesEnded       *prometheus.CounterVec
	gauges           map[string]prometheus.Gauge

	mutex      sync.Mutex // guards the creation of classes
	classes    sync.Map   // class name to *class
	classCount int
	otherClass atomic.Pointer[class] // of OtherClass, once MaxClasses is reached
}

type class struct {
	label                      string
	totalSeconds, addedSeconds prometheus.Observer
	outcomes                   sync.Map // outcome to prometheus.Counter
}

// Registry returns the registry that /metrics serves.
func (m *Metrics) Registry() *prometheus.Registry {
	m.once.Do(m.register)
	return m.registry
}

// ObserveCall records a finished call: its time from the first byte of the request to
// the last of the response, and the part of it that the mesh added. An empty
// kind is a complete response. A negative added time is not recorded.
func (m *Metrics) ObserveCall(name string, kind therror.Kind, total, added time.Duration) {
	m.once.Do(m.register)
	c := m.class(name)
	c.totalSeconds.Observe(total.Seconds())
	if added >= 0 {
		c.addedSeconds.Observe(added.Seconds())
	}
	outcome := outcomeLabel(kind)
	counter, found := c.outcomes.Load(outcome)
	if !found {
		counter, _ = c.outcomes.LoadOrStore(outcome, m.callsTotal.WithLabelValues(c.label, outcome))
	}
	counter.(prometheus.Counter).Inc()
}

// ObservePlatformRequest records a request to the platform.
func (m *Metrics) ObservePlatformRequest(o Operation, kind therror.Kind, elapsed time.Duration) {
	m.once.Do(m.register)
	if o != Read {
		o = Write
	}
	m.platformRequests.WithLabelValues(string(o), outcomeLabel(kind)).Inc()
	m.platformSeconds.WithLabelValues(string(o)).Observe(elapsed.Seconds())
}

// AddControlBytes records bytes received and sent over control connections.
func (m *Metrics) AddControlBytes(in, out int) {
	m.once.Do(m.register)
	m.controlBytes.WithLabelValues("in").Add(float64(max(in, 0)))
	m.controlBytes.WithLabelValues("out").Add(float64(max(out, 0)))
}

// SetVersions sets the configuration version held and the highest one known.
func (m *Metrics) SetVersions(held, known uint64) {
	m.setGauge("version", float64(held))
	m.setGauge("known", float64(known))
}

// SetVersionLag sets the time since the daemon first knew a version that it does not
// hold yet; zero when it holds the highest version known.
func (m *Metrics) SetVersionLag(d time.Duration) { m.setGauge("lag", d.Seconds()) }

// SetVersionAlarm sets whether the version alarm is on.
func (m *Metrics) SetVersionAlarm(on bool) { m.setGauge("alarm", boolValue(on)) }

// SetReady sets whether the daemon is ready.
func (m *Metrics) SetReady(on bool) { m.setGauge("ready", boolValue(on)) }

// SetBreakerOpen sets whether the circuit breaker of the platform is open.
func (m *Metrics) SetBreakerOpen(open bool) { m.setGauge("breaker", boolValue(open)) }

// SetAdmission sets the concurrency limit and the calls in progress and queued.
func (m *Metrics) SetAdmission(limit, active, queued int) {
	m.setGauge("limit", float64(limit))
	m.setGauge("active", float64(active))
	m.setGauge("queued", float64(queued))
}

// SetMembers sets how many members are in each state.
func (m *Metrics) SetMembers(alive, suspect, leaving, dead int) {
	m.once.Do(m.register)
	for state, n := range map[string]int{"alive": alive, "suspect": suspect, "leaving": leaving, "dead": dead} {
		m.members.WithLabelValues(state).Set(float64(n))
	}
}

// SetMoves sets the number of running moves and how many of them are late.
func (m *Metrics) SetMoves(running, late int) {
	m.once.Do(m.register)
	m.moves.WithLabelValues("running").Set(float64(running))
	m.moves.WithLabelValues("late").Set(float64(late))
}

// CountEndedMove counts a move that this daemon, as its holder, has finished.
func (m *Metrics) CountEndedMove(reverted bool) {
	m.once.Do(m.register)
	if reverted {
		m.movesEnded.WithLabelValues("reverted").Inc()
		return
	}
	m.movesEnded.WithLabelValues("done").Inc()
}

func (m *Metrics) setGauge(name string, value float64) {
	m.once.Do(m.register)
	m.gauges[name].Set(value)
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

func outcomeLabel(k therror.Kind) string {
	switch {
	case k == "":
		return OutcomeOK
	case therror.IsKnown(k):
		return string(k)
	}
	return string(therror.Internal)
}

// class returns the metrics of a class. Names above MaxClasses share those of
// OtherClass and are not kept.
func (m *Metrics) class(name string) *class {
	if name == "" {
		name = NoClass
	}
	if c, found := m.classes.Load(name); found {
		return c.(*class)
	}
	if c := m.otherClass.Load(); c != nil {
		return c
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c, found := m.classes.Load(name); found {
		return c.(*class)
	}
	if m.classCount >= MaxClasses {
		if m.otherClass.Load() == nil {
			m.otherClass.Store(m.newClass(OtherClass))
		}
		return m.otherClass.Load()
	}
	m.classCount++
	c := m.newClass(name)
	m.classes.Store(name, c)
	return c
}

func (m *Metrics) newClass(name string) *class {
	return &class{label: name, totalSeconds: m.callSeconds.WithLabelValues(name), addedSeconds: m.addedSeconds.WithLabelValues(name)}
}

func (m *Metrics) register() {
	m.registry = prometheus.NewRegistry()
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.callsTotal = m.newCounter("calls_total", "Finished calls.", "class", "outcome")
	m.callSeconds = m.newHistogram("call_seconds", "Time of a call.", prometheus.ExponentialBuckets(0.0005, 2, 18), "class")
	m.addedSeconds = m.newHistogram("added_seconds", "Time that the mesh adds to a call.", prometheus.ExponentialBuckets(0.00002, 2, 16), "class")
	m.platformRequests = m.newCounter("platform_requests_total", "Requests to the platform.", "operation", "outcome")
	m.platformSeconds = m.newHistogram("platform_seconds", "Time of a request to the platform.", prometheus.ExponentialBuckets(0.001, 2, 14), "operation")
	m.controlBytes = m.newCounter("control_bytes_total", "Bytes over control connections.", "direction")
	m.members = m.newGauge("members", "Members of the fleet by state, as seen by this daemon.", "state")
	m.moves = m.newGauge("moves", "Moves in progress; late ones are past their deadline.", "state")
	m.movesEnded = m.newCounter("moves_ended_total", "Moves finished by this daemon as holder.", "result")
	// Both series exist from the start, so that an alert sees the first move.
	m.movesEnded.WithLabelValues("done")
	m.movesEnded.WithLabelValues("reverted")
	m.gauges = map[string]prometheus.Gauge{}
	for _, g := range [][2]string{
		{"version", "Configuration version held."},
		{"known", "Highest configuration version known."},
		{"lag", "Seconds since a version became known that is not held yet."},
		{"alarm", "1 while the version alarm (older or diverged) is on."},
		{"ready", "1 while the daemon accepts calls."},
		{"breaker", "1 while the circuit breaker of the platform is open."},
		{"limit", "Concurrency limit of the backend server."},
		{"active", "Calls in progress at the backend server."},
		{"queued", "Calls in the admission queue."},
	} {
		v := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: gaugeNames[g[0]], Help: g[1]})
		m.registry.MustRegister(v)
		m.gauges[g[0]] = v
	}
}

const namespace = "turmerichaven"

var gaugeNames = map[string]string{
	"version": "version_held", "known": "version_known", "lag": "version_lag_seconds", "alarm": "version_alarm",
	"ready": "ready", "breaker": "platform_breaker_open",
	"limit": "admission_limit", "active": "admission_active", "queued": "admission_queued",
}

func (m *Metrics) newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m *Metrics) newGauge(name, help string, labels ...string) *prometheus.GaugeVec {
	v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m *Metrics) newHistogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	m.registry.MustRegister(v)
	return v
}
