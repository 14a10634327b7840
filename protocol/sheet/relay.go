package sheet

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/balsamstall/balsamstall/protocol/document"
)

// Group is a set of targets that all serve the same data. Which targets belong to
// it is published in the list of targets.
type Group struct {
	Name string `json:"name"`
	// MaxConnections is each target's cap on connections from all entries.
	MaxConnections int `json:"max_connections"`
}

// CallerLimits bound what a caller of relayed services may send. Zero values select
// the limits of the entry's settings.
type CallerLimits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes,omitempty"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`
}

// Relay makes a service pass requests on to targets as they are, instead of
// running searches of its own format. Exactly one of Shards and Split is set.
type Relay struct {
	// Host and PathPrefix select the requests. Of several prefixes of one host the
	// longest wins. A prefix begins and ends with a slash.
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	// Shards names a group for each shard. The request goes to one target of each,
	// and the records of the replies are merged.
	Shards []string `json:"shards,omitempty"`
	// Split names the groups of which one serves each request, by weight. The
	// target's reply is returned unchanged.
	Split []Part `json:"split,omitempty"`
	// Attempts is the number of targets that may run one sub-request.
	Attempts int `json:"attempts"`
	// TopRecords is the number of records of a merged answer.
	TopRecords int `json:"top_records,omitempty"`
}

// Part is a group with its weight in a split.
type Part struct {
	Group string `json:"group"`
	// Weight is the group's part of the requests, relative to the sum of all.
	Weight float64 `json:"weight"`
}

// Bounds of the fields of a relay.
const (
	maxAttempts   = 100
	maxTopRecords = 100_000
	maxHostLength = 255
)

func (s *Sheet) checkGroups(c *document.Checks) map[string]bool {
	seen := make(map[string]bool, len(s.Groups))
	for i, g := range s.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		c.Name(path+".name", g.Name, seen)
		c.Range(path+".max_connections", int64(g.MaxConnections), 1, maxConnections)
	}
	return seen
}

func (r *Relay) check(c *document.Checks, path string, rule RepeatRule, groups map[string]bool) {
	if r.Host == "" || len(r.Host) > maxHostLength {
		c.Add(path+".host", strconv.Quote(r.Host), "a host name")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.Add(path+".path_prefix", strconv.Quote(r.PathPrefix), "a path that begins and ends with a slash")
	}
	c.Range(path+".attempts", int64(r.Attempts), 1, maxAttempts)
	switch {
	case len(r.Shards) > 0 && len(r.Split) > 0, len(r.Shards) == 0 && len(r.Split) == 0:
		c.Add(path, fmt.Sprintf("%d shards and %d parts", len(r.Shards), len(r.Split)), "either shards or split")
	case len(r.Shards) > 0:
		c.Range(path+".top_records", int64(r.TopRecords), 1, maxTopRecords)
		if rule != Idempotent {
			c.Add(path+".shards", strconv.Quote(string(rule)), "the repeat rule idempotent, because shards are searched more than once")
		}
	}
	own := make(map[string]bool, len(r.Shards))
	for i, name := range r.Shards {
		at := fmt.Sprintf("%s.shards[%d]", path, i)
		c.Known(at, name, groups, "the name of a group of the sheet")
		if own[name] {
			c.Add(at, strconv.Quote(name), "a group that is listed once")
		}
		own[name] = true
	}
	for i, p := range r.Split {
		at := fmt.Sprintf("%s.split[%d]", path, i)
		c.Known(at+".group", p.Group, groups, "the name of a group of the sheet")
		if !(p.Weight >= 0) {
			c.Add(at+".weight", strconv.FormatFloat(p.Weight, 'g', -1, 64), "a number from 0")
		}
	}
}

// checkRoutes refuses two relays for the same requests.
func (s *Sheet) checkRoutes(c *document.Checks) {
	type route struct{ host, prefix string }
	seen := make(map[route]bool)
	for i := range s.Services {
		relay := s.Services[i].Relay
		if relay == nil {
			continue
		}
		at := route{strings.ToLower(relay.Host), relay.PathPrefix}
		if seen[at] {
			c.Add(fmt.Sprintf("services[%d].relay.path_prefix", i), strconv.Quote(relay.PathPrefix), "a prefix that the host has once")
		}
		seen[at] = true
	}
}
