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

// regionToxicType is the name under which toxiproxy knows regionToxic.
const regionToxicType = "region"

// partitions holds the partition of each fleet by its network: toxiproxy
// creates toxics from JSON attributes, which cannot carry a pointer.
var partitions sync.Map

func init() { toxics.Register(regionToxicType, new(regionToxic)) }

// partition is the state of the links between the regions of a fleet.
type partition struct {
	mutex           sync.Mutex
	active          bool
	started, healed chan struct{} // closed while parted, and while not
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

// regionToxic separates a daemon from the daemons of other regions. The Hello
// that begins each peer connection names the region of the dialling daemon.
type regionToxic struct {
	Fleet  string `json:"fleet"`
	Region string `json:"region"` // of the daemon behind the link
}

// connState is the state of one connection.
type connState struct {
	buffer  []byte // bytes read before the Hello is complete
	region  string // empty until then
	dropped bool   // bytes of the connection were dropped
}

// NewState implements toxics.StatefulToxic.
func (t *regionToxic) NewState() any { return &connState{} }

// Pipe implements toxics.Toxic. Connections between parted regions break; new
// ones are accepted, but nothing passes, as with packets that are dropped.
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

// parseHello takes the region from the Hello. A first frame that is no Hello has the
// region "?", which belongs to no daemon.
func (d *connState) parseHello(c *stream.StreamChunk) {
	d.buffer = append(d.buffer, c.Data...)
	const prefix = 4 // bytes of a frame's length
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

// discardUntilHealed drops what arrives until the dialler gives up or the regions are
// joined; a connection that has lost bytes then breaks.
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

// closeStub closes both sides of a connection and takes what its reader still delivers.
func closeStub(stub *toxics.ToxicStub) {
	stub.Close()
	for range stub.Input {
	}
}

// PartitionRegions breaks the peer connections between regions, control and calls, and lets
// nothing pass on new ones until Join. It needs Links and Regions.
func (f *Fleet) PartitionRegions() { f.partition.setActive(true) }

// HealRegions ends Part.
func (f *Fleet) HealRegions() { f.partition.setActive(false) }

// addRegionToxic prepares the peer link of an upstream for Part.
func (u *Upstream) addRegionToxic() error {
	f := u.fleet
	id := fmt.Sprintf("%d.%d", f.network[0], f.network[1])
	if f.partition == nil {
		f.partition = newPartition()
		partitions.Store(id, f.partition)
	}
	return u.PeerLink.toxic(regionToxicType, "upstream", fmt.Sprintf(`"fleet":%q,"region":%q`, id, u.Region))
}
