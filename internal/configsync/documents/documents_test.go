package documents

import (
	"fmt"
	"sync"
	"testing"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/matryer/is"
)

const key = "sheet"

func document(t testing.TB, rev uint64) *Document {
	content, err := delta.New(fmt.Appendf(nil, `{"revision":%d}`, rev))
	is.New(t).NoErr(err)
	return &Document{Version: revision.Version{Revision: rev, Digest: content.Digest()}, Content: content}
}

// Guards against a slow writer that reverts the current document to an older revision.
func TestConcurrentReplacementsNeverRevert(t *testing.T) {
	is := is.New(t)
	store := New(key)
	const revisions = 200
	var wg sync.WaitGroup
	for i := range revisions {
		doc := document(t, uint64(i+1))
		wg.Go(func() {
			before := store.Version(key).Revision
			store.Replace(key, doc)
			after := store.Version(key).Revision
			if after < before || after < doc.Version.Revision {
				t.Errorf("current revision is %d after %d and %d", after, before, doc.Version.Revision)
			}
		})
	}
	wg.Wait()
	is.Equal(store.Version(key).Revision, uint64(revisions))
}

// Guards against unbounded memory, and against deltas from a base that has the same revision but
// other content.
func TestHistoryIsBoundedAndExact(t *testing.T) {
	is := is.New(t)
	store := New(key)
	var last revision.Version
	for i := range 3 * HistoryLength {
		doc := document(t, uint64(i+1))
		is.Equal(store.Replace(key, doc), revision.Accept)
		last = doc.Version
	}
	is.Equal(len(store.byKey[key].history), HistoryLength)
	is.Equal(store.Find(key, last).Version, last)
	is.True(store.Find(key, revision.Version{Revision: last.Revision - HistoryLength, Digest: document(t, last.Revision-HistoryLength).Version.Digest}) != nil)
	is.Equal(store.Find(key, revision.Version{Revision: last.Revision}), nil) // Different digest.
	is.Equal(store.Replace("other", document(t, 99)), revision.Faulty)
}

func BenchmarkCurrent(b *testing.B) {
	store := New(key)
	store.Replace(key, document(b, 1))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			store.Current(key)
		}
	})
}
