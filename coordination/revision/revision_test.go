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
	inForce := version(7, "seven")
	fmt.Println(Decide(inForce, version(8, "eight"), true))
	fmt.Println(Decide(inForce, version(8, "eight"), false))
	fmt.Println(Decide(inForce, version(7, "seven"), true))
	fmt.Println(Decide(inForce, version(7, "other"), true))
	fmt.Println(Decide(inForce, version(6, "six"), true))
	// Output:
	// accept
	// faulty
	// unchanged
	// conflict
	// too_old
}

// Guards against entries that end up with different revisions, or go back,
// because candidates reached them in another order or several times.
func TestHighestValidRevisionWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type candidate struct {
			version Version
			valid   bool
		}
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) candidate {
			n := rapid.Uint64Range(0, 12).Draw(t, "revision")
			// The body decides the validity, as with real documents.
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
			var inForce Version
			for _, c := range rapid.Permutation(candidates).Draw(t, "order") {
				before := inForce
				if Decide(inForce, c.version, c.valid) == Accept {
					inForce = c.version
				}
				is.True(inForce.Revision >= before.Revision)
				is.True(inForce.Revision > before.Revision || inForce == before) // Same revision, same document.
			}
			is.Equal(inForce.Revision, highest)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	inForce, candidate := version(7, "seven"), version(8, "eight")
	for b.Loop() {
		Decide(inForce, candidate, true)
	}
}
