package targethttp

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// BenchmarkDecodeReply measures the decoding of a typical reply of one shard.
func BenchmarkDecodeReply(b *testing.B) {
	reply := targetapi.SearchReply{Identity: testRequest(1).Identity}
	for n := range 3 {
		reply.Hits = append(reply.Hits, targetapi.Hit{
			ID: fmt.Sprintf("quote-desk-1/7/%016x", n), Score: 0.731, Body: json.RawMessage(`{"title":"quote-desk-1 item 0"}`),
		})
	}
	body, err := json.Marshal(reply)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := decodeReply(200, body, reply.Identity); err != nil {
			b.Fatal(err)
		}
	}
}
