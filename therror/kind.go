// Package therror defines the closed list of error kinds and how an error of each
// kind is reported to callers and operators.
package therror

import "net/http"

// Kind classifies an error. The list is closed; responses has an entry for each kind.
type Kind string

// The error kinds.
const (
	Bad      Kind = "bad"      // malformed input
	Route    Kind = "route"    // no route matches
	Absent   Kind = "absent"   // the named entry does not exist
	Conflict Kind = "conflict" // another operator or request changed the data first
	Repeat   Kind = "repeat"   // the idempotency key is already claimed
	Refused  Kind = "refused"  // the result would be invalid
	Limited  Kind = "limited"  // rate limit or retry budget
	Full     Kind = "full"     // admission control rejected the call
	Shed     Kind = "shed"     // the backend server rejected the call without running it
	Leaving  Kind = "leaving"  // the target is draining or its availability zone is out
	Unready  Kind = "unready"  // no configuration or no backend server available
	Down     Kind = "down"     // platform or peer unreachable; nothing was sent or written
	// Unauthorized is a request without the key of a client account.
	Unauthorized Kind = "unauthorized"
	// Quarantined is a request that has crashed the backend servers which ran it.
	Quarantined Kind = "quarantined"

	Large     Kind = "large"     // the request body exceeds the limit; a part of it may have been sent
	Deep      Kind = "deep"      // call depth exceeds the limit
	Late      Kind = "late"      // deadline exceeded; outcome unknown
	Broken    Kind = "broken"    // connection broke or response malformed; outcome unknown
	Crashed   Kind = "crashed"   // the backend server crashed while the call was in progress; outcome unknown
	Unknown   Kind = "unknown"   // a write has an unknown outcome
	Older     Kind = "older"     // configuration version lower than the fleet's
	Diverged  Kind = "diverged"  // same configuration version with a different digest
	Frame     Kind = "frame"     // malformed frame
	Cancelled Kind = "cancelled" // the caller disconnected or cancelled
	Internal  Kind = "internal"  // internal error of this program
)

// StatusClientClosed is the HTTP status recorded for calls whose caller disconnected
// before the response.
const StatusClientClosed = 499

// Exit codes of the operator commands without an error kind.
const (
	ExitSuccess = 0
	ExitLagging = 9 // committed, but not active on all live daemons before the wait ended
)

// Response defines how an error of one kind is reported.
type Response struct {
	Status    int  // HTTP status
	ExitCode  int  // exit code of an operator command
	Retryable bool // a later attempt may succeed
	NotRun    bool // the call was certainly not sent to a backend server
}

var responses = map[Kind]Response{
	Bad:          {Status: http.StatusBadRequest, ExitCode: 2, NotRun: true},
	Route:        {Status: http.StatusNotFound, ExitCode: 3, NotRun: true},
	Absent:       {Status: http.StatusNotFound, ExitCode: 3, NotRun: true},
	Conflict:     {Status: http.StatusConflict, ExitCode: 4, NotRun: true},
	Repeat:       {Status: http.StatusConflict, ExitCode: 4},
	Refused:      {Status: http.StatusUnprocessableEntity, ExitCode: 3, NotRun: true},
	Limited:      {Status: http.StatusTooManyRequests, ExitCode: 6, Retryable: true, NotRun: true},
	Full:         {Status: http.StatusServiceUnavailable, ExitCode: 6, Retryable: true, NotRun: true},
	Shed:         {Status: http.StatusServiceUnavailable, ExitCode: 6, Retryable: true, NotRun: true},
	Leaving:      {Status: http.StatusServiceUnavailable, ExitCode: 6, Retryable: true, NotRun: true},
	Unready:      {Status: http.StatusServiceUnavailable, ExitCode: 6, Retryable: true, NotRun: true},
	Down:         {Status: http.StatusServiceUnavailable, ExitCode: 6, Retryable: true, NotRun: true},
	Unauthorized: {Status: http.StatusUnauthorized, ExitCode: 3, NotRun: true},
	Large:        {Status: http.StatusRequestEntityTooLarge, ExitCode: 2},
	Deep:         {Status: http.StatusLoopDetected, ExitCode: 3, NotRun: true},
	Late:         {Status: http.StatusGatewayTimeout, ExitCode: 7},
	Broken:       {Status: http.StatusBadGateway, ExitCode: 7},
	Crashed:      {Status: http.StatusBadGateway, ExitCode: 7},
	// A status that invites no retry: a later attempt does not succeed either.
	Quarantined: {Status: http.StatusBadGateway, ExitCode: 3, NotRun: true},
	Unknown:     {Status: http.StatusBadGateway, ExitCode: 5},
	Older:       {Status: http.StatusInternalServerError, ExitCode: 8, NotRun: true},
	Diverged:    {Status: http.StatusInternalServerError, ExitCode: 8, NotRun: true},
	Frame:       {Status: http.StatusBadRequest, ExitCode: 2, NotRun: true},
	Cancelled:   {Status: StatusClientClosed, ExitCode: 7},
	Internal:    {Status: http.StatusInternalServerError, ExitCode: 1},
}

// ResponseTo returns the response for k. Unknown kinds get the response for Internal.
func ResponseTo(k Kind) Response {
	if a, ok := responses[k]; ok {
		return a
	}
	return responses[Internal]
}

// IsKnown reports whether k is on the closed list.
func IsKnown(k Kind) bool {
	_, ok := responses[k]
	return ok
}
