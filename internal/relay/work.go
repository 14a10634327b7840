package relay

import (
	"context"
	"errors"
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

// requestWork is the common part of gatherWork and passThroughWork.
type requestWork struct {
	relay    *Relay
	req      *relayapi.EncodedRequest
	layout   *index.Snapshot
	deadline time.Time
	// maxBodyBytes limits the body of a target's reply. Zero selects the limit of the connection.
	maxBodyBytes int64
}

// maxShardReplyBytes limits the reply body of one shard. It allows 4,096 records of 16 bytes; the
// largest replies in user searches have 2,400 bytes.
const maxShardReplyBytes = 64 << 10

// ChooseSnapshot implements engine.Work. A request has only one snapshot, its layout, and all its
// shards count as usable.
func (w *requestWork) ChooseSnapshot(usable func(string) bool, excluded func(ids.Snapshot) bool) (*index.Snapshot, int, bool) {
	if excluded != nil && excluded(w.layout.Snapshot) {
		return nil, 0, false
	}
	return w.layout, len(w.layout.Shards), true
}

// MarkMissing implements engine.Work.
func (w *requestWork) MarkMissing(int, callerapi.Reason) {}

// send sends one attempt. It returns an error for a reply that cannot be used as an answer.
func (w *requestWork) send(ctx context.Context, a engine.Attempt) (*relayapi.Reply, error) {
	sent := w.relay.cfg.Self.Clock()
	reply, err := w.relay.cfg.Targets.Send(ctx, a.Target, w.req, time.Until(w.deadline), targethttp.Options{
		FreshConnection: a.FreshConnection && !a.AtMostOnce,
		SilentAfter:     a.SilentAfter,
		MaxBodyBytes:    w.maxBodyBytes,
		MaySend:         w.relay.cfg.Engine.MaySend,
	}, func(reply *relayapi.Reply) { w.applyNotices(a.Target, reply, sent) })
	if err != nil {
		return nil, err
	}
	if reply.Misdirected {
		return nil, status.New(status.Draining, status.NotRun, "the address of target %s belongs to another target", a.Target)
	}
	switch {
	case reply.NotRun:
		return nil, status.Wrap(&relayapi.ReplyError{Reply: reply}, status.Shed, status.NotRun, "target %s refused the request", a.Target).WithRetryAfter(reply.RetryAfter)
	case reply.Header.Get("Content-Encoding") != "", isSuccess(reply) && reply.Signature == "":
		return nil, status.New(status.ReplyMismatch, status.Unknown, "the reply of target %s is unsigned or has a content encoding", a.Target)
	case reply.HTTPStatus >= http.StatusInternalServerError || !canPassThrough(reply.HTTPStatus):
		return nil, status.Wrap(&relayapi.ReplyError{Reply: reply}, status.Unavailable, status.Unknown, "target %s failed", a.Target)
	}
	return reply, nil
}

// applyNotices applies what a target's reply to a request sent at the given time states about new
// requests: that the target is leaving, wants no requests for a time or limits their rate, and its load.
func (w *requestWork) applyNotices(target string, reply *relayapi.Reply, sent time.Duration) {
	if reply.Misdirected || isSuccess(reply) && reply.Signature == "" {
		return // Nothing proves that the target itself made the reply.
	}
	if reply.Leaving {
		w.relay.cfg.Engine.RecordStatedLeaving(target, w.req.ID)
	}
	if reply.HoldOff {
		w.relay.cfg.Engine.RecordHoldOff(target, w.req.ID, reply.RetryAfter)
	}
	if reply.LoadStated || reply.InvalidLoad != nil {
		w.relay.cfg.Engine.RecordLoad(target, reply.Load, reply.InvalidLoad)
	}
	limits := w.relay.cfg.Engine.RateLimits()
	if reply.InvalidRateLimit != nil {
		limits.RecordInvalid(target, w.req.ID, reply.InvalidRateLimit)
		return
	}
	// A failure may have been made up by something in between, which knows no limit.
	limits.RecordReply(target, w.req.ID, sent, reply.RateLimit, isSuccess(reply))
}

func isSuccess(reply *relayapi.Reply) bool { return reply.HTTPStatus >= 200 && reply.HTTPStatus <= 299 }

// gatherWork implements engine.Work for gathered requests. It merges the records of the shards.
type gatherWork struct {
	requestWork
	topRecords int
	replies    []*relayapi.Reply
}

// StartMerge implements engine.Work.
func (w *gatherWork) StartMerge(s *index.Snapshot) {
	w.replies = make([]*relayapi.Reply, len(s.Shards))
}

// Send implements engine.Work.
func (w *gatherWork) Send(ctx context.Context, a engine.Attempt) (any, error) {
	reply, err := w.send(ctx, a)
	if err == nil && !isSuccess(reply) {
		err = status.Wrap(&relayapi.ReplyError{Reply: reply}, status.Unavailable, status.Unknown, "target %s failed", a.Target)
	}
	if err != nil {
		var failed *relayapi.ReplyError
		if errors.As(err, &failed) {
			failed.Reply.Header, failed.Reply.Body = nil, nil // Failures of shards are not passed on.
		}
		return nil, err
	}
	return w.compact(reply), nil
}

// compact returns the part of a reply that an answer may contain. It is kept until the last shard has replied,
// beside those of all other shards.
func (w *gatherWork) compact(reply *relayapi.Reply) *relayapi.Reply {
	body := reply.Body
	if len(body) > w.topRecords*toprecords.RecordSize {
		body = toprecords.Greatest([][]byte{body}, w.topRecords)
	}
	return &relayapi.Reply{HTTPStatus: reply.HTTPStatus, Signature: reply.Signature, Body: body}
}

// Accept implements engine.Work.
func (w *gatherWork) Accept(shard int, reply any) { w.replies[shard] = reply.(*relayapi.Reply) }

// merged returns the merged records of the shards that replied.
func (w *gatherWork) merged() *relayapi.Merged {
	m := &relayapi.Merged{}
	bodies := make([][]byte, 0, len(w.replies))
	for _, reply := range w.replies {
		if reply == nil {
			m.Missing++
			continue
		}
		m.Signatures = append(m.Signatures, reply.Signature)
		bodies = append(bodies, reply.Body)
	}
	m.Records = toprecords.Greatest(bodies, w.topRecords)
	return m
}

// passThroughWork implements engine.Work for requests that are answered by one target.
type passThroughWork struct {
	requestWork
	reply *relayapi.Reply
}

// StartMerge implements engine.Work.
func (w *passThroughWork) StartMerge(*index.Snapshot) {}

// Send implements engine.Work.
func (w *passThroughWork) Send(ctx context.Context, a engine.Attempt) (any, error) {
	reply, err := w.send(ctx, a)
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// Accept implements engine.Work.
func (w *passThroughWork) Accept(_ int, reply any) { w.reply = reply.(*relayapi.Reply) }
