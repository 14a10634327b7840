package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// plan holds one accepted sheet and index with the lookup tables that requests need. It is
// immutable, and a request uses the same plan from start to end.
type plan struct {
	sheetRevision uint64
	indexRevision uint64
	sheet         *sheet.Sheet
	// callers maps the SHA-256 digests of bearer keys to callers.
	callers map[[sha256.Size]byte]*sheet.Caller
	// services and indexes are by service name, targets by target id.
	services map[string]*sheet.Service
	indexes  map[string]*index.Service
	targets  map[string]*sheet.Target
}

func newPlan(s *sheet.Sheet, d *index.Document) *plan {
	p := &plan{
		sheetRevision: s.Revision,
		indexRevision: d.Revision,
		sheet:         s,
		callers:       make(map[[sha256.Size]byte]*sheet.Caller, len(s.Callers)),
		services:      make(map[string]*sheet.Service, len(s.Services)),
		indexes:       make(map[string]*index.Service, len(d.Services)),
		targets:       make(map[string]*sheet.Target, len(s.Targets)),
	}
	for i := range s.Callers {
		digest, err := hex.DecodeString(s.Callers[i].KeyDigest)
		if err == nil && len(digest) == sha256.Size {
			p.callers[[sha256.Size]byte(digest)] = &s.Callers[i]
		}
	}
	for i := range s.Services {
		p.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range d.Services {
		p.indexes[d.Services[i].Name] = &d.Services[i]
	}
	for i := range s.Targets {
		p.targets[s.Targets[i].ID] = &s.Targets[i]
	}
	return p
}

// shardCount returns the number of shards in the newest snapshot of a service, or zero if the index
// has none.
func (p *plan) shardCount(service string) int {
	idx := p.indexes[service]
	if idx == nil || len(idx.Snapshots) == 0 {
		return 0
	}
	newest := &idx.Snapshots[0]
	for i := range idx.Snapshots {
		if idx.Snapshots[i].Newer(newest.Snapshot) {
			newest = &idx.Snapshots[i]
		}
	}
	return len(newest.Shards)
}

// capacity returns the total slots of the targets that hold a shard of a service, and the number
// of its shards.
func (p *plan) capacity(service string) (slots, shards int) {
	idx := p.indexes[service]
	if idx == nil {
		return 0, 0
	}
	seen := map[string]bool{}
	for i := range idx.Snapshots {
		for _, replicas := range idx.Snapshots[i].Shards {
			for _, id := range replicas {
				if t := p.targets[id]; t != nil && !seen[id] {
					seen[id] = true
					slots += t.Slots
				}
			}
		}
	}
	return slots, p.shardCount(service)
}

// authenticate returns the caller with the given bearer key, or an error with the code
// Unauthenticated.
func (p *plan) authenticate(key string) (*sheet.Caller, error) {
	digest := sha256.Sum256([]byte(key))
	caller, ok := p.callers[digest]
	if !ok {
		return nil, status.New(status.Unauthenticated, status.NotRun, "unknown bearer key")
	}
	want, err := hex.DecodeString(caller.KeyDigest)
	if err != nil || subtle.ConstantTimeCompare(digest[:], want) != 1 {
		return nil, status.New(status.Unauthenticated, status.NotRun, "unknown bearer key")
	}
	return caller, nil
}

// service returns the named service, or an error with the code PermissionDenied if it is unknown or
// the caller may not query it.
func (p *plan) service(caller *sheet.Caller, name string) (*sheet.Service, error) {
	svc, ok := p.services[name]
	if !ok || !slices.Contains(caller.Services, name) {
		return nil, status.New(status.PermissionDenied, status.NotRun, "service %q is unknown or not allowed for this caller", name)
	}
	return svc, nil
}

// catalogue returns the services and targets of the plan for the core engine. entries is the number
// of entries that share the targets.
func (p *plan) catalogue(entries int) *engine.Catalogue {
	c := &engine.Catalogue{Entries: entries}
	for name, svc := range p.services {
		slots, shards := p.capacity(name)
		c.Services = append(c.Services, engine.CatalogueService{
			Name:           name,
			Priority:       svc.Priority,
			MaxConcurrency: svc.Limits.MaxConcurrency,
			MaxQueue:       svc.Limits.MaxQueue,
			HedgeRatio:     svc.Hedge.BudgetRatio,
			AtMostOnce:     svc.Repeat.Rule == sheet.AtMostOnce,
			Slots:          slots,
			Shards:         shards,
		})
	}
	for id, t := range p.targets {
		c.Targets = append(c.Targets, engine.CatalogueTarget{ID: id, Zone: t.Zone, Slots: t.Slots})
	}
	return c
}
