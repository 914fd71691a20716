package thstore

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thmemory"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

// Guards against odd announcements of another writer that hide those of daemons, or that
// daemons dial again and again.
func TestOddAnnouncementsAreIgnored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &thmemory.Table{}
	s := &Store{Table: table, Clock: clock}
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	odd := []string{
		``, `null`, `[]`, `7`, `"\ud800"`, "\x00\xff", nested, `{"name":` + nested + `}`, `{"name":null}`, `{}`,
	}
	for _, peer := range []string{
		`"10.0.0.1:0"`, `"10.0.0.1:65536"`, `"10.0.0.1:-1"`, `"10.0.0.1"`, `"0.0.0.0:7600"`, `"[::]:7600"`, `"224.0.0.1:7600"`, `""`, `null`, `7`,
		`"` + strings.Repeat("1", 60_000) + `"`,
	} {
		odd = append(odd, `{"name":"%s","zone":"a","region":"r","peer":`+peer+`}`)
	}
	for _, version := range []string{`18446744073709551616`, `-1`, `1e99`, `"x"`} {
		odd = append(odd, `{"name":"%s","zone":"a","region":"r","peer":"10.0.0.1:7600","version":`+version+`}`)
	}
	for i, body := range odd {
		name := fmt.Sprintf("odd-%02d", i)
		assert.NilError(t, table.Write(t.Context(), thplatform.Op{Item: thplatform.Item{
			Key: memberKey(name), Body: []byte(strings.Replace(body, "%s", name, 1)), Expiry: clock.Now().Add(time.Minute),
		}}))
	}
	good := Announcement{Name: "z", Zone: "a", Region: "r", Peer: netip.MustParseAddrPort("10.0.0.2:7600")}
	assert.NilError(t, s.Announce(t.Context(), good, time.Minute))
	list, err := s.Announcements(t.Context(), "", 100)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1, "%v", list)
	assert.Equal(t, list[0].Name, "z")
}
