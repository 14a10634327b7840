package status

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against reporting a request as not run although one of its attempts may have run.
func TestCombineIsNotRunOnlyWhenAllAttemptsAre(t *testing.T) {
	is := is.New(t)
	is.Equal(Combine(), NotRun)
	is.Equal(Combine(NotRun, NotRun), NotRun)
	is.Equal(Combine(NotRun, Unknown), Unknown)
	is.Equal(Combine(Done), Unknown)
}

// Guards against treating an untyped error as proof that the work did not run.
func TestFromTreatsForeignErrorsAsUnknown(t *testing.T) {
	is := is.New(t)
	is.Equal(From(errors.New("read failed")).Outcome, Unknown)
	is.Equal(From(nil), (*Error)(nil))
}
