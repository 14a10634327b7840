// Package relayapi defines the messages of relayed requests: the caller's request, the target's
// reply and the answer to the caller. Adapters convert them to and from a wire format.
package relayapi

import (
	"net/http"
	"time"

	"github.com/balsamstall/balsamstall/protocol/loadreport"
	"github.com/balsamstall/balsamstall/protocol/requestrate"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Request is one attempt by a caller. It is immutable once it has been read.
type Request struct {
	// ID is the caller's identifier for the attempt. It may be empty.
	ID string
	// Host and Path select the service.
	Host, Path string
	Method     string
	// Target is the request target from the request line: the unmodified path and query.
	Target string
	// Header holds the end-to-end fields, except the fields that adapters set themselves.
	Header http.Header
	Body   []byte
	// Arrival is the time when the header had been read or, if Wait is zero, the whole request.
	Arrival time.Time
	// Wait is how long the caller waits after Arrival, or zero if the caller did not specify it.
	Wait time.Duration
	// Waited is the receiver's estimate of how long the caller waited before this attempt.
	Waited time.Duration
	// HopMargin is the time reserved for returning the answer to the entry that received the
	// request. It is zero at that entry.
	HopMargin time.Duration
}

// EncodedRequest is a request with the part of its head that is the same in each attempt, in the wire format
// of the targets. Attempts share it and the body.
type EncodedRequest struct {
	*Request
	Head []byte
}

// Reply is a target's complete reply.
type Reply struct {
	HTTPStatus int
	// Header holds the end-to-end fields.
	Header http.Header
	Body   []byte
	// Signature proves that a target produced the reply. It is empty if there is no proof.
	Signature string
	// NotRun is set if the target reports that it did not run the request.
	NotRun bool
	// Misdirected is set if the address belongs to another target.
	Misdirected bool
	// RetryAfter is the delay after which the target allows a retry, or zero.
	RetryAfter time.Duration
	// HoldOff is set if the target asks this entry not to send requests for RetryAfter.
	HoldOff bool
	// Leaving is set if the target reports that it is leaving.
	Leaving bool
	// RateLimit is the number of requests per second that the target takes from all entries together.
	RateLimit requestrate.Rate
	// InvalidRateLimit is set if the target states a rate limit that is invalid.
	InvalidRateLimit error
	// Load is the load that the target reports, valid if LoadStated is set.
	Load       loadreport.Report
	LoadStated bool
	// InvalidLoad is set if the target reports a load that is invalid.
	InvalidLoad error
}

// Merged is an answer that combines the replies of several shards.
type Merged struct {
	// Signatures holds the signatures of the merged replies.
	Signatures []string
	// Missing is the number of shards that the answer omits.
	Missing int
	// Records holds the greatest records of the replies in descending order.
	Records []byte
}

// Answer is the answer to a caller. Exactly one of Reply, Merged and Err is set.
type Answer struct {
	// Service is the name of the service that answered. It is empty for an error.
	Service string
	// Reply is a target's reply, which is returned to the caller unchanged.
	Reply  *Reply
	Merged *Merged
	// Err is a refusal or failure. With the outcome NotRun, the request has not run and will not
	// run.
	Err *status.Error
	// Close tells the caller to use a new connection for its next request.
	Close bool
}

// ReplyError is the cause of an error for an unsuccessful reply from a target.
type ReplyError struct{ Reply *Reply }

// Error implements the error interface.
func (f *ReplyError) Error() string { return "target replied " + http.StatusText(f.Reply.HTTPStatus) }

// TargetFailed reports whether the reply states a failure of the target itself.
func (f *ReplyError) TargetFailed() bool { return f.Reply.HTTPStatus == http.StatusInternalServerError }
