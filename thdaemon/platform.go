package thdaemon

import (
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	rowplatform "github.com/turmerichaven/turmerichaven/platform"
	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thdynamo"
	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/ths3"
	"github.com/turmerichaven/turmerichaven/thsettings"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// platform is the store together with the guards of its two services.
type platform struct {
	*thstore.Store
	table   *thplatform.GuardedTable
	objects *thplatform.GuardedObjects
	rows    *rowplatform.Store // nil unless the platform is of kind rows
}

// OpenStore returns the store that the settings describe. It opens no connection,
// so it succeeds while the platform is down. A nil clock is the system clock.
func OpenStore(s thsettings.Settings, clock clockwork.Clock, log hclog.Logger) *thstore.Store {
	return openPlatform(s, clock, log).Store
}

func openPlatform(s thsettings.Settings, clock clockwork.Clock, log hclog.Logger) *platform {
	p := &platform{table: &thplatform.GuardedTable{}, objects: &thplatform.GuardedObjects{}}
	for _, g := range []*thplatform.Guard{&p.table.Guard, &p.objects.Guard} {
		g.Clock, g.Log, g.Timeout = clock, log, s.Platform.Timeout
	}
	p.Store = &thstore.Store{Table: p.table, Objects: p.objects, Clock: clock, Log: log}
	if s.Platform.Kind == thsettings.KindRows {
		p.rows = rowplatform.Open(s.Platform.Store, thclock.OrSystem(clock).Now)
		p.table.Table = p.rows
		return p
	}
	p.table.Table = thdynamo.New(thdynamo.Settings{
		Endpoint: s.Platform.Table, Table: s.Platform.Name, Region: s.Platform.Region,
		AccessKey: s.Platform.Access, Secret: s.Platform.Secret,
	})
	p.objects.Objects = ths3.New(ths3.Settings{
		Endpoint: s.Platform.Object, Bucket: s.Platform.Bucket, Region: s.Platform.Region,
		AccessKey: s.Platform.Access, Secret: s.Platform.Secret,
	})
	return p
}
