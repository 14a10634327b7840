package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// BenchmarkFanout measures the engine without the transports: one query to all shards, with targets
// that reply immediately. The slope over the number of shards is the cost of a sub-request.
func BenchmarkFanout(b *testing.B) {
	for _, shards := range []int{4, 16, 68} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			fleet := newFakeFleet(b, 1, shards)
			fleet.targets.serve = func(_ context.Context, _ string, req *targetapi.SearchRequest) (*targetapi.SearchReply, error) {
				return &targetapi.SearchReply{Identity: req.Identity, Hits: []targetapi.Hit{{ID: "piece-1", Score: 1}}}, nil
			}
			search := callerapi.SearchRequest{Service: "quote-desk-1", Query: "clamp", DeadlineMS: 2_000}
			b.ReportAllocs()
			for b.Loop() {
				if r := fleet.search(0, testKeyAsan, search); r.status != http.StatusOK {
					b.Fatalf("status %d: %s", r.status, r.refusal.Message)
				}
			}
		})
	}
}
