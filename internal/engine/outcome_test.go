package engine_test

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// settleTime is the time after which everything that a request has started has ended.
const settleTime = 5 * time.Second

// gathered returns a request that needs the replies of all of several shards.
func (e *testEntry) gathered(shards int, reply func(ctx context.Context, target string) error) (*engine.Request, *testWork) {
	req, w := e.request("gathered", reply)
	w.shards = slices.Repeat(w.shards, shards)
	req.Groups, req.GroupTargets = slices.Repeat(req.Groups, shards), w.shards
	req.Contract = engine.Contract{RequireMinRatio: true, MaxRuns: 2, Cutoff: coverage.Cutoff{Goal: 500 * time.Millisecond, Reserve: 10 * time.Millisecond, MinRatio: 1}}
	return req, w
}

// awaitConnection is an attempt that waits for a connection until ctx ends.
func awaitConnection(ctx context.Context) error {
	<-ctx.Done()
	return ended(ctx, status.NotRun)
}

// ended returns the error of an attempt whose context has ended.
func ended(ctx context.Context, outcome status.Outcome) error {
	code := status.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = status.DeadlineExceeded
	}
	return status.New(code, outcome, "the context has ended")
}

func refused() error { return status.New(status.ConnectionFailed, status.NotRun, "connection refused") }

// Guards against requests that ran on no target and are not refused as such, because attempts that
// waited for a connection had not reported when the error was made.
func TestRequestThatRanNowhereIsNotRun(t *testing.T) {
	for name, reply := range map[string]func(calls int64, ctx context.Context) error{
		"deadline while attempts wait for a connection": func(_ int64, ctx context.Context) error { return awaitConnection(ctx) },
		"shard refused while attempts wait for a connection": func(calls int64, ctx context.Context) error {
			if calls == 1 {
				return awaitConnection(ctx)
			}
			return refused()
		},
		"every attempt refused": func(int64, context.Context) error { return refused() },
		"snapshot not served by any target": func(int64, context.Context) error {
			return status.New(status.VersionUnavailable, status.NotRun, "unknown snapshot")
		},
		"attempts canceled before a byte was sent": func(calls int64, ctx context.Context) error {
			if calls == 1 {
				return refused()
			}
			<-ctx.Done()
			time.Sleep(time.Millisecond) // Attempts take a moment to end.
			return ended(ctx, status.NotRun)
		},
	} {
		for _, shards := range []int{1, 3} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					defer time.Sleep(settleTime)
					e := newTestEntry()
					var calls atomic.Int64
					req, _ := e.gathered(shards, func(ctx context.Context, _ string) error { return reply(calls.Add(1), ctx) })
					_, err := e.Run(t.Context(), req)
					is.Equal(status.From(err).Outcome, status.NotRun)
					is.True(status.From(err).RetryAfter > 0)
					is.True(!time.Now().After(req.Deadline.Add(time.Millisecond)))
				})
			})
		}
	}
}

// Guards against a request that is restarted at another snapshot after its targets refused the first one,
// and that counts as run because of the restart.
func TestRestartedRequestThatRanNowhereIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer time.Sleep(settleTime)
		e := newTestEntry()
		req, w := e.gathered(1, func(context.Context, string) error {
			return status.New(status.VersionUnavailable, status.NotRun, "unknown snapshot")
		})
		w.versions = 2
		_, err := e.Run(t.Context(), req)
		is.Equal(status.From(err).Outcome, status.NotRun)
		is.True(len(w.sent) > len(testTargets))
	})
}

// Guards against a refusal of a restarted request of which an attempt at the first snapshot has run.
func TestRestartKeepsRunOfFirstSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer time.Sleep(settleTime)
		e := newTestEntry()
		var calls atomic.Int64
		req, w := e.gathered(2, func(ctx context.Context, _ string) error {
			switch n := calls.Add(1); {
			case n == 1:
				<-ctx.Done()
				return ended(ctx, status.Unknown)
			case n <= 1+int64(len(testTargets)): // Each target of the other shard.
				return status.New(status.VersionUnavailable, status.NotRun, "unknown snapshot")
			}
			return refused()
		})
		w.versions = 2
		_, err := e.Run(t.Context(), req)
		is.Equal(status.From(err).Outcome, status.Unknown)
		is.True(calls.Load() > 1+int64(len(testTargets)))
	})
}

// Guards against a refusal that promises that a request has not run although an attempt reached its
// target, or reaches it after the refusal.
func TestNotRunHoldsForEveryAttempt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 3).Draw(rt, "shards")
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"refused", "waits", "waits late", "sends", "sends late", "broken", "replies", "outdated"}), 1, 12).Draw(rt, "attempts")
		stop := time.Duration(rapid.SampledFrom([]int{1, 40, 2000}).Draw(rt, "stop_ms")) * time.Millisecond
		var err error
		var reached int64
		synctest.Test(t, func(t *testing.T) {
			e := newTestEntry()
			var calls, sent atomic.Int64
			req, w := e.gathered(shards, func(ctx context.Context, _ string) error {
				switch kinds[int(calls.Add(1)-1)%len(kinds)] {
				case "refused":
					time.Sleep(10 * time.Millisecond)
					return refused()
				case "waits":
					return awaitConnection(ctx)
				case "waits late":
					<-ctx.Done()
					time.Sleep(time.Second)
					return ended(ctx, status.NotRun)
				case "sends":
					sent.Add(1)
					<-ctx.Done()
					return ended(ctx, status.Unknown)
				case "sends late":
					<-ctx.Done()
					time.Sleep(time.Second)
					sent.Add(1)
					return ended(ctx, status.Unknown)
				case "outdated":
					return status.New(status.VersionUnavailable, status.NotRun, "unknown snapshot")
				case "broken":
					sent.Add(1)
					return status.New(status.ConnectionFailed, status.Unknown, "connection reset")
				}
				sent.Add(1)
				return nil
			})
			w.versions = 3
			ctx, cancel := context.WithTimeout(t.Context(), stop)
			defer cancel()
			_, err = e.Run(ctx, req)
			time.Sleep(settleTime)
			reached = sent.Load()
		})
		if reached > 0 && err != nil && status.From(err).Outcome == status.NotRun {
			rt.Fatalf("%d attempts reached a target, and the error is %v", reached, err)
		}
	})
}
