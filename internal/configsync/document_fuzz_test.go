package configsync

import (
	"testing"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
)

// fuzzDeps returns the dependencies of a relay, with all checks of a sheet.
func fuzzDeps() Deps {
	deps := relayDeps()
	deps.CheckSheet = sizeTestDeps().CheckSheet
	return deps
}

// FuzzDocument guards against documents that a running entry accepts and an entry that starts refuses, or the
// reverse, and against documents that panic the decoders.
func FuzzDocument(f *testing.F) {
	build := recordedBuilds(f)["e151245"]
	f.Add(true, []byte(build.Sheet))
	f.Add(false, []byte(build.Targets))
	f.Add(true, []byte(`{"revision":8,"Revision":9,"services":null,"services":[]}`))
	f.Add(false, []byte(`{"revision":8,"era":2,"targets":[{"id":"a","x":{"a":[]}}]}`))
	f.Fuzz(func(t *testing.T, isSheet bool, data []byte) {
		content, err := delta.New(data)
		if err != nil {
			return
		}
		key, base := platformapi.TargetsKey, build.Targets
		if isSheet {
			key, base = platformapi.SheetKey, build.Sheet
		}
		first, err := delta.New([]byte(base))
		if err != nil {
			t.Fatal(err)
		}
		running := New(Config{Entry: "running", Keys: relayKeys}, fuzzDeps())
		if running.accept(key, first, origin{actor: "platform"}) != revision.Accept {
			t.Fatal("the recorded document was refused")
		}
		if revision.Decide(running.store.Version(key), versionOf(content), true) != revision.Accept {
			return // The document is not newer than the recorded one.
		}
		whenRunning := running.accept(key, content, origin{actor: "peer"})
		starting := New(Config{Entry: "starting", Keys: relayKeys}, fuzzDeps())
		if whenStarting := starting.accept(key, content, origin{actor: "peer"}); whenStarting != whenRunning {
			t.Fatalf("a running entry decides %v, an entry that starts %v", whenRunning, whenStarting)
		}
	})
}

// FuzzTransfer guards against replies of a peer that panic the decoder or yield a document with another digest
// than the one that the reply states.
func FuzzTransfer(f *testing.F) {
	build := recordedBuilds(f)["e151245"]
	first, err := delta.New([]byte(build.Targets))
	if err != nil {
		f.Fatal(err)
	}
	base := &documents.Document{Version: versionOf(first), Content: first}
	for _, compressed := range []bool{false, true} {
		for _, from := range []*documents.Document{nil, base} {
			reply := encodeTransfer(platformapi.TargetsKey, base, from, compressed)
			f.Add(reply.Value, reply.Delta, reply.Digest, reply.Compressed)
		}
	}
	f.Fuzz(func(t *testing.T, value, change, digest []byte, compressed bool) {
		content, err := decodeTransfer(base, &peerpb.FetchReply{Value: value, Delta: change, Digest: digest, Compressed: compressed})
		if err != nil {
			return
		}
		if want, ok := revision.ParseDigest(digest); ok && content.Digest() != want {
			t.Fatal("the document has another digest than the reply states")
		}
	})
}
