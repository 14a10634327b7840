package engine

import (
	"time"

	"github.com/balsamstall/balsamstall/coordination/retrybudget"
)

// Catalogue lists the services and targets of one accepted configuration.
type Catalogue struct {
	Services []CatalogueService
	Targets  []CatalogueTarget
	// Entries is the number of entries that share the targets.
	Entries int
	// Homes is the number of homes: the entries that run gathered requests (see package relay) for
	// the others.
	Homes int
	// Groups lists the target groups whose repeats (retries and hedges) are bounded by Repeats for
	// the whole fleet.
	Groups  []CatalogueGroup
	Repeats retrybudget.FleetSettings
	// EvacuatedZones lists the zones whose targets get no requests. ListRevision is the revision of the target
	// list that states them.
	EvacuatedZones []string
	ListRevision   uint64
}

// CatalogueGroup is a target group whose repeats are bounded.
type CatalogueGroup struct {
	Name string
	// RepeatMinimumFraction is this entry's fraction of the fleet's minimum of repeats, from 0 to 1.
	RepeatMinimumFraction float64
	// Slots is the total number of slots of its targets that may get work.
	Slots int
}

// CatalogueService describes a service to the load policies.
type CatalogueService struct {
	Name string
	// Priority ranks services under overload, from 1 (highest) to 9.
	Priority int
	// MaxConcurrency and MaxQueue limit the running and the queued requests.
	MaxConcurrency, MaxQueue int
	// HedgeRatio is the maximum ratio of hedges to primary attempts, from 0 to 1.
	HedgeRatio float64
	// AtMostOnce is set for a service whose requests must run at most once, on one shard.
	AtMostOnce bool
	// Slots is the total number of slots of the targets of the service, Shards the number of shards
	// of its newest snapshot.
	Slots, Shards int
}

// CatalogueTarget describes a target to the load policies.
type CatalogueTarget struct {
	ID string
	// Started is the Unix time of its start in milliseconds, zero if unknown. ID and Started
	// identify the incarnation.
	Started int64
	// Leaving is set if the list states that the target gets no new requests.
	Leaving bool
	// Zone is the availability zone of the target.
	Zone string
	// Slots is the number of attempts that the target runs concurrently.
	Slots int
	// ColdFor is the time for which the target stays slow after its start. It is only used when the
	// target is added.
	ColdFor time.Duration
	// Evacuated is set if the target gets no requests because its zone is evacuated.
	Evacuated bool
}
