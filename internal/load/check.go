package load

import (
	"fmt"
	"math"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
)

// ratioTolerance covers the rounding of a ratio in JSON.
const ratioTolerance = 1e-9

// coverageFaults returns what is wrong with the coverage of an answer: a shard
// that is named twice or left out, a result of a shard that was not searched,
// a missing reason, or a ratio that differs from the shards named.
func coverageFaults(r *callerapi.SearchResponse) []string {
	var faults []string
	total := len(r.Coverage.Searched) + len(r.Coverage.NotSearched)
	seen := make(map[int]bool, total)
	name := func(shard int) {
		if shard < 0 || shard >= total {
			faults = append(faults, fmt.Sprintf("coverage names shard %d of %d", shard, total))
		}
		if seen[shard] {
			faults = append(faults, fmt.Sprintf("coverage names shard %d twice", shard))
		}
		seen[shard] = true
	}
	searched := make(map[int]bool, len(r.Coverage.Searched))
	for _, shard := range r.Coverage.Searched {
		name(shard)
		searched[shard] = true
	}
	needed := total
	for _, n := range r.Coverage.NotSearched {
		name(n.Shard)
		switch n.Reason {
		case "":
			faults = append(faults, fmt.Sprintf("shard %d was not searched and has no reason", n.Shard))
		case callerapi.ReasonNotNeeded:
			needed--
		}
	}
	for _, hit := range r.Results {
		if !searched[hit.Shard] {
			faults = append(faults, fmt.Sprintf("result %q is of shard %d, which was not searched", hit.ID, hit.Shard))
		}
	}
	if total == 0 {
		return append(faults, "coverage names no shard")
	}
	if needed > 0 {
		if want := float64(len(searched)) / float64(needed); math.Abs(want-r.Coverage.Ratio) > ratioTolerance {
			faults = append(faults, fmt.Sprintf("coverage ratio is %g, the shards named give %g", r.Coverage.Ratio, want))
		}
	}
	return faults
}
