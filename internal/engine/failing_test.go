package engine_test

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/failing"
	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// testEntry is an engine with one shard of three targets, t0 to t2, without a network.
type testEntry struct {
	*engine.Engine
	metrics engine.Metrics
	// notified counts the immediate notifications of peers.
	notified int
}

func newTestEntry() *testEntry {
	e := &testEntry{}
	e.Engine = engine.New(engine.Config{
		Self: engine.Identity{Entry: "entry", Zone: "a", Incarnation: ids.NewIncarnation(), Start: time.Now().Add(-time.Hour)}, Log: zerolog.Nop(),
		Targets: noConnections{}, FingerprintKey: []byte("key"), PolicyOn: true, Metrics: &e.metrics, NotifyPeers: func() { e.notified++ },
	})
	c := &engine.Catalogue{Entries: 1, Services: []engine.CatalogueService{{Name: "s", Shards: 1, Slots: 30, MaxConcurrency: 100, Priority: 1}},
		Groups:  []engine.CatalogueGroup{{Name: "g", RepeatMinimumFraction: 1, Slots: 30}},
		Repeats: retrybudget.FleetSettings{Ratio: 0.2, Minimum: 52, Window: 10 * time.Second}}
	for _, t := range testTargets {
		c.Targets = append(c.Targets, engine.CatalogueTarget{ID: t, Zone: "a", Slots: 10})
	}
	e.SetCatalogue(c)
	return e
}

var testTargets = []string{"t0", "t1", "t2"}

type noConnections struct{}

func (noConnections) Reachable(context.Context, string) bool { return true }
func (noConnections) DropIdle()                              {}

// request returns a request for one shard whose attempts reply answers.
func (e *testEntry) request(content string, reply func(ctx context.Context, target string) error) (*engine.Request, *testWork) {
	w := &testWork{shards: [][]string{testTargets}, versions: 1, reply: reply}
	return &engine.Request{ID: content, Service: "s", Arrival: time.Now(), Deadline: time.Now().Add(time.Second), SkipAdmission: true, Priority: 1,
		Fingerprint: e.Fingerprint("w", "s", content, nil), Groups: []string{"g"}, GroupTargets: [][]string{testTargets}, Work: w}, w
}

// testWork implements engine.Work.
type testWork struct {
	shards [][]string
	// versions is the number of index versions of the shards.
	versions uint64
	reply    func(ctx context.Context, target string) error

	mu sync.Mutex
	// sent lists the targets of the attempts. Guarded by mu.
	sent []string
}

func (w *testWork) ChooseSnapshot(_ func(string) bool, excluded func(ids.Snapshot) bool) (*index.Snapshot, int, bool) {
	for version := uint64(1); version <= w.versions; version++ {
		if s := (ids.Snapshot{IndexVersion: version}); excluded == nil || !excluded(s) {
			return &index.Snapshot{Snapshot: s, Shards: w.shards}, len(w.shards), true
		}
	}
	return nil, 0, false
}
func (w *testWork) StartMerge(*index.Snapshot)        {}
func (w *testWork) Accept(int, any)                   {}
func (w *testWork) MarkMissing(int, callerapi.Reason) {}

func (w *testWork) Send(ctx context.Context, a engine.Attempt) (any, error) {
	w.mu.Lock()
	w.sent = append(w.sent, a.Target)
	w.mu.Unlock()
	if err := w.reply(ctx, a.Target); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

// errorReply is the error of an attempt that a target answered with the given HTTP status.
func errorReply(code int) error {
	return status.Wrap(&relayapi.ReplyError{Reply: &relayapi.Reply{HTTPStatus: code}}, status.Unavailable, status.Unknown, "target failed")
}

// Guards against an at-most-once request that is sent a second time because its target counts as
// failing, and against an error reply that peers learn of with the next exchange only.
func TestErrorReplyIsReportedAndNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newTestEntry()
		req, w := e.request("once", func(context.Context, string) error { return errorReply(http.StatusInternalServerError) })
		_, err := e.RunOnce(t.Context(), req)
		is.Equal(status.From(err).Outcome, status.Unknown)
		is.Equal(len(w.sent), 1)
		is.Equal(e.FailingTargets(), []failing.Report{{Target: w.sent[0], Age: failing.TTL - failing.FirstErrorTTL}})
		is.Equal(e.notified, 1)
		// Two other targets answer the same request with an error: it is at fault.
		for range 2 {
			req, _ := e.request("once", func(context.Context, string) error { return errorReply(http.StatusInternalServerError) })
			e.RunOnce(t.Context(), req)
		}
		is.Equal(e.metrics.ErrorReplies.Get("first").String(), "1")
		is.Equal(e.metrics.ErrorReplies.Get("request").String(), "2")
		is.Equal(e.metrics.ErrorReplies.Get("confirmed"), nil)
	})
}

// Guards against replies that mark their target although they state no fault of it: other statuses,
// and a status 500 for a request that the target did not run.
func TestOnlyStatus500MarksTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newTestEntry()
		notRun := status.From(errorReply(http.StatusInternalServerError))
		notRun.Outcome = status.NotRun
		for _, err := range []error{errorReply(http.StatusNotFound), errorReply(http.StatusNotImplemented), notRun} {
			req, _ := e.request("bad", func(context.Context, string) error { return err })
			e.RunOnce(t.Context(), req)
		}
		is.Equal(len(e.FailingTargets()), 0)
	})
}

// Guards against a target that fails every request and keeps its share: once another target has
// answered the request that it failed, it counts as failing for the full time and gets no work.
func TestAnswerElsewhereConfirmsErrorReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newTestEntry()
		bad, failed := "", 0
		answer := func(_ context.Context, target string) error {
			time.Sleep(time.Millisecond)
			if bad = cmp.Or(bad, target); target != bad {
				return nil
			}
			failed++
			return errorReply(http.StatusInternalServerError)
		}
		req, w := e.request("search", answer)
		_, err := e.Run(t.Context(), req)
		is.NoErr(err)
		is.Equal(len(w.sent), 2)
		is.Equal(e.FailingTargets(), []failing.Report{{Target: bad, Age: time.Millisecond}})
		is.Equal(e.notified, 2)
		for range 100 {
			req, _ := e.request("search", answer)
			_, err := e.Run(t.Context(), req)
			is.NoErr(err)
		}
		synctest.Wait()
		is.Equal(failed, 1)
	})
}

// Guards against reports that stop at the peers of the entry that made them, and against pushes
// without a bound when many targets fail.
func TestNewReportsArePassedOnAtLimitedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newTestEntry()
		e.MergeFailingReport("peer", failing.Report{Target: "t0", Age: failing.TTL - failing.FirstErrorTTL})
		is.Equal(e.notified, 1)
		e.MergeFailingReport("peer", failing.Report{Target: "t0", Age: failing.TTL - failing.FirstErrorTTL})
		is.Equal(e.notified, 1)
		e.MergeFailingReport("peer", failing.Report{Target: "t0"})
		is.Equal(e.notified, 2)
		for range 50 {
			for _, target := range slices.Repeat(testTargets, 20) {
				e.MergeFailingReport("peer", failing.Report{Target: target})
			}
			time.Sleep(failing.TTL)
		}
		is.True(e.notified <= 2+4+50*4)
		is.True(e.notified > 50)
		burst := e.notified
		for n := range 100 {
			e.MergeFailingReport("peer", failing.Report{Target: string(rune('A' + n))})
		}
		is.True(e.notified <= burst+4)
	})
}
