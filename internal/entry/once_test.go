package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

func keyDigest(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])
}

func atMostOnceSearch(query, permit string) callerapi.SearchRequest {
	return callerapi.SearchRequest{Service: "drawing-vault", Query: query, Permit: permit, DeadlineMS: 300}
}

// Guards against a permit that runs again on another entry, and against a repeat that gets a
// different answer.
func TestPermitIsForwardedAndReplayed(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 4)
	withoutPermit := f.search(0, testKeyAsan, atMostOnceSearch("fetch d1", ""))
	is.Equal(withoutPermit.status, http.StatusPreconditionRequired)
	is.Equal(withoutPermit.refusal.Outcome, status.NotRun)
	ran := f.search(1, testKeyAsan, atMostOnceSearch("fetch d1", withoutPermit.refusal.Permit))
	is.Equal(ran.status, http.StatusOK)
	is.Equal(ran.answer.Entry, "entry-0")
	again := f.search(2, testKeyAsan, atMostOnceSearch("fetch d1", withoutPermit.refusal.Permit))
	is.True(again.answer.Replayed)
	is.True(sameHits(again.answer.Results, ran.answer.Results))
	is.Equal(len(f.targets.ran), 1)
}

// Guards against a permit that can be used by another caller or workspace or for another query, and
// against a forged permit.
func TestPermitOfAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 4)
	permit := f.requestPermit(0, testKeyAsan, "fetch d1")
	for _, use := range []struct{ key, query, permit string }{
		{testKeyMolina, "fetch d1", permit},
		{testKeyAsan, "fetch d2", permit},
		{testKeyAsan, "fetch d1", permit + "x"},
		{testKeyAsan, "fetch d1", permit[1:]},
	} {
		got := f.search(1, use.key, atMostOnceSearch(use.query, use.permit))
		is.Equal(got.status, http.StatusForbidden)
		is.Equal(got.refusal.Outcome, status.NotRun)
	}
	is.Equal(len(f.targets.ran), 0)
}

// Guards against the outcome "not run" for a permit of a lost incarnation, because it may have run.
func TestPermitOfLostIncarnationIsVoid(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 4)
	permit := f.requestPermit(0, testKeyAsan, "fetch d1")
	is.Equal(f.search(0, testKeyAsan, atMostOnceSearch("fetch d1", permit)).status, http.StatusOK)
	f.restart(0)
	for i := range 2 {
		got := f.search(i, testKeyAsan, atMostOnceSearch("fetch d1", permit))
		is.Equal(got.refusal.Code, status.PermitVoid)
		is.Equal(got.refusal.Outcome, status.Unknown)
	}
	is.Equal(len(f.targets.ran), 1)
}

// Guards against an entry that runs a permit itself because it cannot reach the issuer.
func TestUnreachableIssuerGivesUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 4)
	permit := f.requestPermit(0, testKeyAsan, "fetch d1")
	f.cutLinks[[2]string{"entry-1", "entry-0"}] = true
	got := f.search(1, testKeyAsan, atMostOnceSearch("fetch d1", permit))
	is.Equal(got.refusal.Code, status.IssuerUnreachable)
	is.Equal(got.refusal.Outcome, status.Unknown)
	is.True(got.refusal.RetryAfterMS > 0)
	delete(f.cutLinks, [2]string{"entry-1", "entry-0"})
	is.Equal(f.search(1, testKeyAsan, atMostOnceSearch("fetch d1", permit)).status, http.StatusOK)
	is.Equal(len(f.targets.ran), 1)
}

// Guards against a graceful shutdown that loses outcomes, and against an unused permit that runs on
// both the stopped entry and its successor.
func TestGracefulShutdownKeepsOutcomes(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 4)
	used := f.requestPermit(0, testKeyAsan, "fetch d1")
	unused := f.requestPermit(0, testKeyAsan, "fetch d2")
	is.Equal(f.search(0, testKeyAsan, atMostOnceSearch("fetch d1", used)).status, http.StatusOK)

	old := f.engine(0)
	is.NoErr(old.Stop(context.Background()))
	parts, err := old.HandoverParts()
	is.NoErr(err)
	for _, part := range parts {
		_, err := f.engine(1).HandleHandover(context.Background(), part)
		is.NoErr(err)
	}
	f.successors[old.self.Incarnation] = "entry-1"
	f.restart(0)

	for i := range 3 {
		is.True(f.search(i, testKeyAsan, atMostOnceSearch("fetch d1", used)).answer.Replayed)
		got := f.search(i, testKeyAsan, atMostOnceSearch("fetch d2", unused))
		is.Equal(got.refusal.Code, status.PermitVoid)
		is.Equal(got.refusal.Outcome, status.NotRun)
		is.True(got.refusal.Permit != "")
	}
	is.Equal(len(f.targets.ran), 1)
}

// Guards against an issuer that runs a forwarded request after the caller's deadline, because its
// process was paused before it read the request.
func TestForwardedRequestPastItsDeadlineDoesNotRun(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 4)
	permit := f.requestPermit(0, testKeyAsan, "fetch d1")
	search, err := json.Marshal(atMostOnceSearch("fetch d1", permit))
	is.NoErr(err)
	reply, err := f.engine(0).HandleForward(context.Background(), &peerpb.ForwardRequest{
		Issuer: f.engine(0).self.Incarnation[:], Caller: "asan-buyer", Workspace: "asan-toolroom",
		Search: search, TimeoutMs: 300, DeadlineUnixMs: time.Now().Add(-time.Minute).UnixMilli(),
	})
	is.NoErr(err)
	is.Equal(int(reply.HttpStatus), http.StatusGatewayTimeout)
	is.Equal(len(f.targets.ran), 0)
}

// Guards against outcomes that are lost when the successor also stops. It must hand over the
// journals that it inherited, and other entries must follow the chain of successors.
func TestOutcomesSurviveASecondGracefulShutdown(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 4)
	used := f.requestPermit(0, testKeyAsan, "fetch d1")
	unused := f.requestPermit(0, testKeyAsan, "fetch d2")
	is.Equal(f.search(0, testKeyAsan, atMostOnceSearch("fetch d1", used)).status, http.StatusOK)
	chain := newFactExchange(f.engine(2).self, f.engine(2).core)
	for stops := range 2 {
		old, next := f.engine(stops), f.engine(stops+1)
		is.NoErr(old.Stop(context.Background()))
		parts, err := old.HandoverParts()
		is.NoErr(err)
		for _, part := range parts {
			_, err := next.HandleHandover(context.Background(), part)
			is.NoErr(err)
		}
		chain.addSuccession(old.self.Incarnation, next.self.Entry, next.self.Incarnation)
	}
	holder, ok := chain.successor(f.engine(0).self.Incarnation)
	is.True(ok)
	is.Equal(holder, "entry-2")
	f.successors[f.engine(0).self.Incarnation] = holder
	is.True(f.search(2, testKeyAsan, atMostOnceSearch("fetch d1", used)).answer.Replayed)
	is.Equal(f.search(2, testKeyAsan, atMostOnceSearch("fetch d2", unused)).refusal.Outcome, status.NotRun)
	is.Equal(len(f.targets.ran), 1)
}

// Guards against accepting a handover with a missing part as complete, which would report a permit
// that ran as not run.
func TestIncompleteHandoverIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 4)
	permit := f.requestPermit(0, testKeyAsan, "fetch d1")
	f.search(0, testKeyAsan, atMostOnceSearch("fetch d1", permit))
	old := f.engine(0)
	is.NoErr(old.Stop(context.Background()))
	parts, err := old.HandoverParts()
	is.NoErr(err)
	last := parts[len(parts)-1]
	last.Records = nil
	_, err = f.engine(1).HandleHandover(context.Background(), last)
	is.Equal(status.CodeOf(err), status.InvalidArgument)
}

// Guards against the outcome "not run" from an entry that refuses a request early and does not know
// that its permit ran at the issuer.
func TestEarlyRefusalOfAPermitThatRanIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 4)
	permit := f.requestPermit(0, testKeyAsan, "fetch d1")
	is.Equal(f.search(0, testKeyAsan, atMostOnceSearch("fetch d1", permit)).status, http.StatusOK)
	is.NoErr(f.engine(1).Stop(context.Background()))
	is.Equal(f.search(1, testKeyAsan, atMostOnceSearch("fetch d1", permit)).refusal.Outcome, status.Unknown)
	is.Equal(f.search(1, testKeyAsan, atMostOnceSearch("fetch d1", "")).refusal.Outcome, status.NotRun)
	is.Equal(f.search(2, "lost key", atMostOnceSearch("fetch d1", permit)).refusal.Outcome, status.Unknown)
}

// faultyTarget returns a handler with random behavior, chosen by draw: an attempt may run or not,
// and its reply may arrive, be lost or be a refusal.
func faultyTarget(f *fakeTargets, draw func(n int) int) func(context.Context, string, *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
	return func(ctx context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		time.Sleep(time.Duration(draw(2_000)) * time.Microsecond)
		switch draw(6) {
		case 0:
			return nil, status.New(status.Shed, status.NotRun, "shed")
		case 1:
			f.run(req)
			return nil, status.New(status.ConnectionFailed, status.Unknown, "reset after the run")
		case 2:
			return nil, status.New(status.ConnectionFailed, status.Unknown, "reset before the run")
		case 3:
			// The issuer is paused before it sends the attempt, and resumes after the deadline.
			<-ctx.Done()
			if time.Now().UnixMilli() >= req.DeadlineUnixMS {
				return nil, status.New(status.DeadlineExceeded, status.NotRun, "past the deadline")
			}
			return nil, status.New(status.Canceled, status.Unknown, "canceled")
		}
		return f.run(req), nil
	}
}

// Guards against a permit that runs twice, a request that is reported as not run although it ran,
// and different answers to one permit. Each permit is sent many times concurrently to all entries,
// while entries restart, links are cut and targets fail at random.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { testRandomPermits(t, seed) })
	}
}

func testRandomPermits(t *testing.T, seed uint64) {
	const entries, permits, uses = 4, 24, 8
	f := newFakeFleet(t, entries, 4)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	f.targets.serve = faultyTarget(f.targets, draw)

	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(draw(20)) * time.Millisecond):
			}
			if draw(4) == 0 {
				f.restart(draw(entries))
			}
			f.mu.Lock()
			link := [2]string{entryName(draw(entries)), entryName(draw(entries))}
			f.cutLinks[link] = !f.cutLinks[link]
			f.mu.Unlock()
		}
	})
	results := make([][]result, permits)
	var wg sync.WaitGroup
	for p := range permits {
		query := fmt.Sprintf("fetch %d", p)
		permit := f.requestPermit(draw(entries), testKeyAsan, query)
		results[p] = make([]result, uses)
		for u := range uses {
			wg.Go(func() {
				time.Sleep(time.Duration(draw(200)) * time.Millisecond)
				results[p][u] = f.search(draw(entries), testKeyAsan, atMostOnceSearch(query, permit))
			})
		}
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	for p := range permits {
		checkPermit(t, f.targets, fmt.Sprintf("fetch %d", p), results[p])
	}
}

func checkPermit(t *testing.T, targets *fakeTargets, query string, results []result) {
	t.Helper()
	runs := targets.countRuns(func(r targetapi.SearchRequest) bool { return r.Query == query })
	if runs > 1 {
		t.Errorf("%s ran %d times", query, runs)
	}
	var answer *callerapi.SearchResponse
	for i := range results {
		r := &results[i]
		if r.status == http.StatusOK {
			if runs != 1 {
				t.Errorf("%s is reported as done and ran %d times", query, runs)
			}
			if answer != nil && !sameHits(answer.Results, r.answer.Results) {
				t.Errorf("%s has two answers", query)
			}
			answer = &r.answer
			continue
		}
		id := r.refusal.RequestID
		ran := targets.countRuns(func(req targetapi.SearchRequest) bool { return req.RequestID == id })
		if r.refusal.Outcome == status.NotRun && ran > 0 {
			t.Errorf("%s: request %s is reported as not run and ran", query, id)
		}
	}
}

// Guards against a partition in which a side does not serve searches and the permits that it issued,
// or does not report the permits of the other side as unknown. After the partition heals, every
// entry replays the outcomes and no permit runs again.
func TestPartitionServesBothSides(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 4, 4)
	setPartitioned := func(partitioned bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, a := range []int{0, 1} {
			for _, b := range []int{2, 3} {
				f.cutLinks[[2]string{entryName(a), entryName(b)}] = partitioned
				f.cutLinks[[2]string{entryName(b), entryName(a)}] = partitioned
			}
		}
	}
	permits := make([]string, 4)
	for n := range permits {
		permits[n] = f.requestPermit(n, testKeyAsan, fmt.Sprintf("fetch %d", n))
	}
	setPartitioned(true)
	for n := range permits {
		sameSide := n ^ 1 // The other entry of the same side.
		otherSide := n ^ 2
		query := fmt.Sprintf("fetch %d", n)
		is.Equal(f.search(otherSide, testKeyAsan, atMostOnceSearch(query, permits[n])).refusal.Outcome, status.Unknown)
		is.Equal(f.search(sameSide, testKeyAsan, atMostOnceSearch(query, permits[n])).status, http.StatusOK)
		is.Equal(f.search(n, testKeyAsan, idempotentSearch("clamp")).status, http.StatusOK)
	}
	setPartitioned(false)
	for n := range permits {
		for i := range permits {
			is.True(f.search(i, testKeyAsan, atMostOnceSearch(fmt.Sprintf("fetch %d", n), permits[n])).answer.Replayed)
		}
		query := fmt.Sprintf("fetch %d", n)
		is.Equal(f.targets.countRuns(func(r targetapi.SearchRequest) bool { return r.Query == query }), 1)
	}
}

// Guards against a permit that can run nowhere: its issuer reaches no target.
func TestDetachedEntryIssuesNoPermit(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 4)
	var partitioned atomic.Bool
	partitioned.Store(true)
	f.targets.reachable = func(string) bool { return !partitioned.Load() }
	f.targets.serve = func(_ context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		if partitioned.Load() {
			return nil, status.New(status.ConnectionFailed, status.NotRun, "dial target %s", target)
		}
		return f.targets.run(req), nil
	}
	for !f.engine(0).core.Detached() {
		f.search(0, testKeyAsan, callerapi.SearchRequest{Service: "quote-desk-1", Query: "q", DeadlineMS: 100})
	}
	refused := f.search(0, testKeyAsan, atMostOnceSearch("fetch d1", ""))
	is.Equal(refused.refusal.Code, status.NotReady)
	is.Equal(refused.refusal.Permit, "")
	partitioned.Store(false)
	for f.engine(0).core.Detached() {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.search(0, testKeyAsan, atMostOnceSearch("fetch d1", "")).status, http.StatusPreconditionRequired)
}
