package thmetric

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/turmerichaven/turmerichaven/thaccount"
)

// MaxAccounts limits the number of client accounts with time series of their own: the first
// ones by name. The calls of the others are added up under OtherClass.
const MaxAccounts = 64

// accountCollector exports the calls of client accounts.
type accountCollector struct {
	calls        *prometheus.Desc
	unauthorized *prometheus.Desc
	stats        *thaccount.Stats
	table        func() *thaccount.Table
}

// ExportAccounts exports the calls of the accounts of a table, which may be nil.
func (m *Metrics) ExportAccounts(stats *thaccount.Stats, table func() *thaccount.Table) {
	m.once.Do(m.register)
	m.registry.MustRegister(&accountCollector{
		calls:        prometheus.NewDesc(namespace+"_account_calls_total", "Finished calls of client accounts at this daemon's ingress.", []string{"account", "outcome"}, nil),
		unauthorized: prometheus.NewDesc(namespace+"_unauthorized_total", "Calls without the key of a client account.", nil, nil),
		stats:        stats, table: table,
	})
}

// Describe implements prometheus.Collector.
func (c *accountCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.calls
	out <- c.unauthorized
}

// Collect implements prometheus.Collector.
func (c *accountCollector) Collect(out chan<- prometheus.Metric) {
	table := c.table()
	if table == nil {
		return
	}
	out <- prometheus.MustNewConstMetric(c.unauthorized, prometheus.CounterValue, float64(c.stats.Unauthorized()))
	other := thaccount.AccountStats{Name: OtherClass}
	for i, a := range c.stats.All(table) {
		if i < MaxAccounts {
			c.send(out, a)
			continue
		}
		other.Served, other.Rejected, other.Failed = other.Served+a.Served, other.Rejected+a.Rejected, other.Failed+a.Failed
	}
	if table.Len() > MaxAccounts {
		c.send(out, other)
	}
}

func (c *accountCollector) send(out chan<- prometheus.Metric, a thaccount.AccountStats) {
	for outcome, n := range map[string]uint64{"served": a.Served, "rejected": a.Rejected, "failed": a.Failed} {
		out <- prometheus.MustNewConstMetric(c.calls, prometheus.CounterValue, float64(n), a.Name, outcome)
	}
}
