package testfleet

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"testing"

	"github.com/balsamstall/balsamstall/internal/standin/target"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Result is a decoded answer.
type Result struct {
	// Status is the HTTP status, zero when Err is set.
	Status int
	// Answer is set with the status 200, Fault with any other.
	Answer callerapi.SearchResponse
	Fault  callerapi.ErrorResponse
	Err    error
}

// Search sends a search to an entry.
func (c *Fleet) Search(p *Process, req callerapi.SearchRequest) Result {
	body, _ := json.Marshal(req)
	httpReq, err := http.NewRequest(http.MethodPost, "http://"+p.Settings.CallerAddress+callerapi.SearchPath, bytes.NewReader(body))
	if err != nil {
		return Result{Err: err}
	}
	httpReq.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := c.client.Do(httpReq)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	r := Result{Status: resp.StatusCode}
	if resp.StatusCode == http.StatusOK {
		r.Err = json.NewDecoder(resp.Body).Decode(&r.Answer)
	} else {
		r.Err = json.NewDecoder(resp.Body).Decode(&r.Fault)
	}
	return r
}

// Seed returns the seed of a randomised run: 1, or the environment variable
// BALSAM_SEED.
func Seed(t *testing.T) uint64 {
	seed := EnvNumber(t, "BALSAM_SEED", 1)
	t.Logf("seed %d", seed)
	return seed
}

// EnvNumber reads a number from the environment.
func EnvNumber(t *testing.T, name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Quote is an idempotent search.
func Quote(query string) callerapi.SearchRequest {
	return callerapi.SearchRequest{Service: "quote-desk-1", Query: query, DeadlineMS: 3_000}
}

// Fetch is a request that runs at most once.
func Fetch(query, permit string) callerapi.SearchRequest {
	return callerapi.SearchRequest{Service: "drawing-vault", Query: query, Permit: permit, DeadlineMS: 2_000}
}

// Runs returns the attempts with a query that started on any target.
func (c *Fleet) Runs(query string) []target.Run {
	var out []target.Run
	for _, tg := range c.Targets {
		for _, r := range tg.Record().Runs {
			if r.Query == query {
				out = append(out, r)
			}
		}
	}
	return out
}

// CheckAnswer fails the test when an answer breaks a promise.
func (c *Fleet) CheckAnswer(query string, r Result) {
	c.T.Helper()
	if r.Err != nil {
		return // The connection to the entry broke; the caller knows nothing.
	}
	if r.Status != http.StatusOK {
		for _, run := range c.Runs(query) {
			if run.RequestID == r.Fault.RequestID && r.Fault.Outcome == status.NotRun {
				c.T.Errorf("%s: request %s is reported as not run and ran on a target", query, run.RequestID)
			}
		}
		return
	}
	shards := map[int]bool{}
	for _, s := range r.Answer.Coverage.Searched {
		shards[s] = true
	}
	for _, n := range r.Answer.Coverage.NotSearched {
		if shards[n.Shard] {
			c.T.Errorf("%s: shard %d is searched and not searched", query, n.Shard)
		}
		shards[n.Shard] = true
	}
	for s := range shards {
		if s < 0 || s >= len(shards) {
			c.T.Errorf("%s: the coverage is not complete: %+v", query, r.Answer.Coverage)
		}
	}
	c.checkHits(query, r)
}

// checkHits compares the hits with those that the searched shards hold at the
// snapshot of the answer. A foreign, lost, doubled or mixed hit shows here.
func (c *Fleet) checkHits(query string, r Result) {
	c.T.Helper()
	want := map[string]int{}
	for _, shard := range r.Answer.Coverage.Searched {
		id := targetapi.Identity{Workspace: "asan-toolroom", Service: r.Answer.Service, Shard: shard, Snapshot: r.Answer.Snapshot}
		for _, h := range target.Hits(id, query) {
			want[h.ID]++
		}
	}
	for _, h := range r.Answer.Results {
		want[h.ID]--
	}
	for id, n := range want {
		if n != 0 {
			c.T.Errorf("%s: hit %s is missing (%d) or foreign", query, id, n)
		}
	}
}
