// Package status defines the outcome classes and the typed error that every
// layer of balsamstall returns.
package status

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says what is known about the execution of a request or an attempt.
type Outcome string

// Outcome classes.
const (
	// Done means that the work ran and its answer is known.
	Done Outcome = "done"
	// NotRun means that the work provably did not run on any target.
	NotRun Outcome = "not_run"
	// Unknown means that the work may have run.
	Unknown Outcome = "unknown"
)

// Code identifies a kind of failure. Codes are stable and appear on the wire.
type Code string

// Failure codes.
const (
	InvalidArgument    Code = "invalid_argument"
	Unauthenticated    Code = "unauthenticated"
	PermissionDenied   Code = "permission_denied"
	NotFound           Code = "not_found"
	TooLarge           Code = "too_large"
	HeaderTooLarge     Code = "header_too_large"
	Overloaded         Code = "overloaded"
	DeadlineExceeded   Code = "deadline_exceeded"
	Canceled           Code = "canceled"
	Draining           Code = "draining"
	NotReady           Code = "not_ready"
	Shed               Code = "shed"
	VersionUnavailable Code = "version_unavailable"
	PermitRequired     Code = "permit_required"
	PermitInvalid      Code = "permit_invalid"
	PermitExpired      Code = "permit_expired"
	PermitVoid         Code = "permit_void"
	IssuerUnreachable  Code = "issuer_unreachable"
	Quarantined        Code = "quarantined"
	ReplyMismatch      Code = "reply_mismatch"
	ConnectionFailed   Code = "connection_failed"
	ConnectionSilent   Code = "connection_silent"
	NoReplica          Code = "no_replica"
	RetryBudget        Code = "retry_budget_exhausted"
	RevisionConflict   Code = "revision_conflict"
	RevisionTooOld     Code = "revision_too_old"
	Unavailable        Code = "unavailable"
	RateLimited        Code = "rate_limited"
	Internal           Code = "internal"
)

// Error is the error type of the system.
type Error struct {
	// Code is the kind of failure.
	Code Code
	// Outcome says whether the work ran. The zero value means that no work
	// was involved, as with configuration errors.
	Outcome Outcome
	// Message describes the failure for a person.
	Message string
	// RetryAfter is the time after which the caller may try again. Zero means
	// that no time is recommended.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error with a formatted message.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a formatted message and a cause.
func Wrap(cause error, code Code, outcome Outcome, format string, args ...any) *Error {
	err := New(code, outcome, format, args...)
	err.Cause = cause
	return err
}

// WithRetryAfter returns a copy of e that recommends a time to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := string(e.Code) + ": " + e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the Error in the chain of err. An error of another type becomes
// an Internal error with the outcome Unknown. From(nil) returns nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, Unknown, "unexpected error")
}

// CodeOf returns the code of err, or the empty code when err is nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return From(err).Code
}

// Combine returns the outcome of a request whose attempts ended with outcomes.
// The result is NotRun only when every attempt is NotRun, and for no attempts.
func Combine(outcomes ...Outcome) Outcome {
	for _, o := range outcomes {
		if o != NotRun {
			return Unknown
		}
	}
	return NotRun
}
