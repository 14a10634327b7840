package configsync

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
	"github.com/balsamstall/balsamstall/transport/peerrpc"
)

// sheetOfSize returns a valid sheet of exactly size bytes.
func sheetOfSize(t testing.TB, rev uint64, size int) []byte {
	t.Helper()
	s := sheet.Sheet{Revision: rev, Date: "2026-12-05", Services: []sheet.Service{{Name: "a", Priority: 1,
		Latency: sheet.Latency{ContractMS: 100, MaxDeadlineMS: 100}, Repeat: sheet.Repeat{Rule: sheet.Idempotent},
		Limits: sheet.Limits{MaxConcurrency: 1, MaxFanout: 1}}}}
	encode := func() []byte {
		data, err := json.Marshal(s)
		is.New(t).NoErr(err)
		return data
	}
	name := func(i, length int) string { return fmt.Sprintf("g%07d%s", i, strings.Repeat("x", length-8)) }
	s.Groups = []sheet.Group{{Name: name(0, 40), MaxConnections: 1}}
	empty := len(encode())
	s.Groups = append(s.Groups, sheet.Group{Name: name(1, 40), MaxConnections: 1})
	perGroup := len(encode()) - empty
	count, rest := (size-empty)/perGroup, (size-empty)%perGroup
	s.Groups = s.Groups[:1]
	for i := range count {
		s.Groups = append(s.Groups, sheet.Group{Name: name(i+1, 40), MaxConnections: 1})
	}
	// The names of the last groups make up the rest.
	for i := len(s.Groups) - 1; rest > 0; i-- {
		more := min(rest, 24)
		s.Groups[i].Name, rest = s.Groups[i].Name+strings.Repeat("y", more), rest-more
	}
	data := encode()
	is.New(t).Equal(len(data), size)
	return data
}

func sizeTestDeps() Deps {
	return Deps{Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseSheet: sheet.Parse, ParseIndex: parseIndex,
		CheckSheet: func(s *sheet.Sheet) error {
			if faults := s.Check(); len(faults) > 0 {
				return &document.Error{Kind: "sheet", Faults: faults}
			}
			return nil
		}}
}

func TestStartingEntryAcceptsWhatRunningEntriesAccept(t *testing.T) {
	for _, size := range []int{1_000_000, 1_000_001, document.MaxValueSize + 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			running := New(Config{Entry: "running"}, sizeTestDeps())
			first, err := delta.New(sheetOfSize(t, 1, size-100))
			is.NoErr(err)
			is.Equal(running.accept(platformapi.SheetKey, first, origin{actor: "platform"}), revision.Accept)
			content, err := delta.New(sheetOfSize(t, 2, size))
			is.NoErr(err)
			is.Equal(running.accept(platformapi.SheetKey, content, origin{actor: "platform"}), revision.Accept)

			// One starting entry gets the whole document from a peer, the other one a delta.
			current, base := running.store.Current(platformapi.SheetKey), &documents.Document{Version: versionOf(first), Content: first}
			for _, from := range []*documents.Document{nil, base} {
				starting := New(Config{Entry: "starting"}, sizeTestDeps())
				received, err := decodeTransfer(from, encodeTransfer(platformapi.SheetKey, current, from, true))
				is.NoErr(err)
				is.Equal(starting.accept(platformapi.SheetKey, received, origin{actor: "peer"}), revision.Accept)
			}
		})
	}
}

func TestAllPathsHaveTheSameSizeLimit(t *testing.T) {
	is := is.New(t)
	text := func(size int) []byte { return []byte(`{"a":"` + strings.Repeat("x", size-len(`{"a":""}`)) + `"}`) }
	var value struct{ A string }
	_, err := delta.New(text(document.MaxSize))
	is.NoErr(err)
	is.NoErr(document.Decode("text", text(document.MaxSize), &value))
	_, err = delta.New(text(document.MaxSize + 1))
	is.Equal(status.CodeOf(err), status.TooLarge)
	is.True(document.Decode("text", text(document.MaxSize+1), &value) != nil)
	is.True(peerrpc.MaxMessageBytes > document.MaxSize)
}
