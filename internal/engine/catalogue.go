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
	// Runners is the number of entries that run gathered requests.
	Runners int
	// Pools names the target groups whose repeats are bounded by Repeats for the whole
	// fleet.
	Pools   []CataloguePool
	Repeats retrybudget.FleetSettings
}

// CataloguePool is a target group whose repeats are bounded.
type CataloguePool struct {
	Name string
	// RepeatPart is this entry's part of the fleet's minimum of repeats, from 0 to 1.
	RepeatPart float64
	// Slots counts the slots of its targets that may get work.
	Slots int
}

// CatalogueService describes a service to the load policies.
type CatalogueService struct {
	Name string
	// Priority orders services under overload, from 1 (highest) to 9.
	Priority int
	// MaxConcurrency and MaxQueue bound the requests that run and wait.
	MaxConcurrency, MaxQueue int
	// HedgeRatio is the allowed number of hedges per primary attempt, from 0 to 1.
	HedgeRatio float64
	// AtMostOnce is set for a service whose requests go to one shard.
	AtMostOnce bool
	// Slots counts the slots of all targets of the service, Shards the shards of
	// its newest snapshot.
	Slots, Shards int
}

// CatalogueTarget describes a target to the load policies.
type CatalogueTarget struct {
	ID string
	// Started is the Unix time of its start in milliseconds, zero when not known. ID and
	// Started name the incarnation.
	Started int64
	// Zone is the target's availability zone.
	Zone  string
	Slots int
	// ColdFor is the time for which the target stays slow after its start. It is
	// read when the target is new.
	ColdFor time.Duration
}
