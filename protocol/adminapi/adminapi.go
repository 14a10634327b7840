// Package adminapi defines the JSON messages between entries and operators.
package adminapi

import "time"

// Paths of the admin HTTP interface. All but HealthPath and ReadyPath require the admin key as
// a bearer token.
const (
	// HealthPath responds with 200 while the process runs (GET).
	HealthPath = "/healthz"
	// ReadyPath responds with 200 while the entry accepts requests, otherwise with 503 (GET).
	ReadyPath = "/readyz"
	// StatusPath returns a Status (GET).
	StatusPath = "/status"
	// AuditPath returns an Audit (GET).
	AuditPath = "/audit"
	// DrainPath starts a graceful shutdown (POST).
	DrainPath = "/drain"
)

// Status is the state of one entry.
type Status struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Draining    bool   `json:"draining"`
	// SheetRevision and IndexRevision are zero until a document is accepted.
	SheetRevision uint64    `json:"sheet_revision"`
	IndexRevision uint64    `json:"index_revision"`
	PolicyMode    string    `json:"policy_mode"`
	Peers         []Peer    `json:"peers"`
	Services      []Service `json:"services"`
	Targets       []Target  `json:"targets"`
}

// Peer is another entry, as seen by the reporting entry.
type Peer struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Alive       bool   `json:"alive"`
	Incarnation string `json:"incarnation"`
}

// Service is the load of one service on one entry.
type Service struct {
	Name     string `json:"name"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// Limit is the current concurrency limit.
	Limit int `json:"limit"`
	// Answered and Refused count requests since the start of the process.
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
}

// Target is a target, as seen by the reporting entry.
type Target struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	InFlight int    `json:"in_flight"`
	// EWMAMS is the exponentially weighted moving average of the latency, in milliseconds.
	EWMAMS          float64 `json:"ewma_ms"`
	Leaving         bool    `json:"leaving"`
	OpenConnections int     `json:"open_connections"`
}

// Audit is the audit trail of one entry, oldest event first.
type Audit struct {
	Events []Event `json:"events"`
}

// Event is one event in the audit trail.
type Event struct {
	Time     time.Time `json:"time"`
	Sequence uint64    `json:"sequence"`
	Kind     string    `json:"kind"`
	Actor    string    `json:"actor"`
	Detail   string    `json:"detail"`
}
