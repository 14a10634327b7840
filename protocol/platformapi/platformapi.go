// Package platformapi defines the JSON messages of the platform's
// configuration service and host list.
package platformapi

import "encoding/json"

// Keys of the documents that the platform publishes.
const (
	SheetKey = "sheet"
	IndexKey = "index"
	// TargetsKey holds the targets of relayed services.
	TargetsKey = "targets"
)

// Paths of the platform's HTTP interface.
const (
	// ConfigPath is followed by the key (GET).
	ConfigPath = "/v1/config/"
	// WatchPath is followed by the key (GET with after and wait_ms); it answers
	// 204 when nothing newer appeared in time.
	WatchPath = "/v1/watch/"
	// HostsPath lists hosts (GET).
	HostsPath = "/v1/hosts"
)

// Document is a published value.
type Document struct {
	Key string `json:"key"`
	// Version is the platform's own counter for the key. It orders watches
	// only; the revision inside Value decides what is in force.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// HostKind says what runs on a host.
type HostKind string

// Host kinds.
const (
	KindEntry  HostKind = "entry"
	KindTarget HostKind = "target"
)

// HostState says whether a host stays.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one row of the host list. The list lags.
type Host struct {
	ID      string    `json:"id"`
	Kind    HostKind  `json:"kind"`
	Zone    string    `json:"zone"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// HostList is the body of the answer at HostsPath.
type HostList struct {
	Hosts []Host `json:"hosts"`
}
