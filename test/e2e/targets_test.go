package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/standin/target"
	"github.com/balsamstall/balsamstall/internal/testfleet"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// maxLeavingDelay is the time after which a leaving target gets no new requests.
const maxLeavingDelay = 3 * time.Second

// startLoad sends searches from several workers, checks every answer and passes it to onResult,
// until the returned function is called.
func startLoad(c *testfleet.Fleet, workers int, onResult func(query string, r testfleet.Result)) (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	for w := range workers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				query := fmt.Sprintf("load %d %d", w, n)
				r := c.Search(c.Entries[(w+n)%len(c.Entries)], testfleet.IdempotentSearch(query))
				c.CheckAnswer(query, r)
				onResult(query, r)
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// Guards against an entry that sends new requests to a target a few seconds after the host list or
// the target itself announced that it is leaving.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, signal := range []string{"host list", "refusal"} {
		t.Run(signal, func(t *testing.T) {
			is := is.New(t)
			c := testfleet.New(t, testfleet.Options{Entries: 3, Targets: 4, Shards: 8, ServiceMS: 2})
			stop := startLoad(c, 6, func(string, testfleet.Result) {})
			defer stop()
			leaving := c.Targets[0]
			c.Eventually("the target works", func() bool { return leaving.Counters().Started > 20 })
			if signal == "host list" {
				c.Platform.SetHosts([]platformapi.Host{{
					ID: leaving.ID(), Kind: platformapi.KindTarget, Zone: "az-1", Address: leaving.Addr(), State: platformapi.HostLeaving,
				}})
			} else {
				is.NoErr(leaving.Apply(target.Command{Fault: target.FaultDrain}))
			}
			time.Sleep(maxLeavingDelay)
			before := leaving.Counters()
			time.Sleep(2 * time.Second)
			after := leaving.Counters()
			is.Equal(after.Started, before.Started)
			is.Equal(after.Refused["draining"], before.Refused["draining"])
		})
	}
}

// Guards against an entry that was paused while a target was declared leaving and sends it requests
// when it resumes.
func TestResumedEntryLearnsOfLeavingTargetsBeforeItSends(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 2, Targets: 4, Shards: 8, ServiceMS: 2})
	for n := range 10 {
		is.Equal(c.Search(c.Entries[0], testfleet.IdempotentSearch(fmt.Sprintf("before %d", n))).Status, http.StatusOK)
	}
	leaving := c.Targets[0]
	c.Signal(c.Entries[0], syscall.SIGSTOP)
	c.Platform.SetHosts([]platformapi.Host{{
		ID: leaving.ID(), Kind: platformapi.KindTarget, Zone: "az-1", Address: leaving.Addr(), State: platformapi.HostLeaving,
	}})
	c.Eventually("the other entry knows", func() bool {
		var s testfleet.EntryStatus
		is.NoErr(c.CallAdmin(c.Entries[1], http.MethodGet, "/status", &s))
		for _, tg := range s.Targets {
			if tg.ID == leaving.ID() {
				return tg.Leaving
			}
		}
		return false
	})
	before := leaving.Counters().Started
	c.Signal(c.Entries[0], syscall.SIGCONT)
	for n := range 20 {
		is.Equal(c.Search(c.Entries[0], testfleet.IdempotentSearch(fmt.Sprintf("after %d", n))).Status, http.StatusOK)
	}
	is.Equal(leaving.Counters().Started, before)
}

// Guards against a request that crashes more than two targets when it is sent repeatedly to all
// entries, and against the refusal of unrelated requests.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 3, Targets: 6, Shards: 12, ServiceMS: 2})
	for _, tg := range c.Targets {
		is.NoErr(tg.Apply(target.Command{Fault: target.FaultCrash, Query: "poison", RestartMS: 60_000}))
	}
	var mu sync.Mutex
	refused := 0
	stop := startLoad(c, 4, func(query string, r testfleet.Result) {
		mu.Lock()
		defer mu.Unlock()
		if r.Err != nil || r.Status != http.StatusOK {
			refused++
			t.Logf("%s: status %d, error %v, %+v", query, r.Status, r.Err, r.Refusal)
		}
	})
	for n := range 12 {
		r := c.Search(c.Entries[n%3], testfleet.IdempotentSearch("poison"))
		is.NoErr(r.Err)
		is.True(r.Status != http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	stop()
	crashes := int64(0)
	for _, tg := range c.Targets {
		crashes += tg.Counters().Crashes
	}
	is.True(crashes <= 2)
	is.Equal(refused, 0)
	is.Equal(c.Search(c.Entries[0], testfleet.IdempotentSearch("poison")).Refusal.Code, status.Quarantined)
}

// Guards against incomplete answers when half of the open connections go silent.
func TestSilentConnectionsLoseNoResults(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 2, Targets: 4, Shards: 8, ServiceMS: 2})
	var mu sync.Mutex
	incomplete := 0
	stop := startLoad(c, 8, func(query string, r testfleet.Result) {
		mu.Lock()
		defer mu.Unlock()
		if r.Err != nil || r.Status != http.StatusOK || r.Answer.Coverage.Ratio < 1 {
			incomplete++
			t.Logf("%s: status %d, error %v, %+v, %+v", query, r.Status, r.Err, r.Refusal, r.Answer.Coverage)
		}
	})
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		for _, tg := range c.Targets {
			tg.Silence(0.5)
		}
	}
	time.Sleep(time.Second)
	stop()
	is.Equal(incomplete, 0)
}

// Guards against answers that mix index versions or shard maps while versions are added and removed
// and the shards are repartitioned during searches.
func TestRepartitionUnderLoad(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 2, Targets: 4, Shards: 8, ServiceMS: 2})
	var mu sync.Mutex
	failed := 0
	stop := startLoad(c, 6, func(query string, r testfleet.Result) {
		mu.Lock()
		defer mu.Unlock()
		if r.Err != nil || r.Status != http.StatusOK {
			failed++
			t.Logf("%s: status %d, error %v, %+v", query, r.Status, r.Err, r.Refusal)
			return
		}
		for _, run := range c.Runs(query) {
			if run.RequestID != r.Answer.RequestID {
				t.Errorf("%s: a run names request %s", query, run.RequestID)
			}
		}
	})
	for version := uint64(2); version <= 6; version++ {
		shards := 6 + int(version)
		_, d := c.Documents(version, shards)
		offered := []ids.Snapshot{{IndexVersion: version, ShardMapEpoch: version}, {IndexVersion: version - 1, ShardMapEpoch: version - 1}}
		if version == 2 {
			offered[1] = ids.Snapshot{IndexVersion: 1, ShardMapEpoch: 1}
		}
		for i := range d.Services {
			d.Services[i].Snapshots[0] = c.Snapshot(version, version, shards)
		}
		for _, tg := range c.Targets {
			tg.SetSnapshots("quote-desk-1", offered)
		}
		c.Publish(platformapi.IndexKey, d)
		time.Sleep(400 * time.Millisecond)
	}
	stop()
	is.Equal(failed, 0)
}

// Guards against hits of other requests or snapshots in an answer when targets send crossed,
// forged, wrong-snapshot and late duplicate replies, and against searches that stop being answered.
func TestWrongRepliesNeverReachACaller(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 2, Targets: 4, Shards: 8, ServiceMS: 2})
	for n, kind := range []target.Kind{target.KindCrossed, target.KindForgedHits, target.KindWrongSnapshot, target.KindLateDuplicate} {
		is.NoErr(c.Targets[n].Apply(target.Command{Fault: target.FaultWrongReply, Kind: kind, Fraction: 0.2}))
	}
	var mu sync.Mutex
	answered := 0
	stop := startLoad(c, 6, func(_ string, r testfleet.Result) {
		mu.Lock()
		defer mu.Unlock()
		if r.Err == nil && r.Status == http.StatusOK {
			answered++
		}
	})
	time.Sleep(2 * time.Second)
	stop()
	is.True(answered > 0)
}

// Guards against a target that gets more attempts from all entries together than the rate limit that
// it announced allows.
func TestRateLimitedTargetGetsNoMoreThanItsLimit(t *testing.T) {
	const limit, window = 5, 4 * time.Second
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 3, Targets: 4, Shards: 8, ServiceMS: 2})
	defer startLoad(c, 6, func(string, testfleet.Result) {})()
	limited := c.Targets[0]
	c.Eventually("the target works", func() bool { return limited.Counters().Started > 20 })
	is.NoErr(limited.Apply(target.Command{Fault: target.FaultLimit, PerSecond: limit}))
	time.Sleep(window)
	before, start := limited.Counters().Started, time.Now()
	time.Sleep(window)
	started, allowed := limited.Counters().Started-before, int64(1.5*limit*time.Since(start).Seconds())+5
	is.True(started > 0)        // The limit is used.
	is.True(started <= allowed) // And respected.
	is.NoErr(limited.Apply(target.Command{Fault: target.FaultLimit, Off: true}))
	c.Eventually("the target works again", func() bool { return limited.Counters().Started > before+started+100 })
}
