package target

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Number of hits per attempt. Private hits belong to the workspace of the request.
const (
	sharedHits  = 2
	privateHits = 1
)

// Hits returns the hits of an attempt, shared ones first. They depend only on the service, shard,
// snapshot, query and, for private hits, the workspace, so that tests can compare answers with them.
func Hits(id targetapi.Identity, query string) []targetapi.Hit {
	hits := make([]targetapi.Hit, 0, sharedHits+privateHits)
	for n := range sharedHits + privateHits {
		owner := ""
		if n >= sharedHits {
			owner = id.Workspace
		}
		hits = append(hits, newHit(id, query, owner, n))
	}
	return hits
}

// newHit returns a hit whose id and score are derived from the xxhash64 of the text
// "service|shard|index_version|shard_map_epoch|owner|n|query".
func newHit(id targetapi.Identity, query, owner string, n int) targetapi.Hit {
	sum := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d|%d|%s|%d|%s", id.Service, id.Shard,
		id.Snapshot.IndexVersion, id.Snapshot.ShardMapEpoch, owner, n, query))
	body, err := json.Marshal(map[string]string{"title": fmt.Sprintf("%s item %d", id.Service, n)})
	if err != nil {
		panic(err) // A map of strings can always be encoded.
	}
	return targetapi.Hit{
		ID:        fmt.Sprintf("%s/%d/%016x", id.Service, id.Shard, sum),
		Score:     float64(sum>>11) / (1 << 53), // The upper 53 bits give a number from 0 to 1.
		Workspace: owner,
		Body:      body,
	}
}
