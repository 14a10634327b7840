package journal_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/journal"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Compares the journal with a simple model. Guards against a second start of a permit, a start after
// Seal, the loss of a running entry, and the loss of a finished entry whose permit is still valid.
func TestJournalMatchesModel(t *testing.T) {
	type modelEntry struct {
		expires  time.Duration
		finished bool
		record   journal.Record
	}
	rapid.Check(t, func(t *rapid.T) {
		j := journal.New(rapid.IntRange(0, 4).Draw(t, "shards"))
		model, sealed := map[uint64]modelEntry{}, false
		var now, expiredUntil time.Duration
		seqs, clock := rapid.Uint64Range(0, 5), rapid.Int64Range(0, 40)
		check := func(ok bool, what string) {
			if !ok {
				t.Fatalf("%s differs from the model", what)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				seq := seqs.Draw(t, "seq")
				checkedAt := max(0, now-time.Duration(clock.Draw(t, "pause")))
				expires := time.Duration(seq*20) + 30
				e, ok := model[seq]
				want := journal.Started
				switch {
				case ok && e.finished:
					want = journal.Finished
				case ok:
					want = journal.Running
				case expires <= max(checkedAt, expiredUntil):
					want = journal.Expired
				case sealed:
					want = journal.Sealed
				default:
					model[seq] = modelEntry{expires: expires}
				}
				got := j.Begin(seq, checkedAt, expires)
				check(got.State == want && got.Record.HTTPStatus == e.record.HTTPStatus && (got.Done != nil) == (want == journal.Running), "Begin")
			},
			"finish": func(t *rapid.T) {
				seq := seqs.Draw(t, "seq")
				e, ok := model[seq]
				r := journal.Record{Outcome: status.Done, HTTPStatus: rapid.IntRange(1, 9).Draw(t, "status")}
				check(j.Finish(seq, r) == (ok && !e.finished), "Finish")
				if ok && !e.finished {
					model[seq] = modelEntry{e.expires, true, r}
				}
			},
			"release": func(t *rapid.T) {
				seq := seqs.Draw(t, "seq")
				e, ok := model[seq]
				check(j.Release(seq) == (ok && !e.finished), "Release")
				if ok && !e.finished {
					delete(model, seq)
				}
			},
			"expire": func(t *rapid.T) {
				now += time.Duration(clock.Draw(t, "step"))
				expiredUntil = now
				dropped := 0
				for seq, e := range model {
					if e.finished && e.expires <= now {
						delete(model, seq)
						dropped++
					}
				}
				check(j.Expire(now) == dropped, "Expire")
			},
			"seal and export": func(t *rapid.T) {
				if !sealed {
					_, err := j.Export(now)
					check(status.CodeOf(err) == status.Internal, "Export before Seal")
				}
				j.Seal()
				sealed = true
				records, err := j.Export(now)
				check(err == nil, "Export")
				for _, r := range records {
					e := model[r.Sequence]
					check(r.Remaining == e.expires-now && e.expires > now, "Remaining")
					check(e.finished && r.Outcome == status.Done || !e.finished && r.Outcome == status.Unknown, "exported outcome")
					e.finished = true
				}
				for seq, e := range model {
					check(e.expires <= now || containsSequence(records, seq), "set of exported records")
				}
			},
			"": func(t *rapid.T) { check(j.Len() == len(model), "Len") },
		})
	})
}

func containsSequence(records []journal.ExportedRecord, seq uint64) bool {
	for _, r := range records {
		if r.Sequence == seq {
			return true
		}
	}
	return false
}

// Guards against two runs of one permit when many requests race for it, when runs are released, and
// when the journal is sealed meanwhile.
func TestConcurrentBeginsStartOneRunAtATime(t *testing.T) {
	is := is.New(t)
	j := journal.New(4)
	var running, ran atomic.Int32
	var g errgroup.Group
	for i := range 64 {
		g.Go(func() error {
			for {
				switch r := j.Begin(7, 0, time.Hour); r.State {
				case journal.Started:
					if running.Add(1) != 1 {
						return errors.New("two runs at once")
					}
					running.Add(-1)
					if i%4 != 0 {
						j.Release(7)
						return nil
					}
					ran.Add(1)
					j.Finish(7, journal.Record{Outcome: status.Done})
				case journal.Running:
					<-r.Done
				case journal.Finished:
					return nil
				default:
					return errors.New(r.State.String())
				}
			}
		})
	}
	is.NoErr(g.Wait())
	is.Equal(ran.Load(), int32(1))
	j.Begin(8, 0, time.Hour)
	j.Seal()
	is.Equal(j.Begin(9, 0, time.Hour).State, journal.Sealed)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(status.CodeOf(j.WaitIdle(ended)), status.DeadlineExceeded)
	time.AfterFunc(time.Millisecond, func() { j.Finish(8, journal.Record{}) })
	is.NoErr(j.WaitIdle(context.Background()))
}

// Guards against a successor that reports a permit as not run although its record expired before the
// handover, or although no journal was handed over.
func TestInheritedProvesNotRunOnlyForValidPermits(t *testing.T) {
	is := is.New(t)
	inc, table := ids.Incarnation{1}, journal.NewInherited()
	lookup := func(seq uint64, expires, now time.Duration) journal.LookupStatus {
		_, result := table.Lookup(inc, seq, expires, now)
		return result
	}
	is.Equal(lookup(1, time.Hour, 0), journal.UnknownIncarnation)
	// The issuer's clock reads 100 s when this entry's clock reads 5 s.
	table.Import(inc, journal.Handover{
		Records:    []journal.ExportedRecord{{Sequence: 1, Record: journal.Record{HTTPStatus: 200}, Remaining: time.Second}},
		ExportedAt: 100 * time.Second, PermitRemaining: time.Minute,
	}, 5*time.Second)
	is.Equal(lookup(1, 101*time.Second, 7*time.Second), journal.Found)
	is.Equal(lookup(2, 110*time.Second, 7*time.Second), journal.NoRecord)
	is.Equal(lookup(2, 110*time.Second, 15*time.Second), journal.PermitExpired)
	is.Equal(lookup(3, 100*time.Second, 5*time.Second), journal.PermitExpired)
	is.Equal(lookup(1, 101*time.Second, 65*time.Second), journal.UnknownIncarnation)
	is.Equal(table.Expire(65*time.Second), 1)
}

func BenchmarkBeginFinish(b *testing.B) {
	j := journal.New(16)
	var seq atomic.Uint64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := seq.Add(1)
			j.Begin(n, 0, time.Hour)
			j.Finish(n, journal.Record{Outcome: status.Done})
		}
	})
}

func ExampleJournal() {
	j := journal.New(16)
	now, expires := time.Second, time.Minute
	fmt.Println(j.Begin(1, now, expires).State)
	j.Finish(1, journal.Record{Outcome: status.Done, HTTPStatus: 200, Body: []byte("drawing")})
	again := j.Begin(1, now, expires)
	fmt.Println(again.State, string(again.Record.Body))
	// Output:
	// started
	// finished drawing
}
