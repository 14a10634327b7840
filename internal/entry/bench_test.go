package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
)

// BenchmarkQuery measures a whole query without the network. The metric
// ns/sub-request is the time for each shard.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{4, 16, 68} {
		b.Run(fmt.Sprintf("fanout=%d", shards), func(b *testing.B) {
			f := newFakeFleet(b, 1, shards)
			f.targets.forget = true
			e := f.engine(0)
			call := callerhttp.Call{Key: testKeyAsan, Search: callerapi.SearchRequest{Service: "quote-desk-1", Query: "clamp"}}
			b.ReportAllocs()
			for b.Loop() {
				call.Arrival = time.Now()
				if reply := e.Search(context.Background(), call); reply.Status != 200 {
					b.Fatalf("status %d: %s", reply.Status, reply.Body)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub-request")
		})
	}
}
