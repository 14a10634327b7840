// Package status defines the outcomes of requests and the error type that every layer of
// balsamstall returns.
package status

import (
	"errors"
	"fmt"
	"time"
)

// Outcome describes what is known about the execution of a request or attempt.
type Outcome string

// Outcomes.
const (
	// Done means that the work ran and its result is known.
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

// Error is an error with a code and an outcome.
type Error struct {
	// Code is the kind of failure.
	Code Code
	// Outcome states whether the work ran. It is empty if no work was involved, as with
	// configuration errors.
	Outcome Outcome
	// Message is a human-readable description of the failure.
	Message string
	// RetryAfter is the delay after which the caller may retry. Zero means that no delay is
	// recommended.
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

// WithRetryAfter returns a copy of e that recommends a retry after d.
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

// From returns the first *Error in the chain of err. It wraps any other error in an Internal error
// with the outcome Unknown. From(nil) returns nil.
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

// CodeOf returns the code of err, or the empty code if err is nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return From(err).Code
}

// Combine returns the outcome of a request from the outcomes of its attempts. It is NotRun if every
// attempt is NotRun or there are no attempts, and Unknown otherwise.
func Combine(outcomes ...Outcome) Outcome {
	for _, o := range outcomes {
		if o != NotRun {
			return Unknown
		}
	}
	return NotRun
}
