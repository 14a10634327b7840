// Package testfleet runs real balsam-entry processes against stand-ins on
// loopback, for the process-level tests, and checks every answer against what the
// stand-ins hold and what they ran.
package testfleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/internal/standin/platform"
	"github.com/balsamstall/balsamstall/internal/standin/target"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
)

const (
	callerKey = "key-of-asan-buyer"
	adminKey  = "admin-key-of-the-test-0123456789abc"
	// waitBound bounds every wait for a condition. It is far above the time that
	// a loaded machine needs and is no promise of the service.
	waitBound = 30 * time.Second
	zones     = 2
)

// Fleet is a platform, targets in two zones and entry processes.
type Fleet struct {
	// T is the test that the fleet belongs to.
	T *testing.T

	dir   string
	sheet *sheet.Sheet
	index *index.Document

	// Platform, Targets and Entries are the parts of the fleet.
	Platform *platform.Platform
	Targets  []*target.Target
	Entries  []*Process
	client   *http.Client
}

// Options describe a fleet.
type Options struct {
	// Entries, Targets and Shards are the numbers of each.
	Entries, Targets, Shards int
	// ServiceMS is the median service time of a target in milliseconds.
	ServiceMS float64
	// BalancerDelayMS is the setting of the same name.
	BalancerDelayMS int64
}

// New starts a fleet and waits until every entry is ready. It ends with the test.
func New(t *testing.T, opt Options) *Fleet {
	t.Helper()
	c := &Fleet{T: t, dir: t.TempDir(), client: &http.Client{Timeout: 30 * time.Second}}
	c.startTargets(opt)
	c.startPlatform()
	for n := range opt.Entries {
		c.Entries = append(c.Entries, c.newEntry(n, opt))
	}
	for _, p := range c.Entries {
		p.Settings.Peers = nil
		for _, other := range c.Entries {
			if other != p {
				p.Settings.Peers = append(p.Settings.Peers, settings.Peer{ID: other.Settings.ID, Zone: other.Settings.Zone, Address: other.Settings.PeerAddress})
			}
		}
		c.Start(p)
	}
	for _, p := range c.Entries {
		c.WaitReady(p)
	}
	return c
}

func (c *Fleet) startTargets(opt Options) {
	snapshots := []ids.Snapshot{{IndexVersion: 1, ShardMapEpoch: 1}}
	services := map[string]target.Service{"quote-desk-1": {Snapshots: snapshots}, "drawing-vault": {Snapshots: snapshots}}
	for n := range opt.Targets {
		zone := fmt.Sprintf("az-%d", 1+n%zones)
		tg := target.New(target.Config{
			ID: fmt.Sprintf("target-%d", n), Address: "127.0.0.1:0", Zone: zone, Slots: 8, MaxConnections: 64,
			ServiceTimeMSMedian: opt.ServiceMS, ServiceTimeSigma: 0.3, Seed: uint64(n), Queue: 64, QueueWaitMS: 500,
		}, services, zerolog.Nop())
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.T.Fatal(err)
		}
		tg.Start(lis)
		c.T.Cleanup(tg.Close)
		c.Targets = append(c.Targets, tg)
	}
	c.sheet, c.index = c.Documents(1, opt.Shards)
}

// Documents returns a sheet and an index of the given revision.
func (c *Fleet) Documents(revision uint64, shards int) (*sheet.Sheet, *index.Document) {
	s := &sheet.Sheet{
		Revision:   revision,
		Date:       "2026-12-04",
		Workspaces: []sheet.Workspace{{Name: "asan-toolroom"}},
		Callers: []sheet.Caller{{
			Name: "asan-buyer", Workspace: "asan-toolroom", KeyDigest: KeyDigest(callerKey),
			Services: []string{"quote-desk-1", "drawing-vault"},
		}},
		Services: []sheet.Service{
			service("quote-desk-1", sheet.Repeat{Rule: sheet.Idempotent}),
			service("drawing-vault", sheet.Repeat{Rule: sheet.AtMostOnce, WindowS: 600}),
		},
	}
	for n, tg := range c.Targets {
		s.Targets = append(s.Targets, sheet.Target{
			ID: tg.ID(), Address: tg.Addr(), Zone: fmt.Sprintf("az-%d", 1+n%zones), Slots: 8, MaxConnections: 64,
		})
	}
	d := &index.Document{Revision: revision}
	for _, name := range []string{"quote-desk-1", "drawing-vault"} {
		d.Services = append(d.Services, index.Service{Name: name, Snapshots: []index.Snapshot{c.Snapshot(1, 1, shards)}})
	}
	return s, d
}

// KeyDigest returns the digest that a sheet holds for a caller's key.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func service(name string, repeat sheet.Repeat) sheet.Service {
	budget := 0.05
	if repeat.Rule == sheet.AtMostOnce {
		budget = 0 // Requests that run at most once are never hedged.
	}
	return sheet.Service{
		Name: name, Priority: 1,
		Latency:  sheet.Latency{ContractMS: 500, MaxDeadlineMS: 5_000},
		Coverage: sheet.Coverage{MinRatio: 0.9},
		Repeat:   repeat,
		Limits:   sheet.Limits{MaxConcurrency: 256, MaxQueue: 256, MaxFanout: 256},
		Hedge:    sheet.Hedge{BudgetRatio: budget},
		Canary:   sheet.Canary{MaxWaitMS: 1_000},
	}
}

// Snapshot places each shard on a target of each zone.
func (c *Fleet) Snapshot(version, epoch uint64, shards int) index.Snapshot {
	snap := index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: version, ShardMapEpoch: epoch}}
	for n := range shards {
		first := c.Targets[n%len(c.Targets)].ID()
		second := c.Targets[(n+1)%len(c.Targets)].ID()
		snap.Shards = append(snap.Shards, []string{first, second})
	}
	return snap
}

func (c *Fleet) startPlatform() {
	set := platform.NewSettings(c.dir)
	set.Address = "127.0.0.1:0"
	p, err := platform.New(set, zerolog.Nop())
	if err != nil {
		c.T.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.T.Fatal(err)
	}
	p.Start(lis)
	c.T.Cleanup(p.Close)
	c.Platform = p
	c.Publish(platformapi.SheetKey, c.sheet)
	c.Publish(platformapi.IndexKey, c.index)
}

// Publish puts a document on the platform.
func (c *Fleet) Publish(key string, doc any) {
	c.T.Helper()
	Publish(c.T, c.Platform, key, doc)
}

// Publish puts a document on a platform.
func Publish(t *testing.T, p *platform.Platform, key string, doc any) {
	t.Helper()
	value, err := json.Marshal(doc)
	if err == nil {
		_, err = p.Publish(key, value)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Eventually waits until check holds.
func (c *Fleet) Eventually(what string, check func() bool) {
	c.T.Helper()
	Eventually(c.T, what, check)
}

// Eventually waits until check holds.
func Eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(waitBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("did not happen in %v: %s", waitBound, what)
}
