package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/coordination/restore"
	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
)

const (
	testOutageGap = 100 * time.Millisecond
	testSettle    = 400 * time.Millisecond
)

// listPlatform publishes a target list.
type listPlatform struct {
	mu sync.Mutex
	// down makes calls fail, and list is the published list. Guarded by mu.
	down bool
	list targetlist.Document
}

// publish publishes a list of the targets with the given IDs.
func (p *listPlatform) publish(targets string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.Revision++
	p.list.Targets = nil
	for i, id := range strings.Fields(targets) {
		leaving := strings.HasSuffix(id, "-")
		p.list.Targets = append(p.list.Targets, targetlist.Target{ID: strings.TrimSuffix(id, "-"), Leaving: leaving, Group: "g", Zone: "z", Slots: 1,
			Address: fmt.Sprintf("127.0.0.1:%d", 1+int(id[0])+256*(i/26))})
	}
}

func (p *listPlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *listPlatform) Get(context.Context, string) (platformapi.Document, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return platformapi.Document{}, status.New(status.Unavailable, "", "down")
	}
	value, err := json.Marshal(p.list)
	return platformapi.Document{Key: platformapi.TargetsKey, Version: p.list.Revision, Value: value}, err
}

func (p *listPlatform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platformapi.Document, bool, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		doc, err := p.Get(ctx, key)
		if err != nil || doc.Version > after || !time.Now().Before(end) || ctx.Err() != nil {
			return doc, err == nil && doc.Version > after, err
		}
	}
}

func (p *listPlatform) Hosts(context.Context) ([]platformapi.Host, error) { return nil, nil }

// listNetwork connects entries by address.
type listNetwork struct {
	mu      sync.Mutex
	entries map[string]*configsync.Syncer // Guarded by mu.
}

func (n *listNetwork) peer(address string) (*configsync.Syncer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.entries[address]; s != nil {
		return s, nil
	}
	return nil, status.New(status.ConnectionFailed, status.NotRun, "no peer")
}

func (n *listNetwork) Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	s, err := n.peer(address)
	if err != nil {
		return nil, err
	}
	return s.HandleExchange(ctx, in)
}

func (n *listNetwork) Fetch(ctx context.Context, address string, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	s, err := n.peer(address)
	if err != nil {
		return nil, err
	}
	return s.HandleFetch(ctx, in)
}

// listEntry is the part of an entry that decides which targets it uses.
type listEntry struct {
	t        *testing.T
	platform *listPlatform
	syncer   *configsync.Syncer

	mu sync.Mutex
	// lists holds the IDs of the targets that the entry used, one after the other. Guarded by mu.
	lists []string
}

// startListEntry starts an entry on a platform with the given targets.
func startListEntry(t *testing.T, targets string) *listEntry {
	t.Helper()
	platform := &listPlatform{}
	platform.publish(targets)
	e := newListEntry(t, platform, &listNetwork{entries: make(map[string]*configsync.Syncer)}, "e", true)
	e.await(targets)
	time.Sleep(2 * testSettle) // The first answers might follow an outage.
	return e
}

// newListEntry starts an entry. If it does not watch the platform, it learns of the list from other entries only.
func newListEntry(t *testing.T, platform *listPlatform, network *listNetwork, id string, watches bool) *listEntry {
	t.Helper()
	e := &listEntry{t: t, platform: platform}
	settings := restore.DefaultSettings()
	settings.Settle = testSettle
	lists := targetLists{self: Identity{Start: time.Now()}, log: zerolog.Nop(), report: func(notice.Report) {}, reconciler: restore.New(settings)}
	var peers []configsync.Peer
	network.mu.Lock()
	for other := range network.entries {
		peers = append(peers, configsync.Peer{Entry: other, Zone: "z", Address: other})
	}
	network.mu.Unlock()
	wait := time.Duration(0)
	if !watches {
		wait = time.Hour
	}
	e.syncer = configsync.New(configsync.Config{
		Keys: []string{platformapi.TargetsKey}, Entry: id, Zone: "z", Address: id, Incarnation: ids.NewIncarnation(), Peers: peers, WatchGrace: wait,
		ExchangeInterval: 5 * time.Millisecond, WatchWait: 20 * time.Millisecond, MaxBackoff: 20 * time.Millisecond, PollInterval: time.Hour,
		MonotonicPlatform: true, OutageGap: testOutageGap,
	}, configsync.Deps{
		Platform: e.platform, Peers: network, Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseTargets: targetlist.Parse,
		OnChange: func(*configsync.View) { lists.recheck() },
	})
	lists.available = e.syncer.AvailableSince
	lists.recheck = func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		var used []string
		list := e.syncer.Current().Targets
		if list == nil {
			return
		}
		for _, target := range lists.apply(list).Targets {
			if !target.Leaving {
				used = append(used, target.ID)
			}
		}
		slices.Sort(used)
		e.lists = append(e.lists, strings.Join(used, " "))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); e.syncer.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	network.mu.Lock()
	network.entries[id] = e.syncer
	network.mu.Unlock()
	return e
}

// used returns the targets that the entry uses.
func (e *listEntry) used() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lists) == 0 {
		return ""
	}
	return e.lists[len(e.lists)-1]
}

func (e *listEntry) await(targets string) {
	e.t.Helper()
	for end := time.Now().Add(time.Minute); e.used() != targets; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			e.t.Fatalf("the entry uses %q, not %q", e.used(), targets)
		}
	}
}

// awaitPublished waits until the entry has applied the published list.
func (e *listEntry) awaitPublished() {
	e.t.Helper()
	e.mu.Lock()
	before := len(e.lists)
	e.mu.Unlock()
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		e.mu.Lock()
		applied := len(e.lists)
		e.mu.Unlock()
		if applied > before {
			return
		}
		if time.Now().After(end) {
			e.t.Fatal("the entry does not apply the published list")
		}
	}
}

// neverUsed checks that no list consisted of the given targets.
func (e *listEntry) neverUsed(targets string) {
	e.t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range e.lists {
		is.New(e.t).True(list != targets)
	}
}

// Guards against targets that are given up because their registrations expired while the platform was away.
func TestExpiredRegistrationsAreNotRemoved(t *testing.T) {
	e := startListEntry(t, "a b")
	e.platform.setDown(true)
	time.Sleep(3 * testOutageGap)
	e.platform.publish("")
	e.platform.setDown(false)
	time.Sleep(testSettle / 8)
	e.platform.publish("a")
	e.await("a")
	e.neverUsed("")
}

// Guards against lapsed registrations at an entry that did not see the outage itself or started in it.
func TestExpiryIsKnownFromPeers(t *testing.T) {
	platform, network := &listPlatform{}, &listNetwork{entries: make(map[string]*configsync.Syncer)}
	platform.publish("a b c d")
	watcher := newListEntry(t, platform, network, "watcher", true)
	watcher.await("a b c d")
	quiet := newListEntry(t, platform, network, "quiet", false)
	quiet.await("a b c d")
	time.Sleep(2 * testSettle)
	platform.setDown(true)
	time.Sleep(3 * testOutageGap)
	started := newListEntry(t, platform, network, "started", false)
	started.await("a b c d")
	platform.publish("")
	platform.setDown(false)
	time.Sleep(testSettle / 8)
	platform.publish("a b c")
	for _, e := range []*listEntry{watcher, quiet, started} {
		e.await("a b c")
		e.neverUsed("")
	}
}

// Guards against requests to removed targets because an outage is guessed from their number.
func TestRemovalOfMostTargetsIsInForceAtOnce(t *testing.T) {
	e := startListEntry(t, "a b c d")
	e.platform.publish("a b- e")
	e.await("a e")
	e.neverUsed("a c d e")
	e.platform.publish("")
	e.await("")
	e.neverUsed("a")
}

// Guards against a change after an outage that waits for registrations which may return.
func TestOutageWithholdsOnlyRemovals(t *testing.T) {
	e := startListEntry(t, "a b c")
	e.platform.setDown(true)
	time.Sleep(3 * testOutageGap)
	e.platform.publish("a- d")
	e.platform.setDown(false)
	e.await("b c d")
	e.await("d")
}

// Guards against a removal that comes into force only with a further answer of the platform.
func TestRemovalIsInForceWhilePlatformIsAwayAgain(t *testing.T) {
	e := startListEntry(t, "a b")
	e.platform.setDown(true)
	time.Sleep(3 * testOutageGap)
	e.platform.publish("a")
	e.platform.setDown(false)
	e.awaitPublished()
	is.New(t).Equal(e.used(), "a b")
	e.platform.setDown(true)
	e.await("a")
}

// Guards against an outage that is assumed because one entry alone could not read the platform.
func TestOutageOfOneEntryIsNone(t *testing.T) {
	is := is.New(t)
	network := &listNetwork{entries: make(map[string]*configsync.Syncer)}
	var entries []*listEntry
	for _, id := range []string{"first", "second"} {
		e := newListEntry(t, &listPlatform{}, network, id, true)
		e.platform.publish("a b")
		e.await("a b")
		entries = append(entries, e)
	}
	time.Sleep(2 * testSettle)
	cut, other := entries[0], entries[1]
	since := cut.syncer.AvailableSince()
	cut.platform.setDown(true)
	time.Sleep(3 * testOutageGap)
	other.platform.publish("a")
	cut.await("a")
	cut.platform.publish("a")
	cut.platform.setDown(false)
	time.Sleep(testOutageGap)
	is.True(!cut.syncer.AvailableSince().After(since))
}
