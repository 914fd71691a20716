package thplatform

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Trace records whether a request obtained a connection. Without one, nothing
// was sent, which makes a failed write safe to repeat.
type Trace struct{ connected atomic.Bool }

// WithTrace returns a context whose HTTP requests report to the trace.
func WithTrace(ctx context.Context) (context.Context, *Trace) {
	t := &Trace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	}), t
}

// WrapError gives an error of the SDK or the transport its kind, for those faults
// that are the same for every AWS API. It reads the protocol's error code and
// HTTP status through the methods that the SDK's errors have.
func (t *Trace) WrapError(err error, write bool, doing string) error {
	if err == nil {
		return nil
	}
	var coded interface{ ErrorCode() string }
	code := ""
	if errors.As(err, &coded) {
		code = coded.ErrorCode()
	}
	var answered interface{ HTTPStatusCode() int }
	status := 0
	if errors.As(err, &answered) {
		status = answered.HTTPStatusCode()
	}
	switch {
	case throttled[code] || status == 429:
		return therror.Wrap(therror.Limited, err, "%s", doing)
	case code == "RequestEntityTooLarge" || code == "EntityTooLarge" || status == 413:
		return therror.Wrap(therror.Refused, err, "%s", doing)
	case !write && errors.Is(err, errLarge):
		return therror.Wrap(therror.Refused, err, "%s", doing)
	case status >= 300 && status < 500 && code != "RequestTimeout":
		return therror.Wrap(therror.Bad, err, "%s", doing)
	case !write || !t.connected.Load():
		return therror.Wrap(therror.Down, err, "%s", doing)
	}
	// A 5xx answer, a timeout or a broken connection does not tell whether the
	// write took effect.
	return therror.Wrap(therror.Unknown, err, "%s", doing)
}

// The error codes of DynamoDB and S3 that mean that nothing was done because of load.
var throttled = map[string]bool{
	"ThrottlingException":                    true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"LimitExceededException":                 true,
	"TooManyRequestsException":               true,
	"SlowDown":                               true,
	"Throttling":                             true,
}
