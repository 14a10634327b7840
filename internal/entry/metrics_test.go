package entry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against metrics that do not reveal an entry with outdated documents.
func TestMetricsShowTheRevisionsInForce(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 1)
	e := f.engine(0)
	s, index := testDocuments(1)
	s.Revision, index.Revision = 12, 7
	e.SetDocuments(s, index)
	is.Equal(e.metrics.SheetRevision.Value(), int64(12))
	is.Equal(e.metrics.IndexRevision.Value(), int64(7))
}
