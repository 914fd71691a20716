package thproxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against a malformed limit that is taken for a number or for the end of the
// limit, and against statements of another instance than the expected one.
func TestServerReportOfResponses(t *testing.T) {
	var got *ServerReport
	target := &Target{
		Headers:  &Headers{Limit: "Server-Limit", Leaving: "Server-Leaving"},
		OnReport: func(r ServerReport) { got = &r },
	}
	for _, c := range []struct {
		values                       []string
		status                       int
		limit                        float64
		hasLimit, malformed, ignored bool
	}{
		{values: nil},
		{values: []string{"7.8"}, limit: 7.8, hasLimit: true},
		{values: []string{"0"}, hasLimit: true},
		{values: []string{"12"}, status: http.StatusServiceUnavailable, limit: 12, hasLimit: true},
		{values: []string{"-1"}, malformed: true},
		{values: []string{"many"}, malformed: true},
		{values: []string{""}, malformed: true},
		{values: []string{"NaN"}, malformed: true},
		{values: []string{"Inf"}, malformed: true},
		{values: []string{"1e999"}, malformed: true},
		{values: []string{"7", "8"}, malformed: true},
		{values: []string{"7"}, status: http.StatusMisdirectedRequest, ignored: true},
	} {
		got = nil
		response := &http.Response{StatusCode: max(c.status, http.StatusOK), Header: http.Header{"Server-Leaving": {"1"}}}
		if c.values != nil {
			response.Header["Server-Limit"] = c.values
		}
		target.report(response, thwire.Server{Instance: "i-1"}, time.Now())
		if c.ignored {
			assert.Assert(t, got == nil, "%q", c.values)
			continue
		}
		assert.Equal(t, got.Server.Instance, "i-1")
		assert.Equal(t, got.HasLimit, c.hasLimit, "%q", c.values)
		assert.Equal(t, got.Limit, c.limit, "%q", c.values)
		assert.Equal(t, therror.Is(got.LimitErr, therror.Bad), c.malformed, "%q", c.values)
		assert.Assert(t, got.Leaving)
	}
}
