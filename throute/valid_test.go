package throute

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Guards against committing routes that the router rejects, so that no daemon can
// apply the version: Validate must reject exactly what Compile rejects.
func TestValidRoutesCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := thconfig.Tables{Pools: []thconfig.Pool{{Name: "p", Service: "s", Version: "1"}}}
		for i := range rapid.IntRange(1, 6).Draw(t, "routes") {
			n.Routes = append(n.Routes, thconfig.Route{
				Name: fmt.Sprint(i), Pool: "p", Repeat: thconfig.RepeatSafe, Timeout: time.Second,
				Host:   rapid.SampledFrom([]string{"", "", "h", "i"}).Draw(t, "host"),
				Path:   rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/ab", "/a/b/c/"}).Draw(t, "path"),
				Method: rapid.SampledFrom([]string{"", "", "GET", "HEAD", "POST"}).Draw(t, "method"),
			})
		}
		_, err := Compile(n)
		assert.Equal(t, thconfig.Validate(n) == nil, err == nil, "%+v: %v", n.Routes, err)
	})
}
