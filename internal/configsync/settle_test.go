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

// scriptedPlatform answers the calls for one document from a script.
type scriptedPlatform struct {
	mu sync.Mutex
	// down makes calls fail. Guarded by mu.
	down bool
	// doc is what the platform holds. Guarded by mu.
	doc platformapi.Document
}

func (p *scriptedPlatform) set(version uint64, value string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.doc = platformapi.Document{Key: platformapi.TargetsKey, Version: version, Value: json.RawMessage(value)}
}

func (p *scriptedPlatform) Get(context.Context, string) (platformapi.Document, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return platformapi.Document{}, status.New(status.Unavailable, "", "down")
	}
	return p.doc, nil
}

func (p *scriptedPlatform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platformapi.Document, bool, error) {
	end := time.Now().Add(wait)
	for {
		doc, err := p.Get(ctx, key)
		if err != nil || doc.Version > after || !time.Now().Before(end) || ctx.Err() != nil {
			return doc, err == nil && doc.Version > after, err
		}
		time.Sleep(time.Millisecond)
	}
}

func (p *scriptedPlatform) Hosts(context.Context) ([]platformapi.Host, error) { return nil, nil }

// noPeers is a network without other entries.
type noPeers struct{}

func (noPeers) Exchange(context.Context, string, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return nil, status.New(status.ConnectionFailed, status.NotRun, "no peer")
}

func (noPeers) Fetch(context.Context, string, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return nil, status.New(status.ConnectionFailed, status.NotRun, "no peer")
}

const (
	fourTargets = `{"revision":5,"targets":[{"id":"a","group":"g","address":"127.0.0.1:1","zone":"z","slots":1},{"id":"b","group":"g","address":"127.0.0.1:2","zone":"z","slots":1},{"id":"c","group":"g","address":"127.0.0.1:3","zone":"z","slots":1},{"id":"d","group":"g","address":"127.0.0.1:4","zone":"z","slots":1}]}`
	threeBack   = `{"revision":9,"targets":[{"id":"a","group":"g","address":"127.0.0.1:1","zone":"z","slots":1},{"id":"b","group":"g","address":"127.0.0.1:2","zone":"z","slots":1},{"id":"c","group":"g","address":"127.0.0.1:3","zone":"z","slots":1}]}`
	twoTargets  = `{"revision":5,"targets":[{"id":"a","group":"g","address":"127.0.0.1:1","zone":"z","slots":1},{"id":"b","group":"g","address":"127.0.0.1:2","zone":"z","slots":1}]}`
	noTargets   = `{"revision":8,"targets":[]}`
	oneBack     = `{"revision":9,"targets":[{"id":"a","group":"g","address":"127.0.0.1:1","zone":"z","slots":1}]}`
)

// startSettling starts an entry on a platform that shows the given list of targets, and
// returns the numbers of targets that come into force.
func startSettling(t *testing.T, targets string) (*scriptedPlatform, <-chan int) {
	t.Helper()
	p, changes := &scriptedPlatform{}, make(chan int, 16)
	p.set(5, targets, false)
	s := New(Config{
		Keys: []string{platformapi.TargetsKey}, Entry: "e", Zone: "z", Address: "127.0.0.1:9", Incarnation: ids.NewIncarnation(),
		WatchWait: 20 * time.Millisecond, MaxBackoff: 20 * time.Millisecond, PollInterval: time.Hour, Lossless: true,
		SettleKey: platformapi.TargetsKey, SettleOutage: 100 * time.Millisecond, SettleTime: 200 * time.Millisecond,
	}, Deps{
		Platform: p, Peers: noPeers{}, Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseTargets: targetlist.Parse,
		OnChange: func(v *View) { changes <- len(v.Targets.Targets) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return p, changes
}

// Guards against an empty target list after an outage of the platform during which
// the registrations lapsed: those that come back are taken over together.
func TestLapsedEntriesAreNotTakenForGone(t *testing.T) {
	is := is.New(t)
	p, changes := startSettling(t, twoTargets)
	is.Equal(<-changes, 2)
	p.set(5, twoTargets, true)
	time.Sleep(300 * time.Millisecond)
	p.set(8, noTargets, false)
	time.Sleep(50 * time.Millisecond)
	p.set(9, oneBack, false)
	is.Equal(<-changes, 1) // never 0
}

// Guards against a removal that is held back although the platform was never away,
// however long its watches wait: a leaving target would get work for too long.
func TestQuietPlatformIsNoOutage(t *testing.T) {
	is := is.New(t)
	p, changes := startSettling(t, fourTargets)
	is.Equal(<-changes, 4)
	time.Sleep(300 * time.Millisecond) // Many watches without news.
	p.set(8, strings.Replace(threeBack, ":9,", ":8,", 1), false)
	time.Sleep(50 * time.Millisecond)
	p.set(9, oneBack, false)
	is.Equal(<-changes, 3) // not held back until the next list
}

// Guards against the same for an entry that took the watcher role over after the
// outage, and so has not seen it: most targets vanish at once.
func TestLapseIsSeenWithoutTheOutage(t *testing.T) {
	is := is.New(t)
	p, changes := startSettling(t, fourTargets)
	is.Equal(<-changes, 4)
	p.set(8, noTargets, false)
	time.Sleep(50 * time.Millisecond)
	p.set(9, threeBack, false)
	is.Equal(<-changes, 3) // never 0
}

// darkPeers never answer within a call.
type darkPeers struct{}

func (darkPeers) Exchange(ctx context.Context, _ string, _ *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	<-ctx.Done()
	return nil, status.New(status.DeadlineExceeded, status.NotRun, "no answer")
}

func (darkPeers) Fetch(ctx context.Context, _ string, _ *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	<-ctx.Done()
	return nil, status.New(status.DeadlineExceeded, status.NotRun, "no answer")
}

// Guards against a start that waits for peers without power although the platform
// answers: after a loss of power everywhere it cost a second of service.
func TestStartDoesNotWaitForDarkPeers(t *testing.T) {
	is := is.New(t)
	p := &scriptedPlatform{}
	p.set(5, twoTargets, false)
	changes := make(chan int, 16)
	s := New(Config{
		Keys: []string{platformapi.TargetsKey}, Entry: "e", Zone: "z", Address: "127.0.0.1:9", Incarnation: ids.NewIncarnation(),
		Peers: []Peer{{Entry: "dark", Zone: "z", Address: "127.0.0.1:8"}}, CallTimeout: waitBound, StartupTimeout: waitBound, Lossless: true,
	}, Deps{
		Platform: p, Peers: darkPeers{}, Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseTargets: targetlist.Parse,
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

// Guards against an entry that takes a large fleet for small for seconds after its
// start, and opens more connections to targets than its share.
func TestNewcomerLearnsTheFleetAtOnce(t *testing.T) {
	is := is.New(t)
	s := New(Config{Entry: "e", Zone: "z", Address: "127.0.0.1:9", Incarnation: ids.NewIncarnation()},
		Deps{Platform: &scriptedPlatform{}, Peers: noPeers{}, Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop()})
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
	is.True(len(reply.Members) <= 12) // Bounded afterwards.
}
