package thstore_test

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmemory"
	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// layoutCost sums up the cost of requests to the table service.
type layoutCost struct{ requests, items, bytes, conflicts int }

func (c *layoutCost) read(items []thplatform.Item) {
	c.requests++
	c.items += len(items)
	for _, i := range items {
		c.bytes += len(i.Body)
	}
}

// packedRow holds the announcements of one hash bucket by daemon name. The number
// of its item increases with each write, so that a reader can skip unchanged rows.
type packedRow map[string]json.RawMessage

type packedTable struct {
	t     *testing.T
	table *thmemory.Table
	rows  int
}

func (p *packedTable) key(row int) thplatform.Key {
	return thplatform.Key{Partition: "packed", Sort: fmt.Sprintf("%04d", row)}
}

func (p *packedTable) row(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(p.rows))
}

// load reads one row and its number for an update.
func (p *packedTable) load(row int, c *layoutCost) (packedRow, uint64) {
	items, err := p.table.Get(p.t.Context(), p.key(row))
	assert.NilError(p.t, err)
	c.read(items)
	r := packedRow{}
	if len(items) == 0 {
		return r, 0
	}
	assert.NilError(p.t, json.Unmarshal(items[0].Body, &r))
	return r, items[0].Number
}

// save writes a row if its number is unchanged, and reports whether it was.
func (p *packedTable) save(row int, r packedRow, number uint64, c *layoutCost) bool {
	body, err := json.Marshal(r)
	assert.NilError(p.t, err)
	op := thplatform.Op{Item: thplatform.Item{Key: p.key(row), Number: number + 1, Body: body}, If: thplatform.NumberEquals(number)}
	if number == 0 {
		op.If = thplatform.Missing{}
	}
	c.requests++
	err = p.table.Write(p.t.Context(), op)
	if therror.Is(err, therror.Conflict) {
		c.conflicts++
		return false
	}
	assert.NilError(p.t, err)
	c.bytes += len(body)
	return true
}

func announcementOf(i int) thstore.Announcement {
	return thstore.Announcement{
		Name: fmt.Sprintf("d-%d", i), Zone: fmt.Sprintf("a-%d", i%7+1), Region: "a",
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400),
	}
}

// Compares one row for each announcement with packed rows of about 64
// announcements, so that the choice between them rests on measured cost. It prints
// the cost of a cold reader, of a reader after 60 replacements and of a renewal of
// all announcements, and fails if packed rows cost writers less than own rows.
func TestAnnouncementLayouts(t *testing.T) {
	const daemons, replaced, perRow = 680, 60, 64
	random := rand.New(rand.NewPCG(1, 1))
	own := &thstore.Store{Table: &thmemory.Table{}}
	packed := &packedTable{t: t, table: &thmemory.Table{}, rows: (daemons + perRow - 1) / perRow}
	var filling layoutCost
	put := func(i int) {
		a := announcementOf(i)
		assert.NilError(t, own.Announce(t.Context(), a, time.Hour))
		body, err := json.Marshal(a)
		assert.NilError(t, err)
		row := packed.row(a.Name)
		r, number := packed.load(row, &filling)
		r[a.Name] = body
		assert.Assert(t, packed.save(row, r, number, &filling))
	}
	for i := range daemons {
		put(i)
	}
	readOwn := func() (c layoutCost) {
		items, err := own.Table.Query(t.Context(), "member", "", "", daemons+replaced)
		assert.NilError(t, err)
		c.read(items)
		return c
	}
	seen := map[string]uint64{}
	readPacked := func() (c layoutCost) {
		items, err := packed.table.Query(t.Context(), "packed", "", "", packed.rows)
		assert.NilError(t, err)
		var changed []thplatform.Item // an index row with the numbers would let a reader skip unchanged rows
		for _, i := range items {
			if seen[i.Key.Sort] != i.Number {
				changed = append(changed, i)
				seen[i.Key.Sort] = i.Number
			}
		}
		c.read(changed)
		return c
	}
	coldOwn, coldPacked := readOwn(), readPacked()
	for n, i := range random.Perm(daemons)[:replaced] {
		name := announcementOf(i).Name
		assert.NilError(t, own.Withdraw(t.Context(), name))
		row := packed.row(name)
		r, number := packed.load(row, &filling)
		delete(r, name)
		assert.Assert(t, packed.save(row, r, number, &filling))
		put(daemons + n)
	}
	laterOwn, laterPacked := readOwn(), readPacked()

	// All daemons renew their announcements, 11 in each second: these read their rows
	// before any of them writes, and those whose write conflicts retry.
	var renewOwn, renewPacked layoutCost
	for first := 0; first < daemons; first += 11 {
		pending := make([]int, 0, 11)
		for i := first; i < min(first+11, daemons); i++ {
			pending = append(pending, i)
			body, err := json.Marshal(announcementOf(i))
			assert.NilError(t, err)
			renewOwn.requests++
			renewOwn.bytes += len(body)
		}
		for len(pending) > 0 {
			rows, numbers := make([]packedRow, len(pending)), make([]uint64, len(pending))
			for n, i := range pending {
				rows[n], numbers[n] = packed.load(packed.row(announcementOf(i).Name), &renewPacked)
			}
			var retry []int
			for n, i := range pending {
				if !packed.save(packed.row(announcementOf(i).Name), rows[n], numbers[n], &renewPacked) {
					retry = append(retry, i)
				}
			}
			pending = retry
		}
	}
	t.Logf("cold start: own rows %+v, packed %+v", coldOwn, coldPacked)
	t.Logf("after %d replacements: own rows %+v, packed rows that changed %+v", replaced, laterOwn, laterPacked)
	t.Logf("one renewal by all: own rows %+v, packed %+v", renewOwn, renewPacked)
	assert.Equal(t, coldOwn.items, daemons)
	assert.Equal(t, laterOwn.items, daemons)
	assert.Equal(t, coldPacked.items, packed.rows)
	assert.Assert(t, renewPacked.bytes > renewOwn.bytes && renewPacked.requests > renewOwn.requests)
}
