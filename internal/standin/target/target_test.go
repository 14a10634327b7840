package target

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

var testSnapshot = ids.Snapshot{IndexVersion: 7, ShardMapEpoch: 2}

// startTarget serves a target with one service, "clamps", on loopback.
func startTarget(t *testing.T, cfg Config) *Target {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.ID = "t1"
	target := New(cfg, map[string]Service{"clamps": {Snapshots: []ids.Snapshot{testSnapshot}}}, zerolog.Nop())
	target.Start(ln)
	t.Cleanup(target.Close)
	return target
}

func testRequest(query string) targetapi.SearchRequest {
	return targetapi.SearchRequest{
		Identity: targetapi.Identity{
			RequestID: "r-1", Attempt: 1, Workspace: "north", Service: "clamps", Shard: 3, Snapshot: testSnapshot,
		},
		Query:          query,
		DeadlineUnixMS: time.Now().Add(time.Minute).UnixMilli(),
	}
}

// post sends a search, decodes the reply into dst and returns the HTTP status.
func post(client *http.Client, target *Target, req targetapi.SearchRequest, dst any) (int, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return 0, err
	}
	resp, err := client.Post("http://"+target.Addr()+targetapi.SearchPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(dst)
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against replies that do not echo the identity of the attempt or that depend on anything but
// the request.
func TestSearchEchoesIdentityAndIsDeterministic(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	req := testRequest("toggle clamp")
	var reply targetapi.SearchReply
	code, err := post(newClient(t), target, req, &reply)
	is.NoErr(err)
	is.Equal(code, http.StatusOK)
	is.Equal(reply.Identity, req.Identity)
	is.Equal(reply.Hits, Hits(req.Identity, req.Query))
	for _, hit := range reply.Hits {
		is.True(hit.Workspace == "" || hit.Workspace == "north")
	}
	runs := target.Record().Runs
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Identity, req.Identity)
}

// Guards against an attempt that runs although it was refused.
func TestRefusalsDoNotRun(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	late := testRequest("q")
	late.DeadlineUnixMS = 1
	other := testRequest("q")
	other.Snapshot.IndexVersion++
	unknown := testRequest("q")
	unknown.Service = "none"
	for _, c := range []struct {
		req  targetapi.SearchRequest
		code status.Code
	}{
		{late, status.DeadlineExceeded},
		{other, status.VersionUnavailable},
		{unknown, status.NotFound},
	} {
		var refusal targetapi.Refusal
		code, err := post(newClient(t), target, c.req, &refusal)
		is.NoErr(err)
		is.Equal(code, status.HTTPStatus(c.code))
		is.Equal(refusal.Code, c.code)
		is.True(refusal.NotRun)
		is.Equal(refusal.Identity, c.req.Identity)
	}
	is.Equal(target.Record().Started, uint64(0))
}

// BenchmarkSearch measures the overhead of the stand-in: the service time is zero and connections are
// reused.
func BenchmarkSearch(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	cfg := Config{ID: "t1", Slots: 64, MaxConnections: 1_000}
	target := New(cfg, map[string]Service{"clamps": {Snapshots: []ids.Snapshot{testSnapshot}}}, zerolog.Nop())
	target.Start(ln)
	defer target.Close()
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.Slots}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var reply targetapi.SearchReply
			if code, err := post(client, target, testRequest("q"), &reply); err != nil || code != http.StatusOK {
				b.Error(code, err)
			}
		}
	})
}
