package thfleet

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"sync"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// regionToxicType is the name under which regionToxic is registered in toxiproxy.
const regionToxicType = "region"

// partitions holds the *partition of each fleet by its loopback network, because
// toxiproxy creates toxics from JSON attributes, which can't hold a pointer.
var partitions sync.Map

func init() { toxics.Register(regionToxicType, new(regionToxic)) }

// partition is the state of a network partition between the regions of a fleet.
type partition struct {
	mutex           sync.Mutex
	active          bool
	started, healed chan struct{} // closed while active, and while not active
}

func newPartition() *partition {
	p := &partition{started: make(chan struct{}), healed: make(chan struct{})}
	close(p.healed)
	return p
}

func (p *partition) setActive(active bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.active == active {
		return
	}
	p.active = active
	if active {
		close(p.started)
		p.healed = make(chan struct{})
		return
	}
	close(p.healed)
	p.started = make(chan struct{})
}

func (p *partition) state() (active bool, started, healed <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.active, p.started, p.healed
}

// regionToxic separates a daemon from the daemons of other regions during a
// partition. It reads the dialling daemon's region from the Hello frame that begins
// each peer connection.
type regionToxic struct {
	Fleet  string `json:"fleet"`
	Region string `json:"region"` // of the daemon behind the link
}

// connState is the state of regionToxic for one connection.
type connState struct {
	buffer  []byte // bytes read until the Hello is complete
	region  string // of the dialling daemon; empty until the Hello is complete
	dropped bool   // data was dropped, so the connection can't continue
}

// NewState implements toxics.StatefulToxic.
func (t *regionToxic) NewState() any { return &connState{} }

// Pipe implements toxics.Toxic. During a partition, existing connections between
// regions are closed; new ones are accepted but deliver no data, as with packet loss.
func (t *regionToxic) Pipe(stub *toxics.ToxicStub) {
	v, _ := partitions.Load(t.Fleet)
	p, d := v.(*partition), stub.State.(*connState)
	for {
		parted, broken, whole := p.state()
		if d.dropped {
			discardUntilHealed(stub, whole)
			return
		}
		if d.region == "" || d.region == t.Region {
			broken = nil
		}
		select {
		case <-stub.Interrupt:
			return
		case <-broken:
			closeStub(stub)
			return
		case c := <-stub.Input:
			if c == nil {
				stub.Close()
				return
			}
			if d.region != "" {
				stub.Output <- c
				continue
			}
			d.parseHello(c)
			switch {
			case d.region == "":
			case parted && d.region != t.Region:
				d.dropped = true
			default:
				stub.Output <- &stream.StreamChunk{Data: d.buffer, Timestamp: c.Timestamp}
			}
		}
	}
}

// parseHello adds a chunk to the buffer and sets the region once the Hello is
// complete. If the first frame is no Hello, the region is "?", which no daemon has.
func (d *connState) parseHello(c *stream.StreamChunk) {
	d.buffer = append(d.buffer, c.Data...)
	const prefix = 4 // size of a frame's length field in bytes
	if len(d.buffer) < prefix || len(d.buffer) < prefix+int(binary.BigEndian.Uint32(d.buffer)) {
		return
	}
	var h thwire.Hello
	_, payload, _, err := thwire.ReadFrame(bytes.NewReader(d.buffer), nil)
	if err == nil {
		err = thwire.Decode(payload, &h)
	}
	if d.region = h.Region; err != nil || d.region == "" {
		d.region = "?"
	}
}

// discardUntilHealed drops incoming data until the client closes the connection or
// the partition ends. It closes the connection then, as data is missing.
func discardUntilHealed(stub *toxics.ToxicStub, healed <-chan struct{}) {
	for {
		select {
		case <-stub.Interrupt:
			return
		case <-healed:
			closeStub(stub)
			return
		case c := <-stub.Input:
			if c == nil {
				stub.Close()
				return
			}
		}
	}
}

// closeStub closes both sides of a connection and drains the input, so that its
// sender doesn't block.
func closeStub(stub *toxics.ToxicStub) {
	stub.Close()
	for range stub.Input {
	}
}

// PartitionRegions closes the peer connections between regions, both for control
// messages and for calls, and blocks data on new ones until HealRegions. It needs
// UseLinks and SeparableRegions.
func (f *Fleet) PartitionRegions() { f.partition.setActive(true) }

// HealRegions ends the partition that PartitionRegions started.
func (f *Fleet) HealRegions() { f.partition.setActive(false) }

// addRegionToxic prepares the peer link of an upstream for PartitionRegions.
func (u *Upstream) addRegionToxic() error {
	f := u.fleet
	id := fmt.Sprintf("%d.%d", f.network[0], f.network[1])
	if f.partition == nil {
		f.partition = newPartition()
		partitions.Store(id, f.partition)
	}
	return u.PeerLink.toxic(regionToxicType, "upstream", fmt.Sprintf(`"fleet":%q,"region":%q`, id, u.Region))
}
