package settings

import (
	"fmt"
	"strconv"

	"github.com/balsamstall/balsamstall/coordination/homes"
)

// Relay holds the settings of balsam-entry when it relays the requests of the users' platform.
type Relay struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// CallerAddress is the listen address for callers.
	CallerAddress string `json:"caller_address"`
	// ReadyAddress is the listen address for the balancer's readiness checks.
	ReadyAddress string `json:"ready_address"`
	// PeerAddress is the listen address for other entries.
	PeerAddress string `json:"peer_address"`
	// MetricsAddress is the listen address for metrics. If it is empty, metrics are not served.
	MetricsAddress string `json:"metrics_address"`
	// PlatformAddress is the address of the store that the entry reads.
	PlatformAddress string `json:"platform_address"`
	// Seeds lists addresses of peers. Some of them may be stale or unreachable.
	Seeds []string `json:"seeds"`
	// PeerKey authenticates entries to each other. Other programs cannot use the protocol between
	// entries without it.
	PeerKey string `json:"peer_key"`
	// LogLevel is a zerolog level. The default is "info".
	LogLevel string `json:"log_level"`
	// RequestLinesPerSecond limits the log lines about requests. The default is 20.
	RequestLinesPerSecond int64 `json:"request_lines_per_second"`
	// MemoryMB is the memory that the process may use, in mebibytes.
	MemoryMB int64 `json:"memory_mb"`
	Held
	// GraceS is the time between the stop signal and the kill signal, in seconds.
	GraceS float64 `json:"grace_s"`
	// RepeatRatio, RepeatMinimum and RepeatWindowS limit the repeats that the fleet sends to each
	// target group: in each window of RepeatWindowS seconds, RepeatRatio times the number of
	// requests plus RepeatMinimum.
	RepeatRatio   float64 `json:"repeat_ratio"`
	RepeatMinimum float64 `json:"repeat_minimum"`
	RepeatWindowS float64 `json:"repeat_window_s"`
	// ChangeBoundsMS lists the times within which changes at the store must be in force on every entry, in
	// milliseconds. An entry reads the store itself before its documents are unconfirmed for as long as the
	// shortest of them. The default is 3,000.
	ChangeBoundsMS []int64 `json:"change_bounds_ms"`
	// StoreCallsPerS is the rate of calls that the store accepts from all entries. The default is 2,000.
	StoreCallsPerS float64 `json:"store_calls_per_s"`
	// WatchersPerZone is the number of entries per zone that watch the store. The default is 2.
	WatchersPerZone int64 `json:"watchers_per_zone"`
	// ExchangeIntervalMS is the interval between exchanges with other entries in milliseconds. The
	// default is 500.
	ExchangeIntervalMS int64 `json:"exchange_interval_ms"`
	// Cores is the number of processor cores that this entry may use. The entries with the most
	// cores are preferred as homes. The default is 1.
	Cores float64 `json:"cores"`
	// HomesPerZone is the minimum number of homes in a zone. Homes run the gathered requests of all
	// entries of the zone. Zero turns homes off. The default is 2.
	HomesPerZone int64 `json:"homes_per_zone"`
	// EntriesPerHome is the number of entries for each home of a large zone. The default is 16.
	EntriesPerHome int64 `json:"entries_per_home"`
	// HomesFrom is the minimum number of entries in the fleet for homes to be used. The default is
	// 24.
	HomesFrom int64 `json:"homes_from"`
	// UrgentFirst keeps free slots of contended shards for requests of higher priority. The default is
	// false.
	UrgentFirst bool `json:"urgent_first"`
	// MaxCallerConnections is the maximum number of open caller connections. Zero, the default,
	// derives it from the limit of open files and MemoryMB.
	MaxCallerConnections int64 `json:"max_caller_connections"`
}

// defaultRequestLinesPerSecond keeps the log small if every request fails.
const defaultRequestLinesPerSecond = 20

// NewRelay returns the default settings.
func NewRelay() *Relay {
	return &Relay{
		LogLevel:              "info",
		RequestLinesPerSecond: defaultRequestLinesPerSecond,
		MemoryMB:              defaultMemoryMB,
		GraceS:                6,
		RepeatRatio:           0.2,
		RepeatMinimum:         50,
		RepeatWindowS:         10,
		ChangeBoundsMS:        []int64{3000},
		StoreCallsPerS:        2000,
		WatchersPerZone:       2,
		ExchangeIntervalMS:    500,
		Cores:                 1,
		HomesPerZone:          homes.DefaultPerZone,
		EntriesPerHome:        homes.DefaultEntriesPerHome,
		HomesFrom:             homes.DefaultMinEntries,
	}
}

// Check implements Checker.
func (r *Relay) Check() []Fault {
	var c Checks
	c.NonEmpty("id", r.ID)
	c.NonEmpty("zone", r.Zone)
	c.Address("caller_address", r.CallerAddress)
	c.Address("ready_address", r.ReadyAddress)
	c.Address("peer_address", r.PeerAddress)
	if r.MetricsAddress != "" {
		c.Address("metrics_address", r.MetricsAddress)
	}
	c.Address("platform_address", r.PlatformAddress)
	for i, seed := range r.Seeds {
		c.Address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.Key("peer_key", r.PeerKey)
	c.OneOf("log_level", r.LogLevel, "debug", "info", "warn", "error")
	c.Range("request_lines_per_second", r.RequestLinesPerSecond, 1, 100_000)
	c.Range("memory_mb", r.MemoryMB, 32, 1<<20)
	r.check(&c, r.MemoryMB)
	if r.MaxCallerConnections != 0 {
		c.Range("max_caller_connections", r.MaxCallerConnections, 1, 100_000)
	}
	c.Range("grace_s", int64(r.GraceS), 1, 600)
	c.Ratio("repeat_ratio", r.RepeatRatio)
	c.Range("repeat_minimum", int64(r.RepeatMinimum), 0, 1_000_000)
	c.Range("repeat_window_s", int64(r.RepeatWindowS), 1, 3_600)
	for i, bound := range r.ChangeBoundsMS {
		c.Range(fmt.Sprintf("change_bounds_ms[%d]", i), bound, 100, 3_600_000)
	}
	c.Range("store_calls_per_s", int64(r.StoreCallsPerS), 1, 1_000_000)
	c.Range("watchers_per_zone", r.WatchersPerZone, 1, 100)
	c.Range("exchange_interval_ms", r.ExchangeIntervalMS, 10, 60_000)
	if !(r.Cores >= 0.001 && r.Cores <= 1_000) {
		c.Add("cores", strconv.FormatFloat(r.Cores, 'g', -1, 64), "a number from 0.001 to 1000")
	}
	c.Range("homes_per_zone", r.HomesPerZone, 0, 1_000)
	c.Range("entries_per_home", r.EntriesPerHome, 1, 100_000)
	c.Range("homes_from", r.HomesFrom, 2, 100_000)
	return c.Faults
}
