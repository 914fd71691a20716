package therror

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
)

// Error is an error with a Kind. Create one with New or Wrap.
type Error struct {
	Kind       Kind
	RetryAfter time.Duration // time to wait before a retry; zero if waiting does not help
	cause      error         // an oops error with the message and stack trace
}

// Error returns "kind: message".
func (e *Error) Error() string {
	if e.cause == nil {
		return string(e.Kind)
	}
	return string(e.Kind) + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k; format and args are as in fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, cause: oops.Code(string(k)).Errorf(format, args...)}
}

// Wrap returns an error of kind k with the cause err; format and args are the message
// that precedes the cause's. Without a cause it is New.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	if err == nil {
		return New(k, format, args...)
	}
	return &Error{Kind: k, cause: oops.Code(string(k)).Wrapf(err, format, args...)}
}

// WithRetryAfter returns a copy of e with d as the time to wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// KindOf returns the kind of the first Error in err's chain. Without one it returns
// Cancelled or Late for context errors and Internal for others. KindOf(nil) is empty.
func KindOf(err error) Kind {
	var e *Error
	switch {
	case err == nil:
		return ""
	case errors.As(err, &e):
		return e.Kind
	case errors.Is(err, context.Canceled):
		return Cancelled
	case errors.Is(err, context.DeadlineExceeded):
		return Late
	}
	return Internal
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }

// IsNotRun reports whether err proves that the call was not sent to a backend server.
func IsNotRun(err error) bool { return err != nil && ResponseTo(KindOf(err)).NotRun }

// RetryAfter returns the time to wait before a retry after err; zero if waiting does
// not help.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
