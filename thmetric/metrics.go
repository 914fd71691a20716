// Package thmetric defines the daemon's Prometheus metrics.
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
	// MaxClasses limits the number of classes with time series of their own.
	// Classes come from the route table, so without a limit an operator could
	// create any number of time series.
	MaxClasses = 64
	// OtherClass is the label of all classes beyond MaxClasses.
	OtherClass = "other"
	// NoClass is the label of calls on routes without a class.
	NoClass = "none"
)

// OutcomeOK is the outcome label of a call with a complete response.
const OutcomeOK = "ok"

// Operation is the operation label of a request to the platform.
type Operation string

// Values of Operation.
const (
	Read  Operation = "read"
	Write Operation = "write"
)

// Metrics holds the metrics of one daemon. The zero value is ready to use, and all
// methods may be called concurrently.
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
	serverCrashes    *prometheus.CounterVec
	rejectedMessages *prometheus.CounterVec
	limited          *prometheus.CounterVec
	crashRequests    *prometheus.GaugeVec
	gauges           map[string]prometheus.Gauge // without labels; for keys see gaugeNames

	mutex      sync.Mutex // held while a class is added
	classes    sync.Map   // class name to *class
	classCount int
	otherClass atomic.Pointer[class] // set when MaxClasses is exceeded
}

// class caches the metrics of one class.
type class struct {
	label                      string
	totalSeconds, addedSeconds prometheus.Observer
	outcomes                   sync.Map // outcome label to prometheus.Counter
}

// Registry returns the registry that holds all metrics, for the /metrics endpoint.
func (m *Metrics) Registry() *prometheus.Registry {
	m.once.Do(m.register)
	return m.registry
}

// ObserveCall records a finished call. total is the time from the first byte of the
// request to the last byte of the response, added the part of it that the mesh
// added; a negative added time is not recorded. An empty kind means a complete
// response.
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

// ObservePlatformRequest records the result and duration of a platform request. An
// empty kind means success.
func (m *Metrics) ObservePlatformRequest(o Operation, kind therror.Kind, elapsed time.Duration) {
	m.once.Do(m.register)
	if o != Read {
		o = Write
	}
	m.platformRequests.WithLabelValues(string(o), outcomeLabel(kind)).Inc()
	m.platformSeconds.WithLabelValues(string(o)).Observe(elapsed.Seconds())
}

// AddControlBytes adds bytes received and sent over control connections. Negative
// values count as zero.
func (m *Metrics) AddControlBytes(in, out int) {
	m.once.Do(m.register)
	m.controlBytes.WithLabelValues("in").Add(float64(max(in, 0)))
	m.controlBytes.WithLabelValues("out").Add(float64(max(out, 0)))
}

// SetVersions sets the held configuration version and the highest known one.
func (m *Metrics) SetVersions(held, known uint64) {
	m.setGauge("version", float64(held))
	m.setGauge("known", float64(known))
}

// SetVersionLag sets the time since the daemon learned of a version that it does not
// hold yet. It is zero while the daemon holds the highest known version.
func (m *Metrics) SetVersionLag(d time.Duration) { m.setGauge("lag", d.Seconds()) }

// SetVersionAlarm sets whether the version alarm is on.
func (m *Metrics) SetVersionAlarm(on bool) { m.setGauge("alarm", boolValue(on)) }

// SetReady sets whether the daemon accepts calls.
func (m *Metrics) SetReady(on bool) { m.setGauge("ready", boolValue(on)) }

// SetBreakerOpen sets whether the circuit breaker of the platform is open.
func (m *Metrics) SetBreakerOpen(open bool) { m.setGauge("breaker", boolValue(open)) }

// SetAdmission sets the concurrency limit and the numbers of active and queued calls.
func (m *Metrics) SetAdmission(limit, active, queued int) {
	m.setGauge("limit", float64(limit))
	m.setGauge("active", float64(active))
	m.setGauge("queued", float64(queued))
}

// SetUsage sets the state of the duty of reporting usage at this daemon: whether it is the
// holder, the fencing token of the holder, the windows that this process has reported, and the
// ended ones that are not reported and those that should have been.
func (m *Metrics) SetUsage(holder bool, token, reported uint64, due, late int) {
	m.setGauge("holder", boolValue(holder))
	m.setGauge("token", float64(token))
	m.setGauge("reported", float64(reported))
	m.setGauge("due", float64(due))
	m.setGauge("late", float64(late))
}

// SetMembers sets the number of fleet members in each state.
func (m *Metrics) SetMembers(alive, suspect, leaving, dead int) {
	m.once.Do(m.register)
	for state, n := range map[string]int{"alive": alive, "suspect": suspect, "leaving": leaving, "dead": dead} {
		m.members.WithLabelValues(state).Set(float64(n))
	}
}

// SetMoves sets the number of running moves and of those past their deadline.
func (m *Metrics) SetMoves(running, late int) {
	m.once.Do(m.register)
	m.moves.WithLabelValues("running").Set(float64(running))
	m.moves.WithLabelValues("late").Set(float64(late))
}

// CountEndedMove counts a move that this daemon finished as its coordinator.
func (m *Metrics) CountEndedMove(reverted bool) {
	m.once.Do(m.register)
	if reverted {
		m.movesEnded.WithLabelValues("reverted").Inc()
		return
	}
	m.movesEnded.WithLabelValues("done").Inc()
}

// CountServerCrash counts a crash of the local backend server.
func (m *Metrics) CountServerCrash() {
	m.once.Do(m.register)
	m.serverCrashes.WithLabelValues().Inc()
}

// CountRejectedMessage counts a message of a backend server that was rejected.
func (m *Metrics) CountRejectedMessage(kind therror.Kind) {
	m.once.Do(m.register)
	m.rejectedMessages.WithLabelValues(string(kind)).Inc()
}

// CountLimited counts a request or a connection of a caller that a limit has ended.
func (m *Metrics) CountLimited(limit string) {
	m.once.Do(m.register)
	m.limited.WithLabelValues(limit).Inc()
}

// SetCrashRequests sets the number of requests that may have crashed a backend server, and of
// those that are quarantined.
func (m *Metrics) SetCrashRequests(suspect, quarantined int) {
	m.once.Do(m.register)
	m.crashRequests.WithLabelValues("suspect").Set(float64(suspect))
	m.crashRequests.WithLabelValues("quarantined").Set(float64(quarantined))
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

// outcomeLabel maps unknown kinds to Internal, so that the label's values are bounded.
func outcomeLabel(k therror.Kind) string {
	switch {
	case k == "":
		return OutcomeOK
	case therror.IsKnown(k):
		return string(k)
	}
	return string(therror.Internal)
}

// class returns the metrics of a class and creates them on first use. Names beyond
// MaxClasses share the metrics of OtherClass and are not stored.
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
	// Creates both series at zero, so that an alert sees the first increase.
	m.movesEnded.WithLabelValues("done")
	m.movesEnded.WithLabelValues("reverted")
	m.serverCrashes = m.newCounter("server_crashes_total", "Crashes of the local backend server while it ran calls.")
	m.serverCrashes.WithLabelValues()
	m.rejectedMessages = m.newCounter("rejected_messages_total", "Heartbeats and deregistrations that were rejected.", "kind")
	for _, k := range []therror.Kind{therror.Bad, therror.Conflict} {
		m.rejectedMessages.WithLabelValues(string(k))
	}
	m.limited = m.newCounter("limited_total", "Requests and connections of callers that a limit has ended.", "limit")
	m.crashRequests = m.newGauge("crash_requests", "Requests that may have crashed a backend server, and quarantined ones.", "state")
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
		{"holder", "1 while this daemon holds the duty of reporting usage."},
		{"token", "Fencing token of the holder of the duty of reporting usage, as far as known."},
		{"reported", "Windows whose usage this process has reported."},
		{"due", "Ended windows whose usage is not reported, at the holder."},
		{"late", "Windows whose usage should have been reported, at the holder."},
	} {
		v := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: gaugeNames[g[0]], Help: g[1]})
		m.registry.MustRegister(v)
		m.gauges[g[0]] = v
	}
}

const namespace = "turmerichaven"

// gaugeNames maps the keys of Metrics.gauges to metric names.
var gaugeNames = map[string]string{
	"version": "version_held", "known": "version_known", "lag": "version_lag_seconds", "alarm": "version_alarm",
	"ready": "ready", "breaker": "platform_breaker_open",
	"holder": "usage_holder", "token": "usage_token", "reported": "usage_windows_reported",
	"due": "usage_windows_due", "late": "usage_windows_late",
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
