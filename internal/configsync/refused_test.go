package configsync

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
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

// sheetInfo returns what an entry tells its peers about its sheet.
func sheetInfo(s *Syncer) *peerpb.DocumentInfo {
	for _, d := range s.message(false, false).Documents {
		if d.Key == platformapi.SheetKey {
			return d
		}
	}
	return nil
}

// Guards against entries that wait for a refusing peer instead of reading a version that they can use.
func TestRefusalOfAVersionDoesNotConfirmTheOneBefore(t *testing.T) {
	is := is.New(t)
	invalid := platformapi.Document{Version: 2, Value: []byte(sheetJSON(9, "faulty"))}
	refusing, _ := readSheet(t, "a", invalid)
	info := sheetInfo(refusing)
	is.Equal(info.Revision, uint64(8))
	is.True(info.Refused != nil && *info.Refused != 0)
	confirms := func(s *Syncer, info *peerpb.DocumentInfo) bool {
		s.confirmations.forget()
		s.handleDocumentInfo(membership.Entry{ID: "peer"}, info, time.Now())
		return !s.ConfirmedAt(platformapi.SheetKey).IsZero()
	}
	behind, _ := readSheet(t, "b", platformapi.Document{Version: 1, Value: []byte(sheetJSON(8, "good"))})
	accepted := sheetInfo(behind)
	is.True(!confirms(behind, info))
	alsoRefusing, _ := readSheet(t, "c", invalid)
	is.True(confirms(alsoRefusing, info))
	is.True(confirms(behind, accepted))

	earlier := proto.Clone(accepted).(*peerpb.DocumentInfo)
	earlier.Refused = nil // An earlier build does not tell.
	is.True(!confirms(behind, earlier))

	later, _ := readSheet(t, "d", invalid)
	for _, date := range []string{"faulty", "good"} {
		later.acceptRead(&platformReader{key: platformapi.SheetKey}, platformapi.Document{Version: 3, Value: []byte(sheetJSON(10, date))})
		is.Equal(*sheetInfo(later).Refused != 0, date == "faulty")
	}
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
			is.Equal(*sheetInfo(s).Refused != 0, c.revision == 8)
		})
	}
}
