package snapshot_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/snapshot"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
)

// Guards against choosing a snapshot when another has higher coverage, or the same coverage
// and is newer. Ratios are in sixtieths, which are exact for up to five shards.
func TestNoSnapshotBeatsTheChosenOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var svc index.Service
		for v := range rapid.IntRange(0, 5).Draw(t, "snapshots") {
			s := index.Snapshot{Snapshot: ids.Snapshot{IndexVersion: uint64(v / 2), ShardMapEpoch: uint64(v % 2)}}
			for range rapid.IntRange(0, 5).Draw(t, "shards") {
				s.Shards = append(s.Shards, rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 2).Draw(t, "targets"))
			}
			svc.Snapshots = append(svc.Snapshots, s)
		}
		svc.Snapshots = rapid.Permutation(svc.Snapshots).Draw(t, "order")
		usable := func(target string) bool { return target != "c" }
		excluded := func(s ids.Snapshot) bool { return s.IndexVersion == 1 }
		ratio := func(s *index.Snapshot) int {
			n := 0
			for _, targets := range s.Shards {
				if slices.ContainsFunc(targets, usable) {
					n++
				}
			}
			return n * 60 / len(s.Shards)
		}
		chosen, covered, ok := snapshot.Choose(&svc, usable, excluded)
		if ok != (chosen != nil) || ok && covered*60 != ratio(chosen)*len(chosen.Shards) {
			t.Fatalf("got %v, %d, %v", chosen, covered, ok)
		}
		for i := range svc.Snapshots {
			s := &svc.Snapshots[i]
			if len(s.Shards) == 0 || excluded(s.Snapshot) {
				continue
			}
			if !ok || ratio(s) > ratio(chosen) || ratio(s) == ratio(chosen) && s.Newer(chosen.Snapshot) {
				t.Fatalf("%v is better than %v", s, chosen)
			}
		}
	})
}

// Guards against planning again without enough time left, and against planning again
// without limit.
func TestReplanNeedsTimeAndIsBounded(t *testing.T) {
	is := is.New(t)
	s := snapshot.DefaultSettings()
	is.True(s.ShouldReplan(125*time.Millisecond, 100*time.Millisecond, 0))
	is.True(!s.ShouldReplan(124*time.Millisecond, 100*time.Millisecond, 0))
	is.True(!s.ShouldReplan(time.Second, 100*time.Millisecond, 1))
	is.True(!s.ShouldReplan(0, 0, 0))
}

func BenchmarkChoose68Shards(b *testing.B) {
	shards := slices.Repeat([][]string{{"a", "b"}}, 68)
	svc := index.Service{Snapshots: []index.Snapshot{{Shards: shards}, {Snapshot: ids.Snapshot{IndexVersion: 1}, Shards: shards}}}
	usable := func(target string) bool { return target == "b" }
	b.ReportAllocs()
	for b.Loop() {
		snapshot.Choose(&svc, usable, nil)
	}
}

func ExampleChoose() {
	svc := &index.Service{Name: "vitrina", Snapshots: []index.Snapshot{
		{Snapshot: ids.Snapshot{IndexVersion: 7, ShardMapEpoch: 1}, Shards: [][]string{{"t1"}, {"t2"}}},
		{Snapshot: ids.Snapshot{IndexVersion: 8, ShardMapEpoch: 1}, Shards: [][]string{{"t1"}, {"t3"}}},
	}}
	usable := func(target string) bool { return target != "t3" }
	chosen, covered, ok := snapshot.Choose(svc, usable, nil)
	fmt.Println(chosen.IndexVersion, covered, ok)
	// Output: 7 2 true
}
