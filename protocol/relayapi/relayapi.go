// Package relayapi defines the messages of relayed requests: what a caller asks,
// what a target replies and what the caller gets. Adapters translate them to and
// from a wire format.
package relayapi

import (
	"net/http"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Request is one attempt of a caller. It is immutable once it was read.
type Request struct {
	// ID is the caller's name for its attempt. It may be empty.
	ID string
	// Host and Path select the service.
	Host, Path string
	Method     string
	// Target is the request target of the request line: path and query as they came.
	Target string
	// Header holds the end-to-end fields without those that an adapter sets itself.
	Header http.Header
	Body   []byte
	// Arrival is the time at which the header had been read.
	Arrival time.Time
	// Wait is how long the caller waits from then, zero when it did not say.
	Wait time.Duration
	// Waited is how long the caller has waited before this attempt, as its receiver
	// estimates.
	Waited time.Duration
	// Hop is kept for the way of the answer to the entry that received the request, zero
	// at that entry.
	Hop time.Duration
}

// Reply is a target's complete reply.
type Reply struct {
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	Body   []byte
	// Signature proves that a target made the reply. It is empty without proof.
	Signature string
	// NotRun is set when the target states that it did not run the request.
	NotRun bool
	// Misdirected is set when another target has the address.
	Misdirected bool
	// RetryAfter is the time to come back that the target states, or zero.
	RetryAfter time.Duration
	// HoldOff is set when the target wants no requests of this entry for RetryAfter.
	HoldOff bool
	// Leaving is set when the target states that it leaves.
	Leaving bool
}

// Merged is an answer made of the replies of several shards.
type Merged struct {
	// Signatures are those of the merged replies.
	Signatures []string
	// Missing counts the shards that are left out.
	Missing int
	// Records holds the greatest records of the replies, falling.
	Records []byte
}

// Answer is what a caller gets. Exactly one of Reply, Merged and Err is set.
type Answer struct {
	// Service names the service that answered, empty for an error.
	Service string
	// Reply is a target's reply, to be passed on unchanged.
	Reply  *Reply
	Merged *Merged
	// Err is a refusal or failure. A refusal with the outcome NotRun has not run and
	// will not.
	Err *status.Error
	// Close asks the caller to use another connection for its next request.
	Close bool
}

// Failure is the cause of an error about a target's reply that is no success.
type Failure struct{ Reply *Reply }

// Error implements the error interface.
func (f *Failure) Error() string { return "target replied " + http.StatusText(f.Reply.Status) }
