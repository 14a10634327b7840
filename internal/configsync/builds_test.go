package configsync

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
	"github.com/rs/zerolog"
)

// recordedBuild holds what an earlier build sends to its peers.
type recordedBuild struct {
	Sheet, Targets string
	// Messages holds each message by name, with all its fields set.
	Messages map[string]struct {
		Wire   []byte
		Fields json.RawMessage
	}
}

// recordedBuilds returns the recorded builds by commit.
func recordedBuilds(t testing.TB) map[string]recordedBuild {
	t.Helper()
	files, err := filepath.Glob("testdata/builds/*.json")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) >= 4)
	builds := make(map[string]recordedBuild)
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		var b recordedBuild
		is.New(t).NoErr(json.Unmarshal(data, &b))
		builds[strings.TrimSuffix(filepath.Base(file), ".json")] = b
	}
	return builds
}

func relayDeps() Deps {
	return Deps{Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseSheet: sheet.ParseCompatible, ParseTargets: targetlist.Parse,
		CheckTargets: (*targetlist.Document).Validate, CheckSheet: func(*sheet.Sheet) error { return nil }}
}

var relayKeys = []string{platformapi.SheetKey, platformapi.TargetsKey}

func TestMessagesOfEarlierBuildsKeepTheirMeaning(t *testing.T) {
	for commit, build := range recordedBuilds(t) {
		for name, recorded := range build.Messages {
			t.Run(commit+"/"+name, func(t *testing.T) {
				is := is.New(t)
				kind, err := protoregistry.GlobalTypes.FindMessageByName(protoreflect.FullName(peerpb.File_peer_proto.Package()).Append(protoreflect.Name(name)))
				is.NoErr(err)
				got, want := kind.New().Interface(), kind.New().Interface()
				is.NoErr(proto.Unmarshal(recorded.Wire, got))
				is.NoErr(protojson.Unmarshal(recorded.Fields, want)) // Fails for a field that was removed or renamed.
				is.True(proto.Equal(got, want))
				is.Equal(len(got.ProtoReflect().GetUnknown()), 0)
			})
		}
	}
}

func TestDocumentsOfEarlierBuildsAreAccepted(t *testing.T) {
	for commit, build := range recordedBuilds(t) {
		t.Run(commit, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Entry: "e", Keys: relayKeys}, relayDeps())
			for key, value := range map[string]string{platformapi.SheetKey: build.Sheet, platformapi.TargetsKey: build.Targets} {
				content, err := delta.New([]byte(value))
				is.NoErr(err)
				is.Equal(s.accept(key, content, origin{actor: "peer"}), revision.Accept)
			}
			is.Equal(len(s.Current().Sheet.Services), 3)
			is.Equal(len(s.Current().Targets.Targets), 2)
		})
	}
}

func TestFieldsOfLaterBuildsAreIgnored(t *testing.T) {
	build := recordedBuilds(t)["e151245"]
	for key, value := range map[string]string{platformapi.SheetKey: build.Sheet, platformapi.TargetsKey: build.Targets} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Entry: "e", Keys: relayKeys}, relayDeps())
			content, err := delta.New([]byte(value))
			is.NoErr(err)
			is.Equal(s.accept(key, content, origin{actor: "peer"}), revision.Accept)
			// The next version has unknown fields at the top and in an element of an array.
			later := strings.Replace(value, `{`, `{"later":{"a":1},`, 1)
			later = strings.Replace(later, `[{`, `[{"later":1,`, 1)
			later = strings.Replace(strings.Replace(later, `"revision":7`, `"revision":8`, 1), `"revision":4`, `"revision":8`, 1)
			content, err = delta.New([]byte(later))
			is.NoErr(err)
			is.Equal(s.accept(key, content, origin{actor: "peer"}), revision.Accept)
			is.Equal(s.store.Version(key).Revision, uint64(8))
			// An entry that starts has no version to compare with.
			starting := New(Config{Entry: "s", Keys: relayKeys}, relayDeps())
			is.Equal(starting.accept(key, content, origin{actor: "peer"}), revision.Accept)
		})
	}
}
