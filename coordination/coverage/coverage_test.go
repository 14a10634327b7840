package coverage_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Guards against coverage that differs from the accepted replies, against hits of a reply
// that was not accepted, against changes after Seal, and against an order of hits that
// depends on the order of the replies.
func TestCoverageIsExactlyTheAcceptedReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "shards")
		var needed []int
		if rapid.Bool().Draw(t, "some") {
			needed = rapid.SliceOfN(rapid.IntRange(0, count-1), 1, count).Draw(t, "concerned")
		}
		m, reordered := coverage.New(ids.Snapshot{}, count, needed), coverage.New(ids.Snapshot{}, count, needed)
		accepted := map[int][]callerapi.Hit{}
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			n := rapid.IntRange(-1, count).Draw(t, "shard")
			if rapid.Bool().Draw(t, "miss") {
				m.MarkMissing(n, callerapi.ReasonShed)
				reordered.MarkMissing(n, callerapi.ReasonShed)
				continue
			}
			hits := []callerapi.Hit{{Shard: 99, ID: rapid.StringMatching(`[ab]`).Draw(t, "id"), Score: float64(rapid.IntRange(0, 2).Draw(t, "score"))}}
			if m.Accept(n, hits) {
				if _, twice := accepted[n]; twice {
					t.Fatalf("shard %d was accepted twice", n)
				}
				accepted[n] = hits
			}
		}
		for n := count; n >= 0; n-- {
			if hits, ok := accepted[n]; ok {
				reordered.Accept(n, hits)
			}
		}
		ratio := rapid.Float64Range(0, 1).Draw(t, "min ratio")
		cov, hits, err := m.Seal(ratio)
		if err != nil || len(hits) != len(accepted) || len(cov.Searched) != len(accepted) {
			t.Fatalf("got %+v, %v, %v for %v", cov, hits, err, accepted)
		}
		for i := 1; i < len(hits); i++ {
			if a, b := hits[i-1], hits[i]; a.Score < b.Score || a.Score == b.Score && a.Shard >= b.Shard {
				t.Fatalf("%+v is ordered before %+v", a, b)
			}
		}
		for _, n := range cov.Searched {
			if _, ok := accepted[n]; !ok {
				t.Fatalf("shard %d has no accepted reply", n)
			}
		}
		if cov.ContractMet != (len(cov.Searched) > 0 && cov.Ratio >= ratio) {
			t.Fatalf("contract met is %v at ratio %v, minimum %v", cov.ContractMet, cov.Ratio, ratio)
		}
		if m.Accept(0, nil) {
			t.Fatalf("a reply was accepted after Seal")
		}
		otherCov, otherHits, _ := reordered.Seal(ratio)
		if !reflect.DeepEqual(cov, otherCov) || !reflect.DeepEqual(hits, otherHits) {
			t.Fatalf("got %+v %+v, and in another order %+v %+v", cov, hits, otherCov, otherHits)
		}
	})
}

// Guards against a Check that accepts coverage which violates an invariant.
func TestCheckFindsViolations(t *testing.T) {
	is := is.New(t)
	good := callerapi.Coverage{Searched: []int{0}, NotSearched: []callerapi.NotSearched{{Shard: 1, Reason: callerapi.ReasonDeadline}}}
	is.NoErr(coverage.Check(good, []callerapi.Hit{{Shard: 0}}, 2, 2))
	for name, err := range map[string]error{
		"missing shard":                        coverage.Check(good, nil, 3, 3),
		"shard outside the snapshot":           coverage.Check(good, nil, 1, 1),
		"listed twice":                         coverage.Check(callerapi.Coverage{Searched: []int{0, 0}}, nil, 1, 1),
		"no reason":                            coverage.Check(callerapi.Coverage{NotSearched: []callerapi.NotSearched{{}}}, nil, 1, 1),
		"wrong needed count":                   coverage.Check(good, nil, 2, 1),
		"hit of a shard that was not searched": coverage.Check(good, []callerapi.Hit{{Shard: 1}}, 2, 2),
		"no shards":                            coverage.Check(callerapi.Coverage{}, nil, 0, 0),
	} {
		if status.CodeOf(err) != status.Internal {
			t.Errorf("%s: got %v", name, err)
		}
	}
	_, _, err := coverage.New(ids.Snapshot{}, 1, []int{0, 1}).Seal(0)
	is.Equal(status.CodeOf(err), status.Internal)
}

func BenchmarkMerge68Shards(b *testing.B) {
	hits := make([]callerapi.Hit, 10)
	for i := range hits {
		hits[i] = callerapi.Hit{ID: fmt.Sprint(i), Score: float64(i)}
	}
	b.ReportAllocs()
	for b.Loop() {
		m := coverage.New(ids.Snapshot{}, 68, nil)
		for n := range 68 {
			m.Accept(n, hits)
		}
		if _, _, err := m.Seal(1); err != nil {
			b.Fatal(err)
		}
	}
}

func ExampleMerger() {
	m := coverage.New(ids.Snapshot{IndexVersion: 4, ShardMapEpoch: 2}, 3, nil)
	m.Accept(0, []callerapi.Hit{{ID: "clamp-1", Score: 0.5}})
	m.Accept(2, []callerapi.Hit{{ID: "clamp-9", Score: 0.9}})
	m.MarkMissing(1, callerapi.ReasonNoReplica)
	cov, hits, err := m.Seal(0.9)
	fmt.Println(cov.Searched, cov.NotSearched, cov.ContractMet, err)
	fmt.Println(hits[0].ID, hits[1].ID)
	// Output:
	// [0 2] [{1 no_replica}] false <nil>
	// clamp-9 clamp-1
}
