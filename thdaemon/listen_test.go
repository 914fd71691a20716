package thdaemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thhttp"
	"github.com/turmerichaven/turmerichaven/thsettings"
)

// Guards against defaults that clients within the limits of the configuration reach on the smallest
// machine, and against those that leave no descriptors or memory for the rest of the daemon.
func TestDefaultBoundsOnClients(t *testing.T) {
	const memory, descriptors = 184 << 20, 4100
	b := clientBounds(thsettings.ClientsSettings{}, memory, descriptors)
	// 600 connections, each with a request of 16 KiB in 40 fields in progress: 16 KiB beside the head.
	const used = 600 * (thhttp.ConnectionCost + 16<<10 + 16<<10 + 40*128)
	assert.Assert(t, b.Bytes > used, "%d bytes, %d used", b.Bytes, used)
	assert.Assert(t, b.Connections >= 1000, "%d connections", b.Connections)
	assert.Assert(t, b.Bytes <= memory/4, "%d bytes", b.Bytes)
	assert.Assert(t, b.Connections <= descriptors/2, "%d connections", b.Connections)
	assert.Assert(t, int64(b.Connections)*thhttp.ConnectionCost <= b.Bytes/3, "idle connections take the room of requests")
}

// Guards against settings that are ignored, and against bounds that follow from an unknown or tiny
// limit of descriptors and accept no client.
func TestBoundsOnClientsFromSettings(t *testing.T) {
	for _, x := range []struct {
		settings            thsettings.ClientsSettings
		memory, descriptors int
		want                thhttp.Bounds
	}{
		{thsettings.ClientsSettings{Connections: 7, Bytes: 1 << 20}, 200 << 20, 4100, thhttp.Bounds{Connections: 7, Bytes: 1 << 20}},
		{thsettings.ClientsSettings{Connections: 5000}, 200 << 20, 4100, thhttp.Bounds{Connections: 5000, Bytes: 50 << 20}},
		{thsettings.ClientsSettings{Bytes: 24 << 20}, 200 << 20, 4100, thhttp.Bounds{Connections: 1024, Bytes: 24 << 20}},
		{thsettings.ClientsSettings{}, 1023 << 20, 1024, thhttp.Bounds{Connections: 512, Bytes: 1023 << 18}},
		{thsettings.ClientsSettings{}, 24 << 20, 0, thhttp.Bounds{Connections: 256, Bytes: 6 << 20}},
		{thsettings.ClientsSettings{Bytes: 1}, 24 << 20, 1, thhttp.Bounds{Connections: 1, Bytes: 1}},
	} {
		assert.Equal(t, clientBounds(x.settings, x.memory, x.descriptors), x.want)
	}
}
