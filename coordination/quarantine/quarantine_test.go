package quarantine_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/status"
)

func fingerprint(n int) quarantine.Fingerprint { return quarantine.Fingerprint{byte(n), byte(n >> 8)} }

// Guards against a quarantine without a crash in an isolated run, and against a third run of a
// request whose isolated run crashed another target.
func TestOnlyIsolatedCrashOfNewTargetQuarantines(t *testing.T) {
	is := is.New(t)
	d, fp := quarantine.New(quarantine.DefaultSettings()), fingerprint(1)
	is.Equal(d.Decide(fp, 0).Verdict, quarantine.Allow)
	is.True(!d.RecordCrash(fp, quarantine.Run{Target: "t1", Isolated: false}, 0))
	is.True(!d.RecordCrash(fp, quarantine.Run{Target: "t2", Isolated: false}, 0))
	is.Equal(d.Decide(fp, 1), quarantine.Decision{Verdict: quarantine.Isolate, Avoid: []string{"t1", "t2"}})
	var e *status.Error
	is.True(errors.As(d.Decide(fp, 1).Err(), &e)) // a second run during the isolated run
	is.Equal(*e, status.Error{Code: status.Quarantined, Outcome: status.NotRun, Message: e.Message, RetryAfter: time.Second})
	is.True(!d.RecordCrash(fp, quarantine.Run{Target: "t1", Isolated: true}, 2)) // a repeat crash of a target leads to quarantine only the second time
	d.RecordIsolatedEnd(fp, false, 2)
	is.Equal(d.Decide(fp, 3).Verdict, quarantine.Isolate)
	is.True(d.RecordCrash(fp, quarantine.Run{Target: "t3", Isolated: true}, 4))
	d.RecordIsolatedEnd(fp, true, 5) // an answer to another attempt does not clear a quarantined request
	is.Equal(d.Decide(fp, 4+time.Minute), quarantine.Decision{Verdict: quarantine.Refuse, RetryAfter: 9 * time.Minute})
	is.Equal(d.Decide(fp, 4+10*time.Minute).Verdict, quarantine.Allow)
}

// Guards against the quarantine of a harmless request, which another target answered in the same run,
// because its isolated run coincided with a crash that another request caused; and against a request
// that crashes the targets of one shard only and is never quarantined.
func TestAnsweredElsewhereIsQuarantinedAfterTwoIsolatedCrashes(t *testing.T) {
	is := is.New(t)
	d, fp := quarantine.New(quarantine.DefaultSettings()), fingerprint(1)
	is.True(!d.RecordCrash(fp, quarantine.Run{Target: "t1", AnsweredElsewhere: true}, 0))
	d.Decide(fp, 1)
	is.True(!d.RecordCrash(fp, quarantine.Run{Target: "t2", Isolated: true, AnsweredElsewhere: true}, 2))
	d.RecordIsolatedEnd(fp, false, 2)
	is.Equal(d.Decide(fp, 3), quarantine.Decision{Verdict: quarantine.Isolate, Avoid: []string{"t1", "t2"}})
	is.True(d.RecordCrash(fp, quarantine.Run{Target: "t3", Isolated: true, AnsweredElsewhere: true}, 4))
}

// Guards against two entries that prefer the same target for isolated runs, and against an entry that
// prefers no target although there are enough.
func TestEachTargetIsPreferredByOneEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 1, 9, rapid.ID)
		entries, targets := names.Draw(t, "entries"), names.Draw(t, "targets")
		preferredBy := map[string]string{}
		for _, e := range entries {
			preferred := quarantine.PreferredTargets(e, rapid.Permutation(entries).Draw(t, "view"), rapid.Permutation(targets).Draw(t, "list"))
			if len(preferred) < len(targets)/len(entries) {
				t.Fatalf("%s prefers %v", e, preferred)
			}
			for _, target := range preferred {
				if preferredBy[target] != "" {
					t.Fatalf("%s and %s prefer %s", preferredBy[target], e, target)
				}
				preferredBy[target] = e
			}
		}
		if len(preferredBy) != len(targets) {
			t.Fatalf("only %v are preferred by an entry", preferredBy)
		}
		if preferred := quarantine.PreferredTargets("", entries, targets); preferred != nil {
			t.Fatalf("an unknown entry prefers %v", preferred)
		}
	})
}

// Guards against a request that stays a suspect after its isolated run was answered, and against an
// older fact from a peer that makes it a suspect again.
func TestAnswerClearsSuspect(t *testing.T) {
	is := is.New(t)
	d, fp := quarantine.New(quarantine.DefaultSettings()), fingerprint(1)
	d.RecordCrash(fp, quarantine.Run{Target: "t1", Isolated: false}, 0)
	old := d.Facts(0, 10)
	is.Equal(old.Crashes, []quarantine.CrashFact{{Fingerprint: fp, Target: "t1", Remaining: 10 * time.Minute}})
	d.Decide(fp, 1)
	d.RecordIsolatedEnd(fp, true, 2)
	d.Merge(old, 3)
	is.Equal(d.Decide(fp, 4).Verdict, quarantine.Allow)
	is.Equal(len(d.Facts(4, 10).Crashes), 0)
	d.RecordCrash(fp, quarantine.Run{Target: "t1", Isolated: false}, 5)
	is.Equal(d.Decide(fp, 6).Verdict, quarantine.Isolate)
}

// Guards against unbounded memory, against suspects that evict quarantined fingerprints, and against
// facts from peers that outlive the periods in the settings or keep each other alive.
func TestTableIsBoundedAndFactsExpire(t *testing.T) {
	s := quarantine.DefaultSettings()
	s.MaxFingerprints = 4
	rapid.Check(t, func(t *rapid.T) {
		a, b := quarantine.New(s), quarantine.New(s)
		var now time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				a.RecordCrash(fingerprint(rapid.IntRange(0, 9).Draw(t, "fp")), quarantine.Run{Target: rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "target"), Isolated: rapid.Bool().Draw(t, "alone"), AnsweredElsewhere: rapid.Bool().Draw(t, "proven")}, now)
			},
			"decide": func(t *rapid.T) {
				fp := fingerprint(rapid.IntRange(0, 9).Draw(t, "fp"))
				if d := a.Decide(fp, now); (d.Verdict == quarantine.Refuse) != (d.RetryAfter > 0) || d.RetryAfter > s.QuarantinePeriod {
					t.Fatalf("got %+v", d)
				}
				a.RecordIsolatedEnd(fp, rapid.Bool().Draw(t, "answered"), now)
			},
			"merge": func(t *rapid.T) {
				fp, remaining := fingerprint(rapid.IntRange(0, 9).Draw(t, "fp")), time.Duration(rapid.Int64().Draw(t, "remaining"))
				before := a.Quarantined(now)
				a.Merge(quarantine.Facts{Crashes: []quarantine.CrashFact{{fp, "t9", remaining}}}, now)
				if before < s.MaxFingerprints && a.Quarantined(now) < before {
					t.Fatalf("a suspect evicted a quarantined fingerprint")
				}
				a.Merge(quarantine.Facts{Quarantines: []quarantine.QuarantineFact{{fp, remaining}}}, now)
			},
			"exchange": func(t *rapid.T) {
				b.Merge(a.Facts(now, 100), now)
				now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "travel"))
				a.Merge(b.Facts(now, 100), now)
			},
			"": func(t *rapid.T) {
				if a.Len() > s.MaxFingerprints || b.Len() > s.MaxFingerprints {
					t.Fatalf("%d and %d fingerprints", a.Len(), b.Len())
				}
			},
		})
		// With transit times up to 0.9 s, the facts of two peers expire soon after the period.
		for end := now + s.QuarantinePeriod + s.SuspicionPeriod; now < end; now += 900 * time.Millisecond {
			a.Merge(b.Facts(now, 100), now+900*time.Millisecond)
			b.Merge(a.Facts(now, 100), now+900*time.Millisecond)
		}
		if f := a.Facts(now, 100); len(f.Crashes)+len(f.Quarantines) > 0 {
			t.Fatalf("facts keep each other alive: %+v", f)
		}
	})
}

// Guards against equal fingerprints for different divisions into fields, and against a fingerprint
// that a caller can compute.
func TestFingerprintIsKeyedAndKeepsFieldsApart(t *testing.T) {
	is := is.New(t)
	k := quarantine.NewKeyer([]byte("key"))
	is.Equal(k.Fingerprint("a", "b", "c", nil), k.Fingerprint("a", "b", "c", nil))
	is.True(k.Fingerprint("ab", "", "c", nil) != k.Fingerprint("a", "b", "c", nil))
	is.True(quarantine.NewKeyer([]byte("other")).Fingerprint("a", "b", "c", nil) != k.Fingerprint("a", "b", "c", nil))
	_, err := quarantine.ParseFingerprint(make([]byte, 15))
	is.Equal(status.CodeOf(err), status.InvalidArgument)
}

func BenchmarkDecideFullTable(b *testing.B) {
	s := quarantine.DefaultSettings()
	d := quarantine.New(s)
	for i := range s.MaxFingerprints {
		d.RecordCrash(fingerprint(i), quarantine.Run{Target: "t1"}, time.Duration(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.Decide(fingerprint(i%(2*s.MaxFingerprints)), time.Second)
	}
}

func ExampleDetector() {
	fp := quarantine.NewKeyer([]byte("key")).Fingerprint("toolroom-7", "quote-desk-1", "clamp", nil)
	d := quarantine.New(quarantine.DefaultSettings())
	d.RecordCrash(fp, quarantine.Run{Target: "t1", Isolated: false}, 0)
	fmt.Println(d.Decide(fp, time.Second))
	d.RecordCrash(fp, quarantine.Run{Target: "t2", Isolated: true}, 2*time.Second)
	d.RecordIsolatedEnd(fp, false, 2*time.Second)
	fmt.Println(d.Decide(fp, 3*time.Second).Err())
	// Output:
	// {alone 0s [t1]}
	// quarantined: the request coincided with crashes of the targets that ran it
}
