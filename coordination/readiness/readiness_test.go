package readiness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordResults records ten results per second in the given period.
func recordResults(c *Checker, from, to time.Duration, served bool) {
	for now := from; now < to; now += 100 * time.Millisecond {
		c.RecordResult(now, served)
	}
}

// Guards against an entry in a partitioned zone that keeps callers whom other zones could serve.
func TestPartitionedEntryTurnsCallersAway(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings(), 0)
	recordResults(c, 0, 5*time.Second, true)
	is.True(c.Ready(5*time.Second, 4900*time.Millisecond, true, false))
	recordResults(c, 5*time.Second, 7*time.Second, false)
	is.True(!c.Ready(7*time.Second, 5*time.Second, true, false))
	// The partition ends: contact with the other zone is enough, because no requests arrive.
	is.True(c.Ready(10*time.Second, 9900*time.Millisecond, true, false))
}

// Guards against entries that all turn callers away because targets are down although they are
// in contact with each other.
func TestFailingTargetsKeepEntriesReady(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings(), 0)
	recordResults(c, 0, 5*time.Second, false)
	is.True(c.Ready(5*time.Second, 4900*time.Millisecond, true, false))
	is.True(c.Ready(5*time.Second, 0, false, false)) // One zone only.
}

// Guards against an entry that can serve but turns callers away because the other zones stopped.
func TestServingEntryStaysReady(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings(), 0)
	recordResults(c, 0, 9*time.Second, true)
	is.True(c.Ready(9*time.Second, 0, true, false))
}

// Guards against an entry with few requests that stays ready although another entry of its zone
// reports a partition, and against an entry that follows such a report although it can serve or
// is in contact with another zone.
func TestPeerPartitionAppliesUnlessContradicted(t *testing.T) {
	is := is.New(t)
	idle, serving, connected := New(DefaultSettings(), 0), New(DefaultSettings(), 0), New(DefaultSettings(), 0)
	idle.RecordResult(4*time.Second, false)
	recordResults(serving, 0, 5*time.Second, true)
	for _, c := range []*Checker{idle, serving, connected} {
		c.RecordPeerPartitioned(5 * time.Second)
	}
	is.True(!idle.Ready(5*time.Second, 3400*time.Millisecond, true, false))
	is.True(!idle.Partitioned()) // It does not pass on the report.
	is.True(serving.Ready(5*time.Second, 3400*time.Millisecond, true, false))
	is.True(connected.Ready(5*time.Second, 4900*time.Millisecond, true, false))
	is.True(idle.Ready(6*time.Second, 5900*time.Millisecond, true, false)) // The partition ended.
	late := New(DefaultSettings(), 0)
	late.RecordPeerPartitioned(5 * time.Second)
	is.True(late.Ready(8*time.Second, 0, true, false)) // The report has expired.
}

// Simulates a zone of 14 or 30 entries that is partitioned after 1 s, with 1.5 failing requests per
// second and entry. The balancer sends callers to other zones only when all entries of the zone
// are not ready. Guards against a last entry that becomes not ready more than 1 s after the
// first.
func TestEntriesOfZoneTurnCallersAwayTogether(t *testing.T) {
	is := is.New(t)
	for _, entries := range []int{14, 30} {
		for seed := range uint64(20) {
			first, last := simulatePartition(entries, seed, true)
			is.True(last-first <= time.Second)
			if seed == 0 {
				_, lastWithoutReports := simulatePartition(entries, seed, false)
				t.Logf("%d entries: the last is not ready at %v, without reports of peers at %v", entries, last, lastWithoutReports)
			}
		}
	}
}

// simulatePartition returns the times at which the first and the last entry become not ready. report
// enables reports to peers.
func simulatePartition(entries int, seed uint64, report bool) (first, last time.Duration) {
	const partitionStart, interval, perSecond = time.Second, 250 * time.Millisecond, 1.5
	r := rand.New(rand.NewPCG(seed, 1))
	checkers := make([]*Checker, entries)
	for i := range checkers {
		checkers[i] = New(DefaultSettings(), 0)
	}
	notReady := map[int]bool{}
	for now := partitionStart; len(notReady) < entries && now < time.Minute; now += interval {
		for i, c := range checkers {
			if r.Float64() < perSecond*interval.Seconds() {
				c.RecordResult(now, false)
			}
			if !c.Ready(now, partitionStart, true, false) && !notReady[i] {
				notReady[i] = true
				last = now
				if len(notReady) == 1 {
					first = now
				}
			}
			if report && c.Partitioned() {
				for _, other := range checkers {
					other.RecordPeerPartitioned(now)
				}
			}
		}
	}
	return first, last
}

// Guards against an entry that never becomes ready again.
func TestNotReadyEntryBecomesReadyAgain(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings(), 0)
	recordResults(c, 0, 2*time.Second, false)
	is.True(!c.Ready(2*time.Second, 0, true, false))
	is.True(c.Ready(18*time.Second, 0, true, false))
}

func Example() {
	c := New(DefaultSettings(), 0)
	for range 5 {
		c.RecordResult(1800*time.Millisecond, false)
	}
	fmt.Println(c.Ready(2*time.Second, 1900*time.Millisecond, true, false), c.Ready(2*time.Second, 0, true, false))
	// Output: true false
}

func BenchmarkReady(b *testing.B) {
	c := New(DefaultSettings(), 0)
	for b.Loop() {
		c.RecordResult(0, true)
		c.Ready(0, 0, true, false)
	}
}
