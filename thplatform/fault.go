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
func (t *Trace) WrapError(err error, write bool, operation string) error {
	if err == nil {
		return nil
	}
	var withCode interface{ ErrorCode() string }
	code := ""
	if errors.As(err, &withCode) {
		code = withCode.ErrorCode()
	}
	var withStatus interface{ HTTPStatusCode() int }
	status := 0
	if errors.As(err, &withStatus) {
		status = withStatus.HTTPStatusCode()
	}
	switch {
	case throttlingCodes[code] || status == 429:
		return therror.Wrap(therror.Limited, err, "%s", operation)
	case code == "RequestEntityTooLarge" || code == "EntityTooLarge" || status == 413:
		return therror.Wrap(therror.Refused, err, "%s", operation)
	case !write && errors.Is(err, errResponseTooLarge):
		return therror.Wrap(therror.Refused, err, "%s", operation)
	case status >= 300 && status < 500 && code != "RequestTimeout":
		return therror.Wrap(therror.Bad, err, "%s", operation)
	case !write || !t.connected.Load():
		return therror.Wrap(therror.Down, err, "%s", operation)
	}
	// A 5xx answer, a timeout or a broken connection does not tell whether the
	// write took effect.
	return therror.Wrap(therror.Unknown, err, "%s", operation)
}

// The error codes of DynamoDB and S3 that mean that nothing was done because of load.
var throttlingCodes = map[string]bool{
	"ThrottlingException":                    true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"LimitExceededException":                 true,
	"TooManyRequestsException":               true,
	"SlowDown":                               true,
	"Throttling":                             true,
}
