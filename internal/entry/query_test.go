package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
)

func idempotentSearch(query string) callerapi.SearchRequest {
	return callerapi.SearchRequest{Service: "quote-desk-1", Query: query, DeadlineMS: 300}
}

// Guards against an answer that mixes snapshots, because a version disappears while the query is
// running.
func TestQueryRestartsWhenItsVersionDisappears(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 8)
	f.targets.serve = func(_ context.Context, _ string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		if req.Snapshot.IndexVersion == 2 && req.Shard == 5 {
			return nil, status.New(status.VersionUnavailable, status.NotRun, "gone")
		}
		return f.targets.run(req), nil
	}
	got := f.search(0, testKeyAsan, idempotentSearch("clamp"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.answer.Snapshot.IndexVersion, uint64(1))
	is.Equal(len(got.answer.Coverage.Searched), 8)
	for _, h := range got.answer.Results {
		is.True(strings.HasSuffix(h.ID, "/1"))
	}
}

// Guards against a partial answer that reports full coverage, and against one that waits for the
// last shard beyond the deadline.
func TestUnansweredShardIsReportedAsNotSearched(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 4)
	f.targets.serve = func(ctx context.Context, _ string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		if req.Shard == 2 {
			<-ctx.Done()
			return nil, status.New(status.DeadlineExceeded, status.Unknown, "no reply")
		}
		return f.targets.run(req), nil
	}
	got := f.search(0, testKeyAsan, idempotentSearch("clamp"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.answer.Coverage.Searched, []int{0, 1, 3})
	is.Equal(got.answer.Coverage.NotSearched, []callerapi.NotSearched{{Shard: 2, Reason: callerapi.ReasonDeadline}})
	is.True(!got.answer.Coverage.ContractMet)
}

// Guards against the outcome "not run" while an attempt is still outstanding, and against "unknown"
// when every target refused.
func TestOutcomeOfAQueryWithoutReplies(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 4)
	f.targets.serve = func(context.Context, string, *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		return nil, status.New(status.Shed, status.NotRun, "shed")
	}
	got := f.search(0, testKeyAsan, idempotentSearch("clamp"))
	is.Equal(got.refusal.Outcome, status.NotRun)
	is.True(got.refusal.RetryAfterMS > 0)
	f.targets.serve = func(ctx context.Context, _ string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		f.targets.run(req)
		<-ctx.Done()
		return nil, status.New(status.DeadlineExceeded, status.Unknown, "no reply")
	}
	got = f.search(0, testKeyAsan, idempotentSearch("clamp"))
	is.Equal(got.refusal.Outcome, status.Unknown)
}

// Guards against a final refusal that is delayed until the deadline. The deadline is so long, ten
// minutes, that the test would time out.
func TestAbandonedRequestIsAnsweredImmediately(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 4)
	for i := range f.sheet.Services {
		f.sheet.Services[i].Latency.MaxDeadlineMS = sheet.MaxDeadlineMS
	}
	for i := range 2 {
		f.engine(i).SetDocuments(f.sheet, f.index)
	}
	permit := f.requestPermit(0, testKeyAsan, "fetch d1")
	for _, failure := range []*status.Error{
		status.New(status.Shed, status.NotRun, "shed"),
		status.New(status.ConnectionFailed, status.Unknown, "connection reset"),
		status.New(status.VersionUnavailable, status.NotRun, "gone"),
	} {
		f.targets.serve = func(context.Context, string, *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
			return nil, failure
		}
		for _, search := range []callerapi.SearchRequest{
			{Service: "quote-desk-1", Query: "clamp"},
			{Service: "drawing-vault", Query: "fetch d1", Permit: permit},
		} {
			got := f.search(1, testKeyAsan, search)
			is.True(got.status != http.StatusOK)
			is.True(got.refusal.RetryAfterMS > 0 || got.refusal.Outcome == status.Unknown)
		}
	}
}

// Guards against access without a key, with a wrong key, or to a service that the caller may not
// query.
func TestUnauthorizedCallersAreRefused(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 4)
	is.Equal(f.search(0, "wrong", idempotentSearch("clamp")).status, http.StatusUnauthorized)
	is.Equal(f.search(0, "", idempotentSearch("clamp")).status, http.StatusUnauthorized)
	is.Equal(f.search(0, testKeyMolina, idempotentSearch("clamp")).status, http.StatusForbidden)
	is.Equal(len(f.targets.ran), 0)
}

// Guards against inconsistent answers while targets refuse, lose replies, hang and drop versions at
// random and the index is repartitioned. Every answer names one snapshot, its hits come only from
// that snapshot and from searched shards, each shard is listed exactly once as searched or not
// searched, every searched shard ran for this request, and no request that ran is reported as "not
// run".
func TestAnswersUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { testRandomQueries(t, seed) })
	}
}

func testRandomQueries(t *testing.T, seed uint64) {
	const queries, shards = 120, 6
	f := newFakeFleet(t, 1, shards)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 2))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	faulty := faultyTarget(f.targets, draw)
	f.targets.serve = func(ctx context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		switch draw(12) {
		case 0:
			return nil, status.New(status.VersionUnavailable, status.NotRun, "gone")
		case 1, 2:
			return faulty(ctx, target, req)
		}
		return f.targets.run(req), nil
	}
	var wg sync.WaitGroup
	results := make([]result, queries)
	for q := range queries {
		wg.Go(func() {
			time.Sleep(time.Duration(draw(200)) * time.Millisecond)
			if draw(4) == 0 {
				version := uint64(3 + draw(50))
				d := *f.index
				d.Revision = version
				d.Services = append(d.Services[:0:0], d.Services...)
				d.Services[0].Snapshots = append(d.Services[0].Snapshots[:0:0], testSnapshot(version, version, 1+draw(2*shards)), testSnapshot(version-1, version, shards))
				f.engine(0).SetDocuments(f.sheet, &d)
			}
			results[q] = f.search(0, testKeyAsan, idempotentSearch(fmt.Sprintf("query-%d", q)))
		})
	}
	wg.Wait()
	for q := range results {
		checkAnswer(t, f.targets, fmt.Sprintf("query-%d", q), &results[q])
	}
	if n := f.engine(0).metrics.Violations.String(); n != "{}" {
		t.Errorf("violations: %s", n)
	}
}

func checkAnswer(t *testing.T, targets *fakeTargets, query string, r *result) {
	t.Helper()
	if r.status != http.StatusOK {
		ran := targets.countRuns(func(req targetapi.SearchRequest) bool { return req.RequestID == r.refusal.RequestID })
		if r.refusal.Outcome == status.NotRun && ran > 0 {
			t.Errorf("%s is reported as not run and ran %d attempts", query, ran)
		}
		return
	}
	cov := r.answer.Coverage
	seen := map[int]bool{}
	for _, s := range cov.Searched {
		seen[s] = true
		ran := targets.countRuns(func(req targetapi.SearchRequest) bool {
			return req.RequestID == r.answer.RequestID && req.Shard == s && req.Snapshot == r.answer.Snapshot
		})
		if ran == 0 {
			t.Errorf("%s: shard %d is reported as searched and did not run at the snapshot", query, s)
		}
	}
	for _, h := range r.answer.Results {
		want := fmt.Sprintf("%s/%d/%d", query, h.Shard, r.answer.Snapshot.IndexVersion)
		if h.ID != want || !seen[h.Shard] {
			t.Errorf("%s: hit %s of shard %d does not belong to the answer", query, h.ID, h.Shard)
		}
	}
	for _, n := range cov.NotSearched {
		if seen[n.Shard] || n.Reason == "" {
			t.Errorf("%s: shard %d is listed twice or without a reason", query, n.Shard)
		}
		seen[n.Shard] = true
	}
	for s := range seen {
		if s < 0 || s >= len(seen) {
			t.Errorf("%s: coverage of shards is not complete: %v", query, cov)
		}
	}
}

// Guards against a stopping entry that refuses searches on open connections, and against a permit
// that runs after the handover of the journal.
func TestStoppingEntryServesSearches(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 4)
	permit := f.requestPermit(0, testKeyAsan, "fetch d1")
	e := f.engine(0)
	e.draining.Store(true)
	is.NoErr(e.Stop(context.Background()))
	reply := e.Search(context.Background(), callerhttp.Call{Key: testKeyAsan, Search: idempotentSearch("clamp"), Arrival: time.Now()})
	is.Equal(reply.HTTPStatus, http.StatusOK)
	is.True(reply.Close)
	got := f.search(0, testKeyAsan, callerapi.SearchRequest{Service: "drawing-vault", Query: "fetch d1", Permit: permit})
	is.Equal(got.refusal.Code, status.Draining)
	is.Equal(got.refusal.Outcome, status.Unknown) // An earlier request with the permit may have run.
}

// Guards against new work for a target that refused an attempt and requested a hold-off.
func TestTargetGetsNoWorkDuringItsHoldOff(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 1)
	var mu sync.Mutex
	shedCounts := map[string]int{}
	f.targets.serve = func(_ context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		mu.Lock()
		defer mu.Unlock()
		if len(shedCounts) == 0 || shedCounts[target] > 0 {
			shedCounts[target]++
			return nil, status.New(status.Shed, status.NotRun, "shed").WithRetryAfter(time.Minute)
		}
		return f.targets.run(req), nil
	}
	for range 50 {
		is.Equal(f.search(0, testKeyAsan, idempotentSearch("clamp")).status, http.StatusOK)
	}
	is.Equal(len(shedCounts), 1)
	for _, n := range shedCounts {
		is.Equal(n, 1)
	}
}
