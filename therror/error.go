package therror

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
)

// Error is an error with a kind from the closed list. Create one with New or Wrap.
type Error struct {
	Kind       Kind
	RetryAfter time.Duration // when to come back; zero where waiting does not help
	cause      error         // an oops error that carries the context
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	if e.cause == nil {
		return string(e.Kind)
	}
	return string(e.Kind) + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the given kind; format and args are as in fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, cause: oops.Code(string(k)).Errorf(format, args...)}
}

// Wrap returns an error of the given kind whose cause is err.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: k, cause: oops.Code(string(k)).Wrapf(err, format, args...)}
}

// WithRetryAfter returns a copy of e that tells the caller to come back after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// KindOf returns the kind of err. An error without a kind is Cancelled or Late
// for the errors of contexts and Internal otherwise. KindOf(nil) is empty.
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

// IsNotRun reports whether err proves that no backend server was handed the call.
func IsNotRun(err error) bool { return err != nil && ResponseTo(KindOf(err)).NotRun }

// RetryAfter returns when to come back after err; zero where waiting does not help.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
