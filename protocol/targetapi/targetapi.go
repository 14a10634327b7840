// Package targetapi defines the JSON messages between entries and targets.
package targetapi

import (
	"encoding/json"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/requestrate"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Paths of the target's HTTP interface.
const (
	// SearchPath accepts a SearchRequest (POST).
	SearchPath = "/v1/search"
	// StatusPath returns a Status (GET).
	StatusPath = "/v1/status"
)

// Identity identifies one attempt. A target returns it unchanged in its reply.
type Identity struct {
	RequestID string       `json:"request_id"`
	Attempt   uint32       `json:"attempt"`
	Workspace string       `json:"workspace"`
	Service   string       `json:"service"`
	Shard     int          `json:"shard"`
	Snapshot  ids.Snapshot `json:"snapshot"`
}

// SearchRequest asks a target to search one shard.
type SearchRequest struct {
	Identity
	Query string `json:"query"`
	// DeadlineUnixMS is the absolute deadline in milliseconds since the Unix epoch. A target does
	// not start an attempt after it.
	DeadlineUnixMS int64 `json:"deadline_unix_ms"`
	// AtMostOnce is set if the request must not run more than once.
	AtMostOnce bool `json:"at_most_once,omitempty"`
}

// Hit is one search result of a shard.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	// Workspace is the owner of the document. It is empty for shared documents.
	Workspace string          `json:"workspace,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// SearchReply is the body of a reply with HTTP status 200.
type SearchReply struct {
	Identity
	Hits []Hit `json:"hits"`
	// RateLimit is the number of requests per second that the target takes from all entries together,
	// for as long as it states it. Nil means no limit.
	RateLimit *requestrate.Field `json:"rate_limit,omitempty"`
}

// Refusal is the body of a reply with any other HTTP status.
type Refusal struct {
	Identity
	Code status.Code `json:"code"`
	// NotRun is set if the target did not run the attempt.
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Message      string `json:"message,omitempty"`
	// RateLimit is as in SearchReply.
	RateLimit *requestrate.Field `json:"rate_limit,omitempty"`
}

// Status is a target's report about itself. It may be outdated or wrong.
type Status struct {
	Target   string `json:"target"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining"`
	Cold     bool   `json:"cold"`
	// Snapshots maps service names to the snapshots that the target serves.
	Snapshots map[string][]ids.Snapshot `json:"snapshots,omitempty"`
}
