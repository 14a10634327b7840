package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/balsamstall/balsamstall/coordination/toprecords"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

// work is what gathered and passed requests have in common.
type work struct {
	relay    *Relay
	req      *relayapi.Request
	layout   *index.Snapshot
	deadline time.Time
	// maxBody bounds the reply of a target in bytes, zero for the bound of the connection.
	maxBody int64
}

// maxPartBytes bounds the reply of one shard. It holds 4,096 records of 16 bytes; the
// largest parts of the users' searches have 2,400 bytes.
const maxPartBytes = 64 << 10

// ChooseSnapshot implements engine.Work. A request has one layout.
func (w *work) ChooseSnapshot(usable func(string) bool, excluded func(ids.Snapshot) bool) (*index.Snapshot, int, bool) {
	if excluded != nil && excluded(w.layout.Snapshot) {
		return nil, 0, false
	}
	return w.layout, len(w.layout.Shards), true
}

// Miss implements engine.Work.
func (w *work) Miss(int, callerapi.Reason) {}

// send sends one attempt and turns replies that are no success into errors.
func (w *work) send(ctx context.Context, a engine.Attempt) (*relayapi.Reply, error) {
	reply, err := w.relay.cfg.Targets.Send(ctx, a.Target, w.req, time.Until(w.deadline), targethttp.Options{
		FreshConnection: a.FreshConnection && !a.AtMostOnce,
		SilentAfter:     a.SilentAfter,
		MaxBody:         w.maxBody,
		MaySend:         w.relay.cfg.Core.MaySend,
	})
	if err != nil {
		return nil, err
	}
	if reply.Misdirected {
		return nil, status.New(status.Draining, status.NotRun, "another target has the address of %s", a.Target)
	}
	w.heed(a.Target, reply)
	switch {
	case reply.NotRun:
		return nil, status.Wrap(&relayapi.Failure{Reply: reply}, status.Shed, status.NotRun, "target %s refused", a.Target).WithRetryAfter(reply.RetryAfter)
	case reply.Header.Get("Content-Encoding") != "", success(reply) && reply.Signature == "":
		return nil, status.New(status.ReplyMismatch, status.Unknown, "the reply of target %s is not its own", a.Target)
	case reply.Status >= http.StatusInternalServerError || !passable(reply.Status):
		return nil, status.Wrap(&relayapi.Failure{Reply: reply}, status.Unavailable, status.Unknown, "target %s failed", a.Target)
	}
	return reply, nil
}

// heed takes what a target says about new work.
func (w *work) heed(target string, reply *relayapi.Reply) {
	if success(reply) && reply.Signature == "" {
		return // Nothing shows that the reply is the target's own.
	}
	if reply.Leaving {
		w.relay.cfg.Core.RecordStatedLeaving(target, w.req.ID)
	}
	if reply.HoldOff {
		w.relay.cfg.Core.RecordHoldOff(target, w.req.ID, reply.RetryAfter)
	}
}

func success(reply *relayapi.Reply) bool { return reply.Status >= 200 && reply.Status <= 299 }

// gatherWork merges the records of the shards.
type gatherWork struct {
	work
	top   int
	parts []*relayapi.Reply
}

// StartMerge implements engine.Work.
func (w *gatherWork) StartMerge(s *index.Snapshot) { w.parts = make([]*relayapi.Reply, len(s.Shards)) }

// Send implements engine.Work.
func (w *gatherWork) Send(ctx context.Context, a engine.Attempt) (any, error) {
	reply, err := w.send(ctx, a)
	if err != nil {
		return nil, err
	}
	if !success(reply) {
		return nil, status.Wrap(&relayapi.Failure{Reply: reply}, status.Unavailable, status.Unknown, "target %s failed", a.Target)
	}
	return reply, nil
}

// Accept implements engine.Work.
func (w *gatherWork) Accept(shard int, reply any) { w.parts[shard] = reply.(*relayapi.Reply) }

// merged returns the answer of the shards that replied.
func (w *gatherWork) merged() *relayapi.Merged {
	m := &relayapi.Merged{}
	bodies := make([][]byte, 0, len(w.parts))
	for _, part := range w.parts {
		if part == nil {
			m.Missing++
			continue
		}
		m.Signatures = append(m.Signatures, part.Signature)
		bodies = append(bodies, part.Body)
	}
	m.Records = toprecords.Greatest(bodies, w.top)
	return m
}

// passWork takes the reply of one target.
type passWork struct {
	work
	reply *relayapi.Reply
}

// StartMerge implements engine.Work.
func (w *passWork) StartMerge(*index.Snapshot) {}

// Send implements engine.Work.
func (w *passWork) Send(ctx context.Context, a engine.Attempt) (any, error) {
	reply, err := w.send(ctx, a)
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// Accept implements engine.Work.
func (w *passWork) Accept(_ int, reply any) { w.reply = reply.(*relayapi.Reply) }
