package thproxy

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against an ingress that returns a response in which the backend server states that
// it is leaving, and then forgets it.
func TestIngressReportsStatedDeparture(t *testing.T) {
	for _, c := range []struct {
		value string
		want  string
	}{{value: "1", want: "a"}, {value: "0"}, {value: ""}} {
		m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c.value != "" {
				w.Header().Set("Server-Leaving", c.value)
			}
			w.WriteHeader(http.StatusNotFound) // any response counts
		}))
		m.ingress.Headers = &Headers{Deadline: HeaderDeadline, Leaving: "Server-Leaving"}
		reported := ""
		m.ingress.OnLeaving = func(m *thwire.Member) { reported = m.Name }
		response, err := m.client.Post(m.front.URL+"/x", "", nil)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.Header.Get("Server-Leaving"), c.value, "the header is the backend server's")
		assert.Equal(t, reported, c.want, "%q", c.value)
	}
}
