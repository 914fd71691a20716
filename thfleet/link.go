package thfleet

import (
	"context"
	"fmt"
	"strings"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Ports of the links, on the loopback address of their upstream.
const (
	portPeerLink     = 9081
	portServerLink   = 9084
	portPlatformLink = 9090
)

// Link is a fault-injecting TCP proxy in front of one address.
type Link struct{ proxy *toxiproxy.Proxy }

// newLink starts a proxy that listens on one address and forwards to another.
func newLink(name, listen, upstream string) (*Link, error) {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := toxiproxy.NewProxy(server, name, listen, upstream)
	if err := p.Start(); err != nil {
		return nil, therror.Wrap(therror.Internal, err, "link %s", name)
	}
	return &Link{p}, nil
}

// Disconnect closes all connections and refuses new ones until Restore.
func (l *Link) Disconnect() { l.proxy.Stop() }

// Restore accepts connections again after Disconnect.
func (l *Link) Restore() error { return l.proxy.Start() }

// Hang keeps connections open and delivers nothing in either direction.
func (l *Link) Hang() error { return l.toxics("timeout", `"timeout":0`) }

// AddLatency delays the data in both directions; latency and jitter are in
// milliseconds.
func (l *Link) AddLatency(latency, jitter int) error {
	return l.toxics("latency", fmt.Sprintf(`"latency":%d,"jitter":%d`, latency, jitter))
}

// Truncate closes each connection once it has delivered this many bytes to the
// client.
func (l *Link) Truncate(bytes int) error {
	return l.toxic("limit_data", "downstream", fmt.Sprintf(`"bytes":%d`, bytes))
}

// ClearFaults removes all faults except Disconnect.
func (l *Link) ClearFaults(ctx context.Context) { l.proxy.Toxics.ResetToxics(ctx) }

func (l *Link) toxics(kind, attributes string) error {
	if err := l.toxic(kind, "downstream", attributes); err != nil {
		return err
	}
	return l.toxic(kind, "upstream", attributes)
}

func (l *Link) toxic(kind, stream, attributes string) error {
	text := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":{%s}}`, kind, stream, kind, stream, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text))
	return err
}

// startLinks starts the proxies of an upstream, in front of its peer address, its
// backend server and the platform.
func (u *Upstream) startLinks() (err error) {
	if u.PeerLink, err = newLink(u.Name, u.addrPort(portPeerLink).String(), u.Peer()); err != nil {
		return err
	}
	if u.fleet.SeparableRegions {
		if err = u.addRegionToxic(); err != nil {
			return err
		}
	}
	if u.ServerLink, err = newLink(u.Name, u.addrPort(portServerLink).String(), u.ServerAddress()); err != nil {
		return err
	}
	u.PlatformAddress = u.addrPort(portPlatformLink).String()
	u.PlatformLink, err = newLink(u.Name, u.PlatformAddress, u.fleet.platformAddress)
	return err
}
