package notice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/notice"
)

// Guards against a target that gets new work although the listed incarnation stated that it is
// leaving, however often the list expires, and against a target that gets none after a restart.
func TestStatedLeavingLastsForTheIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := notice.NewLeaving()
		now, started, stated := time.Duration(0), int64(2), int64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				l.SetListed(map[string]int64{"t": started}, now)
				l.MarkStated(notice.Target{ID: "t"})
				stated = started
			case 1: // The list expires and is restored.
				l.SetListed(nil, now)
				now += time.Minute
				l.Expire(now)
			case 2:
				started++
			case 3:
				l.MarkUntil(notice.Target{ID: "t", Started: started - 1}, now, now+time.Second)
			case 4:
				l.Expire(now)
			}
			l.SetListed(map[string]int64{"t": started}, now)
			if got := l.Has("t", now); got != (stated == started) {
				t.Fatalf("start %d: stated that it is leaving: %v, counts as leaving: %v", started, stated == started, got)
			}
		}
	})
}

// Guards against entries that keep extending each other's evidence, against a mark that outlives its
// target, and against unbounded memory.
func TestMarksExpire(t *testing.T) {
	is := is.New(t)
	l := notice.NewLeaving()
	is.True(l.MarkUntil(notice.Target{ID: "t"}, 0, time.Second))
	is.True(!l.MarkUntil(notice.Target{ID: "t"}, 0, time.Second))
	is.Equal(l.Reports(999*time.Millisecond, 0)[0].Remaining, time.Millisecond)
	is.Equal(len(l.Reports(time.Second, 0)), 0)
	for i := range 20_000 {
		l.MarkStated(notice.Target{ID: fmt.Sprint(i)})
	}
	is.Equal(l.Len(), 8192)
	l.SetListed(map[string]int64{"3": 7}, time.Second)
	l.Expire(time.Hour)
	is.Equal(l.Len(), 1) // Only the target that is still listed.
	is.Equal(l.Stated([]string{"2", "3"}), []notice.Target{{ID: "3"}})
}

// Guards against a hold-off that a later, shorter one cuts short, against an excessive one that
// blocks a target indefinitely, and against one that applies to the next incarnation.
func TestHoldOffs(t *testing.T) {
	is := is.New(t)
	h := notice.NewHoldOffs()
	first := notice.Target{ID: "t", Started: 1}
	h.Record(first, 0, 10*time.Second)
	h.Record(first, time.Second, time.Second)
	h.Record(first, time.Second, -time.Second)
	is.Equal(h.Until("t", 9*time.Second), 10*time.Second)
	is.Equal(h.Until("t", 10*time.Second), time.Duration(0))
	is.Equal(h.Record(first, 0, 1000*time.Hour), notice.MaxHoldOff)
	h.SetListed(map[string]int64{"t": 1})
	is.Equal(h.Until("t", time.Minute), notice.MaxHoldOff)
	h.SetListed(map[string]int64{"t": 2})
	is.Equal(h.Until("t", time.Minute), time.Duration(0))
	h.Record(first, 0, time.Second)
	h.Expire(time.Second)
	is.Equal(h.Len(), 0)
}

func BenchmarkHas(b *testing.B) {
	l := notice.NewLeaving()
	for i := range 1000 {
		l.MarkStated(notice.Target{ID: fmt.Sprint(i)})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Has("500", 0)
	}
}

func Example() {
	l, h := notice.NewLeaving(), notice.NewHoldOffs()
	l.SetListed(map[string]int64{"i-7309": 1}, 0)
	l.MarkStated(notice.Target{ID: "i-7309"})
	h.Record(notice.Target{ID: "i-11"}, 0, 3*time.Second)
	fmt.Println(l.Has("i-7309", time.Hour), h.Until("i-11", time.Second))
	l.SetListed(map[string]int64{"i-7309": 2}, time.Hour)
	fmt.Println(l.Has("i-7309", time.Hour), h.Until("i-11", time.Hour))
	// Output:
	// true 3s
	// false 0s
}
