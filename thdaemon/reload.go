package thdaemon

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/turmerichaven/turmerichaven/thsettings"
)

// watchSignals reads the settings again on each SIGHUP until ctx ends. The log level
// takes effect at once; other settings belong to addresses and parts that are
// open, and take effect with the next start. A file with faults changes nothing.
func (d *Daemon) watchSignals(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				d.reloadSettings()
			}
		}
	}()
}

func (d *Daemon) reloadSettings() {
	if d.File == "" {
		d.Log.Info("settings not read again, they come from no file")
		return
	}
	s, err := thsettings.Load(d.File, thsettings.RoleDaemon)
	if err != nil {
		d.Log.Error("settings not read again", "file", d.File, "error", err)
		return
	}
	d.Log.SetLevel(hclog.LevelFromString(s.Log.Level))
	s.Log = d.Settings.Log
	d.Log.Info("settings read again", "file", d.File, "needs restart", !reflect.DeepEqual(s, d.Settings))
}
