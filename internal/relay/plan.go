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

// plan is one pair of sheet and target list with the lookups that requests need.
// It is immutable; a request holds one plan from start to end.
type plan struct {
	sheet   *sheet.Sheet
	targets *targetlist.Document
	// routes holds the services of each host, the longest prefix first.
	routes map[string][]*route
	// groups holds the targets that may get new work, and subsets those of them to which
	// this entry keeps connections.
	groups, subsets map[string][]string
	// connections holds those that this entry may hold to each target of a group.
	connections map[string]int
	// shared is this entry's part of what the entries share.
	shared shares
	// gathered holds the groups that only gathered requests use.
	gathered map[string]bool
}

// shares is what a plan depends on besides its documents: how many divide the
// connections to targets and the repeats of the fleet.
type shares struct {
	entries, homes, zones int
	// home reports whether this entry is a home.
	home bool
	// connecting is the number of entries that are expected to hold connections.
	connecting int
}

// assignment returns the part of the assignment of homes that shares depend on.
func (s shares) assignment() *homes.Assignment {
	return &homes.Assignment{Entries: s.entries, Homes: s.homes, Zones: s.zones, IsHome: s.home}
}

// places returns the places of a target that this entry shares with how many others.
func (s shares) places(limit int, gathered bool) (places, sharers int) {
	if !gathered {
		return limit, s.connecting
	}
	places, sharers = s.assignment().SharedConnections(limit)
	// A young fleet counts each entry twice.
	return places, sharers * s.connecting / max(s.entries, 1)
}

// repeatPart returns this entry's part of the fleet's minimum of repeats at a group.
func (s shares) repeatPart(gathered bool) float64 {
	if !gathered {
		return 1 / float64(max(s.entries, 1))
	}
	return s.assignment().RepeatPart()
}

// route is one relayed service of a plan.
type route struct {
	service *sheet.Service
	relay   *sheet.Relay
	// layout lists the targets of each shard to which this entry keeps connections, and
	// others all targets. Nil for a split.
	layout *index.Snapshot
	others [][]string
	// parts lists the layout of each part of a split, partOthers all its targets.
	parts      []*index.Snapshot
	partOthers [][][]string
	// draws counts the choices among the parts.
	draws *atomic.Uint64
}

// newPlan indexes the documents. draws keeps the counters of splits over plans.
func newPlan(s *sheet.Sheet, t *targetlist.Document, self engine.Identity, shared shares, draws map[string]*atomic.Uint64) *plan {
	p := &plan{
		sheet:   s,
		targets: t,
		routes:  make(map[string][]*route),
		groups:  make(map[string][]string, len(s.Groups)),
		shared:  shared,
	}
	p.findGathered()
	for i := range t.Targets {
		if target := &t.Targets[i]; !target.Leaving {
			p.groups[target.Group] = append(p.groups[target.Group], target.ID)
		}
	}
	p.chooseSubsets(self)
	for i := range s.Services {
		if s.Services[i].Relay != nil {
			p.addRoute(&s.Services[i], draws)
		}
	}
	for _, routes := range p.routes {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].relay.PathPrefix) > len(routes[j].relay.PathPrefix)
		})
	}
	return p
}

func (p *plan) addRoute(svc *sheet.Service, draws map[string]*atomic.Uint64) {
	r := &route{service: svc, relay: svc.Relay}
	if len(r.relay.Shards) > 0 {
		r.layout, r.others = p.snapshot(r.relay.Shards...)
	} else {
		for _, part := range r.relay.Split {
			layout, others := p.snapshot(part.Group)
			r.parts, r.partOthers = append(r.parts, layout), append(r.partOthers, others)
		}
		if draws[svc.Name] == nil {
			draws[svc.Name] = new(atomic.Uint64)
		}
		r.draws = draws[svc.Name]
	}
	host := strings.ToLower(r.relay.Host)
	p.routes[host] = append(p.routes[host], r)
}

// snapshot lists the targets of groups as the shards of this version of the sheet.
func (p *plan) snapshot(groups ...string) (snap *index.Snapshot, others [][]string) {
	snap = &index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: p.sheet.Revision, ShardMapEpoch: 1}}
	for _, g := range groups {
		snap.Shards = append(snap.Shards, p.subsets[g])
		others = append(others, p.groups[g])
	}
	return snap, others
}

// find returns the route of a request: the longest prefix of its host that begins
// the path.
func (p *plan) find(host, path string) *route {
	for _, r := range p.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.relay.PathPrefix) {
			return r
		}
	}
	return nil
}

// goldenRatio spreads successive choices evenly over the parts of a split, so that
// each gets its part of a few hundred requests already.
const goldenRatio = 0.6180339887498949

// choosePart returns the number of the part of a split that serves the next request.
func (r *route) choosePart() int {
	sum := 0.0
	for _, p := range r.relay.Split {
		sum += p.Weight
	}
	_, at := math.Modf(float64(r.draws.Add(1)) * goldenRatio)
	at *= sum
	for i, p := range r.relay.Split {
		if at < p.Weight {
			return i
		}
		at -= p.Weight
	}
	return len(r.relay.Split) - 1
}

// coldPeriod is the time for which a target that reports a warm-up stays slow.
const coldPeriod = 3 * time.Second

// catalogue describes the plan to the engine.
func (p *plan) catalogue() *engine.Catalogue {
	c := &engine.Catalogue{}
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
		if t := &p.targets.Targets[i]; !t.Leaving {
			slots[t.Group] += t.Slots
		}
	}
	for i := range p.sheet.Groups {
		name := p.sheet.Groups[i].Name
		c.Groups = append(c.Groups, engine.CatalogueGroup{Name: name, RepeatPart: p.shared.repeatPart(p.gathered[name]), Slots: slots[name]})
	}
	for i := range p.targets.Targets {
		t := &p.targets.Targets[i]
		cold := time.Duration(0)
		if t.Cold {
			cold = coldPeriod
		}
		c.Targets = append(c.Targets, engine.CatalogueTarget{ID: t.ID, Started: t.Started, Zone: t.Zone, Slots: t.Slots, ColdFor: cold})
	}
	return c
}

// findGathered finds the groups that only gathered requests use. The entries share those
// of other requests evenly.
func (p *plan) findGathered() {
	p.gathered = make(map[string]bool, len(p.sheet.Groups))
	for i := range p.sheet.Services {
		if r := p.sheet.Services[i].Relay; r != nil {
			for _, name := range r.Shards {
				p.gathered[name] = true
			}
		}
	}
	for i := range p.sheet.Services {
		if r := p.sheet.Services[i].Relay; r != nil {
			for _, part := range r.Split {
				delete(p.gathered, part.Group)
			}
		}
	}
}

// chooseSubsets chooses the targets of each group to which this entry keeps
// connections, so that all entries together stay within the caps.
func (p *plan) chooseSubsets(self engine.Identity) {
	members := make(map[string][]connshare.Target, len(p.groups))
	for i := range p.targets.Targets {
		if t := &p.targets.Targets[i]; !t.Leaving {
			members[t.Group] = append(members[t.Group], connshare.Target{ID: t.ID, Local: t.Zone == self.Zone})
		}
	}
	p.subsets = make(map[string][]string, len(p.groups))
	p.connections = make(map[string]int, len(p.groups))
	for i := range p.sheet.Groups {
		g := &p.sheet.Groups[i]
		group := members[g.Name]
		places, sharers := p.shared.places(g.MaxConnections, p.gathered[g.Name])
		size := connshare.SubsetSize(places, len(group), sharers)
		p.subsets[g.Name] = connshare.Subset(self.Entry, group, size)
		p.connections[g.Name] = connshare.SubsetShare(places, len(group), size, sharers)
	}
}

// connectionTargets lists the targets with this entry's share of their connections,
// zero outside the subset.
func (p *plan) connectionTargets() []sheet.Target {
	list := make([]sheet.Target, 0, len(p.targets.Targets))
	for i := range p.targets.Targets {
		t := &p.targets.Targets[i]
		most, known := p.connections[t.Group]
		if !slices.Contains(p.subsets[t.Group], t.ID) {
			most = 0
		}
		if known {
			list = append(list, sheet.Target{ID: t.ID, Address: t.Address, Zone: t.Zone, Slots: t.Slots, MaxConnections: most})
		}
	}
	return list
}
