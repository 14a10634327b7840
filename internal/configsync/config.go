// Package configsync keeps the configuration documents of an entry, such as the sheet and the
// index, up to date. It reads and watches the platform, exchanges document digests with peers and
// fetches newer documents from any source that has them. The current version of a document, which is its
// revision within the era of the platform, never decreases.
//
// The exchanges with peers also carry the short-lived facts of the engine: quarantines, crashes,
// leaving targets, successions and failing targets.
package configsync

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/confirm"
	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
)

// Defaults of Config.
const (
	DefaultPushFanout       = 3
	DefaultPollInterval     = 30 * time.Second
	DefaultHostInterval     = 2 * time.Second
	DefaultWatchWait        = 10 * time.Second
	DefaultMaxBackoff       = 30 * time.Second
	DefaultCallTimeout      = time.Second
	DefaultStartupTimeout   = 3 * time.Second
	defaultExchangeInterval = membership.DefaultInterval
)

// Config holds the settings of a Syncer. Zero values select the defaults.
type Config struct {
	// Keys lists the documents to keep up to date. The default is the sheet and the index.
	Keys []string
	// Entry is the id of this entry, Zone its availability zone and Address the IP:port at which
	// it serves peers.
	Entry, Zone, Address string
	Incarnation          ids.Incarnation
	// Capacity is the CPU capacity of this entry's host in thousandths of a core, or zero if
	// unknown.
	Capacity uint32
	// Peers lists the other entries that are known at startup.
	Peers []Peer
	// WatchersPerZone is the number of entries per zone that watch the platform. The default is 2.
	WatchersPerZone int
	// PushFanout is the number of peers that are notified immediately of a new document. The
	// default is 3; a negative number disables pushes.
	PushFanout int
	// ExchangeInterval is the interval between exchanges with a random peer, randomized by ±1/10.
	// The default is 500 ms.
	ExchangeInterval time.Duration
	// PollInterval is the interval at which an entry that is not a watcher reads the platform,
	// randomized by ±1/5. The default is 30 s.
	PollInterval time.Duration
	// HostInterval is the interval at which a watcher reads the host list. The default is 2 s;
	// other entries read it every PollInterval.
	HostInterval time.Duration
	// WatchWait is the maximum time for which a watch call waits at the platform for a change. The
	// default is 10 s.
	WatchWait time.Duration
	// MaxBackoff limits the backoff after failed calls to the platform. The default is 30 s.
	MaxBackoff time.Duration
	// MonotonicPlatform is set for a platform whose document versions never revert, because its client
	// detects that the platform was restored to an earlier state. Its documents do not need a full
	// read after a failed call, and a starting entry reads it concurrently with its peers.
	MonotonicPlatform bool
	// WatchGrace is the time after startup during which an entry that is not a seed does not
	// watch. Without it all entries of a starting fleet would watch until they know each other.
	// The default is 0.
	WatchGrace time.Duration
	// IsSeed is set if the settings of the other entries list this one.
	IsSeed bool
	// YieldAfter is the duration of failing calls to the platform after which a watcher yields the
	// role for YieldFor. If YieldFor is zero, the role is kept.
	YieldAfter, YieldFor time.Duration
	// Confirm decides when an entry that is not a watcher reads the platform because its documents have not
	// been confirmed recently. The zero value means never.
	Confirm confirm.Settings
	// OutageGap is the time without an answer of the platform to any entry that counts as an outage. It must
	// exceed the time between two answers to a watcher. Zero means that outages do not matter.
	OutageGap time.Duration
	// CallTimeout limits a call to a peer. The default is 1 s.
	CallTimeout time.Duration
	// StartupTimeout limits Refresh, with which a starting entry asks its peers for documents
	// before it reads the platform. The default is 3 s.
	StartupTimeout time.Duration
	// MemberExpiry is the age at which a peer stops counting as alive. The default is 3 s; see
	// membership.Settings.
	MemberExpiry time.Duration
}

// Peer is another entry that is known at startup.
type Peer struct{ Entry, Zone, Address string }

func (c Config) withDefaults() Config {
	if c.Keys == nil {
		c.Keys = []string{platformapi.SheetKey, platformapi.IndexKey}
	}
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.PushFanout, DefaultPushFanout)
	setDefault(&c.ExchangeInterval, defaultExchangeInterval)
	setDefault(&c.PollInterval, DefaultPollInterval)
	setDefault(&c.HostInterval, DefaultHostInterval)
	setDefault(&c.WatchWait, DefaultWatchWait)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.StartupTimeout, DefaultStartupTimeout)
	return c
}

func setDefault[T ~int | ~int64](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// Platform is the configuration service. It is implemented by platformhttp.Client and feed.Feed.
// Its errors are of type *status.Error.
type Platform interface {
	// Get returns the published document with the given key.
	Get(ctx context.Context, key string) (platformapi.Document, error)
	// Watch returns the document and true as soon as its platform version exceeds after. It returns
	// false if that does not happen within wait.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platformapi.Document, bool, error)
	// Hosts returns the host list.
	Hosts(ctx context.Context) ([]platformapi.Host, error)
}

// SnapshotSource is a Platform whose target lists are the registrations as of their revision. It can therefore
// settle which of two lists is right. It is implemented by feed.Feed.
type SnapshotSource interface {
	// Correct compares a list with the registrations as of its revision. known is false if these are not
	// known: the list is of another era, newer than what was read, or older than the last change. If the
	// list differs, Correct returns the document that replaces it, whose revision is not lower; otherwise
	// the document is empty.
	Correct(list *targetlist.Document) (doc platformapi.Document, known bool)
}

// PeerCaller calls other entries. It is implemented by peerrpc.Pool. Its errors are of type
// *status.Error.
type PeerCaller interface {
	// Exchange sends this entry's state to the entry at address (IP:port) and returns its state.
	Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
	// Fetch gets a document from the entry at address.
	Fetch(ctx context.Context, address string, in *peerpb.FetchRequest) (*peerpb.FetchReply, error)
}

// FactSet holds short-lived facts that entries exchange.
type FactSet struct {
	Quarantines []*peerpb.Quarantine
	Crashes     []*peerpb.Crash
	Leaving     []*peerpb.Leaving
	Successions []*peerpb.Succession
	Failing     []*peerpb.Failing
	RateLimits  []*peerpb.RateLimit
}

// Facts is the part of the engine that provides and receives facts. Its methods are called by many
// goroutines and must not block.
type Facts interface {
	// Collect returns the facts that are still valid, the newest of each kind first. A message
	// carries at most 64 of each kind: the first 32 and a random selection of the others.
	Collect() FactSet
	// Receive processes facts from another entry. The same fact may be received repeatedly.
	Receive(entry string, facts FactSet)
}

// HostListKey identifies the host list in calls of Deps.OnReadFailure.
const HostListKey = "hosts"

// Deps holds the dependencies of a Syncer.
type Deps struct {
	Platform Platform
	Peers    PeerCaller
	// Facts may be nil.
	Facts Facts
	Audit *audit.Trail
	Log   zerolog.Logger
	// ParseSheet and ParseIndex decode and validate a full document.
	ParseSheet func([]byte) (*sheet.Sheet, error)
	ParseIndex func([]byte) (*index.Document, error)
	// ParseTargets is required if Keys contains the targets.
	ParseTargets func([]byte) (*targetlist.Document, error)
	// CheckSheet and CheckIndex return the faults of a decoded document, or nil. They must find
	// every fault that ParseSheet and ParseIndex find after decoding. If they are set, only the
	// changed parts of a document are decoded; by default each document is decoded in full.
	CheckSheet func(*sheet.Sheet) error
	CheckIndex func(*index.Document) error
	// CheckTargets is the equivalent for the targets. It may be nil.
	CheckTargets func(*targetlist.Document) error
	// OnReadFailure is called for each failed call to the platform with the key of the document,
	// or with HostListKey. It must not block. It may be nil.
	OnReadFailure func(key string)
	// OnOverdueRead is called with the key of the document before each call to the platform that Config.Confirm
	// demands. It must not block. It may be nil.
	OnOverdueRead func(key string)
	// OnRefused is called with the key of the document for each version that is refused as invalid. It must
	// not block. It may be nil.
	OnRefused func(key string)
	// OnListFault is called for each target list that contradicts an earlier one of this entry. It must
	// not block. It may be nil.
	OnListFault func(ListFault)
	// OnChange is called by one goroutine with the latest view after each change. Intermediate
	// views may be skipped. It may be nil.
	OnChange func(*View)
	// OnHosts is called with each host list read from the platform. It may be nil.
	OnHosts func([]platformapi.Host)
}

// View is an immutable snapshot of the current documents.
type View struct {
	// Sheet is nil until a sheet has been accepted.
	Sheet       *sheet.Sheet
	SheetDigest revision.Digest
	// Index is nil until an index has been accepted.
	Index       *index.Document
	IndexDigest revision.Digest
	// Targets is nil until a target list has been accepted, and if Config.Keys does not contain it.
	Targets *targetlist.Document
}

// Member is another entry.
type Member struct {
	Entry, Zone, Address string
	// Incarnation is zero until the entry has been seen alive for the first time.
	Incarnation ids.Incarnation
	// Alive reports whether the entry was seen alive within the expiry, directly or through
	// another entry.
	Alive bool
	// Draining reports whether the entry is shutting down gracefully or has yielded the watcher role.
	Draining bool
	// Detached reports whether the entry reaches no target.
	Detached bool
	// Listed reports whether the settings or the host list contain the entry.
	Listed bool
	// LastSeen is the time at which the entry was last known to be alive, or zero if never.
	LastSeen time.Time
	// Capacity is the CPU capacity of the entry's host in thousandths of a core, or zero if
	// unknown.
	Capacity uint32
}
