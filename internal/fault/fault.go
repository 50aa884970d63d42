// Package fault defines the typed errors that fulmarlatch reports to callers and
// operators, each with a kind, a message and a remedy. All other packages may use it.
// It has no state and imports nothing internal.
package fault

import (
	"errors"
	"fmt"
)

// Kind classifies an error. Kinds are stable and part of the callers' API.
type Kind string

// Kinds of errors.
const (
	Invalid       Kind = "invalid"         // the input is malformed
	NeverFits     Kind = "never_fits"      // no worker of the cell can hold the task
	QueueFull     Kind = "queue_full"      // the class's queue is full
	QuotaExceeded Kind = "quota_exceeded"  // the workspace's quota is used up
	TooLate       Kind = "too_late"        // the deadline passed or cannot be met
	Cancelled     Kind = "cancelled"       // the caller cancelled the job
	LogDown       Kind = "log_unavailable" // the platform's log does not answer
	NotReady      Kind = "not_ready"       // the process is not ready yet or is stopping
	Unauthorized  Kind = "unauthorized"    // the token matches no workspace
	NotFound      Kind = "not_found"       // the job or other object does not exist
	Conflict      Kind = "conflict"        // another record or request came first
	StaleEpoch    Kind = "stale_epoch"     // the lease epoch has been superseded
	NoCapacity    Kind = "no_capacity"     // no worker has enough free capacity at present
	OutcomeLost   Kind = "outcome_lost"    // it cannot be proved whether the job ran
	TaskFailed    Kind = "task_failed"     // the task ran and failed
	Unavailable   Kind = "unavailable"     // a process or service does not answer
	Internal      Kind = "internal"        // a defect of fulmarlatch
)

// Error is an error with a kind, a message and a remedy.
type Error struct {
	Kind    Kind   `json:"kind" cbor:"1,keyasint"`
	Message string `json:"message" cbor:"2,keyasint"`
	Remedy  string `json:"remedy" cbor:"3,keyasint,omitempty"`
	// RetryAfterMS is the recommended delay before a retry, in milliseconds; 0 if a
	// retry is pointless.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty" cbor:"4,keyasint,omitempty"`
	// Err is the wrapped cause, if any.
	Err error `json:"-" cbor:"-"`
}

// New returns an Error of the given kind.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Wrap returns an Error of the given kind around err.
func Wrap(kind Kind, err error, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy, Err: err}
}

// Error returns the kind, message, cause and remedy in one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Kind, e.Message)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	if e.Remedy != "" {
		text += " (" + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the wrapped cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain, or Internal if there is
// none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// As returns the first Error in err's chain. If there is none, it wraps err in an
// Internal error.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected error", "report this as a defect")
}
