// Package testfleet runs real balsam-entry processes with a stand-in platform and stand-in targets on
// the loopback interface, for process-level tests. It checks answers against the data of the targets
// and their records of what they ran.
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
	// waitTimeout limits each wait for a condition. It is far longer than a loaded machine needs, and
	// does not state a guarantee of the service.
	waitTimeout = 30 * time.Second
	zoneCount   = 2
)

// Fleet is a platform, targets in two zones and entry processes.
type Fleet struct {
	// T is the test that uses the fleet.
	T *testing.T

	dir   string
	sheet *sheet.Sheet
	index *index.Document

	// Platform, Targets and Entries make up the fleet.
	Platform *platform.Platform
	Targets  []*target.Target
	Entries  []*Process
	client   *http.Client
}

// Options configure a fleet.
type Options struct {
	// Entries, Targets and Shards are the numbers of entries, targets and shards.
	Entries, Targets, Shards int
	// ServiceMS is the median service time of a target in milliseconds.
	ServiceMS float64
	// BalancerDelayMS is the entries' setting of the same name.
	BalancerDelayMS int64
}

// New starts a fleet and waits until every entry is ready. The fleet stops when the test ends.
func New(t *testing.T, opt Options) *Fleet {
	t.Helper()
	f := &Fleet{T: t, dir: t.TempDir(), client: &http.Client{Timeout: 30 * time.Second}}
	f.startTargets(opt)
	f.startPlatform()
	for n := range opt.Entries {
		f.Entries = append(f.Entries, f.newEntry(n, opt))
	}
	for _, p := range f.Entries {
		p.Settings.Peers = nil
		for _, other := range f.Entries {
			if other != p {
				p.Settings.Peers = append(p.Settings.Peers, settings.Peer{ID: other.Settings.ID, Zone: other.Settings.Zone, Address: other.Settings.PeerAddress})
			}
		}
		f.Start(p)
	}
	for _, p := range f.Entries {
		f.WaitReady(p)
	}
	return f
}

func (f *Fleet) startTargets(opt Options) {
	snapshots := []ids.Snapshot{{IndexVersion: 1, ShardMapEpoch: 1}}
	services := map[string]target.Service{"quote-desk-1": {Snapshots: snapshots}, "drawing-vault": {Snapshots: snapshots}}
	for n := range opt.Targets {
		zone := fmt.Sprintf("az-%d", 1+n%zoneCount)
		tg := target.New(target.Config{
			ID: fmt.Sprintf("target-%d", n), Address: "127.0.0.1:0", Zone: zone, Slots: 8, MaxConnections: 64,
			ServiceTimeMSMedian: opt.ServiceMS, ServiceTimeSigma: 0.3, Seed: uint64(n), Queue: 64, QueueWaitMS: 500,
		}, services, zerolog.Nop())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.T.Fatal(err)
		}
		tg.Start(ln)
		f.T.Cleanup(tg.Close)
		f.Targets = append(f.Targets, tg)
	}
	f.sheet, f.index = f.Documents(1, opt.Shards)
}

// Documents returns a sheet and an index with the given revision for the targets of the fleet.
func (f *Fleet) Documents(revision uint64, shards int) (*sheet.Sheet, *index.Document) {
	s := &sheet.Sheet{
		Revision:   revision,
		Date:       "2026-12-04",
		Workspaces: []sheet.Workspace{{Name: "asan-toolroom"}},
		Callers: []sheet.Caller{{
			Name: "asan-buyer", Workspace: "asan-toolroom", KeyDigest: KeyDigest(callerKey),
			Services: []string{"quote-desk-1", "drawing-vault"},
		}},
		Services: []sheet.Service{
			newService("quote-desk-1", sheet.Repeat{Rule: sheet.Idempotent}),
			newService("drawing-vault", sheet.Repeat{Rule: sheet.AtMostOnce, WindowS: 600}),
		},
	}
	for n, tg := range f.Targets {
		s.Targets = append(s.Targets, sheet.Target{
			ID: tg.ID(), Address: tg.Addr(), Zone: fmt.Sprintf("az-%d", 1+n%zoneCount), Slots: 8, MaxConnections: 64,
		})
	}
	d := &index.Document{Revision: revision}
	for _, name := range []string{"quote-desk-1", "drawing-vault"} {
		d.Services = append(d.Services, index.Service{Name: name, Snapshots: []index.Snapshot{f.Snapshot(1, 1, shards)}})
	}
	return s, d
}

// KeyDigest returns the digest of a caller's key, as a sheet contains it.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func newService(name string, repeat sheet.Repeat) sheet.Service {
	hedgeBudget := 0.05
	if repeat.Rule == sheet.AtMostOnce {
		hedgeBudget = 0 // At-most-once requests are never hedged.
	}
	return sheet.Service{
		Name: name, Priority: 1,
		Latency:  sheet.Latency{ContractMS: 500, MaxDeadlineMS: 5_000},
		Coverage: sheet.Coverage{MinRatio: 0.9},
		Repeat:   repeat,
		Limits:   sheet.Limits{MaxConcurrency: 256, MaxQueue: 256, MaxFanout: 256},
		Hedge:    sheet.Hedge{BudgetRatio: hedgeBudget},
		Canary:   sheet.Canary{MaxWaitMS: 1_000},
	}
}

// Snapshot returns a snapshot of the index that places each shard on two consecutive targets. If the
// number of targets is even, they are in different zones.
func (f *Fleet) Snapshot(version, epoch uint64, shards int) index.Snapshot {
	snap := index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: version, ShardMapEpoch: epoch}}
	for n := range shards {
		first := f.Targets[n%len(f.Targets)].ID()
		second := f.Targets[(n+1)%len(f.Targets)].ID()
		snap.Shards = append(snap.Shards, []string{first, second})
	}
	return snap
}

func (f *Fleet) startPlatform() {
	platformSettings := platform.NewSettings(f.dir)
	platformSettings.Address = "127.0.0.1:0"
	p, err := platform.New(platformSettings, zerolog.Nop())
	if err != nil {
		f.T.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.T.Fatal(err)
	}
	p.Start(ln)
	f.T.Cleanup(p.Close)
	f.Platform = p
	f.Publish(platformapi.SheetKey, f.sheet)
	f.Publish(platformapi.IndexKey, f.index)
}

// Publish publishes a document on the platform of the fleet.
func (f *Fleet) Publish(key string, doc any) {
	f.T.Helper()
	Publish(f.T, f.Platform, key, doc)
}

// Publish publishes a document on the given platform.
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

// Eventually waits until condition returns true. It fails the test if that takes too long.
func (f *Fleet) Eventually(what string, condition func() bool) {
	f.T.Helper()
	Eventually(f.T, what, condition)
}

// Eventually waits until condition returns true. It fails the test if that takes too long.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitTimeout, what)
}
