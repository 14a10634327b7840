// Package callerapi defines the JSON messages between callers and entries.
package callerapi

import (
	"encoding/json"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// SearchPath is the path of the search method (POST).
const SearchPath = "/v1/search"

// SearchRequest is the body of a search.
type SearchRequest struct {
	// Service names the query service.
	Service string `json:"service"`
	// Query is the text that targets evaluate.
	Query string `json:"query"`
	// DeadlineMS is the caller's deadline, in milliseconds from the arrival of the request at
	// the entry. Zero selects the service's default.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Permit is required for services with the repeat rule at_most_once.
	Permit string `json:"permit,omitempty"`
}

// Hit is one search result.
type Hit struct {
	Shard int             `json:"shard"`
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Reason is the reason why a shard was not searched.
type Reason string

// Reasons for a shard that was not searched.
const (
	ReasonDeadline           Reason = "deadline"
	ReasonNoReplica          Reason = "no_replica"
	ReasonShed               Reason = "shed"
	ReasonVersionUnavailable Reason = "version_unavailable"
	ReasonConnectionFailed   Reason = "connection_failed"
	ReasonReplyMismatch      Reason = "reply_mismatch"
	ReasonRetryBudget        Reason = "retry_budget_exhausted"
	ReasonTargetError        Reason = "target_error"
	// ReasonNotNeeded marks shards that are irrelevant to a request for a single item.
	ReasonNotNeeded Reason = "not_needed"
)

// NotSearched identifies a shard that was not searched.
type NotSearched struct {
	Shard  int    `json:"shard"`
	Reason Reason `json:"reason"`
}

// Coverage lists which shards of the snapshot the response covers. Searched and NotSearched are
// disjoint and together contain every shard of the snapshot.
type Coverage struct {
	Searched    []int         `json:"searched"`
	NotSearched []NotSearched `json:"not_searched"`
	// Ratio is the fraction of the relevant shards that were searched, from 0 to 1.
	Ratio float64 `json:"ratio"`
	// ContractMet reports whether the response meets the service's coverage rule.
	ContractMet bool `json:"contract_met"`
}

// SearchResponse is the body of a response with HTTP status 200.
type SearchResponse struct {
	RequestID     string         `json:"request_id"`
	Outcome       status.Outcome `json:"outcome"`
	Service       string         `json:"service"`
	Results       []Hit          `json:"results"`
	Snapshot      ids.Snapshot   `json:"snapshot"`
	Coverage      Coverage       `json:"coverage"`
	SheetRevision uint64         `json:"sheet_revision"`
	// Entry is the id of the entry that ran the request.
	Entry string `json:"entry"`
	// Replayed is set when the response is the stored outcome of an earlier use of the same
	// permit.
	Replayed bool `json:"replayed,omitempty"`
}

// ErrorResponse is the body of a response with any other HTTP status.
type ErrorResponse struct {
	Code         status.Code    `json:"code"`
	Outcome      status.Outcome `json:"outcome"`
	Message      string         `json:"message"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	RequestID    string         `json:"request_id"`
	// Permit is a new permit. It is set with permit_required, and with permit_void when the
	// request provably did not run.
	Permit string `json:"permit,omitempty"`
}
