package pause

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a pause that is missed on either clock, and against a pause that is reported
// although the tick is on time.
func TestReportsExactlyLateTicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		d, now, wall := New(s, 0, start), time.Duration(0), start
		for range rapid.IntRange(1, 20).Draw(t, "ticks") {
			mono := time.Duration(rapid.IntRange(0, 1_000).Draw(t, "mono")) * time.Millisecond
			wallStep := time.Duration(rapid.IntRange(-1_000, 1_000).Draw(t, "wall")) * time.Millisecond
			now, wall = now+mono, wall.Add(wallStep)
			_, checked := d.Check(now, wall)
			gap, paused := d.Tick(now, wall)
			if want := max(mono, wallStep) > s.Interval+s.Threshold; paused != want || checked != want {
				t.Fatalf("paused %v, checked %v after %v and %v: %+v", paused, checked, mono, wallStep, gap)
			}
			if _, again := d.Check(now+s.Interval, wall.Add(s.Interval)); again {
				t.Fatalf("the pause is reported twice")
			}
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	d := New(DefaultSettings(), 0, start)
	b.ReportAllocs()
	for b.Loop() {
		d.Check(100*time.Millisecond, start)
	}
}

func Example() {
	wall := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	detector := New(DefaultSettings(), 0, wall)

	// The machine was suspended for a minute: only the wall clock shows it.
	gap, paused := detector.Tick(100*time.Millisecond, wall.Add(time.Minute))
	fmt.Println(paused, gap.Longest())
	// Output: true 59.9s
}
