package revision

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func version(revision uint64, body string) Version {
	return Version{Revision: revision, Digest: DigestOf([]byte(body))}
}

func ExampleDecide() {
	current := version(7, "seven")
	fmt.Println(Decide(current, version(8, "eight"), true))
	fmt.Println(Decide(current, version(8, "eight"), false))
	fmt.Println(Decide(current, version(7, "seven"), true))
	fmt.Println(Decide(current, version(7, "other"), true))
	fmt.Println(Decide(current, version(6, "six"), true))
	// Output:
	// accept
	// faulty
	// unchanged
	// conflict
	// too_old
}

// Guards against two entries that keep different documents of one revision although one of them is settled,
// and against one that gives up the settled one.
func TestSettledDocumentEndsAConflict(t *testing.T) {
	is := is.New(t)
	settled, other := Claim{version(7, "seven"), true}, Claim{version(7, "other"), false}
	is.True(settled.Replaces(other))
	is.Equal(DecideClaim(other, settled, false), Faulty)
	is.Equal(DecideClaim(settled, other, true), Conflict)
	is.Equal(DecideClaim(settled, Claim{other.Version, true}, true), Conflict)
	is.Equal(DecideClaim(settled, Claim{settled.Version, false}, true), Unchanged)
	is.True(!Claim{version(6, "six"), true}.Replaces(other))
	is.True(Claim{version(8, "eight"), false}.Replaces(settled))
}

// Guards against entries that end up with different revisions, or return to an older one,
// because candidates arrive in another order or several times.
func TestHighestValidRevisionWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type candidate struct {
			version Version
			valid   bool
		}
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) candidate {
			n := rapid.Uint64Range(0, 12).Draw(t, "revision")
			// Validity depends on the body only, as with real documents.
			body := rapid.SampledFrom([]string{"a", "b", "faulty"}).Draw(t, "body")
			return candidate{version(n, body), body != "faulty"}
		}), 1, 30).Draw(t, "candidates")
		var highest uint64
		for _, c := range candidates {
			if c.valid {
				highest = max(highest, c.version.Revision)
			}
		}
		is := is.New(t)
		for range 2 {
			var current Version
			for _, c := range rapid.Permutation(candidates).Draw(t, "order") {
				before := current
				if Decide(current, c.version, c.valid) == Accept {
					current = c.version
				}
				is.True(current.Revision >= before.Revision)
				is.True(current.Revision > before.Revision || current == before) // Same revision, same document.
			}
			is.Equal(current.Revision, highest)
		}
	})
}

// Guards against comparing revisions of different eras: a restored store assigns revisions again.
func TestLaterEraIsNewerWhateverItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		current, candidate := version(rapid.Uint64Range(1, 9).Draw(t, "current"), "a"), version(rapid.Uint64Range(1, 9).Draw(t, "candidate"), "b")
		current.Era, candidate.Era = 3, 3+rapid.Uint64Range(1, 2).Draw(t, "eras")
		is.Equal(Decide(current, candidate, true), Accept)
		is.Equal(Decide(candidate, current, true), TooOld)
		is.True(Newer(current, candidate) && !Newer(candidate, current))
	})
}

func BenchmarkDecide(b *testing.B) {
	current, candidate := version(7, "seven"), version(8, "eight")
	for b.Loop() {
		Decide(current, candidate, true)
	}
}
