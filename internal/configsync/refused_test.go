package configsync

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// fixedPlatform returns the same document for every read.
type fixedPlatform struct{ doc platformapi.Document }

func (p fixedPlatform) Hosts(context.Context) ([]platformapi.Host, error) { return nil, nil }

func (p fixedPlatform) Get(context.Context, string) (platformapi.Document, error) { return p.doc, nil }

func (p fixedPlatform) Watch(context.Context, string, uint64, time.Duration) (platformapi.Document, bool, error) {
	return p.doc, true, nil
}

// readSheet returns an entry with revision 8 that then reads a document from the platform.
func readSheet(t *testing.T, entry string, doc platformapi.Document) (s *Syncer, refused map[string]int) {
	t.Helper()
	is := is.New(t)
	deps := relayDeps()
	deps.CheckSheet, deps.ParseSheet = checkSheet, parseSheet
	refused = make(map[string]int)
	deps.OnRefused = func(key string) { refused[key]++ }
	platform := &fixedPlatform{platformapi.Document{Version: 1, Value: []byte(sheetJSON(8, "good"))}}
	deps.Platform = platform
	s = New(Config{Entry: entry, Keys: relayKeys, MonotonicPlatform: true}, deps)
	r := &platformReader{key: platformapi.SheetKey}
	_, err := s.readPlatform(t.Context(), r, true)
	is.NoErr(err)
	platform.doc = doc
	for range 3 {
		_, err = s.readPlatform(t.Context(), r, true)
		is.NoErr(err)
	}
	return s, refused
}

// Guards against a document that no entry can use and that counts as an outage of the platform, and against
// one that is not reported or is reported again at every read.
func TestUnusableDocumentIsReportedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		doc      platformapi.Document
		revision uint64
	}{
		"unusable": {platformapi.Document{Version: 2, Fault: status.New(status.InvalidArgument, "", "cannot be decoded")}, 8},
		"in parts": {platformapi.Document{Version: 2, Value: []byte(sheetJSON(9, "good")), Fault: status.New(status.InvalidArgument, "", "one part")}, 9},
		"invalid":  {platformapi.Document{Version: 2, Value: []byte(sheetJSON(9, "faulty"))}, 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, refused := readSheet(t, "a", c.doc)
			is.Equal(s.Current().Sheet.Revision, c.revision)
			is.Equal(refused[platformapi.SheetKey], 1)
		})
	}
}
