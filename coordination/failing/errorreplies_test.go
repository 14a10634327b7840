package failing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/failing"
	"github.com/balsamstall/balsamstall/coordination/quarantine"
)

// request returns the request with the given number, unidentified if it is negative.
func request(n int) failing.Request {
	if n < 0 {
		return failing.Request{}
	}
	return failing.Request{Fingerprint: quarantine.Fingerprint{byte(n), byte(n >> 8), byte(n >> 16), 1}}
}

// Guards against error replies that take more work from a target that fails only some requests than
// broken connections at the same times do: at no time may it count as failing because of the former
// only.
func TestErrorRepliesCostAtMostBrokenConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replies, broken, marks := failing.NewErrorReplies(), failing.NewSet(), failing.NewSet()
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "gap_ms")) * ms
			r, target := request(rapid.IntRange(-1, 4).Draw(t, "request")), rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "target")
			record, report := replies.RecordAnswer, false
			if rapid.Bool().Draw(t, "error") {
				broken.Record(failing.Report{Target: target}, now)
				record = replies.RecordError
			}
			var mark failing.Report
			if mark, report = record(r, target, now); report {
				marks.Record(mark, now)
			}
			for _, target := range []string{"t1", "t2", "t3"} {
				if marks.Remaining(target, now) > broken.Remaining(target, now) {
					t.Fatalf("%s counts as failing for %v, after broken connections for %v", target, marks.Remaining(target, now), broken.Remaining(target, now))
				}
			}
		}
	})
}

// Guards against a request that fails anywhere and takes the work from every target that it reaches:
// one target may lose its share, and for FirstErrorTTL only.
func TestRequestThatFailsAnywhereCostsLittle(t *testing.T) {
	is := is.New(t)
	replies, marks := failing.NewErrorReplies(), failing.NewSet()
	marked := time.Duration(0)
	const step = 10 * ms
	for now := time.Duration(0); now < 8*time.Second; now += step {
		if now%(200*ms) == 0 { // Its caller repeats it five times a second.
			target := []string{"t1", "t2", "t2", "t3", "t3", "t1"}[now/(200*ms)%6]
			if r, ok := replies.RecordError(request(7), target, now); ok {
				marks.Record(r, now)
			}
		}
		for _, target := range []string{"t1", "t2", "t3"} {
			if marks.Has(target, now) {
				marked += step
			}
		}
	}
	is.True(marked > 0)
	is.True(marked <= failing.FirstErrorTTL)
}

// Guards against a target that fails every request and keeps its work: an answer of another target to
// the same request, an error reply to another request, and the report of a peer each confirm it.
func TestConfirmedErrorReplyCountsForTTL(t *testing.T) {
	is := is.New(t)
	full := func(r failing.Report, ok bool) { t.Helper(); is.True(ok); is.True(r.Age < 100*ms) }
	e := failing.NewErrorReplies()
	first, ok := e.RecordError(request(1), "t1", 0)
	is.True(ok)
	is.Equal(first, failing.Report{Target: "t1", Age: failing.TTL - failing.FirstErrorTTL})
	r, ok := e.RecordAnswer(request(1), "t2", 20*ms)
	full(r, ok)
	is.Equal(r.Target, "t1")
	is.Equal(e.Pending(), 0)
	full(e.RecordError(request(2), "t1", time.Second))

	e.RecordReport("t3", time.Second)
	full(e.RecordError(request(3), "t3", 2*time.Second))
	// The peer may have reported the error that this entry saw.
	e.RecordError(request(4), "t4", time.Second)
	e.RecordReport("t4", time.Second)
	r, _ = e.RecordError(request(4), "t4", 2*time.Second)
	is.Equal(r.Age, failing.TTL-failing.FirstErrorTTL)
	// The last error of t1 is forgotten by then.
	r, _ = e.RecordError(request(5), "t1", time.Minute)
	is.Equal(r.Age, failing.TTL-failing.FirstErrorTTL)
	is.Equal(e.Pending(), 1)
}

// Guards against reports of error replies that come too late to help. One of three replicas fails
// every request for 5 s, at 61 entries that together send it 14 requests per second; a report reaches
// every entry within 50 ms. Without reports, 59 requests fail.
func TestFleetStopsSendingToFailingTarget(t *testing.T) {
	const entries, duration, rate, delay, seeds = 61, 5 * time.Second, 3 * 14.0, 50 * ms, 20
	failed, alone := 0, 0
	for seed := range uint64(seeds) {
		for _, exchange := range []bool{true, false} {
			n := failedRequests(rand.New(rand.NewPCG(seed, 2)), entries, duration, rate, delay, exchange)
			if exchange {
				failed += n
			} else {
				alone += n
			}
		}
	}
	t.Logf("requests that failed in %v, mean of %d seeds: %.1f without reports, %.1f with reports", duration, seeds, float64(alone)/seeds, float64(failed)/seeds)
	if failed*5 > alone {
		t.Errorf("%d requests failed, %d without reports", failed, alone)
	}
}

// failedRequests returns the number of requests that t1 fails. Entries send requests at the given rate
// to t1, t2 or t3, and to t1 only while it does not count as failing.
func failedRequests(rng *rand.Rand, entries int, duration time.Duration, rate float64, delay time.Duration, exchange bool) int {
	type inFlight struct {
		from   int
		at     time.Duration
		report failing.Report
	}
	sets, replies := make([]*failing.Set, entries), make([]*failing.ErrorReplies, entries)
	for i := range entries {
		sets[i], replies[i] = failing.NewSet(), failing.NewErrorReplies()
	}
	var sent []inFlight
	failed := 0
	for now, n := time.Duration(0), 0; now < duration; n++ {
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for len(sent) > 0 && exchange && sent[0].at+delay <= now {
			m := sent[0]
			sent = sent[1:]
			for i := range entries {
				if arrival := m.at + delay; i != m.from && sets[i].Record(m.report, arrival) {
					replies[i].RecordReport(m.report.Target, arrival)
				}
			}
		}
		i := rng.IntN(entries)
		if rng.IntN(3) > 0 || sets[i].Has("t1", now) {
			continue
		}
		failed++
		if r, ok := replies[i].RecordError(request(n), "t1", now); ok {
			sets[i].Record(r, now)
			sent = append(sent, inFlight{i, now, r})
		}
	}
	return failed
}

// Guards against error replies that allocate or wait on the path of every answer.
func BenchmarkRecordAnswer(b *testing.B) {
	e := failing.NewErrorReplies()
	e.RecordError(request(1), "t1", 0)
	b.ReportAllocs()
	for b.Loop() {
		e.RecordAnswer(request(2), "t2", time.Second)
	}
}
