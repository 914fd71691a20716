package thsync

import "github.com/turmerichaven/turmerichaven/thmember"

// *thmember.Node implements Peers.
var _ Peers = (*thmember.Node)(nil)
