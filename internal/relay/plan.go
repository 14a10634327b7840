package relay

import (
	"math"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/connshare"
	"github.com/balsamstall/balsamstall/coordination/homes"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// plan combines a sheet and a target list with the lookup tables that requests need. It is
// immutable; a request uses the same plan from start to end.
type plan struct {
	sheet   *sheet.Sheet
	targets *targetlist.Document
	// routes holds the services of each host, longest path prefix first.
	routes map[string][]*route
	// groups holds, by group name, the targets that may get new requests. subsets holds those of
	// them to which this entry keeps connections.
	groups, subsets map[string][]string
	// maxConnections holds, by group name, the number of connections that this entry may hold to
	// each target of its subset.
	maxConnections map[string]int
	// fleet is the fleet state that the plan was built for.
	fleet fleetState
	// gatheredGroups holds the groups that only gathered requests use.
	gatheredGroups map[string]bool
}

// fleetState is the part of the fleet state that a plan depends on. It determines how connections to
// targets and the fleet's repeats are divided among the entries.
type fleetState struct {
	entries, homes, zones int
	// isHome reports whether this entry is a home.
	isHome bool
	// effectiveEntries is the number of entries assumed to hold connections to targets. It may
	// exceed entries shortly after the start of the fleet or of this process.
	effectiveEntries int
}

// assignment returns a homes.Assignment with the fields that the division among entries needs.
func (s fleetState) assignment() *homes.Assignment {
	return &homes.Assignment{Entries: s.entries, Homes: s.homes, Zones: s.zones, IsHome: s.isHome}
}

// sharedConnections returns how many of the limit connections of a target this entry shares with
// other entries, and among how many entries they are divided. gatheredOnly is set for groups
// that only gathered requests use.
func (s fleetState) sharedConnections(limit int, gatheredOnly bool) (connections, sharers int) {
	if !gatheredOnly {
		return limit, s.effectiveEntries
	}
	connections, sharers = s.assignment().SharedConnections(limit)
	// effectiveEntries exceeds entries shortly after a start, and counts each entry twice while the
	// fleet is young; scale the number of sharers alike.
	return connections, sharers * s.effectiveEntries / max(s.entries, 1)
}

// repeatMinimumFraction returns this entry's fraction of the fleet's minimum of repeats at a group.
func (s fleetState) repeatMinimumFraction(gatheredOnly bool) float64 {
	if !gatheredOnly {
		return 1 / float64(max(s.entries, 1))
	}
	return s.assignment().RepeatMinimumFraction()
}

// route is one relayed service of a plan.
type route struct {
	service *sheet.Service
	relay   *sheet.Relay
	// layout is the snapshot that lists, for each shard, the targets to which this entry keeps
	// connections. allTargets lists all targets of each shard. Both are nil for a service with a
	// split.
	layout     *index.Snapshot
	allTargets [][]string
	// partLayouts and partTargets hold the same for each part of a split.
	partLayouts []*index.Snapshot
	partTargets [][][]string
	// splitCounter counts the choices among the parts.
	splitCounter *atomic.Uint64
}

// newPlan builds a plan from the documents. splitCounters keeps the counters of splits across plans.
func newPlan(s *sheet.Sheet, t *targetlist.Document, self engine.Identity, fleet fleetState, splitCounters map[string]*atomic.Uint64) *plan {
	p := &plan{
		sheet:   s,
		targets: t,
		routes:  make(map[string][]*route),
		groups:  make(map[string][]string, len(s.Groups)),
		fleet:   fleet,
	}
	p.findGatheredGroups()
	for i := range t.Targets {
		if target := &t.Targets[i]; t.Accepts(target) {
			p.groups[target.Group] = append(p.groups[target.Group], target.ID)
		}
	}
	p.chooseSubsets(self)
	for i := range s.Services {
		if s.Services[i].Relay != nil {
			p.addRoute(&s.Services[i], splitCounters)
		}
	}
	for _, routes := range p.routes {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].relay.PathPrefix) > len(routes[j].relay.PathPrefix)
		})
	}
	return p
}

func (p *plan) addRoute(svc *sheet.Service, splitCounters map[string]*atomic.Uint64) {
	r := &route{service: svc, relay: svc.Relay}
	if len(r.relay.Shards) > 0 {
		r.layout, r.allTargets = p.snapshot(r.relay.Shards...)
	} else {
		for _, part := range r.relay.Split {
			layout, allTargets := p.snapshot(part.Group)
			r.partLayouts, r.partTargets = append(r.partLayouts, layout), append(r.partTargets, allTargets)
		}
		if splitCounters[svc.Name] == nil {
			splitCounters[svc.Name] = new(atomic.Uint64)
		}
		r.splitCounter = splitCounters[svc.Name]
	}
	host := strings.ToLower(r.relay.Host)
	p.routes[host] = append(p.routes[host], r)
}

// snapshot returns the targets of each group as one shard: those to which this entry keeps
// connections as a snapshot of this sheet revision, and all targets as allTargets.
func (p *plan) snapshot(groups ...string) (snap *index.Snapshot, allTargets [][]string) {
	snap = &index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: p.sheet.Revision, ShardMapEpoch: 1}}
	for _, g := range groups {
		snap.Shards = append(snap.Shards, p.subsets[g])
		allTargets = append(allTargets, p.groups[g])
	}
	return snap, allTargets
}

// findRoute returns the route of a request, which is the one of its host with the longest matching
// path prefix, or nil if there is none.
func (p *plan) findRoute(host, path string) *route {
	for _, r := range p.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.relay.PathPrefix) {
			return r
		}
	}
	return nil
}

// goldenRatio generates a low-discrepancy sequence, which spreads successive choices evenly over the
// parts of a split, so that a few hundred requests already follow the weights.
const goldenRatio = 0.6180339887498949

// choosePart returns the index of the split part that serves the next request.
func (r *route) choosePart() int {
	sum := 0.0
	for _, p := range r.relay.Split {
		sum += p.Weight
	}
	_, position := math.Modf(float64(r.splitCounter.Add(1)) * goldenRatio)
	position *= sum
	for i, p := range r.relay.Split {
		if position < p.Weight {
			return i
		}
		position -= p.Weight
	}
	return len(r.relay.Split) - 1
}

// coldPeriod is the time for which a target marked as cold stays slow after its start.
const coldPeriod = 3 * time.Second

// catalogue returns the description of the plan for the engine.
func (p *plan) catalogue() *engine.Catalogue {
	c := &engine.Catalogue{ListRevision: p.targets.Revision, EvacuatedZones: p.targets.Evacuated}
	for i := range p.sheet.Services {
		svc := &p.sheet.Services[i]
		if svc.Relay == nil {
			continue
		}
		c.Services = append(c.Services, engine.CatalogueService{
			Name:           svc.Name,
			Priority:       svc.Priority,
			MaxConcurrency: svc.Limits.MaxConcurrency,
			MaxQueue:       svc.Limits.MaxQueue,
			Shards:         max(len(svc.Relay.Shards), 1),
		})
	}
	slots := make(map[string]int, len(p.sheet.Groups))
	for i := range p.targets.Targets {
		if t := &p.targets.Targets[i]; p.targets.Accepts(t) {
			slots[t.Group] += t.Slots
		}
	}
	for i := range p.sheet.Groups {
		name := p.sheet.Groups[i].Name
		c.Groups = append(c.Groups, engine.CatalogueGroup{Name: name, RepeatMinimumFraction: p.fleet.repeatMinimumFraction(p.gatheredGroups[name]), Slots: slots[name]})
	}
	for i := range p.targets.Targets {
		t := &p.targets.Targets[i]
		cold := time.Duration(0)
		if t.Cold {
			cold = coldPeriod
		}
		c.Targets = append(c.Targets, engine.CatalogueTarget{ID: t.ID, Started: t.Started, Leaving: t.Leaving, Zone: t.Zone, Slots: t.Slots, ColdFor: cold, Evacuated: p.targets.IsEvacuated(t.Zone)})
	}
	return c
}

// coldLimits returns the limits, in requests per second from all entries, of the cold targets whose groups
// have one.
func (p *plan) coldLimits() map[string]float64 {
	rates := make(map[string]float64)
	for i := range p.sheet.Groups {
		if g := &p.sheet.Groups[i]; g.ColdRate > 0 {
			rates[g.Name] = g.ColdRate
		}
	}
	limits := make(map[string]float64)
	if len(rates) == 0 {
		return limits
	}
	for i := range p.targets.Targets {
		t := &p.targets.Targets[i]
		if rate, limited := rates[t.Group]; limited && t.Cold {
			limits[t.ID] = rate
		}
	}
	return limits
}

// findGatheredGroups sets gatheredGroups to the groups that only gathered requests use. All entries
// share the other groups evenly.
func (p *plan) findGatheredGroups() {
	p.gatheredGroups = make(map[string]bool, len(p.sheet.Groups))
	for i := range p.sheet.Services {
		if r := p.sheet.Services[i].Relay; r != nil {
			for _, name := range r.Shards {
				p.gatheredGroups[name] = true
			}
		}
	}
	for i := range p.sheet.Services {
		if r := p.sheet.Services[i].Relay; r != nil {
			for _, part := range r.Split {
				delete(p.gatheredGroups, part.Group)
			}
		}
	}
}

// chooseSubsets chooses, for each group, the targets to which this entry keeps connections, and how
// many, so that all entries together stay within the connection limits of the targets.
func (p *plan) chooseSubsets(self engine.Identity) {
	members := make(map[string][]connshare.Target, len(p.groups))
	for i := range p.targets.Targets {
		if t := &p.targets.Targets[i]; p.targets.Accepts(t) {
			members[t.Group] = append(members[t.Group], connshare.Target{ID: t.ID, Local: t.Zone == self.Zone})
		}
	}
	p.subsets = make(map[string][]string, len(p.groups))
	p.maxConnections = make(map[string]int, len(p.groups))
	for i := range p.sheet.Groups {
		g := &p.sheet.Groups[i]
		groupMembers := members[g.Name]
		connections, sharers := p.fleet.sharedConnections(g.MaxConnections, p.gatheredGroups[g.Name])
		size := connshare.SubsetSize(connections, len(groupMembers), sharers)
		p.subsets[g.Name] = connshare.Subset(self.Entry, groupMembers, size)
		p.maxConnections[g.Name] = connshare.SubsetShare(connections, len(groupMembers), size, sharers)
	}
}

// connectionTargets returns the targets with the number of connections that this entry may hold to
// each, which is zero for targets outside its subset.
func (p *plan) connectionTargets() []sheet.Target {
	list := make([]sheet.Target, 0, len(p.targets.Targets))
	for i := range p.targets.Targets {
		t := &p.targets.Targets[i]
		limit, known := p.maxConnections[t.Group]
		if !slices.Contains(p.subsets[t.Group], t.ID) {
			limit = 0
		}
		if known {
			list = append(list, sheet.Target{ID: t.ID, Name: t.Name, Address: t.Address, Zone: t.Zone, Slots: t.Slots, MaxConnections: limit})
		}
	}
	return list
}
