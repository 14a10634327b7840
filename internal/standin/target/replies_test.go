package target

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/targetapi"
)

// Guards against wrong replies that equal the correct reply or that are not recorded.
func TestWrongReplies(t *testing.T) {
	req := testRequest("q")
	correct := targetapi.SearchReply{Identity: req.Identity, Hits: Hits(req.Identity, req.Query)}
	for _, kind := range allKinds {
		if kind == KindDuplicated || kind == KindLateDuplicate {
			continue // The first reply of these kinds is correct.
		}
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			target := startTarget(t, Config{})
			is.NoErr(target.Apply(Command{Fault: FaultWrongReply, Kind: kind, Bytes: 1 << 20}))
			var reply targetapi.SearchReply
			_, err := post(newClient(t), target, req, &reply)
			if err == nil {
				is.True(reply.Identity != correct.Identity || len(reply.Hits) != len(correct.Hits))
			}
			eventually(func() bool { return target.Record().Runs[0].Fault == string(kind) })
		})
	}
}

// Guards against crossed replies that carry the identity of the client's own attempt although another
// attempt has been recorded.
func TestCrossedReplyCarriesAnotherAttempt(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	first, second := testRequest("first"), testRequest("second")
	second.RequestID, second.Workspace = "r-2", "south"
	var reply targetapi.SearchReply
	_, err := post(newClient(t), target, first, &reply)
	is.NoErr(err)
	is.NoErr(target.Apply(Command{Fault: FaultWrongReply, Kind: KindCrossed}))
	_, err = post(newClient(t), target, second, &reply)
	is.NoErr(err)
	is.Equal(reply.Identity, first.Identity)
	is.Equal(reply.Hits, Hits(first.Identity, "first"))
}

// Guards against a late duplicate that does not arrive in place of the next reply.
func TestLateDuplicatePrecedesNextReply(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	is.NoErr(target.Apply(Command{Fault: FaultWrongReply, Kind: KindLateDuplicate, Count: 1}))
	client := newClient(t)
	first, second := testRequest("first"), testRequest("second")
	second.RequestID = "r-2"
	var reply targetapi.SearchReply
	_, err := post(client, target, first, &reply)
	is.NoErr(err)
	is.Equal(reply.Identity, first.Identity)
	_, err = post(client, target, second, &reply)
	is.NoErr(err)
	is.Equal(reply.Identity, first.Identity)
}

// Guards against records that are wrong after a reset or a missing reply.
func TestResetsAndMissingReplies(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, Config{})
	var reply targetapi.SearchReply
	is.NoErr(target.Apply(Command{Fault: FaultResetBeforeRun, Count: 1}))
	_, err := post(newClient(t), target, testRequest("a"), &reply)
	is.True(err != nil)
	is.Equal(target.Record().Started, uint64(0))

	is.NoErr(target.Apply(Command{Fault: FaultResetAfterRun, Count: 1}))
	_, err = post(newClient(t), target, testRequest("b"), &reply)
	is.True(err != nil)

	is.NoErr(target.Apply(Command{Fault: FaultNeverReply, Count: 1}))
	startSearch(target, newClient(t), "c")
	eventually(func() bool { return target.Record().Runs[1].Fault == string(FaultNeverReply) })
	for _, run := range target.Record().Runs {
		is.Equal(run.End, EndCompleted)
		is.True(!run.ReplySent)
	}
}
