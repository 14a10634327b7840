package detached

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// suspect records failed attempts at three targets.
func suspect(d *Detector, now time.Duration) {
	for _, target := range []string{"a", "b", "c"} {
		d.RecordRefused(now, target)
	}
}

// detach makes d detached at the given time.
func detach(t *testing.T, d *Detector, now time.Duration) {
	t.Helper()
	suspect(d, now)
	is := is.New(t)
	is.True(d.StartCheck(now))
	is.True(d.FinishCheck(now, 3, 0))
}

// Guards against an entry that notices a partition only after its attempts have timed out.
func TestUnansweredAttemptsCauseACheck(t *testing.T) {
	is := is.New(t)
	d := New(DefaultSettings())
	d.RecordReply(100 * ms)
	for i, target := range []string{"a", "b", "c"} {
		is.True(!d.StartCheck(time.Second))
		d.RecordUnanswered(200*ms, time.Duration(110+i)*ms, target)
	}
	is.True(d.StartCheck(200 * ms))
	is.True(!d.StartCheck(201 * ms)) // One check at a time.
}

// Guards against checks because of slow targets: others have replied since the attempts began.
func TestRepliesClearUnansweredAttempts(t *testing.T) {
	is := is.New(t)
	d := New(DefaultSettings())
	for _, target := range []string{"a", "b", "c"} {
		d.RecordUnanswered(100*ms, 0, target)
	}
	d.RecordReply(110 * ms)
	d.RecordUnanswered(200*ms, 100*ms, "d")
	d.RecordUnanswered(200*ms, 190*ms, "e")
	is.True(!d.Suspected(200 * ms))
}

// Guards against an entry that does not notice that it can open no connections while its old ones
// still work.
func TestRefusedConnectionsAreSuspectDespiteReplies(t *testing.T) {
	is := is.New(t)
	d := New(DefaultSettings())
	suspect(d, 100*ms)
	d.RecordReply(110 * ms)
	is.True(d.StartCheck(120 * ms))
}

// Guards against taking targets in trouble for a partition of the entry: peers do not reach them
// either, or the entry reaches what peers reach.
func TestTargetsInTroubleDoNotDetach(t *testing.T) {
	is := is.New(t)
	for _, result := range []struct{ candidates, reached int }{{0, 0}, {3, 1}} {
		d := New(DefaultSettings())
		suspect(d, 0)
		is.True(d.StartCheck(0))
		is.True(!d.FinishCheck(100*ms, result.candidates, result.reached))
		is.True(!d.Detached())
	}
}

// Guards against a stream of checks while targets are in trouble.
func TestChecksWithoutResultBecomeRare(t *testing.T) {
	is := is.New(t)
	d := New(DefaultSettings())
	checks := 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * ms {
		suspect(d, now)
		if d.StartCheck(now) {
			d.FinishCheck(now, 3, 1)
			checks++
		}
	}
	is.True(checks <= 14)
}

// Guards against flapping: an entry that becomes detached again soon needs more probes to return.
func TestReturnNeedsMoreProbesAfterAFlap(t *testing.T) {
	is := is.New(t)
	d := New(DefaultSettings())
	now := time.Duration(0)
	for _, needed := range []int{2, 4, 8, 8} {
		detach(t, d, now)
		for i := 1; i < needed; i++ {
			is.True(!d.RecordProbe(now, true))
		}
		is.True(d.RecordProbe(now, true))
		now += time.Second
	}
	now += time.Minute
	detach(t, d, now)
	d.RecordProbe(now, true)
	d.RecordProbe(now, false) // Only consecutive successes count.
	is.True(!d.RecordProbe(now, true))
	is.True(d.RecordProbe(now, true))
}

// Guards against an entry that stays detached although every probe succeeds, or becomes detached
// without a failed check.
func TestStateFollowsChecksAndProbes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		d := New(DefaultSettings())
		for now := time.Duration(0); now < 5*time.Second; now += time.Duration(rapid.IntRange(1, 300).Draw(t, "step")) * ms {
			before := d.Detached()
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				d.RecordRefused(now, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target"))
			case 1:
				d.RecordReply(now)
			case 2:
				if d.StartCheck(now) {
					reached := rapid.IntRange(0, 1).Draw(t, "reached")
					is.Equal(d.FinishCheck(now, 2, reached), reached == 0)
				}
				continue
			case 3:
				d.RecordProbe(now, rapid.Bool().Draw(t, "probe"))
			}
			is.True(before || !d.Detached())
		}
		for range DefaultSettings().MaxSuccesses {
			d.RecordProbe(10*time.Second, true)
		}
		is.True(!d.Detached())
	})
}

func BenchmarkRecordReply(b *testing.B) {
	d := New(DefaultSettings())
	for i := range b.N {
		d.RecordReply(time.Duration(i))
		d.StartCheck(time.Duration(i))
	}
}

func Example() {
	d := New(DefaultSettings())
	for _, target := range []string{"t1", "t2", "t3"} {
		d.RecordRefused(0, target)
	}
	if d.StartCheck(0) {
		fmt.Println("detached:", d.FinishCheck(100*time.Millisecond, 4, 0))
	}
	d.RecordProbe(time.Second, true)
	fmt.Println("attached:", d.RecordProbe(2*time.Second, true))
	// Output:
	// detached: true
	// attached: true
}
