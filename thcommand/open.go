package thcommand

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thdaemon"
	"github.com/turmerichaven/turmerichaven/thsettings"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// RunDaemon runs the daemon until ctx is cancelled. Tests may replace it.
var RunDaemon = thdaemon.Run

// OpenStore opens the store of the platform in the settings. Tests replace it.
var OpenStore = func(s thsettings.Settings) (Store, error) {
	return platformStore{thdaemon.OpenStore(s, nil, hclog.NewNullLogger())}, nil
}

// platformStore adapts thstore.Store to Store.
type platformStore struct{ *thstore.Store }

// Commit converts the proposal and commits it; see thstore.Store.Commit.
func (s platformStore) Commit(ctx context.Context, p Proposal) (thconfig.Change, error) {
	return s.Store.Commit(ctx, thstore.Proposal(p))
}
