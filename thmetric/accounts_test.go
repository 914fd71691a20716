package thmetric

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thaccount"
	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Guards against time series without bound, one for each account of an operator, and against
// calls that are counted nowhere.
func TestAccountsHaveABoundedNumberOfSeries(t *testing.T) {
	var stats thaccount.Stats
	tables := thconfig.Tables{Keyed: true}
	for i := range 3 * MaxAccounts {
		name := fmt.Sprintf("account%03d", i)
		a, err := thconfig.NewAccount(name, nil, 0)
		assert.NilError(t, err)
		tables.Accounts = append(tables.Accounts, a)
		stats.Count(name, thaccount.Served)
	}
	table := thaccount.Compile(&tables)
	m := &Metrics{}
	m.ExportAccounts(&stats, func() *thaccount.Table { return table })
	families, err := m.Registry().Gather()
	assert.NilError(t, err)
	series, served := 0, 0.0
	for _, f := range families {
		if f.GetName() != "turmerichaven_account_calls_total" {
			continue
		}
		for _, s := range f.GetMetric() {
			series++
			served += s.GetCounter().GetValue()
		}
	}
	assert.Equal(t, series, 3*(MaxAccounts+1))
	assert.Equal(t, served, float64(3*MaxAccounts))
}
