// Package entry implements the entry process. It authenticates callers, fans searches out to
// targets, merges the replies, and enforces the coverage and the repeat rule of each service. The
// load decisions themselves are made by the packages under coordination.
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
	// journalShards is the number of lock shards of the journal.
	journalShards = 32
)

// Identity identifies this process.
type Identity = engine.Identity

// TargetClient sends attempts to targets. targethttp.Client implements it.
type TargetClient interface {
	Search(ctx context.Context, target string, req *targetapi.SearchRequest, opt targethttp.Options) (*targetapi.SearchReply, error)
	Reachable(ctx context.Context, target string) bool
	Status(ctx context.Context, target string) (*targetapi.Status, error)
	Configure(targets []sheet.Target, share func(sheet.Target) int)
	DropIdle()
	Connections(target string) int
}

// Engine serves the requests of callers and other entries. All methods are safe for concurrent
// use.
type Engine struct {
	self    Identity
	log     zerolog.Logger
	targets TargetClient
	peers   Forwarder
	// core executes the requests.
	core      *engine.Engine
	signer    *permit.Signer
	journal   *journal.Journal
	inherited *journal.Inherited
	audit     *audit.Trail
	// entries is the number of entries that share the connections to the targets.
	entries  atomic.Int64
	inflight inflight.Table
	metrics  *Metrics

	plan     atomic.Pointer[plan]
	sequence atomic.Uint64
	draining atomic.Bool

	pendingHandoversMu sync.Mutex
	// pendingHandovers holds the parts of incomplete handovers by stopped incarnation. Guarded
	// by pendingHandoversMu.
	pendingHandovers map[ids.Incarnation][]*peerpb.HandoverRequest
}

// Config holds the settings and dependencies of an Engine.
type Config struct {
	Self      Identity
	Log       zerolog.Logger
	Targets   TargetClient
	Peers     Forwarder
	PermitKey []byte
	// PolicyOn enables the load policies.
	PolicyOn bool
	Metrics  *Metrics
	// NotifyPeers sends new facts to peers immediately. It must not block and may be nil.
	NotifyPeers func()
	// Verify checks documents and leaving targets with peers after the process was paused. It may
	// be nil.
	Verify func()
	// Audit may be nil.
	Audit *audit.Trail
	// Tokens asks another entry for tokens of targets with a rate limit. It may be nil if there are no
	// other entries.
	Tokens func(ctx context.Context, address string, in *peerpb.TokensRequest) (*peerpb.TokensReply, error)
	// ReachedTargets asks peers for targets that have replied to them within a second. It may be nil
	// if there are no other entries.
	ReachedTargets func(ctx context.Context) []string
	// OnDetached is called when this entry begins or ceases to reach no target. It must not block and
	// may be nil.
	OnDetached func(detached bool)
}

// New returns an engine that refuses requests until SetDocuments is called.
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
			NotifyPeers:    cfg.NotifyPeers,
			Verify:         cfg.Verify,
			Tokens:         cfg.Tokens,
			ReachedTargets: cfg.ReachedTargets,
			OnDetached:     cfg.OnDetached,
			Audit:          cfg.Audit,
		}),
		signer:           permit.NewSigner(cfg.PermitKey),
		journal:          journal.New(journalShards),
		inherited:        journal.NewInherited(),
		metrics:          cfg.Metrics,
		audit:            cfg.Audit,
		pendingHandovers: make(map[ids.Incarnation][]*peerpb.HandoverRequest),
	}
	e.entries.Store(1)
	return e
}

// SetDocuments makes new requests use an accepted sheet and index.
func (e *Engine) SetDocuments(s *sheet.Sheet, d *index.Document) {
	p := newPlan(s, d)
	e.core.SetCatalogue(p.catalogue(int(e.entries.Load())))
	e.plan.Store(p)
	e.metrics.SheetRevision.Set(int64(s.Revision))
	e.metrics.IndexRevision.Set(int64(d.Revision))
	e.configureTargets(p)
}

// SetEntries sets the number of entries that share the connections to the targets.
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

// request is an authenticated and validated request.
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

// search serves one search. A stopping entry still serves searches on open connections, for which
// the HTTP server waits.
func (e *Engine) search(ctx context.Context, call callerhttp.Call) callerhttp.Reply {
	id := e.nextID()
	tracked := e.inflight.Begin(id.Sequence)
	if tracked {
		defer e.inflight.End(id.Sequence)
	}
	e.core.AwaitVerified(ctx)
	req, err := e.prepare(id, call)
	if err != nil {
		return e.errorReply(id, unknownIfPermit(call.Search, err), "")
	}
	if !tracked && req.service.Repeat.Rule == sheet.AtMostOnce {
		// The journal is being handed over to the successor.
		err := status.New(status.Draining, status.NotRun, "this entry is stopping").WithRetryAfter(engine.DefaultRetryAfter)
		return e.errorReply(id, unknownIfPermit(call.Search, err), "")
	}
	if e.core.Detached() && req.search.Permit == "" {
		// A permit of this entry could run nowhere else.
		err := status.New(status.NotReady, status.NotRun, "this entry reaches no target").WithRetryAfter(engine.DefaultRetryAfter)
		return e.errorReply(id, err, "")
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	var reply callerhttp.Reply
	if req.service.Repeat.Rule == sheet.AtMostOnce {
		reply = e.searchOnce(ctx, req)
	} else {
		reply = e.searchAll(ctx, req)
	}
	e.metrics.recordReply(req.service.Name, reply.HTTPStatus)
	return reply
}

// unknownIfPermit changes the outcome of an early refusal to Unknown if the request carries a
// permit, because an earlier request with that permit may have run.
func unknownIfPermit(search callerapi.SearchRequest, err error) error {
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

// notReady returns the refusal of a request that arrived before both documents were known.
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

// prepare authenticates and validates a call, and fixes its plan and deadline.
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
	deadlineMS := svc.Latency.MaxDeadlineMS
	if call.Search.DeadlineMS < 0 || call.Search.DeadlineMS > deadlineMS {
		return nil, status.New(status.InvalidArgument, status.NotRun, "deadline_ms is %d and must be from 0 to %d", call.Search.DeadlineMS, deadlineMS)
	}
	if call.Search.DeadlineMS > 0 {
		deadlineMS = call.Search.DeadlineMS
	}
	return &request{
		id:       id,
		caller:   caller,
		search:   call.Search,
		service:  svc,
		plan:     p,
		arrival:  call.Arrival,
		deadline: call.Arrival.Add(time.Duration(deadlineMS) * time.Millisecond),
	}, nil
}

func (e *Engine) answerReply(resp *callerapi.SearchResponse) callerhttp.Reply {
	body, err := json.Marshal(resp)
	if err != nil {
		id, _ := ids.ParseRequest(resp.RequestID)
		return e.errorReply(id, status.Wrap(err, status.Internal, status.Unknown, "encode answer"), "")
	}
	e.metrics.recordAnswer(resp)
	return callerhttp.Reply{HTTPStatus: http.StatusOK, Body: body}
}

// errorReply returns the reply for an error. freshPermit is a new permit for the caller, or empty.
func (e *Engine) errorReply(id ids.Request, err error, freshPermit string) callerhttp.Reply {
	se := status.From(err)
	e.metrics.recordRefusal(se)
	e.log.Debug().Str("request_id", id.String()).Str("code", string(se.Code)).Str("outcome", string(se.Outcome)).Err(err).Msg("request refused")
	body, _ := json.Marshal(callerapi.ErrorResponse{ // Cannot fail: the struct has only strings and numbers.
		Code:         se.Code,
		Outcome:      se.Outcome,
		Message:      se.Message,
		RetryAfterMS: se.RetryAfter.Milliseconds(),
		RequestID:    id.String(),
		Permit:       freshPermit,
	})
	return callerhttp.Reply{HTTPStatus: status.HTTPStatus(se.Code), Body: body, RetryAfter: se.RetryAfter}
}
