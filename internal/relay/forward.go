package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/detour"
	"github.com/balsamstall/balsamstall/coordination/homes"
	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/transport/peerrpc"
)

const (
	// offerTimeout is the time within which a home must offer to run a request. It covers a round
	// trip between zones and a host whose CPU is briefly busy.
	offerTimeout = 15 * time.Millisecond
	// maxOffers is the number of homes to which a request is offered before the entry that received
	// it runs it itself.
	maxOffers = 2
	// maxForwardLogsPerSecond limits the log lines about requests offered to homes.
	maxForwardLogsPerSecond = 10
	// maxRevisionWait is the time for which a request waits for a sheet revision that another entry
	// already uses. Answers must not fall back to an older revision after 250 ms.
	maxRevisionWait = 100 * time.Millisecond
	// revisionPollInterval is the interval at which such a request checks for the revision.
	revisionPollInterval = 5 * time.Millisecond
)

// HomeClient runs requests on other entries. peerrpc.Pool implements it.
type HomeClient interface {
	// Gather runs a request on the entry at address, which must offer to run it within offerTimeout.
	// The outcome of an error is NotRun as long as the entry has not been told to start. offered is called
	// before that with the revision of the sheet under which the entry will run the request.
	Gather(ctx context.Context, address string, start *peerpb.GatherStart, offerTimeout time.Duration, offered func(sheetRevision uint64)) (*peerrpc.GatherResult, error)
}

// forwarder offers gathered requests to homes, and all requests to peers while this entry reaches no target.
type forwarder struct {
	homes  HomeClient
	engine *engine.Engine
	// catchUp requests newer documents from an entry. It must not block.
	catchUp func(entry string)
	log     zerolog.Logger
	metrics *Metrics
	self    engine.Identity

	mu sync.Mutex
	// assignment is guarded by mu.
	assignment homes.Assignment
	// backoff holds the homes that are left out after failed offers. Guarded by mu.
	backoff homes.Backoff
	// peers lists the entries that run requests while this entry reaches no target. Guarded by mu.
	peers []detour.Peer
	// running counts the requests that other entries run for this one. Guarded by mu.
	running map[string]int
	// newestSheet is the highest sheet revision under which a home may have run a request of this entry.
	// newestHome is that home. Guarded by mu.
	newestSheet uint64
	newestHome  string
}

func newForwarder(cfg *Config) *forwarder {
	f := &forwarder{running: make(map[string]int), homes: cfg.Homes, engine: cfg.Engine, catchUp: cfg.CatchUp, metrics: cfg.Metrics, self: cfg.Self,
		log: cfg.Log.Sample(&zerolog.BurstSampler{Burst: maxForwardLogsPerSecond, Period: time.Second})}
	if f.catchUp == nil {
		f.catchUp = func(string) {}
	}
	return f
}

// setFleet replaces the assignment of homes and the peers.
func (f *forwarder) setFleet(a homes.Assignment, peers []detour.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assignment, f.peers = a, peers
	known := make(map[string]bool, len(a.SameZone)+len(a.OtherZones)+len(peers))
	for i := range peers {
		known[peers[i].ID] = true
	}
	for _, h := range append(a.SameZone[:len(a.SameZone):len(a.SameZone)], a.OtherZones...) {
		known[h.ID] = true
	}
	f.backoff.Retain(func(id string) bool { return known[id] })
}

// offerOrder returns the homes to which a request is offered, in order. It returns none if this
// entry runs the request.
func (f *forwarder) offerOrder() []homes.Entry {
	if f.homes == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.assignment.IsHome || !f.assignment.Active() {
		return nil
	}
	now := f.self.Clock()
	return f.assignment.OfferOrder(globalRand{}, maxOffers, func(id string) bool { return f.backoff.Avoid(now, id) })
}

// globalRand is the global random source of math/rand/v2, which is safe for concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }

// gather runs a request on a home. It returns nil if no home has accepted the request. The request
// has not run then, and this entry may run it.
func (f *forwarder) gather(ctx context.Context, req *relayapi.Request, p *plan, route *route, engineReq *engine.Request) *relayapi.Answer {
	o := offering{req: req, engineReq: engineReq, start: f.gatherStart(req, p, route), timeout: offerTimeout, message: homesMessage}
	return f.offer(ctx, &o, f.offerOrder())
}

// offering is a request that is offered to other entries.
type offering struct {
	req       *relayapi.Request
	engineReq *engine.Request
	start     *peerpb.GatherStart
	// timeout is the time within which an entry must offer to run the request.
	timeout time.Duration
	// message is the text of the log line.
	message string
	tried   offerLog
}

// offer runs a request on the first of the entries that accepts it. It returns nil if none does. The
// request has not run then.
func (f *forwarder) offer(ctx context.Context, o *offering, entries []homes.Entry) *relayapi.Answer {
	for _, e := range entries {
		start := time.Now()
		f.addRunning(e.ID, 1)
		gathered, err := f.homes.Gather(ctx, e.Address, o.start, o.timeout, func(revision uint64) { f.recordRevision(e.ID, revision) })
		f.addRunning(e.ID, -1)
		f.recordOffer(e.ID, err)
		o.tried.add(e.ID, time.Since(start), err)
		if err == nil {
			if o.start.Detour {
				f.metrics.Detoured.Add(1)
			} else {
				f.metrics.Forwarded.Add(1)
			}
			f.logForward(o, nil)
			mergeLeaving(f.engine, e.ID, gathered.Answer.Leaving)
			return decodeAnswer(gathered.Answer)
		}
		failure := status.From(err)
		if failure.Outcome != status.NotRun {
			f.logForward(o, failure)
			return errorAnswer(failure)
		}
		f.metrics.FailedOffers.Add(1)
		if ctx.Err() != nil {
			break
		}
	}
	if len(o.tried) > 0 || o.start.Detour {
		f.logForward(o, nil)
	}
	return nil
}

// gatherStart returns the message that offers a request to a home.
func (f *forwarder) gatherStart(req *relayapi.Request, p *plan, route *route) *peerpb.GatherStart {
	return &peerpb.GatherStart{
		RequestId:     req.ID,
		Host:          req.Host,
		Path:          req.Path,
		Method:        req.Method,
		Target:        req.Target,
		Body:          req.Body,
		ElapsedUs:     time.Since(req.Arrival).Microseconds(),
		WaitUs:        req.Wait.Microseconds(),
		WaitedUs:      req.Waited.Microseconds(),
		SheetRevision: max(p.sheet.Revision, f.newestSheetRevision()),
		Receiver:      f.self.Entry,
		Leaving:       statedLeaving(f.engine, route),
		Header:        encodeHeader(req.Header),
	}
}

func encodeHeader(h http.Header) []*peerpb.HeaderField {
	var fields []*peerpb.HeaderField
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, &peerpb.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// statedLeaving returns the targets of a route that stated that they are leaving. The receiver and
// the home exchange them, so that neither sends requests to a target whose statement the other has
// received.
func statedLeaving(e *engine.Engine, route *route) []*peerpb.Leaving {
	var leaving []*peerpb.Leaving
	for _, t := range e.StatedLeaving(route.allTargets) {
		leaving = append(leaving, &peerpb.Leaving{Target: t.ID, StartedMs: t.Started, Stated: true})
	}
	return leaving
}

// mergeLeaving merges the leaving targets that the receiver or the home reported.
func mergeLeaving(e *engine.Engine, peer string, leaving []*peerpb.Leaving) {
	for _, l := range leaving {
		e.MergeLeavingReport(peer, notice.Report{Target: notice.Target{ID: l.Target, Started: l.StartedMs}, Stated: l.Stated})
	}
}

// recordOffer records the result of an offer to a home.
func (f *forwarder) recordOffer(home string, err error) {
	now := f.self.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch code := status.CodeOf(err); {
	case err == nil:
		f.backoff.RecordSuccess(home)
	case code == status.Draining:
		f.backoff.RecordDraining(now, home)
	case code == status.NoReplica:
		f.backoff.RecordDetached(now, home)
	case code == status.Canceled, code == status.DeadlineExceeded, code == status.VersionUnavailable, code == status.Overloaded:
		// These concern only the request, or show that the home is alive.
	default:
		f.backoff.RecordFailure(now, home)
	}
}

// recordRevision records that a home is about to run a request under the given sheet revision. Targets may see
// its effect before the answer arrives, and also if none does.
func (f *forwarder) recordRevision(home string, revision uint64) {
	f.mu.Lock()
	newer := revision > f.newestSheet
	if newer {
		f.newestSheet, f.newestHome = revision, home
	}
	f.mu.Unlock()
	if newer {
		f.catchUp(home)
	}
}

// catchUpAgain requests newer documents from the home with the newest sheet once more.
func (f *forwarder) catchUpAgain() {
	f.mu.Lock()
	home := f.newestHome
	f.mu.Unlock()
	f.catchUp(home)
}

// newestSheetRevision returns the highest sheet revision under which a home may have run a request of
// this entry.
func (f *forwarder) newestSheetRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestSheet
}

// awaitRevision returns the current plan once it is as new as the sheets under which homes may have run
// requests of this entry, or after maxRevisionWait. outdated is set if it is still older: it must not be
// applied to a request, because callers have seen the effect of a newer one.
func (r *Relay) awaitRevision(ctx context.Context) (p *plan, outdated bool) {
	newest := r.forwarder.newestSheetRevision()
	for end := time.Now().Add(maxRevisionWait); ; time.Sleep(revisionPollInterval) {
		p := r.plan.Load()
		if p == nil || p.sheet.Revision >= newest {
			return p, false
		}
		if ctx.Err() != nil || !time.Now().Before(end) {
			r.cfg.Metrics.OutdatedSheet.Add(1)
			r.forwarder.catchUpAgain()
			r.forwarder.log.Warn().Uint64("sheet", p.sheet.Revision).Uint64("newest", newest).
				Msg("the sheet that a home has used is not in force here yet")
			return p, true
		}
	}
}

// decodeAnswer converts the answer of a home.
func decodeAnswer(a *peerpb.GatherAnswer) *relayapi.Answer {
	if e := a.Error; e != nil {
		err := status.New(status.Code(e.Code), status.Unknown, "%s", e.Message).WithRetryAfter(time.Duration(e.RetryAfterMs) * time.Millisecond)
		if status.Outcome(e.Outcome) == status.NotRun {
			err.Outcome = status.NotRun
		}
		return errorAnswer(err)
	}
	if a.Passed != nil {
		return &relayapi.Answer{Service: a.Service, Reply: decodePassed(a.Passed)}
	}
	return &relayapi.Answer{Service: a.Service, Merged: &relayapi.Merged{
		Signatures: a.Signatures,
		Missing:    int(a.Missing),
		Records:    a.Records,
	}}
}

// offerLog lists the homes to which a request was offered, for its log line.
type offerLog []string

// add records an offer as "home+milliseconds=code".
func (o *offerLog) add(home string, took time.Duration, err error) {
	code := string(status.CodeOf(err))
	if err == nil {
		code = "ok"
	}
	*o = append(*o, home+"+"+strconv.FormatInt(took.Milliseconds(), 10)+"="+code)
}

// Texts of the log lines about requests that were offered to other entries.
const (
	homesMessage  = "request offered to homes"
	detourMessage = "request offered to peers because this entry reaches no target"
)

// logForward logs a request that was offered to other entries. The level is debug if the first home
// answered the request, and info otherwise.
func (f *forwarder) logForward(o *offering, failure *status.Error) {
	level := zerolog.DebugLevel
	if o.start.Detour || failure != nil || len(o.tried) > 1 || !strings.HasSuffix(o.tried[0], "=ok") {
		level = zerolog.InfoLevel
	}
	event := f.log.WithLevel(level)
	if level < f.log.GetLevel() || event == nil {
		return
	}
	event.Str("request_id", o.req.ID).Str("service", o.engineReq.Service).Uint64("sheet", o.engineReq.SheetRevision).
		Int64("took_ms", time.Since(o.req.Arrival).Milliseconds()).Strs("offers", o.tried)
	if failure != nil {
		event.Str("code", string(failure.Code)).Str("outcome", string(failure.Outcome)).Str("detail", failure.Message)
	}
	event.Msg(o.message)
}

// decodeHeader converts the header of a forwarded request.
func decodeHeader(fields []*peerpb.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	return h
}
