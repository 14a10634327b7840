package entry

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/bytebudget"
)

// startStream is a stream whose first message starts a request. It supports nothing else.
type startStream struct {
	peerpb.DRPCPeer_GatherStream
	start *peerpb.GatherStart
}

func (s startStream) Recv() (*peerpb.GatherRequest, error) {
	return &peerpb.GatherRequest{Start: s.start}, nil
}

// Guards against requests of other entries that exceed the memory of this one, and against a refusal that
// does not prove that the request has not run. Without a relay, an offer would panic.
func TestHostedRequestIsRefusedWithoutMemory(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.MinBytes, nil)
	h := &relayPeerHandler{budget: budget}
	others := budget.Hold(bytebudget.Running)
	is.True(others.Acquire(bytebudget.MinBytes / 2))
	err := h.Gather(startStream{start: &peerpb.GatherStart{Body: make([]byte, bytebudget.MinBytes/4)}})
	var refusal *status.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code, status.Overloaded)
	is.Equal(refusal.Outcome, status.NotRun)
	others.Close()
	for _, held := range budget.Held() {
		is.Equal(held, int64(0))
	}
}
