package thplatform

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Trace records whether an HTTP request obtained a connection. Without a
// connection nothing was sent, so a failed write can be retried safely.
type Trace struct{ connected atomic.Bool }

// WithTrace returns a context whose HTTP requests are recorded in the returned Trace.
func WithTrace(ctx context.Context) (context.Context, *Trace) {
	t := &Trace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	}), t
}

// WrapError wraps an error of the SDK or the transport in a therror.Error, with
// operation as the message. It derives the kind from the error code and HTTP
// status that the SDK's errors expose, and covers the errors that all AWS APIs
// share. A nil err gives nil.
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
	// After a 5xx response, a timeout or a broken connection it is unknown
	// whether the write took effect.
	return therror.Wrap(therror.Unknown, err, "%s", operation)
}

// throttlingCodes lists the error codes of DynamoDB and S3 for requests that were
// rejected because of load and had no effect.
var throttlingCodes = map[string]bool{
	"ThrottlingException":                    true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"LimitExceededException":                 true,
	"TooManyRequestsException":               true,
	"SlowDown":                               true,
	"Throttling":                             true,
}
