package thdaemon

import (
	"context"
	"reflect"

	"github.com/hashicorp/go-hclog"

	"github.com/turmerichaven/turmerichaven/thsettings"
)

// watchReloads reloads the settings on each signal of Reloads until ctx ends. Only the log
// level takes effect immediately; other settings need a restart, because they
// belong to open addresses and running components. An invalid file changes nothing.
func (d *Daemon) watchReloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Reloads:
			d.reloadSettings()
		}
	}
}

func (d *Daemon) reloadSettings() {
	if d.SettingsFile == "" {
		d.Log.Info("settings not reloaded: they were not read from a file")
		return
	}
	s, err := thsettings.Load(d.SettingsFile, thsettings.RoleDaemon)
	if err != nil {
		d.Log.Error("failed to reload settings", "file", d.SettingsFile, "error", err)
		return
	}
	d.Log.SetLevel(hclog.LevelFromString(s.Log.Level))
	s.Log = d.Settings.Log
	d.Log.Info("settings reloaded", "file", d.SettingsFile, "needs restart", !reflect.DeepEqual(s, d.Settings))
}
