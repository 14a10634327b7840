// Package sheet defines the operators' daily configuration document: the services with their limits
// and priorities, the targets and the callers.
package sheet

// RepeatRule states whether a service's requests may run more than once.
type RepeatRule string

// Repeat rules.
const (
	// Idempotent requests may be hedged and retried.
	Idempotent RepeatRule = "idempotent"
	// AtMostOnce requests need a permit and run at most once.
	AtMostOnce RepeatRule = "at_most_once"
)

// Sheet is the configuration document.
type Sheet struct {
	// Revision increases with every published sheet.
	Revision uint64 `json:"revision"`
	// Date is the day for which the sheet was exported, as YYYY-MM-DD.
	Date       string      `json:"date"`
	Workspaces []Workspace `json:"workspaces"`
	Callers    []Caller    `json:"callers"`
	Targets    []Target    `json:"targets"`
	Services   []Service   `json:"services"`
	// Groups are the target groups of relayed services.
	Groups []Group `json:"groups,omitempty"`
	// CallerLimits limits the requests to relayed services.
	CallerLimits CallerLimits `json:"caller_limits,omitzero"`
}

// Workspace is the private area of a member or shop.
type Workspace struct {
	Name string `json:"name"`
}

// Caller is a client that authenticates with its own key.
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
	// Name is the ID that the target states for itself if that is not ID; see targetlist.Target. Targets of a
	// sheet have none.
	Name string `json:"-"`
	// Address is the target's IP:port.
	Address string `json:"address"`
	// Zone is the target's availability zone.
	Zone string `json:"zone"`
	// Slots is the number of attempts that the target runs concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the maximum number of connections from all entries to the target.
	MaxConnections int `json:"max_connections"`
}

// Service is a query service and its contract.
type Service struct {
	Name string `json:"name"`
	// Group is the name of the set of services that the service belongs to, such as "quote-desk".
	Group string `json:"group,omitempty"`
	// Priority orders services under overload, from 1 (highest) to 9.
	Priority int      `json:"priority"`
	Latency  Latency  `json:"latency"`
	Coverage Coverage `json:"coverage"`
	Repeat   Repeat   `json:"repeat"`
	Limits   Limits   `json:"limits"`
	Hedge    Hedge    `json:"hedge"`
	Canary   Canary   `json:"canary,omitzero"`
	// Relay makes the service forward requests unchanged. If it is nil, the service runs
	// searches.
	Relay *Relay `json:"relay,omitempty"`
}

// Latency is the latency rule of a contract.
type Latency struct {
	// ContractMS is the contractual 99th percentile latency, in milliseconds.
	ContractMS int64 `json:"contract_ms"`
	// MaxDeadlineMS is the maximum deadline that a caller may set, in milliseconds. It is also the
	// default deadline.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
}

// Coverage is the coverage rule of a contract.
type Coverage struct {
	// MinRatio is the minimum fraction of the shards that must be searched, from 0 to 1.
	MinRatio float64 `json:"min_ratio"`
}

// Repeat is the repeat rule of a contract.
type Repeat struct {
	Rule RepeatRule `json:"rule"`
	// WindowS is how long a permit is valid and its outcome is stored, in seconds. It applies only
	// to AtMostOnce.
	WindowS int64 `json:"window_s,omitempty"`
}

// Limits bounds the load that one entry accepts for a service.
type Limits struct {
	// MaxConcurrency is the maximum number of requests that run concurrently.
	MaxConcurrency int `json:"max_concurrency"`
	// MaxQueue is the maximum number of queued requests.
	MaxQueue int `json:"max_queue"`
	// MaxFanout is the maximum number of shards of one query.
	MaxFanout int `json:"max_fanout"`
}

// Hedge limits hedged attempts.
type Hedge struct {
	// BudgetRatio is the maximum number of hedges per primary attempt, from 0 to 1. Zero disables
	// hedging.
	BudgetRatio float64 `json:"budget_ratio"`
}

// Canary configures sending an unknown request to one shard before the others.
type Canary struct {
	// MaxWaitMS is the maximum delay of the other shards while the first shard has not replied, in
	// milliseconds. With zero, requests are sent to all shards at once. A request that crashed a
	// target always runs on one shard first.
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
