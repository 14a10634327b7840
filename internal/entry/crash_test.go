package entry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/state/audit"
)

// crashOnPoison makes each target that runs the query "poison" crash and refuse new connections from
// then on. It returns a function that returns the crashed targets.
func crashOnPoison(f *fakeFleet) (crashedTargets func() []string) {
	var mu sync.Mutex
	var crashed []string
	f.targets.serve = func(_ context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		mu.Lock()
		down := slices.Contains(crashed, target)
		mu.Unlock()
		if down {
			return nil, status.New(status.ConnectionFailed, status.NotRun, "connection refused")
		}
		if req.Query == "poison" {
			mu.Lock()
			crashed = append(crashed, target)
			mu.Unlock()
			return nil, status.New(status.ConnectionFailed, status.Unknown, "connection reset")
		}
		return f.targets.run(req), nil
	}
	f.targets.reachable = func(target string) bool {
		mu.Lock()
		defer mu.Unlock()
		return !slices.Contains(crashed, target)
	}
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(crashed)
	}
}

// Guards against a request that crashes more than two targets, because it goes to many shards or
// because its caller keeps repeating it.
func TestCrashingRequestReachesAtMostTwoTargets(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 12)
	crashedTargets := crashOnPoison(f)
	for range 10 {
		got := f.search(0, testKeyAsan, idempotentSearch("poison"))
		is.True(got.status != 200)
	}
	is.True(len(crashedTargets()) <= 2)
	got := f.search(0, testKeyAsan, idempotentSearch("poison"))
	is.Equal(got.refusal.Code, status.Quarantined)
	is.Equal(got.refusal.Outcome, status.NotRun)
	is.True(got.refusal.RetryAfterMS > 0)
}

// Guards against an at-most-once request that crashes more than two targets when its caller keeps
// repeating it.
func TestCrashingAtMostOnceRequestReachesAtMostTwoTargets(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 12)
	crashedTargets := crashOnPoison(f)
	for range 5 {
		permit := f.requestPermit(0, testKeyAsan, "poison")
		f.search(0, testKeyAsan, atMostOnceSearch("poison", permit))
	}
	is.True(len(crashedTargets()) <= 2)
}

// Guards against entries that each lose targets to the same request, because they do not exchange
// facts about crashes.
func TestCrashFactsReachPeers(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 2, 12)
	crashedTargets := crashOnPoison(f)
	f.search(0, testKeyAsan, idempotentSearch("poison"))
	f.engine(1).core.MergeCrashFacts(f.engine(0).core.CrashFacts(100))
	got := f.search(1, testKeyAsan, idempotentSearch("poison"))
	is.Equal(got.refusal.Code, status.Quarantined)
	is.True(len(crashedTargets()) <= 2)
}

// Guards against the refusal of a request because it was running on a target that another request
// crashed. It is retried elsewhere and gets a complete answer.
func TestUnrelatedRequestsAreAnsweredAfterACrash(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 6)
	crashOnPoison(f)
	serve := f.targets.serve
	var once sync.Once
	// One target crashes with unrelated attempts in flight.
	f.targets.serve = func(ctx context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		if target == "target-1" {
			once.Do(func() { poison := *req; poison.Query = "poison"; _, _ = serve(ctx, target, &poison) })
			return nil, status.New(status.ConnectionFailed, status.Unknown, "connection reset")
		}
		return serve(ctx, target, req)
	}
	for q := range 20 {
		for range 2 {
			got := f.search(0, testKeyAsan, idempotentSearch(fmt.Sprintf("innocent-%d", q)))
			is.Equal(got.status, 200)
			is.Equal(len(got.answer.Coverage.Searched), 6)
		}
	}
}

// Guards against an audit event without the request id, by which operators find the caller.
func TestQuarantinedEventsNameTheRequest(t *testing.T) {
	is := is.New(t)
	for _, service := range []string{"quote-desk-1", "drawing-vault"} {
		f := newFakeFleet(t, 1, 12)
		crashOnPoison(f)
		for range 5 {
			if service == "drawing-vault" {
				f.search(0, testKeyAsan, atMostOnceSearch("poison", f.requestPermit(0, testKeyAsan, "poison")))
			} else {
				f.search(0, testKeyAsan, idempotentSearch("poison"))
			}
		}
		e := f.engine(0)
		found := slices.ContainsFunc(e.audit.Events(), func(event audit.Event) bool {
			return event.Kind == audit.Quarantined && strings.Contains(event.Detail, e.self.Incarnation.String())
		})
		is.True(found) // an event has the request id
	}
}

// crashOnceThenBlock makes the first target that runs a query crash, and blocks later attempts of
// that query until release is called. It sends the target of each blocked attempt to blocked.
func crashOnceThenBlock(f *fakeFleet, blocked chan<- string) (release func()) {
	var mu sync.Mutex
	crashed := map[string]string{} // The crashed target by query.
	released := make(chan struct{})
	f.targets.serve = func(_ context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		mu.Lock()
		_, crashedBefore := crashed[req.Query]
		if !crashedBefore {
			crashed[req.Query] = target
		}
		mu.Unlock()
		if !crashedBefore {
			return nil, status.New(status.ConnectionFailed, status.Unknown, "connection reset")
		}
		select {
		case <-released:
		default:
			blocked <- target
			<-released
		}
		return f.targets.run(req), nil
	}
	f.targets.reachable = func(target string) bool {
		mu.Lock()
		defer mu.Unlock()
		for _, t := range crashed {
			if t == target {
				return false
			}
		}
		return true
	}
	return func() { close(released) }
}

// Guards against two isolated runs on one target at the same time, whether at one entry or at two
// entries that know each other. If one request crashed the target, the other would be quarantined
// too.
func TestIsolatedRunsDoNotShareATarget(t *testing.T) {
	for _, entries := range []int{1, 2} {
		for range 30 {
			is := is.New(t)
			f := newFakeFleet(t, entries, testTargets)
			for i := range entries {
				var peers []string
				for k := range entries {
					if k != i {
						peers = append(peers, entryName(k))
					}
				}
				f.engine(i).core.SetPeers(peers)
			}
			blocked := make(chan string, 100)
			release := crashOnceThenBlock(f, blocked)
			var running sync.WaitGroup
			for k := range 2 {
				running.Go(func() { f.search(k%entries, testKeyAsan, idempotentSearch(fmt.Sprintf("suspect %d", k))) })
			}
			first, second := <-blocked, <-blocked
			release()
			running.Wait()
			is.True(first != second)
		}
	}
}

// Guards against a request that fails as a whole because one of its shards has lost all targets, the first of
// them while it ran the request: the other shards answer.
func TestLostShardDoesNotEndTheOtherShards(t *testing.T) {
	is := is.New(t)
	const shards, lostShard = 6, 3
	for n := range 12 {
		f := newFakeFleet(t, 1, shards)
		lost := []string{"target-3", "target-4", "target-5"} // All targets of the lost shard.
		var broken atomic.Bool
		f.targets.serve = func(_ context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
			first := f.targets.countRuns(func(targetapi.SearchRequest) bool { return true }) == 0
			switch {
			case first || req.Shard != lostShard:
				return f.targets.run(req), nil
			case !broken.Swap(true):
				return nil, status.New(status.ConnectionFailed, status.Unknown, "connection reset")
			}
			return nil, status.New(status.ConnectionFailed, status.NotRun, "connection refused")
		}
		f.targets.reachable = func(target string) bool { return !slices.Contains(lost, target) }
		search := idempotentSearch(fmt.Sprint("search ", n))
		search.DeadlineMS = 2_000 // The longest of the sheet.
		got := f.search(0, testKeyAsan, search)
		is.Equal(got.status, 200)
		is.True(len(got.answer.Results) >= shards-1)
	}
}

// Guards against the refusal of a request that a target has answered, because another request
// crashed the target of its isolated run.
func TestAnsweredRequestSurvivesACrashDuringItsIsolatedRun(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 6)
	var mu sync.Mutex
	var crashed []string
	f.targets.serve = func(_ context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
		mu.Lock()
		defer mu.Unlock()
		if slices.Contains(crashed, target) {
			return nil, status.New(status.ConnectionFailed, status.NotRun, "connection refused")
		}
		if f.targets.countRuns(func(targetapi.SearchRequest) bool { return true }) > 0 && len(crashed) < 2 {
			// Other requests crash the targets of this one after its first reply.
			crashed = append(crashed, target)
			return nil, status.New(status.ConnectionFailed, status.Unknown, "connection reset")
		}
		return f.targets.run(req), nil
	}
	f.targets.reachable = func(target string) bool {
		mu.Lock()
		defer mu.Unlock()
		return !slices.Contains(crashed, target)
	}
	got := f.search(0, testKeyAsan, idempotentSearch("innocent"))
	is.Equal(got.status, 200)
	is.Equal(f.search(0, testKeyAsan, idempotentSearch("innocent")).status, 200)
}

// Guards against entries that each lose attempts to a target that breaks off connections, because
// they do not report failing targets to each other.
func TestPeersAvoidAFailingTarget(t *testing.T) {
	is := is.New(t)
	const fleets = 30
	failedAttempts := 0
	for n := 0; n < fleets; {
		f := newFakeFleet(t, 2, 1) // One shard, three targets.
		f.targets.serve = func(_ context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
			if target == "target-0" {
				return nil, status.New(status.ConnectionFailed, status.Unknown, "connection reset")
			}
			return f.targets.run(req), nil
		}
		sent := func() int {
			f.targets.mu.Lock()
			defer f.targets.mu.Unlock()
			return f.targets.sent["target-0"]
		}
		if f.search(0, testKeyAsan, idempotentSearch("first")); sent() == 0 {
			continue // A third of the first searches reach the target.
		}
		n++
		facts := newFactExchange(f.engine(0).self, f.engine(0).core).Collect()
		is.Equal(len(facts.Failing), 1)
		newFactExchange(f.engine(1).self, f.engine(1).core).Receive("entry-0", facts)
		is.Equal(f.search(1, testKeyAsan, idempotentSearch("second")).status, 200)
		failedAttempts += sent() - 1
	}
	// Without the report, a third of the searches reach it. The report only raises the cost of the
	// target, so it may still be chosen if the test machine stalls on both other targets.
	is.True(failedAttempts <= fleets/10)
}
