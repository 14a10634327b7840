package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

// fakeTargets implements TargetClient for all targets and records the attempts that ran.
type fakeTargets struct {
	mu sync.Mutex
	// serve handles one attempt. If it is nil, every attempt runs immediately. Guarded by mu.
	serve func(ctx context.Context, target string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error)
	// ran lists the attempts that ran. Guarded by mu.
	ran []targetapi.SearchRequest
	// reachable reports whether a target accepts connections. If it is nil, all targets do.
	reachable func(target string) bool
	// sent counts the attempts by target. Guarded by mu.
	sent map[string]int
}

func (f *fakeTargets) Search(ctx context.Context, target string, req *targetapi.SearchRequest, _ targethttp.Options) (*targetapi.SearchReply, error) {
	f.mu.Lock()
	if f.sent == nil {
		f.sent = map[string]int{}
	}
	f.sent[target]++
	serve := f.serve
	f.mu.Unlock()
	if serve == nil {
		return f.run(req), nil
	}
	return serve(ctx, target, req)
}

func (f *fakeTargets) run(req *targetapi.SearchRequest) *targetapi.SearchReply {
	f.mu.Lock()
	f.ran = append(f.ran, *req)
	f.mu.Unlock()
	id := fmt.Sprintf("%s/%d/%d", req.Query, req.Shard, req.Snapshot.IndexVersion)
	return &targetapi.SearchReply{Identity: req.Identity, Hits: []targetapi.Hit{{ID: id, Score: float64(req.Shard)}}}
}

func (f *fakeTargets) countRuns(match func(targetapi.SearchRequest) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.ran {
		if match(r) {
			n++
		}
	}
	return n
}

func (f *fakeTargets) Status(context.Context, string) (*targetapi.Status, error) {
	return &targetapi.Status{}, nil
}

func (f *fakeTargets) Reachable(_ context.Context, target string) bool {
	return f.reachable == nil || f.reachable(target)
}

func (f *fakeTargets) Configure([]sheet.Target, func(sheet.Target) int) {}
func (f *fakeTargets) DropIdle()                                        {}
func (f *fakeTargets) Connections(string) int                           { return 0 }

// fakeFleet connects several engines in one process. Links between them can be cut, and entries can
// be restarted.
type fakeFleet struct {
	targets *fakeTargets
	sheet   *sheet.Sheet
	index   *index.Document

	mu sync.Mutex
	// engines holds the current engine of each entry. Guarded by mu.
	engines []*Engine
	// cutLinks marks the links, from one entry to another, that lose every message. Guarded by mu.
	cutLinks map[[2]string]bool
	// successors maps stopped incarnations to their successors, as known to all entries. Guarded
	// by mu.
	successors map[ids.Incarnation]string
}

const (
	testKeyAsan   = "key-of-asan-buyer"
	testKeyMolina = "key-of-molina-counter"
	testWindow    = 60 * time.Second
	testTargets   = 12
)

func newFakeFleet(t testing.TB, entries, shards int) *fakeFleet {
	t.Helper()
	f := &fakeFleet{targets: &fakeTargets{}, cutLinks: map[[2]string]bool{}, successors: map[ids.Incarnation]string{}}
	f.sheet, f.index = testDocuments(shards)
	for i := range entries {
		f.engines = append(f.engines, nil)
		f.restart(i)
	}
	return f
}

// restart replaces an entry with a new incarnation. The old engine finishes what it has started,
// like a process that was paused.
func (f *fakeFleet) restart(i int) *Engine {
	e := New(Config{
		Self:      Identity{Entry: entryName(i), Zone: "az-1", Incarnation: ids.NewIncarnation(), Start: time.Now()},
		Log:       zerolog.Nop(),
		Targets:   f.targets,
		Peers:     &fakeForwarder{fleet: f, from: entryName(i)},
		PermitKey: []byte("permit-key-of-the-test-0123456789"),
		PolicyOn:  true,
		Metrics:   NewMetrics(),
		ReachedTargets: func(context.Context) []string {
			var targets []string
			for i := range f.sheet.Targets {
				targets = append(targets, f.sheet.Targets[i].ID)
			}
			return targets
		},
	})
	e.SetDocuments(f.sheet, f.index)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[i] = e
	return e
}

func (f *fakeFleet) engine(i int) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[i]
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// fakeForwarder implements Forwarder for one entry.
type fakeForwarder struct {
	fleet *fakeFleet
	from  string
}

func (l *fakeForwarder) Forward(ctx context.Context, entry string, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	l.fleet.mu.Lock()
	cut := l.fleet.cutLinks[[2]string{l.from, entry}]
	var to *Engine
	for _, e := range l.fleet.engines {
		if e != nil && e.self.Entry == entry {
			to = e
		}
	}
	l.fleet.mu.Unlock()
	if cut || to == nil {
		return nil, status.New(status.ConnectionFailed, status.NotRun, "entry %s is cut off", entry)
	}
	return to.HandleForward(ctx, req)
}

func (l *fakeForwarder) Successor(inc ids.Incarnation) (string, bool) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	name, ok := l.fleet.successors[inc]
	return name, ok
}

func testDocuments(shards int) (*sheet.Sheet, *index.Document) {
	s := &sheet.Sheet{
		Revision:   1,
		Date:       "2026-12-04",
		Workspaces: []sheet.Workspace{{Name: "asan-toolroom"}, {Name: "molina-shop"}},
		Callers: []sheet.Caller{
			{Name: "asan-buyer", Workspace: "asan-toolroom", KeyDigest: keyDigest(testKeyAsan), Services: []string{"quote-desk-1", "drawing-vault"}},
			{Name: "molina-counter", Workspace: "molina-shop", KeyDigest: keyDigest(testKeyMolina), Services: []string{"drawing-vault"}},
		},
		Services: []sheet.Service{
			testService("quote-desk-1", sheet.Idempotent),
			testService("drawing-vault", sheet.AtMostOnce),
		},
	}
	d := &index.Document{Revision: 1}
	for n := range testTargets {
		s.Targets = append(s.Targets, sheet.Target{
			ID: fmt.Sprintf("target-%d", n), Address: fmt.Sprintf("127.0.0.1:%d", 18000+n), Zone: "az-1", Slots: 3, MaxConnections: 30,
		})
	}
	for _, name := range []string{"quote-desk-1", "drawing-vault"} {
		d.Services = append(d.Services, index.Service{Name: name, Snapshots: []index.Snapshot{
			testSnapshot(1, 1, shards), testSnapshot(2, 1, shards),
		}})
	}
	return s, d
}

func testSnapshot(version, epoch uint64, shards int) index.Snapshot {
	snap := index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: version, ShardMapEpoch: epoch}}
	for n := range shards {
		var replicas []string
		for r := range 3 {
			replicas = append(replicas, fmt.Sprintf("target-%d", (n+r)%testTargets))
		}
		snap.Shards = append(snap.Shards, replicas)
	}
	return snap
}

func testService(name string, rule sheet.RepeatRule) sheet.Service {
	return sheet.Service{
		Name:     name,
		Priority: 1,
		Latency:  sheet.Latency{ContractMS: 100, MaxDeadlineMS: 2_000},
		Coverage: sheet.Coverage{MinRatio: 0.9},
		Repeat:   sheet.Repeat{Rule: rule, WindowS: int64(testWindow / time.Second)},
		Limits:   sheet.Limits{MaxConcurrency: 64, MaxQueue: 64, MaxFanout: 256},
		Hedge:    sheet.Hedge{BudgetRatio: 0.05},
		Canary:   sheet.Canary{MaxWaitMS: 1_000},
	}
}

// result is a decoded reply.
type result struct {
	status  int
	answer  callerapi.SearchResponse
	refusal callerapi.ErrorResponse
}

func (f *fakeFleet) search(i int, key string, search callerapi.SearchRequest) result {
	reply := f.engine(i).Search(context.Background(), callerhttp.Call{Key: key, Search: search, Arrival: time.Now()})
	return decodeResult(reply)
}

func decodeResult(reply callerhttp.Reply) result {
	r := result{status: reply.HTTPStatus}
	if reply.HTTPStatus == http.StatusOK {
		_ = json.Unmarshal(reply.Body, &r.answer)
	} else {
		_ = json.Unmarshal(reply.Body, &r.refusal)
	}
	return r
}

// requestPermit requests a permit from an entry.
func (f *fakeFleet) requestPermit(i int, key, query string) string {
	return f.search(i, key, callerapi.SearchRequest{Service: "drawing-vault", Query: query}).refusal.Permit
}

func sameHits(a, b []callerapi.Hit) bool {
	return slices.EqualFunc(a, b, func(x, y callerapi.Hit) bool { return x.ID == y.ID && x.Shard == y.Shard })
}
