package document

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestDerivedNamesAreValidAndDistinct(t *testing.T) {
	names := rapid.OneOf(rapid.String(), rapid.StringMatching(`[a-z./ é]{0,80}`), rapid.Just(DeriveName("a/b")))
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b := names.Draw(t, "a"), names.Draw(t, "b")
		is.True(validName(DeriveName(a)))
		is.Equal(DeriveName(a) == DeriveName(b), a == b)
	})
}

// Guards against a change of the digests of documents that earlier builds exchange.
func TestValidNameIsItsOwnDerivedName(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"a", "route-7.v_2", strings.Repeat("x", maxNameLength), ".."} {
		is.Equal(DeriveName(name), name)
	}
}
