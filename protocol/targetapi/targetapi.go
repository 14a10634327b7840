// Package targetapi defines the JSON messages between entries and targets.
package targetapi

import (
	"encoding/json"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Paths of the target's HTTP interface.
const (
	// SearchPath takes a POST with a SearchRequest.
	SearchPath = "/v1/search"
	// StatusPath answers a GET with a Status.
	StatusPath = "/v1/status"
)

// Identity names one attempt. A target echoes it unchanged in its reply.
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
	// DeadlineUnixMS is the absolute deadline in milliseconds since the Unix
	// epoch. A target does not start work past it.
	DeadlineUnixMS int64 `json:"deadline_unix_ms"`
	// AtMostOnce marks a request that must not run again.
	AtMostOnce bool `json:"at_most_once,omitempty"`
}

// Hit is one result of a shard.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	// Workspace is the owner of the document, empty for shared documents.
	Workspace string          `json:"workspace,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// SearchReply is the body of a reply with HTTP status 200.
type SearchReply struct {
	Identity
	Hits []Hit `json:"hits"`
}

// Refusal is the body of a reply with any other HTTP status.
type Refusal struct {
	Identity
	Code status.Code `json:"code"`
	// NotRun is set when the target did not run the attempt.
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Message      string `json:"message,omitempty"`
}

// Status is a target's own report. It may lag or mislead.
type Status struct {
	Target   string `json:"target"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining"`
	Cold     bool   `json:"cold"`
	// Snapshots lists what the target serves, by service.
	Snapshots map[string][]ids.Snapshot `json:"snapshots,omitempty"`
}
