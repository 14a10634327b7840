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

// Result is the result of a search: a decoded answer or refusal, or an error.
type Result struct {
	// Status is the HTTP status, or zero if there was no response.
	Status int
	// Answer is set if Status is 200, Refusal if it is any other.
	Answer  callerapi.SearchResponse
	Refusal callerapi.ErrorResponse
	Err     error
}

// Search sends a search to an entry.
func (f *Fleet) Search(p *Process, req callerapi.SearchRequest) Result {
	body, _ := json.Marshal(req)
	httpReq, err := http.NewRequest(http.MethodPost, "http://"+p.Settings.CallerAddress+callerapi.SearchPath, bytes.NewReader(body))
	if err != nil {
		return Result{Err: err}
	}
	httpReq.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := f.client.Do(httpReq)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	r := Result{Status: resp.StatusCode}
	if resp.StatusCode == http.StatusOK {
		r.Err = json.NewDecoder(resp.Body).Decode(&r.Answer)
	} else {
		r.Err = json.NewDecoder(resp.Body).Decode(&r.Refusal)
	}
	return r
}

// Seed logs and returns the seed of a randomized run: the environment variable BALSAM_SEED, or 1.
func Seed(t *testing.T) uint64 {
	seed := EnvNumber(t, "BALSAM_SEED", 1)
	t.Logf("seed %d", seed)
	return seed
}

// EnvNumber returns the number in an environment variable, or fallback if the variable is not set.
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

// IdempotentSearch returns a search of the idempotent service.
func IdempotentSearch(query string) callerapi.SearchRequest {
	return callerapi.SearchRequest{Service: "quote-desk-1", Query: query, DeadlineMS: 3_000}
}

// AtMostOnceSearch returns a search of the service whose requests run at most once.
func AtMostOnceSearch(query, permit string) callerapi.SearchRequest {
	return callerapi.SearchRequest{Service: "drawing-vault", Query: query, Permit: permit, DeadlineMS: 2_000}
}

// Runs returns the attempts with the given query that started on any target.
func (f *Fleet) Runs(query string) []target.Run {
	var out []target.Run
	for _, tg := range f.Targets {
		for _, r := range tg.Record().Runs {
			if r.Query == query {
				out = append(out, r)
			}
		}
	}
	return out
}

// CheckAnswer fails the test if a refusal says that a request was not run although it ran on a
// target, or if an answer has wrong hits or does not list each shard as either searched or not
// searched.
func (f *Fleet) CheckAnswer(query string, r Result) {
	f.T.Helper()
	if r.Err != nil {
		return // The connection to the entry failed, so that the caller knows nothing about the outcome.
	}
	if r.Status != http.StatusOK {
		for _, run := range f.Runs(query) {
			if run.RequestID == r.Refusal.RequestID && r.Refusal.Outcome == status.NotRun {
				f.T.Errorf("%s: request %s is reported as not run but ran on a target", query, run.RequestID)
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
			f.T.Errorf("%s: shard %d is reported both as searched and as not searched", query, n.Shard)
		}
		shards[n.Shard] = true
	}
	for s := range shards {
		if s < 0 || s >= len(shards) {
			f.T.Errorf("%s: the coverage does not list every shard: %+v", query, r.Answer.Coverage)
		}
	}
	f.checkHits(query, r)
}

// checkHits compares the hits with those that the searched shards hold at the snapshot of the answer.
// It finds missing and duplicate hits, and hits of another workspace, query or snapshot.
func (f *Fleet) checkHits(query string, r Result) {
	f.T.Helper()
	expected := map[string]int{}
	for _, shard := range r.Answer.Coverage.Searched {
		id := targetapi.Identity{Workspace: "asan-toolroom", Service: r.Answer.Service, Shard: shard, Snapshot: r.Answer.Snapshot}
		for _, h := range target.Hits(id, query) {
			expected[h.ID]++
		}
	}
	for _, h := range r.Answer.Results {
		expected[h.ID]--
	}
	for id, n := range expected {
		if n != 0 {
			f.T.Errorf("%s: hit %s: expected minus returned is %d, want 0", query, id, n)
		}
	}
}
