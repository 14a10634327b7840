package load

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// ratioTolerance allows for the rounding of a ratio in JSON.
const ratioTolerance = 1e-9

// Number of hits that a stand-in target returns for one shard (docs/PROTOCOLS.md): first the shared
// ones, then the private ones of the caller's workspace.
const (
	sharedHits  = 2
	privateHits = 1
)

// coverageViolations returns what is wrong with the coverage of an answer: a shard that is listed
// twice or left out, a result from a shard that was not searched, a missing reason, or a ratio that
// does not match the listed shards.
func coverageViolations(r *callerapi.SearchResponse) []string {
	var violations []string
	total := len(r.Coverage.Searched) + len(r.Coverage.NotSearched)
	seen := make(map[int]bool, total)
	checkShard := func(shard int) {
		if shard < 0 || shard >= total {
			violations = append(violations, fmt.Sprintf("coverage lists shard %d, but there are %d shards", shard, total))
		}
		if seen[shard] {
			violations = append(violations, fmt.Sprintf("coverage lists shard %d twice", shard))
		}
		seen[shard] = true
	}
	searched := make(map[int]bool, len(r.Coverage.Searched))
	for _, shard := range r.Coverage.Searched {
		checkShard(shard)
		searched[shard] = true
	}
	for _, n := range r.Coverage.NotSearched {
		checkShard(n.Shard)
		if n.Reason == "" {
			violations = append(violations, fmt.Sprintf("shard %d was not searched, but has no reason", n.Shard))
		}
	}
	for _, hit := range r.Results {
		if !searched[hit.Shard] {
			violations = append(violations, fmt.Sprintf("result %q comes from shard %d, which was not searched", hit.ID, hit.Shard))
		}
	}
	if total == 0 {
		return append(violations, "coverage lists no shards")
	}
	if needed := neededShards(&r.Coverage); needed > 0 {
		if want := float64(len(searched)) / float64(needed); math.Abs(want-r.Coverage.Ratio) > ratioTolerance {
			violations = append(violations, fmt.Sprintf("coverage ratio is %g, but the listed shards give %g", r.Coverage.Ratio, want))
		}
	}
	return violations
}

// neededShards returns the number of shards that the request needs.
func neededShards(c *callerapi.Coverage) int {
	needed := len(c.Searched)
	for _, n := range c.NotSearched {
		if n.Reason != callerapi.ReasonNotNeeded {
			needed++
		}
	}
	return needed
}

// answerViolations returns what is wrong with an answer to the arrival.
func answerViolations(a *Arrival, r *callerapi.SearchResponse) []string {
	violations := coverageViolations(r)
	if r.Outcome != status.Done {
		violations = append(violations, fmt.Sprintf("an answer with results has the outcome %q", r.Outcome))
	}
	if r.Service != a.Workload.Service {
		violations = append(violations, fmt.Sprintf("the answer is for service %q", r.Service))
	}
	if r.RequestID == "" {
		violations = append(violations, "the answer has no request id")
	}
	if met := r.Coverage.Ratio >= a.Workload.MinRatio; met != r.Coverage.ContractMet {
		violations = append(violations, fmt.Sprintf("contract_met is %t at ratio %g with the minimum ratio %g",
			r.Coverage.ContractMet, r.Coverage.Ratio, a.Workload.MinRatio))
	}
	if a.Workload.AtMostOnce && len(r.Coverage.Searched) > 1 {
		violations = append(violations, fmt.Sprintf("an at_most_once request searched %d shards", len(r.Coverage.Searched)))
	}
	return append(violations, resultViolations(a, r)...)
}

// resultViolations compares the results with those that the stand-in targets return for the
// answer's snapshot. A result of another request, workspace or snapshot has a different id.
func resultViolations(a *Arrival, r *callerapi.SearchResponse) []string {
	want := make([]string, 0, len(r.Coverage.Searched)*(sharedHits+privateHits))
	for _, shard := range r.Coverage.Searched {
		for n := range sharedHits + privateHits {
			owner := ""
			if n >= sharedHits {
				owner = a.Caller.Workspace
			}
			want = append(want, hitID(r, shard, owner, n, a.Query))
		}
	}
	got := make([]string, len(r.Results))
	for i, hit := range r.Results {
		got[i] = hit.ID
	}
	slices.Sort(want)
	slices.Sort(got)
	if slices.Equal(want, got) {
		return nil
	}
	expected := make(map[string]bool, len(want))
	for _, id := range want {
		expected[id] = true
	}
	var violations []string
	for i, id := range got {
		switch {
		case !expected[id]:
			violations = append(violations, fmt.Sprintf("result %q does not belong to this request, workspace and snapshot", id))
		case i > 0 && got[i-1] == id:
			violations = append(violations, fmt.Sprintf("result %q is returned twice", id))
		}
	}
	if len(got) < len(want) || len(violations) == 0 {
		violations = append(violations, fmt.Sprintf("got %d results, want %d", len(got), len(want)))
	}
	return violations
}

// hitID returns the id of a hit that a stand-in target returns (docs/PROTOCOLS.md).
func hitID(r *callerapi.SearchResponse, shard int, owner string, n int, query string) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d|%d|%s|%d|%s", r.Service, shard,
		r.Snapshot.IndexVersion, r.Snapshot.ShardMapEpoch, owner, n, query))
	return fmt.Sprintf("%s/%d/%016x", r.Service, shard, sum)
}

// refusalViolations returns what is wrong with a refusal.
func refusalViolations(r *callerapi.ErrorResponse) []string {
	var violations []string
	if r.Code == "" {
		violations = append(violations, "the refusal has no code")
	}
	if r.Outcome != status.NotRun && r.Outcome != status.Unknown {
		violations = append(violations, fmt.Sprintf("the refusal has the outcome %q", r.Outcome))
	}
	return violations
}
