package status

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request being reported as not run while one of its attempts
// may have run.
func TestCombineIsNotRunOnlyWhenAllAttemptsAre(t *testing.T) {
	is := is.New(t)
	is.Equal(Combine(), NotRun)
	is.Equal(Combine(NotRun, NotRun), NotRun)
	is.Equal(Combine(NotRun, Unknown), Unknown)
	is.Equal(Combine(Done), Unknown)
}

// Guards against an error of another type being taken for a proof that nothing ran.
func TestFromTreatsForeignErrorsAsUnknown(t *testing.T) {
	is := is.New(t)
	is.Equal(From(errors.New("read failed")).Outcome, Unknown)
	is.Equal(From(nil), (*Error)(nil))
}
