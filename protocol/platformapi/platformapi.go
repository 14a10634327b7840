// Package platformapi defines the JSON messages of the platform's configuration service and host
// list.
package platformapi

import (
	"encoding/json"
	"time"
)

// Keys of the documents that the platform publishes.
const (
	SheetKey = "sheet"
	IndexKey = "index"
	// TargetsKey is the key of the list of targets of relayed services.
	TargetsKey = "targets"
)

// Paths of the platform's HTTP interface.
const (
	// ConfigPath plus a key returns the document (GET).
	ConfigPath = "/v1/config/"
	// WatchPath plus a key waits for a newer document (GET with the parameters after and
	// wait_ms). The response is 204 if none appears in time.
	WatchPath = "/v1/watch/"
	// HostsPath returns a HostList (GET).
	HostsPath = "/v1/hosts"
)

// Document is a published document.
type Document struct {
	Key string `json:"key"`
	// Version is the platform's counter for the key. It is only used to continue a watch; the
	// revision inside Value determines which document is current.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	// ReadAt is the time at which the oldest part of Value was read, or zero if unknown. It is not sent.
	ReadAt time.Time `json:"-"`
	// ConfirmedAt is a time as of which the platform had no newer version, or zero if unknown. It is set
	// also if a watch returns no change. It is not sent.
	ConfirmedAt time.Time `json:"-"`
	// Fault describes the parts of the published document that cannot be used and that Value lacks, or is nil.
	// Value is empty if that is the whole document. It is not sent.
	Fault error `json:"-"`
}

// HostKind is the kind of process that runs on a host.
type HostKind string

// Host kinds.
const (
	KindEntry  HostKind = "entry"
	KindTarget HostKind = "target"
)

// HostState is the life cycle state of a host.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list. The list lags behind the actual state of the hosts.
type Host struct {
	ID      string    `json:"id"`
	Kind    HostKind  `json:"kind"`
	Zone    string    `json:"zone"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// HostList is the response body at HostsPath.
type HostList struct {
	Hosts []Host `json:"hosts"`
}
