package load

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// ratioTolerance covers the rounding of a ratio in JSON.
const ratioTolerance = 1e-9

// Hits of a stand-in target for one shard (docs/PROTOCOLS.md): shared ones, then
// private ones of the caller's workspace.
const (
	sharedHits  = 2
	privateHits = 1
)

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
	for _, n := range r.Coverage.NotSearched {
		name(n.Shard)
		if n.Reason == "" {
			faults = append(faults, fmt.Sprintf("shard %d was not searched and has no reason", n.Shard))
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
	if needed := neededShards(&r.Coverage); needed > 0 {
		if want := float64(len(searched)) / float64(needed); math.Abs(want-r.Coverage.Ratio) > ratioTolerance {
			faults = append(faults, fmt.Sprintf("coverage ratio is %g, the shards named give %g", r.Coverage.Ratio, want))
		}
	}
	return faults
}

// neededShards returns the number of shards that the request concerns.
func neededShards(c *callerapi.Coverage) int {
	needed := len(c.Searched)
	for _, n := range c.NotSearched {
		if n.Reason != callerapi.ReasonNotNeeded {
			needed++
		}
	}
	return needed
}

// answerFaults returns what is wrong with an answer to the arrival.
func answerFaults(a *Arrival, r *callerapi.SearchResponse) []string {
	faults := coverageFaults(r)
	if r.Outcome != status.Done {
		faults = append(faults, fmt.Sprintf("an answer with results has the outcome %q", r.Outcome))
	}
	if r.Service != a.Workload.Service {
		faults = append(faults, fmt.Sprintf("the answer is of the service %q", r.Service))
	}
	if r.RequestID == "" {
		faults = append(faults, "the answer has no request id")
	}
	if met := r.Coverage.Ratio >= a.Workload.MinRatio; met != r.Coverage.ContractMet {
		faults = append(faults, fmt.Sprintf("contract_met is %t at the ratio %g with the rule %g",
			r.Coverage.ContractMet, r.Coverage.Ratio, a.Workload.MinRatio))
	}
	if a.Workload.AtMostOnce && len(r.Coverage.Searched) > 1 {
		faults = append(faults, fmt.Sprintf("a request for one item searched %d shards", len(r.Coverage.Searched)))
	}
	return append(faults, resultFaults(a, r)...)
}

// resultFaults compares the results with those that the stand-in targets give
// for the answer's snapshot. A result of another request, workspace or snapshot
// has another id.
func resultFaults(a *Arrival, r *callerapi.SearchResponse) []string {
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
	var faults []string
	for i, id := range got {
		switch {
		case !expected[id]:
			faults = append(faults, fmt.Sprintf("result %q is not of this request, workspace and snapshot", id))
		case i > 0 && got[i-1] == id:
			faults = append(faults, fmt.Sprintf("result %q is there twice", id))
		}
	}
	if len(got) < len(want) || len(faults) == 0 {
		faults = append(faults, fmt.Sprintf("%d results instead of %d", len(got), len(want)))
	}
	return faults
}

// hitID returns the id of a stand-in target's hit (docs/PROTOCOLS.md).
func hitID(r *callerapi.SearchResponse, shard int, owner string, n int, query string) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d|%d|%s|%d|%s", r.Service, shard,
		r.Snapshot.IndexVersion, r.Snapshot.ShardMapEpoch, owner, n, query))
	return fmt.Sprintf("%s/%d/%016x", r.Service, shard, sum)
}

// refusalFaults returns what is wrong with a refusal.
func refusalFaults(r *callerapi.ErrorResponse) []string {
	var faults []string
	if r.Code == "" {
		faults = append(faults, "the refusal has no code")
	}
	if r.Outcome != status.NotRun && r.Outcome != status.Unknown {
		faults = append(faults, fmt.Sprintf("the refusal has the outcome %q", r.Outcome))
	}
	return faults
}
