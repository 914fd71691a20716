package thproxy

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// headerValueLeaving is the value of Headers.Leaving on responses of a leaving server.
const headerValueLeaving = "1"

// ServerReport is what a backend server states about itself in a response.
type ServerReport struct {
	Server   thwire.Server // the instance to which the request was sent
	Sent     time.Time     // when the request was dispatched
	HasLimit bool          // the response states Limit
	Limit    float64       // calls per second that the server accepts from all callers together
	LimitErr error         // of kind Bad if the stated limit is malformed; the other limit fields are zero then
	Leaving  bool          // the server is leaving
}

// report passes the report of a response to OnReport. A response with status 421
// comes from another instance than the expected one, so it says nothing about it.
func (t *Target) report(response *http.Response, server thwire.Server, sent time.Time) {
	names := headersOrDefault(t.Headers)
	if t.OnReport == nil || response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	r := ServerReport{Server: server, Sent: sent}
	if values, found := response.Header[names.Limit]; found && names.Limit != "" {
		r.Limit, r.LimitErr = parseLimit(values)
		r.HasLimit = r.LimitErr == nil
	}
	if values := response.Header[names.Leaving]; names.Leaving != "" && len(values) > 0 {
		r.Leaving = values[0] == headerValueLeaving
	}
	t.OnReport(r)
}

// parseLimit parses the limit header, a non-negative finite decimal number. The error
// is of kind Bad.
func parseLimit(values []string) (float64, error) {
	if len(values) != 1 {
		return 0, therror.New(therror.Bad, "response states %d limits", len(values))
	}
	limit, err := strconv.ParseFloat(values[0], 64)
	if err != nil || limit < 0 || math.IsInf(limit, 0) || math.IsNaN(limit) {
		return 0, therror.New(therror.Bad, "limit %q is not a non-negative finite number", values[0])
	}
	return limit, nil
}
