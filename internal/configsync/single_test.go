package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
)

// fakePlatform serves one document, which the test sets.
type fakePlatform struct {
	mu sync.Mutex
	// down makes calls fail. Guarded by mu.
	down bool
	// doc is the published document. Guarded by mu.
	doc platformapi.Document
}

func (p *fakePlatform) set(version uint64, value string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.doc = platformapi.Document{Key: platformapi.TargetsKey, Version: version, Value: json.RawMessage(value)}
}

func (p *fakePlatform) Get(context.Context, string) (platformapi.Document, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return platformapi.Document{}, status.New(status.Unavailable, "", "down")
	}
	return p.doc, nil
}

func (p *fakePlatform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platformapi.Document, bool, error) {
	end := time.Now().Add(wait)
	for {
		doc, err := p.Get(ctx, key)
		if err != nil || doc.Version > after || !time.Now().Before(end) || ctx.Err() != nil {
			return doc, err == nil && doc.Version > after, err
		}
		time.Sleep(time.Millisecond)
	}
}

func (p *fakePlatform) Hosts(context.Context) ([]platformapi.Host, error) { return nil, nil }

// unreachablePeers is a network in which no peer can be reached.
type unreachablePeers struct{}

func (unreachablePeers) Exchange(context.Context, string, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return nil, status.New(status.ConnectionFailed, status.NotRun, "no peer")
}

func (unreachablePeers) Fetch(context.Context, string, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return nil, status.New(status.ConnectionFailed, status.NotRun, "no peer")
}

const (
	fourTargets   = `{"revision":5,"targets":[{"id":"a","group":"g","address":"127.0.0.1:1","zone":"z","slots":1},{"id":"b","group":"g","address":"127.0.0.1:2","zone":"z","slots":1},{"id":"c","group":"g","address":"127.0.0.1:3","zone":"z","slots":1},{"id":"d","group":"g","address":"127.0.0.1:4","zone":"z","slots":1}]}`
	threeReturned = `{"revision":9,"targets":[{"id":"a","group":"g","address":"127.0.0.1:1","zone":"z","slots":1},{"id":"b","group":"g","address":"127.0.0.1:2","zone":"z","slots":1},{"id":"c","group":"g","address":"127.0.0.1:3","zone":"z","slots":1}]}`
	twoTargets    = `{"revision":5,"targets":[{"id":"a","group":"g","address":"127.0.0.1:1","zone":"z","slots":1},{"id":"b","group":"g","address":"127.0.0.1:2","zone":"z","slots":1}]}`
	oneReturned   = `{"revision":9,"targets":[{"id":"a","group":"g","address":"127.0.0.1:1","zone":"z","slots":1}]}`
)

// startTargetsSyncer starts an entry on a platform with the given target list. The returned channel
// receives the number of targets of each list that becomes current.
func startTargetsSyncer(t *testing.T, targets string) (*fakePlatform, <-chan int) {
	t.Helper()
	p, changes := &fakePlatform{}, make(chan int, 16)
	p.set(5, targets, false)
	s := New(Config{
		Keys: []string{platformapi.TargetsKey}, Entry: "e", Zone: "z", Address: "127.0.0.1:9", Incarnation: ids.NewIncarnation(),
		WatchWait: 20 * time.Millisecond, MaxBackoff: 20 * time.Millisecond, PollInterval: time.Hour, MonotonicPlatform: true,
		OutageGap: 100 * time.Millisecond,
	}, Deps{
		Platform: p, Peers: unreachablePeers{}, Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseTargets: targetlist.Parse,
		OnChange: func(v *View) { changes <- len(v.Targets.Targets) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return p, changes
}

// Guards against a removal that is delayed although the platform was always available, however long
// its watches wait: a leaving target would receive work for too long.
func TestQuietPlatformIsNoOutage(t *testing.T) {
	is := is.New(t)
	p, changes := startTargetsSyncer(t, fourTargets)
	is.Equal(<-changes, 4)
	time.Sleep(300 * time.Millisecond) // Many watches without a change.
	p.set(8, strings.Replace(threeReturned, ":9,", ":8,", 1), false)
	time.Sleep(50 * time.Millisecond)
	p.set(9, oneReturned, false)
	is.Equal(<-changes, 3) // Not delayed until the next list.
}

// unresponsivePeers do not answer within the deadline of a call.
type unresponsivePeers struct{}

func (unresponsivePeers) Exchange(ctx context.Context, _ string, _ *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	<-ctx.Done()
	return nil, status.New(status.DeadlineExceeded, status.NotRun, "no answer")
}

func (unresponsivePeers) Fetch(ctx context.Context, _ string, _ *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	<-ctx.Done()
	return nil, status.New(status.DeadlineExceeded, status.NotRun, "no answer")
}

// Guards against a startup that waits for peers without power although the platform answers. After
// a power loss of the whole fleet this cost a second of service.
func TestStartupDoesNotWaitForUnresponsivePeers(t *testing.T) {
	is := is.New(t)
	p := &fakePlatform{}
	p.set(5, twoTargets, false)
	changes := make(chan int, 16)
	s := New(Config{
		Keys: []string{platformapi.TargetsKey}, Entry: "e", Zone: "z", Address: "127.0.0.1:9", Incarnation: ids.NewIncarnation(),
		Peers: []Peer{{Entry: "dark", Zone: "z", Address: "127.0.0.1:8"}}, CallTimeout: testTimeout, StartupTimeout: testTimeout, MonotonicPlatform: true,
	}, Deps{
		Platform: p, Peers: unresponsivePeers{}, Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseTargets: targetlist.Parse,
		OnChange: func(v *View) { changes <- len(v.Targets.Targets) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	is.Equal(<-changes, 2)
	is.True(s.Ready())
	cancel()
	<-done
}

// Guards against an entry that underestimates a large fleet for seconds after its startup, and
// opens more connections to targets than its share.
func TestBootstrappingEntryReceivesAllMembers(t *testing.T) {
	is := is.New(t)
	s := New(Config{Entry: "e", Zone: "z", Address: "127.0.0.1:9", Incarnation: ids.NewIncarnation()},
		Deps{Platform: &fakePlatform{}, Peers: unreachablePeers{}, Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop()})
	for i := range 90 {
		inc := ids.NewIncarnation()
		_, err := s.HandleExchange(t.Context(), &peerpb.ExchangeRequest{Entry: fmt.Sprintf("old-%d", i), Zone: "z", Address: "127.0.0.1:1", Incarnation: inc[:]})
		is.NoErr(err)
	}
	inc := ids.NewIncarnation()
	reply, err := s.HandleExchange(t.Context(), &peerpb.ExchangeRequest{Entry: "new", Zone: "z", Address: "127.0.0.1:2", Incarnation: inc[:]})
	is.NoErr(err)
	is.True(len(reply.Members) >= 90)
	known := make([]*peerpb.Member, 8)
	copy(known, reply.Members)
	reply, err = s.HandleExchange(t.Context(), &peerpb.ExchangeRequest{Entry: "new", Zone: "z", Address: "127.0.0.1:2", Incarnation: inc[:], Members: known})
	is.NoErr(err)
	is.True(len(reply.Members) <= 12) // A regular sample afterwards.
}
