// Package sheet defines the operators' daily configuration document: the
// services, their limits and priorities, the targets and the callers.
package sheet

// RepeatRule says whether a service's requests may run more than once.
type RepeatRule string

// Repeat rules.
const (
	// Idempotent requests may be hedged and retried.
	Idempotent RepeatRule = "idempotent"
	// AtMostOnce requests need a permit and run at most once.
	AtMostOnce RepeatRule = "at_most_once"
)

// Sheet is the whole document.
type Sheet struct {
	// Revision rises with every published sheet.
	Revision uint64 `json:"revision"`
	// Date is the day that the sheet was exported for, as YYYY-MM-DD.
	Date       string      `json:"date"`
	Workspaces []Workspace `json:"workspaces"`
	Callers    []Caller    `json:"callers"`
	Targets    []Target    `json:"targets"`
	Services   []Service   `json:"services"`
	// Groups are the target groups of relayed services.
	Groups []Group `json:"groups,omitempty"`
	// CallerLimits bound the requests of relayed services.
	CallerLimits CallerLimits `json:"caller_limits,omitzero"`
}

// Workspace is a member's or shop's private area.
type Workspace struct {
	Name string `json:"name"`
}

// Caller is a client with a key of its own.
type Caller struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	// KeyDigest is the SHA-256 digest of the caller's key in hexadecimal.
	KeyDigest string `json:"key_digest"`
	// Services lists the services that the caller may query.
	Services []string `json:"services"`
}

// Target is a server that searches shards.
type Target struct {
	ID string `json:"id"`
	// Address is IP:port.
	Address string `json:"address"`
	// Zone is the target's availability zone.
	Zone string `json:"zone"`
	// Slots is the number of attempts that the target runs at once.
	Slots int `json:"slots"`
	// MaxConnections is the target's cap on connections from all entries.
	MaxConnections int `json:"max_connections"`
}

// Service is a query service and its contract.
type Service struct {
	Name string `json:"name"`
	// Group is the fleet of services it belongs to, such as "quote-desk".
	Group string `json:"group,omitempty"`
	// Priority orders services under overload, from 1 (highest) to 9.
	Priority int      `json:"priority"`
	Latency  Latency  `json:"latency"`
	Coverage Coverage `json:"coverage"`
	Repeat   Repeat   `json:"repeat"`
	Limits   Limits   `json:"limits"`
	Hedge    Hedge    `json:"hedge"`
	Canary   Canary   `json:"canary,omitzero"`
	// Relay makes the service pass requests on as they are. Nil means searches.
	Relay *Relay `json:"relay,omitempty"`
}

// Latency is the latency rule of a contract.
type Latency struct {
	// ContractMS is the contracted latency at the 99th percentile, in milliseconds.
	ContractMS int64 `json:"contract_ms"`
	// MaxDeadlineMS is the longest deadline that a caller may ask for, in
	// milliseconds. It is also the deadline of a request that states none.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
}

// Coverage is the coverage rule of a contract.
type Coverage struct {
	// MinRatio is the least searched part of the shards, from 0 to 1.
	MinRatio float64 `json:"min_ratio"`
}

// Repeat is the repeat rule of a contract.
type Repeat struct {
	Rule RepeatRule `json:"rule"`
	// WindowS is the time for which a permit is valid and its outcome is
	// remembered, in seconds. It applies to AtMostOnce only.
	WindowS int64 `json:"window_s,omitempty"`
}

// Limits bound the load that one entry accepts for a service.
type Limits struct {
	// MaxConcurrency is the largest number of requests that run at once.
	MaxConcurrency int `json:"max_concurrency"`
	// MaxQueue is the largest number of requests that wait.
	MaxQueue int `json:"max_queue"`
	// MaxFanout is the largest number of shards of one query.
	MaxFanout int `json:"max_fanout"`
}

// Hedge bounds hedged attempts.
type Hedge struct {
	// BudgetRatio is the allowed number of hedges per primary attempt, from 0
	// to 1. Zero turns hedging off.
	BudgetRatio float64 `json:"budget_ratio"`
}

// Canary bounds the head start that the first shard of an unknown request gets.
type Canary struct {
	// MaxWaitMS is the time for which the other shards wait for the reply of the
	// first one, in milliseconds. Zero sends to all shards at once. A request
	// that crashed a target always runs alone first.
	MaxWaitMS int64 `json:"max_wait_ms"`
}

// FindService returns the service with the given name, or nil.
func (s *Sheet) FindService(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}
