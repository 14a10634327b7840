package configsync

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
)

// Guards against a document that is refused because its delta was corrupted in transfer.
func TestCorruptDeltaFallsBackToFullDocument(t *testing.T) {
	env, fleet := startFleet(t)
	deltas := 0
	env.mu.Lock()
	env.corruptReply = func(reply *peerpb.FetchReply) {
		if len(reply.Delta) > 0 {
			deltas++
			reply.Delta[len(reply.Delta)-1] ^= 1
		}
	}
	env.mu.Unlock()
	for _, e := range fleet[1:] {
		env.setPlatformError(e.id, status.New(status.Unavailable, "", "platform is down"))
	}
	env.publish(platformapi.SheetKey, sheetJSON(2, "second"))
	waitForRevision(t, fleet, 2)
	env.mu.Lock()
	defer env.mu.Unlock()
	is.New(t).True(deltas > 0)
}

// Guards against a small change that transfers the full sheet, and against a reply that an entry of
// an earlier version cannot decode.
func TestFetchSendsWhatTheCallerCanUse(t *testing.T) {
	is := is.New(t)
	s := New(Config{Entry: "e0"}, Deps{Audit: audit.New(zerolog.Nop()), ParseSheet: parseSheet, ParseIndex: parseIndex})
	_, err := s.HandleFetch(context.Background(), &peerpb.FetchRequest{Key: platformapi.SheetKey})
	is.Equal(status.CodeOf(err), status.NotFound)
	var services []string
	for i := range 1000 {
		services = append(services, fmt.Sprintf(`{"name":"service-%d"}`, i))
	}
	contents := make([]*delta.Document, 2)
	for i := range contents {
		contents[i], err = delta.New(fmt.Appendf(nil, `{"revision":%d,"services":[%s]}`, i+1, strings.Join(services, ",")))
		is.NoErr(err)
		services[500] = `{"name":"changed"}`
		s.accept(platformapi.SheetKey, contents[i], origin{actor: "platform"})
	}
	base := contents[0].Digest()
	fetch := func(in *peerpb.FetchRequest) *peerpb.FetchReply {
		in.Key = platformapi.SheetKey
		reply, err := s.HandleFetch(context.Background(), in)
		is.NoErr(err)
		return reply
	}
	reply := fetch(&peerpb.FetchRequest{HaveRevision: 1, HaveDigest: base[:], AcceptCompressed: true})
	is.True(len(reply.Delta) > 0 && len(reply.Delta) < 200 && !reply.Compressed)
	reply = fetch(&peerpb.FetchRequest{HaveRevision: 1, HaveDigest: make([]byte, 32), AcceptCompressed: true})
	is.True(reply.Compressed && len(reply.Delta) == 0 && len(reply.Value) < len(contents[1].Bytes())/2)
	content, err := decodeTransfer(nil, reply)
	is.NoErr(err)
	is.Equal(content.Digest(), contents[1].Digest())
	is.Equal(fetch(&peerpb.FetchRequest{}).Value, contents[1].Bytes())
}

// Guards against a compressed reply that exhausts the memory when it is decompressed.
func TestDecompressedSizeIsLimited(t *testing.T) {
	_, err := decodeTransfer(nil, &peerpb.FetchReply{Value: deflate(make([]byte, 2*maxTransferBytes)), Compressed: true})
	is.New(t).Equal(status.CodeOf(err), status.TooLarge)
}
