package ctl

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const loadLog = `{"entry":"e-1","request_id":"a","service":"wide","answered":2,"shards":2,"took_ms":40,"goal_ms":60,"attempts":"0:i-1@0+30=ok 1:i-2@0+40=ok","time":"2026-12-04T05:00:00.990Z","message":"request"}
  4.03 front {"entry":"e-2","request_id":"b","service":"wide","answered":1,"shards":2,"took_ms":100,"goal_ms":60,"attempts":"0:i-1@0+?  0:i-3@20+80=ok(hedge) 1:@0+?(over_limit)","time":"2026-12-04T05:00:01.050Z","message":"request"}
{"entry":"e-1","request_id":"c","service":"wide","answered":0,"shards":2,"took_ms":0,"goal_ms":60,"attempts":"","code":"overloaded","detail":"1 of 2 shards take the request","time":"2026-12-04T05:00:01.500Z","message":"request"}
{"entry":"e-1","request_id":"d","service":"other","answered":1,"shards":1,"took_ms":1,"attempts":"0:i-9@0+1=ok","time":"2026-12-04T05:00:01.500Z","message":"request"}
`

// Guards against attempts that are counted in the wrong interval or not at all, and against counts
// that include another service.
func TestLoadCountsByInterval(t *testing.T) {
	is := is.New(t)
	intervals, err := aggregateLoad(strings.NewReader(loadLog), time.Second, "wide")
	is.NoErr(err)
	var text strings.Builder
	for _, i := range intervals {
		i.print(&text)
	}
	is.Equal(text.String(), `05:00:00.000
  wide: whole 1, partial 0, late 1
    wide shard 0 i-1: 2 attempts, 0.1 in flight, p50 30 ms, p90 30 ms, 0 hedges; 1 no reply
    wide shard 0 i-3: 1 attempts, 0.0 in flight, p50 80 ms, p90 80 ms, 1 hedges
    wide shard 1 not sent; 1 over_limit
    wide shard 1 i-2: 1 attempts, 0.0 in flight, p50 40 ms, p90 40 ms, 0 hedges
05:00:01.000
  wide: whole 0, partial 0, late 0; 1 overloaded: 1 of 2 shards take the request
    wide shard 0 i-1: 0 attempts, 0.1 in flight, p50 0 ms, p90 0 ms, 0 hedges
    wide shard 0 i-3: 0 attempts, 0.1 in flight, p50 0 ms, p90 0 ms, 0 hedges
`)
}
