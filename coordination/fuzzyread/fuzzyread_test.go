package fuzzyread_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/fuzzyread"
	"github.com/balsamstall/balsamstall/protocol/published"
)

// change is a change of a key at the revision that is its index in a history plus one.
type change struct {
	key     string
	removed bool
}

// stateAt returns the revision of the last change of each key that exists at a revision.
func stateAt(history []change, revision int) map[string]int {
	state := make(map[string]int)
	for i, c := range history[:revision] {
		if c.removed {
			delete(state, c.key)
		} else {
			state[c.key] = i + 1
		}
	}
	return state
}

// Guards against a list that mixes states of different age: pages are read as of any revisions, under
// removals and returns of a key, and the changes since the oldest one come in parts.
func TestCompleteReadIsTheStateAtItsRevision(t *testing.T) {
	keys := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		history := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) change {
			return change{rapid.SampledFrom(keys).Draw(t, "key"), rapid.Bool().Draw(t, "removed")}
		}), 1, 12).Draw(t, "history")
		anyRevision := rapid.IntRange(0, len(history))
		pageSize := rapid.IntRange(1, 3).Draw(t, "page size")
		var pages []published.Page
		data := make(map[string]int)
		oldest, newest, after := len(history), 0, ""
		for len(pages) == 0 || after != "" {
			revision := anyRevision.Draw(t, "revision of page")
			pages = append(pages, published.Page{After: after, Revision: uint64(revision)})
			oldest, newest = min(oldest, revision), max(newest, revision)
			state, read, last := stateAt(history, revision), 0, ""
			for _, key := range keys {
				if at, ok := state[key]; ok && key > after && read < pageSize {
					data[key], last = at, key
					read++
				}
			}
			if after = last; read < pageSize {
				break
			}
		}
		resume := rapid.IntRange(0, oldest).Draw(t, "resume")
		coverage := fuzzyread.New(pages, uint64(resume))
		is := is.New(t)
		is.Equal(coverage.Newest(), uint64(newest))
		for _, to := range rapid.SliceOfN(rapid.IntRange(resume, len(history)), 0, 5).Draw(t, "parts") {
			for i := resume; i < to; i++ {
				c := history[i]
				if coverage.Includes(c.key, uint64(i+1)) {
					continue
				}
				if c.removed {
					delete(data, c.key)
				} else {
					data[c.key] = i + 1
				}
			}
			coverage.Advance(uint64(to))
			is.Equal(coverage.Complete(), int(coverage.Revision()) >= newest)
			if complete := stateAt(history, int(coverage.Revision())); coverage.Complete() && !maps.Equal(data, complete) {
				t.Fatalf("at %d: read %v, state %v, pages %v, resume %d", coverage.Revision(), data, complete, pages, resume)
			}
		}
	})
}

func ExampleCoverage() {
	// The first page is as of revision 113, the second as of 115.
	coverage := fuzzyread.New([]published.Page{{Revision: 113}, {After: "i-4", Revision: 115}}, 113)
	fmt.Println(coverage.Complete(), coverage.Includes("i-1", 114), coverage.Includes("i-7", 114))
	coverage.Advance(114)
	fmt.Println(coverage.Complete())
	coverage.Advance(115)
	fmt.Println(coverage.Complete(), coverage.Revision())
	// Output:
	// false false true
	// false
	// true 115
}

func BenchmarkIncludes(b *testing.B) {
	var pages []published.Page
	for i := range 5 {
		pages = append(pages, published.Page{After: fmt.Sprintf("i-%04d", i*500), Revision: uint64(100 + i)})
	}
	coverage := fuzzyread.New(pages, 100)
	b.ReportAllocs()
	for b.Loop() {
		coverage.Includes("i-1234", 101)
	}
}
