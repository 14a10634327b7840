package ctl

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const explainLog = `{"entry":"e-1","kind":"document_accepted","actor":"platform","detail":"sheet revision 7 digest ab: accept","time":"2026-12-04T05:00:00Z","message":"audit"}
not a log line
  4.01 front {"entry":"e-1","request_id":"other","service":"s","message":"request"}
  4.02 front {"level":"warn","entry":"e-1","target":"i-2","request_id":"id-1","refused":false,"message":"target crashed during an attempt"}
  4.02 front {"level":"info","entry":"e-1","target":"i-3","request_id":"id-1","limit_per_s":4.5,"message":"target announced a rate limit"}
  4.03 front {"entry":"e-1","request_id":"id-1","service":"wide","sheet":7,"targets":3,"answered":1,"shards":3,"took_ms":52,"goal_ms":60,"deadline_ms":990,"attempts":"0:i-1@0+5=ok 1:i-2@0+2=connection_failed 1:@2+?(no_budget) 2:@0+?(over_limit) 3:@0+?(rate_limited) 0:i-9@23+?(hedge)","code":"overloaded","outcome":"not_run","detail":"2 of 3 shards take the request","retry_after_ms":200,"time":"2026-12-04T05:00:04Z","message":"request"}
`

// Guards against an explanation that mixes requests or omits a decision.
func TestExplainListsTheDecisionsInOrder(t *testing.T) {
	is := is.New(t)
	decisions, err := explain(strings.NewReader(explainLog), "id-1")
	is.NoErr(err)
	var text []string
	for _, d := range decisions {
		text = append(text, d.Text)
	}
	is.Equal(text, []string{
		"target crashed during an attempt, target i-2",
		"target announced a rate limit, target i-3, 4.5 requests a second",
		"sheet revision 7 came into force, from platform",
		"service wide with sheet 7 and targets 3: goal 60 ms, deadline 990 ms",
		"  shard 0 at 0 ms: sent to i-1, ok after 5 ms",
		"  shard 1 at 0 ms: sent to i-2, connection_failed after 2 ms",
		"  shard 1 at 2 ms: the fleet's budget of repeats for this group is exhausted",
		"  shard 2 at 0 ms: not sent: the shard is overloaded or unresponsive",
		"  shard 3 at 0 ms: not sent: the targets are at the rate limits that they announced",
		"  shard 0 at 23 ms: sent to i-9 (hedge to another target), no reply before the request ended",
		"failed after 52 ms: overloaded (2 of 3 shards take the request), outcome not_run, 1 of 3 shards, retry after 200ms",
	})
}

// Guards against an explanation that ends where the receiving entry offers the request to homes.
func TestExplainFollowsARequestToItsHome(t *testing.T) {
	is := is.New(t)
	log := `{"entry":"e-1","request_id":"id-1","service":"wide","offers":["h-1+15=unavailable","h-2+61=ok"],"message":"request offered to homes"}
{"entry":"h-2","request_id":"id-1","service":"wide","answered":3,"shards":3,"took_ms":60,"goal_ms":50,"deadline_ms":990,"attempts":"0:i-1@0+60=ok","message":"request"}
{"entry":"e-1","request_id":"id-2","offers":["h-1+1=connection_failed"],"message":"request offered to homes"}
{"entry":"e-1","request_id":"id-3","offers":["h-1+9=connection_failed"],"code":"connection_failed","outcome":"unknown","detail":"call to peer","message":"request offered to homes"}
`
	for id, want := range map[string][]string{
		"id-1": {"e-1: offered to home h-1, unavailable after 15 ms", "e-1: offered to home h-2, ok after 61 ms",
			"h-2: service wide with sheet 0 and targets 0: goal 50 ms, deadline 990 ms", "h-2:   shard 0 at 0 ms: sent to i-1, ok after 60 ms",
			"h-2: answered with 3 of 3 shards after 60 ms"},
		"id-2": {"e-1: offered to home h-1, connection_failed after 1 ms", "e-1: no home accepted it; it runs on this entry"},
		"id-3": {"e-1: offered to home h-1, connection_failed after 9 ms", "e-1: failed at the home: connection_failed (call to peer), outcome unknown"},
	} {
		decisions, err := explain(strings.NewReader(log), id)
		is.NoErr(err)
		var text []string
		for _, d := range decisions {
			text = append(text, d.Entry+": "+d.Text)
		}
		is.Equal(text, want)
	}
}

// Guards against decisions for an id that is not in the log. The command must then fail instead of
// printing nothing.
func TestExplainOfAnUnknownRequest(t *testing.T) {
	is := is.New(t)
	decisions, err := explain(strings.NewReader(explainLog), "id-2")
	is.NoErr(err)
	is.Equal(len(decisions), 0)
}

// Guards against an explanation that does not show how old the target list was that led to a leaving target.
func TestExplainNamesTheAgeOfTheTargetList(t *testing.T) {
	is := is.New(t)
	for actor, want := range map[string]string{
		`"platform","detail":"targets revision 115 digest ab: accept, oldest part read 40 ms before"`: "targets revision 115 came into force, from platform; when the request arrived, its oldest part had been read 1690 ms before",
		`"peer e-2","detail":"targets revision 115 digest ab: accept"`:                                "targets revision 115 came into force, from peer e-2; the request arrived 1650 ms later",
	} {
		decisions, err := explain(strings.NewReader(`{"entry":"e-1","kind":"document_accepted","actor":`+actor+`,"time":"2026-12-04T05:00:00.25Z"}
{"entry":"e-1","request_id":"id-1","service":"one","targets":115,"took_ms":100,"time":"2026-12-04T05:00:02Z","message":"request"}`), "id-1")
		is.NoErr(err)
		is.Equal(decisions[0].Text, want)
	}
}

// Guards against an explanation that does not say that the entry reached no target, or that attributes a
// request to a target list of another era.
func TestExplainNamesDetoursAndEras(t *testing.T) {
	is := is.New(t)
	log := `{"entry":"p-1","kind":"document_accepted","actor":"platform","detail":"targets era 2 revision 17 digest ab: accept","message":"audit"}
{"entry":"e-1","request_id":"id-1","offers":["p-2+2=no_replica","p-1+9=ok"],"message":"request offered to peers because this entry reaches no target"}
{"entry":"p-1","request_id":"id-1","service":"one","targets":17,"answered":1,"shards":1,"took_ms":8,"goal_ms":5,"deadline_ms":990,"attempts":"0:i-1@0+8=ok","message":"request"}
{"entry":"e-1","request_id":"id-2","offers":[],"message":"request offered to peers because this entry reaches no target"}
`
	for id, want := range map[string][]string{
		"id-1": {"this entry reaches no target", "offered to peer p-2, no_replica after 2 ms", "offered to peer p-1, ok after 9 ms",
			"targets era 2 revision 17 came into force, from platform", "service one with sheet 0 and targets 17: goal 5 ms, deadline 990 ms",
			"  shard 0 at 0 ms: sent to i-1, ok after 8 ms", "answered with 1 of 1 shards after 8 ms"},
		"id-2": {"this entry reaches no target", "no peer accepted it"},
	} {
		decisions, err := explain(strings.NewReader(log), id)
		is.NoErr(err)
		var text []string
		for _, d := range decisions {
			text = append(text, d.Text)
		}
		is.Equal(text, want)
	}
}
