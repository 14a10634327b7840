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

func once(query, permit string) callerapi.SearchRequest {
	return callerapi.SearchRequest{Service: "drawing-vault", Query: query, Permit: permit, DeadlineMS: 300}
}

// Guards against a permit that runs again at another entry, or a repeat that
// gets another answer.
func TestPermitIsForwardedAndReplayed(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 4)
	first := f.search(0, testKeyAsan, once("fetch d1", ""))
	is.Equal(first.status, http.StatusPreconditionRequired)
	is.Equal(first.fault.Outcome, status.NotRun)
	ran := f.search(1, testKeyAsan, once("fetch d1", first.fault.Permit))
	is.Equal(ran.status, http.StatusOK)
	is.Equal(ran.answer.Entry, "entry-0")
	again := f.search(2, testKeyAsan, once("fetch d1", first.fault.Permit))
	is.True(again.answer.Replayed)
	is.True(sameHits(again.answer.Results, ran.answer.Results))
	is.Equal(len(f.targets.ran), 1)
}

// Guards against a permit that another caller, workspace, query or a forger can use.
func TestPermitOfAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 4)
	permit := f.permit(0, testKeyAsan, "fetch d1")
	for _, use := range []struct{ key, query, permit string }{
		{testKeyMolina, "fetch d1", permit},
		{testKeyAsan, "fetch d2", permit},
		{testKeyAsan, "fetch d1", permit + "x"},
		{testKeyAsan, "fetch d1", permit[1:]},
	} {
		got := f.search(1, use.key, once(use.query, use.permit))
		is.Equal(got.status, http.StatusForbidden)
		is.Equal(got.fault.Outcome, status.NotRun)
	}
	is.Equal(len(f.targets.ran), 0)
}

// Guards against "not run" for a permit whose issuer is gone: it may have run.
func TestPermitOfLostIncarnationIsVoid(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 4)
	permit := f.permit(0, testKeyAsan, "fetch d1")
	is.Equal(f.search(0, testKeyAsan, once("fetch d1", permit)).status, http.StatusOK)
	f.restart(0)
	for i := range 2 {
		got := f.search(i, testKeyAsan, once("fetch d1", permit))
		is.Equal(got.fault.Code, status.PermitVoid)
		is.Equal(got.fault.Outcome, status.Unknown)
	}
	is.Equal(len(f.targets.ran), 1)
}

// Guards against a run on the near side of a cut while the issuer is on the
// far side.
func TestCutFromIssuerRefusesUnknownAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 4)
	permit := f.permit(0, testKeyAsan, "fetch d1")
	f.cut[[2]string{"entry-1", "entry-0"}] = true
	got := f.search(1, testKeyAsan, once("fetch d1", permit))
	is.Equal(got.fault.Code, status.IssuerUnreachable)
	is.Equal(got.fault.Outcome, status.Unknown)
	is.True(got.fault.RetryAfterMS > 0)
	delete(f.cut, [2]string{"entry-1", "entry-0"})
	is.Equal(f.search(1, testKeyAsan, once("fetch d1", permit)).status, http.StatusOK)
	is.Equal(len(f.targets.ran), 1)
}

// Guards against a planned stop that forgets outcomes or lets an unused permit
// run on both the stopped entry and its successor.
func TestPlannedStopKeepsOutcomes(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 4)
	used := f.permit(0, testKeyAsan, "fetch d1")
	unused := f.permit(0, testKeyAsan, "fetch d2")
	is.Equal(f.search(0, testKeyAsan, once("fetch d1", used)).status, http.StatusOK)

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
		is.True(f.search(i, testKeyAsan, once("fetch d1", used)).answer.Replayed)
		got := f.search(i, testKeyAsan, once("fetch d2", unused))
		is.Equal(got.fault.Code, status.PermitVoid)
		is.Equal(got.fault.Outcome, status.NotRun)
		is.True(got.fault.Permit != "")
	}
	is.Equal(len(f.targets.ran), 1)
}

// Guards F5: an issuer that was paused with a forwarded request unread does not
// run it after the deadline of the caller.
func TestForwardedRequestPastItsDeadlineDoesNotRun(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 4)
	permit := f.permit(0, testKeyAsan, "fetch d1")
	search, err := json.Marshal(once("fetch d1", permit))
	is.NoErr(err)
	reply, err := f.engine(0).HandleForward(context.Background(), &peerpb.ForwardRequest{
		Issuer: f.engine(0).self.Incarnation[:], Caller: "asan-buyer", Workspace: "asan-toolroom",
		Search: search, TimeoutMs: 300, DeadlineUnixMs: time.Now().Add(-time.Minute).UnixMilli(),
	})
	is.NoErr(err)
	is.Equal(int(reply.HttpStatus), http.StatusGatewayTimeout)
	is.Equal(len(f.targets.ran), 0)
}

// Guards against outcomes that are lost when the successor stops too: it passes
// on what it inherited, and entries follow the chain of successors.
func TestOutcomesSurviveASecondPlannedStop(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 4)
	used := f.permit(0, testKeyAsan, "fetch d1")
	unused := f.permit(0, testKeyAsan, "fetch d2")
	is.Equal(f.search(0, testKeyAsan, once("fetch d1", used)).status, http.StatusOK)
	chain := newFacts(f.engine(2).self, f.engine(2).core)
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
	is.True(f.search(2, testKeyAsan, once("fetch d1", used)).answer.Replayed)
	is.Equal(f.search(2, testKeyAsan, once("fetch d2", unused)).fault.Outcome, status.NotRun)
	is.Equal(len(f.targets.ran), 1)
}

// Guards against taking a handover with a missing part for a complete journal,
// which would report a permit that ran as not run.
func TestIncompleteHandoverIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 4)
	permit := f.permit(0, testKeyAsan, "fetch d1")
	f.search(0, testKeyAsan, once("fetch d1", permit))
	old := f.engine(0)
	is.NoErr(old.Stop(context.Background()))
	parts, err := old.HandoverParts()
	is.NoErr(err)
	last := parts[len(parts)-1]
	last.Records = nil
	_, err = f.engine(1).HandleHandover(context.Background(), last)
	is.Equal(status.CodeOf(err), status.InvalidArgument)
}

// Guards against "not run" from an entry that cannot know: the permit of the
// refused request ran at its issuer.
func TestRefusalAtTheDoorOfAPermitThatRanIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 4)
	permit := f.permit(0, testKeyAsan, "fetch d1")
	is.Equal(f.search(0, testKeyAsan, once("fetch d1", permit)).status, http.StatusOK)
	is.NoErr(f.engine(1).Stop(context.Background()))
	is.Equal(f.search(1, testKeyAsan, once("fetch d1", permit)).fault.Outcome, status.Unknown)
	is.Equal(f.search(1, testKeyAsan, once("fetch d1", "")).fault.Outcome, status.NotRun)
	is.Equal(f.search(2, "lost key", once("fetch d1", permit)).fault.Outcome, status.Unknown)
}

// faultyTarget returns a target behaviour drawn from rng: it runs or not, and
// its reply arrives, is lost, or is a refusal.
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
			// The issuer freezes before the send and resumes past the deadline.
			<-ctx.Done()
			if time.Now().UnixMilli() >= req.DeadlineUnixMS {
				return nil, status.New(status.DeadlineExceeded, status.NotRun, "past the deadline")
			}
			return nil, status.New(status.Canceled, status.Unknown, "canceled")
		}
		return f.run(req), nil
	}
}

// Guards P4 and P5 in a randomised run: the same permits are sent many times at
// once to all entries while entries restart, links are cut and targets fail.
// No permit runs twice, no request reported as not run ran, and all answers of
// one permit are equal.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { atMostOnceRun(t, seed) })
	}
}

func atMostOnceRun(t *testing.T, seed uint64) {
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
			f.cut[link] = !f.cut[link]
			f.mu.Unlock()
		}
	})
	results := make([][]result, permits)
	var wg sync.WaitGroup
	for p := range permits {
		query := fmt.Sprintf("fetch %d", p)
		permit := f.permit(draw(entries), testKeyAsan, query)
		results[p] = make([]result, uses)
		for u := range uses {
			wg.Go(func() {
				time.Sleep(time.Duration(draw(200)) * time.Millisecond)
				results[p][u] = f.search(draw(entries), testKeyAsan, once(query, permit))
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
	runs := targets.runs(func(r targetapi.SearchRequest) bool { return r.Query == query })
	if runs > 1 {
		t.Errorf("%s ran %d times", query, runs)
	}
	var done *callerapi.SearchResponse
	for i := range results {
		r := &results[i]
		if r.status == http.StatusOK {
			if runs != 1 {
				t.Errorf("%s is reported as done and ran %d times", query, runs)
			}
			if done != nil && !sameHits(done.Results, r.answer.Results) {
				t.Errorf("%s has two answers", query)
			}
			done = &r.answer
			continue
		}
		id := r.fault.RequestID
		ran := targets.runs(func(req targetapi.SearchRequest) bool { return req.RequestID == id })
		if r.fault.Outcome == status.NotRun && ran > 0 {
			t.Errorf("%s: request %s is reported as not run and ran", query, id)
		}
	}
}

// Guards F6: both sides of a partition serve searches and the permits that they
// issued; permits of the other side are refused as unknown; after the join they
// run once or are replayed.
func TestPartitionServesBothSides(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 4, 4)
	setCut := func(cut bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, a := range []int{0, 1} {
			for _, b := range []int{2, 3} {
				f.cut[[2]string{entryName(a), entryName(b)}] = cut
				f.cut[[2]string{entryName(b), entryName(a)}] = cut
			}
		}
	}
	permits := make([]string, 4)
	for n := range permits {
		permits[n] = f.permit(n, testKeyAsan, fmt.Sprintf("fetch %d", n))
	}
	setCut(true)
	for n := range permits {
		near := n ^ 1 // The other entry of the same side.
		far := n ^ 2
		query := fmt.Sprintf("fetch %d", n)
		is.Equal(f.search(far, testKeyAsan, once(query, permits[n])).fault.Outcome, status.Unknown)
		is.Equal(f.search(near, testKeyAsan, once(query, permits[n])).status, http.StatusOK)
		is.Equal(f.search(n, testKeyAsan, quote("clamp")).status, http.StatusOK)
	}
	setCut(false)
	for n := range permits {
		for i := range permits {
			is.True(f.search(i, testKeyAsan, once(fmt.Sprintf("fetch %d", n), permits[n])).answer.Replayed)
		}
		query := fmt.Sprintf("fetch %d", n)
		is.Equal(f.targets.runs(func(r targetapi.SearchRequest) bool { return r.Query == query }), 1)
	}
}
