package settings

import "fmt"

// Policy modes.
const (
	// PolicyOn enables all load policies.
	PolicyOn = "on"
	// PolicyOff selects replicas at random, without hedging and admission control.
	PolicyOff = "off"
)

// defaultMemoryMB is the memory of a process whose settings do not state it.
const defaultMemoryMB = 256

// Entry holds the settings of balsam-entry.
type Entry struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// CallerAddress is the listen address for callers.
	CallerAddress string `json:"caller_address"`
	// AdminAddress is the listen address for operators.
	AdminAddress string `json:"admin_address"`
	// PeerAddress is the listen address for other entries.
	PeerAddress     string `json:"peer_address"`
	PlatformAddress string `json:"platform_address"`
	// Peers lists the other entries that are known at start.
	Peers []Peer `json:"peers"`
	// PeerKey authenticates entries to each other.
	PeerKey string `json:"peer_key"`
	// PermitKey signs permits. It is the same on every entry.
	PermitKey string `json:"permit_key"`
	// AdminKey is the operators' bearer key.
	AdminKey string `json:"admin_key"`
	// PolicyMode is "on" or "off". The default is "on".
	PolicyMode string `json:"policy_mode"`
	// LogLevel is a zerolog level. The default is "info".
	LogLevel string `json:"log_level"`
	// WatchersPerZone is the number of entries per zone that watch the platform. The default is 2.
	WatchersPerZone int64 `json:"watchers_per_zone"`
	// PushFanout is the number of peers that are notified immediately of a new document. The default
	// is 3.
	PushFanout int64 `json:"push_fanout"`
	// ExchangeIntervalMS is the interval between digest exchanges in milliseconds. The default is
	// 500.
	ExchangeIntervalMS int64 `json:"exchange_interval_ms"`
	// PollIntervalMS is the interval between polls of the platform in milliseconds. The default is
	// 30,000.
	PollIntervalMS int64 `json:"poll_interval_ms"`
	// BalancerDelayMS is the time between reporting not ready and refusing new requests during a
	// graceful shutdown, in milliseconds. The default is 1,000.
	BalancerDelayMS int64 `json:"balancer_delay_ms"`
	// DrainTimeoutMS limits the wait for running requests during a graceful shutdown, in
	// milliseconds.
	// The default is 30,000.
	DrainTimeoutMS int64 `json:"drain_timeout_ms"`
	// MaxBodyBytes is the maximum size of a caller's request body. The default is 65,536.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxCallerConnections is the maximum number of open caller connections. The default is 4,096.
	MaxCallerConnections int64 `json:"max_caller_connections"`
	// MemoryMB is the memory that the process may use, in mebibytes. Zero, the default, sets no limit on
	// the runtime; the bytes held are then bounded as with 256.
	MemoryMB int64 `json:"memory_mb"`
	Held
}

// Peer is another entry that is known at start.
type Peer struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// NewEntry returns the default settings.
func NewEntry() *Entry {
	return &Entry{
		PolicyMode:           PolicyOn,
		LogLevel:             "info",
		WatchersPerZone:      2,
		PushFanout:           3,
		ExchangeIntervalMS:   500,
		PollIntervalMS:       30_000,
		BalancerDelayMS:      1_000,
		DrainTimeoutMS:       30_000,
		MaxBodyBytes:         64 << 10,
		MaxCallerConnections: 4_096,
	}
}

// Check implements Checker.
func (e *Entry) Check() []Fault {
	var c Checks
	c.NonEmpty("id", e.ID)
	c.NonEmpty("zone", e.Zone)
	c.Address("caller_address", e.CallerAddress)
	c.Address("admin_address", e.AdminAddress)
	c.Address("peer_address", e.PeerAddress)
	c.Address("platform_address", e.PlatformAddress)
	for i, p := range e.Peers {
		c.NonEmpty(fmt.Sprintf("peers[%d].id", i), p.ID)
		c.NonEmpty(fmt.Sprintf("peers[%d].zone", i), p.Zone)
		c.Address(fmt.Sprintf("peers[%d].address", i), p.Address)
	}
	c.Key("peer_key", e.PeerKey)
	c.Key("permit_key", e.PermitKey)
	c.Key("admin_key", e.AdminKey)
	c.OneOf("policy_mode", e.PolicyMode, PolicyOn, PolicyOff)
	c.OneOf("log_level", e.LogLevel, "debug", "info", "warn", "error")
	c.Range("watchers_per_zone", e.WatchersPerZone, 1, 100)
	c.Range("push_fanout", e.PushFanout, 0, 100)
	c.Range("exchange_interval_ms", e.ExchangeIntervalMS, 10, 60_000)
	c.Range("poll_interval_ms", e.PollIntervalMS, 100, 3_600_000)
	c.Range("balancer_delay_ms", e.BalancerDelayMS, 0, 60_000)
	c.Range("drain_timeout_ms", e.DrainTimeoutMS, 0, 600_000)
	c.Range("max_body_bytes", e.MaxBodyBytes, 1_024, 1<<20)
	c.Range("max_caller_connections", e.MaxCallerConnections, 1, 100_000)
	if e.MemoryMB != 0 {
		c.Range("memory_mb", e.MemoryMB, 32, 1<<20)
	}
	e.check(&c, e.MemoryMB)
	return c.Faults
}
