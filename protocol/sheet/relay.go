package sheet

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/balsamstall/balsamstall/protocol/document"
)

// Group is a set of targets that serve the same data. The published list of targets defines its
// members.
type Group struct {
	Name string `json:"name"`
	// MaxConnections is the maximum number of connections from all entries to one target.
	MaxConnections int `json:"max_connections"`
	// ColdRate is the number of requests per second from all entries that a target tolerates while it
	// is cold (see targetlist.Target). Zero means that it has no such limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// MaxColdRate is the maximum of Group.ColdRate.
const MaxColdRate = 1e6

// CallerLimits bounds the requests that a caller of relayed services may send. Zero values select
// the limits in the entry's settings.
type CallerLimits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes,omitempty"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`
}

// Relay configures a service that forwards requests to targets unchanged, instead of running
// searches. Exactly one of Shards and Split is set.
type Relay struct {
	// Host and PathPrefix select the requests of the service. The longest matching prefix of a
	// host wins. A prefix begins and ends with a slash.
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	// Shards holds the name of the group of each shard. A request is sent to one target of each
	// group, and the records of the replies are merged.
	Shards []string `json:"shards,omitempty"`
	// Split holds the groups that share the requests by weight. One target of one group serves
	// each request, and its reply is returned unchanged.
	Split []WeightedGroup `json:"split,omitempty"`
	// MaxRuns is the maximum number of targets that may run one sub-request.
	MaxRuns int `json:"attempts"`
	// TopRecords is the number of records in a merged answer.
	TopRecords int `json:"top_records,omitempty"`
}

// GroupNames returns the names of the groups to which the service sends requests.
func (r *Relay) GroupNames() []string {
	names := slices.Clone(r.Shards)
	for _, p := range r.Split {
		names = append(names, p.Group)
	}
	return names
}

// WeightedGroup is a group and its weight in a split.
type WeightedGroup struct {
	Group string `json:"group"`
	// Weight is the group's share of the requests, relative to the sum of all weights.
	Weight float64 `json:"weight"`
}

// MaxRuns is the maximum number of targets that a relay may let run one sub-request.
const MaxRuns = 100

// MaxTopRecords is the maximum of Relay.TopRecords.
const MaxTopRecords = math.MaxInt32

func (s *Sheet) checkGroups(c *document.Checks) map[string]bool {
	seen := make(map[string]bool, len(s.Groups))
	for i, g := range s.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		c.Name(path+".name", g.Name, seen)
		c.Range(path+".max_connections", int64(g.MaxConnections), 1, MaxConnections)
		if !(g.ColdRate >= 0 && g.ColdRate <= MaxColdRate) {
			c.Add(path+".cold_rate", strconv.FormatFloat(g.ColdRate, 'g', -1, 64), fmt.Sprintf("a number from 0 to %g", MaxColdRate))
		}
	}
	return seen
}

func (r *Relay) check(c *document.Checks, path string, rule RepeatRule, groups map[string]bool) {
	if r.Host == "" {
		c.Add(path+".host", strconv.Quote(r.Host), "a host name")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.Add(path+".path_prefix", strconv.Quote(r.PathPrefix), "a path that begins and ends with a slash")
	}
	c.Range(path+".attempts", int64(r.MaxRuns), 1, MaxRuns)
	switch {
	case len(r.Shards) > 0 && len(r.Split) > 0, len(r.Shards) == 0 && len(r.Split) == 0:
		c.Add(path, fmt.Sprintf("%d shards and %d split groups", len(r.Shards), len(r.Split)), "either shards or split")
	case len(r.Shards) > 0:
		c.Range(path+".top_records", int64(r.TopRecords), 1, MaxTopRecords)
		if rule != Idempotent {
			c.Add(path+".shards", strconv.Quote(string(rule)), "the repeat rule idempotent, because shards are searched more than once")
		}
	}
	seenGroups := make(map[string]bool, len(r.Shards))
	for i, name := range r.Shards {
		shardPath := fmt.Sprintf("%s.shards[%d]", path, i)
		c.InSet(shardPath, name, groups, "the name of a group of the sheet")
		if seenGroups[name] {
			c.Add(shardPath, strconv.Quote(name), "a group that is listed once")
		}
		seenGroups[name] = true
	}
	for i, p := range r.Split {
		groupPath := fmt.Sprintf("%s.split[%d]", path, i)
		c.InSet(groupPath+".group", p.Group, groups, "the name of a group of the sheet")
		if !(p.Weight >= 0) {
			c.Add(groupPath+".weight", strconv.FormatFloat(p.Weight, 'g', -1, 64), "a number from 0")
		}
	}
}

// checkRoutes reports relays with the same host and path prefix.
func (s *Sheet) checkRoutes(c *document.Checks) {
	type route struct{ host, prefix string }
	seen := make(map[route]bool)
	for i := range s.Services {
		relay := s.Services[i].Relay
		if relay == nil {
			continue
		}
		key := route{strings.ToLower(relay.Host), relay.PathPrefix}
		if seen[key] {
			c.Add(fmt.Sprintf("services[%d].relay.path_prefix", i), strconv.Quote(relay.PathPrefix), "a prefix that no other service of the host has")
		}
		seen[key] = true
	}
}
