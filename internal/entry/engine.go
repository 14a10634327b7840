// Package entry is the serving process: it authenticates callers, scatters
// searches to targets, merges the replies and keeps the promises of the
// contract. The decisions are made by the packages under coordination.
package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/connshare"
	"github.com/balsamstall/balsamstall/coordination/permit"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/state/audit"
	"github.com/balsamstall/balsamstall/state/inflight"
	"github.com/balsamstall/balsamstall/state/journal"
	"github.com/balsamstall/balsamstall/transport/callerhttp"
	"github.com/balsamstall/balsamstall/transport/targethttp"
)

const (
	// journalShards is the number of locks of the journal.
	journalShards = 32
)

// Identity names this process.
type Identity = engine.Identity

// Targets sends attempts. targethttp.Client implements it.
type Targets interface {
	Search(ctx context.Context, target string, req *targetapi.SearchRequest, opt targethttp.Options) (*targetapi.SearchReply, error)
	Reachable(ctx context.Context, target string) bool
	Status(ctx context.Context, target string) (*targetapi.Status, error)
	Configure(targets []sheet.Target, share func(sheet.Target) int)
	DropIdle()
	Connections(target string) int
}

// Engine runs requests. All methods are safe for concurrent use.
type Engine struct {
	self    Identity
	log     zerolog.Logger
	targets Targets
	peers   Forwarder
	// core runs the requests.
	core      *engine.Engine
	signer    *permit.Signer
	journal   *journal.Journal
	inherited *journal.Inherited
	audit     *audit.Trail
	// entries is the number of entries that share the targets' connections.
	entries  atomic.Int64
	inflight inflight.Table
	metrics  *Metrics

	plan     atomic.Pointer[plan]
	sequence atomic.Uint64
	draining atomic.Bool

	partsMu sync.Mutex
	// parts holds the messages of handovers that are not complete. Guarded by partsMu.
	parts map[ids.Incarnation][]*peerpb.HandoverRequest
}

// Config holds the parts of an engine.
type Config struct {
	Self      Identity
	Log       zerolog.Logger
	Targets   Targets
	Peers     Forwarder
	PermitKey []byte
	// PolicyOn turns the load policies on.
	PolicyOn bool
	Metrics  *Metrics
	// Spread tells peers of new facts at once. It must not block and may be nil.
	Spread func()
	// Verify checks documents and leaving targets with peers after a pause of the
	// process. It may be nil.
	Verify func()
	// Audit may be nil.
	Audit *audit.Trail
}

// New returns an engine that refuses requests until SetDocuments was called.
func New(cfg Config) *Engine {
	if cfg.Audit == nil {
		cfg.Audit = audit.New(zerolog.Nop())
	}
	e := &Engine{
		self:    cfg.Self,
		log:     cfg.Log,
		targets: cfg.Targets,
		peers:   cfg.Peers,
		core: engine.New(engine.Config{
			Self:           cfg.Self,
			Log:            cfg.Log,
			Targets:        cfg.Targets,
			FingerprintKey: cfg.PermitKey,
			PolicyOn:       cfg.PolicyOn,
			Metrics:        &cfg.Metrics.Metrics,
			NotifyPeers:    cfg.Spread,
			Verify:         cfg.Verify,
			Audit:          cfg.Audit,
		}),
		signer:    permit.NewSigner(cfg.PermitKey),
		journal:   journal.New(journalShards),
		inherited: journal.NewInherited(),
		metrics:   cfg.Metrics,
		audit:     cfg.Audit,
		parts:     make(map[ids.Incarnation][]*peerpb.HandoverRequest),
	}
	e.entries.Store(1)
	return e
}

// SetDocuments puts an accepted sheet and index in force for new requests.
func (e *Engine) SetDocuments(s *sheet.Sheet, d *index.Document) {
	p := newPlan(s, d)
	e.core.SetCatalogue(p.catalogue(int(e.entries.Load())))
	e.plan.Store(p)
	e.metrics.SheetRevision.Set(int64(s.Revision))
	e.metrics.IndexRevision.Set(int64(d.Revision))
	e.configureTargets(p)
}

// SetEntries tells how many entries share the connections to the targets.
func (e *Engine) SetEntries(n int) {
	if e.entries.Swap(int64(n)) == int64(n) {
		return
	}
	if p := e.plan.Load(); p != nil {
		e.core.SetCatalogue(p.catalogue(n))
		e.configureTargets(p)
	}
}

func (e *Engine) configureTargets(p *plan) {
	entries := int(e.entries.Load())
	e.targets.Configure(p.sheet.Targets, func(t sheet.Target) int { return connshare.Share(t.MaxConnections, entries) })
}

// request is one authenticated request.
type request struct {
	id       ids.Request
	caller   *sheet.Caller
	search   callerapi.SearchRequest
	service  *sheet.Service
	plan     *plan
	arrival  time.Time
	deadline time.Time
}

// Search implements callerhttp.Handler.
func (e *Engine) Search(ctx context.Context, call callerhttp.Call) callerhttp.Reply {
	reply := e.search(ctx, call)
	reply.Close = e.draining.Load()
	return reply
}

// search runs one search. A stopping entry still serves those on open connections; the
// HTTP server waits for them.
func (e *Engine) search(ctx context.Context, call callerhttp.Call) callerhttp.Reply {
	id := e.nextID()
	counted := e.inflight.Begin(id.Sequence)
	if counted {
		defer e.inflight.End(id.Sequence)
	}
	e.core.AwaitVerified(ctx)
	req, err := e.prepare(id, call)
	if err != nil {
		return e.errorReply(id, unproved(call.Search, err), "")
	}
	if !counted && req.service.Repeat.Rule == sheet.AtMostOnce {
		// The journal is on its way to the successor.
		err := status.New(status.Draining, status.NotRun, "this entry is stopping").WithRetryAfter(engine.DefaultRetryAfter)
		return e.errorReply(id, unproved(call.Search, err), "")
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	var reply callerhttp.Reply
	if req.service.Repeat.Rule == sheet.AtMostOnce {
		reply = e.searchOnce(ctx, req)
	} else {
		reply = e.searchAll(ctx, req)
	}
	e.metrics.served(req.service.Name, reply.Status)
	return reply
}

// unproved turns the outcome of a refusal at the door into Unknown when the
// request carries a permit: an earlier use of it may have run.
func unproved(search callerapi.SearchRequest, err error) error {
	if search.Permit == "" {
		return err
	}
	se := *status.From(err)
	se.Outcome = status.Unknown
	return &se
}

// Authenticate implements callerhttp.Handler.
func (e *Engine) Authenticate(key string) *status.Error {
	p := e.plan.Load()
	if p == nil {
		return notReady()
	}
	if _, err := p.authenticate(key); err != nil {
		return status.From(err)
	}
	return nil
}

// notReady refuses a request that came before the documents.
func notReady() *status.Error {
	return status.New(status.NotReady, status.NotRun, "no sheet and index are in force yet").WithRetryAfter(engine.DefaultRetryAfter)
}

// Refuse implements callerhttp.Handler.
func (e *Engine) Refuse(err *status.Error) callerhttp.Reply {
	return e.errorReply(e.nextID(), err, "")
}

func (e *Engine) nextID() ids.Request {
	return ids.Request{Incarnation: e.self.Incarnation, Sequence: e.sequence.Add(1)}
}

// prepare authenticates a call and fixes the plan and the deadline.
func (e *Engine) prepare(id ids.Request, call callerhttp.Call) (*request, error) {
	p := e.plan.Load()
	if p == nil {
		return nil, notReady()
	}
	caller, err := p.authenticate(call.Key)
	if err != nil {
		return nil, err
	}
	svc, err := p.service(caller, call.Search.Service)
	if err != nil {
		return nil, err
	}
	if call.Search.Query == "" {
		return nil, status.New(status.InvalidArgument, status.NotRun, "query must not be empty")
	}
	budget := svc.Latency.MaxDeadlineMS
	if call.Search.DeadlineMS < 0 || call.Search.DeadlineMS > budget {
		return nil, status.New(status.InvalidArgument, status.NotRun, "deadline_ms is %d and must be from 0 to %d", call.Search.DeadlineMS, budget)
	}
	if call.Search.DeadlineMS > 0 {
		budget = call.Search.DeadlineMS
	}
	return &request{
		id:       id,
		caller:   caller,
		search:   call.Search,
		service:  svc,
		plan:     p,
		arrival:  call.Arrival,
		deadline: call.Arrival.Add(time.Duration(budget) * time.Millisecond),
	}, nil
}

func (e *Engine) answerReply(resp *callerapi.SearchResponse) callerhttp.Reply {
	body, err := json.Marshal(resp)
	if err != nil {
		id, _ := ids.ParseRequest(resp.RequestID)
		return e.errorReply(id, status.Wrap(err, status.Internal, status.Unknown, "encoding the answer"), "")
	}
	e.metrics.answered(resp)
	return callerhttp.Reply{Status: http.StatusOK, Body: body}
}

// errorReply builds a refusal. A fresh permit may come with it.
func (e *Engine) errorReply(id ids.Request, err error, freshPermit string) callerhttp.Reply {
	se := status.From(err)
	e.metrics.refused(se)
	e.log.Debug().Str("request_id", id.String()).Str("code", string(se.Code)).Str("outcome", string(se.Outcome)).Err(err).Msg("request refused")
	body, _ := json.Marshal(callerapi.ErrorResponse{ // A struct of texts and numbers always encodes.
		Code:         se.Code,
		Outcome:      se.Outcome,
		Message:      se.Message,
		RetryAfterMS: se.RetryAfter.Milliseconds(),
		RequestID:    id.String(),
		Permit:       freshPermit,
	})
	return callerhttp.Reply{Status: status.HTTPStatus(se.Code), Body: body, RetryAfter: se.RetryAfter}
}
