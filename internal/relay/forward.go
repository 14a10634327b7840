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

	"github.com/balsamstall/balsamstall/coordination/homes"
	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/transport/peerrpc"
)

const (
	// offerWithin is the time within which a home offers to run a request. It covers a
	// way between zones and back, and a host whose processor is busy for a moment.
	offerWithin = 15 * time.Millisecond
	// maxOffers is the number of homes that a request is offered to before its receiver
	// runs it.
	maxOffers = 2
	// forwardLinesPerSecond bounds the log lines of requests that homes did not run.
	forwardLinesPerSecond = 10
	// maxBehind is the time for which a request waits for a revision that another entry
	// has put in force. Answers must not fall back to an older one after 250 ms.
	maxBehind = 100 * time.Millisecond
	// behindPoll is the interval at which such a request looks for the revision.
	behindPoll = 5 * time.Millisecond
)

// Homes runs gathered requests on other entries. peerrpc.Pool implements it.
type Homes interface {
	// Gather runs a request on the entry at address. The outcome of an error is NotRun
	// while the entry has not been told to go.
	Gather(ctx context.Context, address string, start *peerpb.GatherStart, offerWithin time.Duration) (*peerrpc.GatherResult, error)
}

// forwarder offers gathered requests to homes.
type forwarder struct {
	homes Homes
	core  *engine.Engine
	// catchUp asks an entry for newer documents. It must not block.
	catchUp func(entry string)
	log     zerolog.Logger
	metrics *Metrics
	self    engine.Identity

	mu sync.Mutex
	// assignment is guarded by mu.
	assignment homes.Assignment
	// suspects is guarded by mu.
	suspects homes.Backoff
	// newest is the highest revision of a sheet that a home ran a request under. Guarded
	// by mu.
	newest uint64
}

func newForwarder(cfg *Config) *forwarder {
	f := &forwarder{homes: cfg.Homes, core: cfg.Core, catchUp: cfg.CatchUp, metrics: cfg.Metrics, self: cfg.Self,
		log: cfg.Log.Sample(&zerolog.BurstSampler{Burst: forwardLinesPerSecond, Period: time.Second})}
	if f.catchUp == nil {
		f.catchUp = func(string) {}
	}
	return f
}

// set takes the homes in force.
func (f *forwarder) set(a homes.Assignment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assignment = a
	known := make(map[string]bool, len(a.SameZone)+len(a.OtherZones))
	for _, h := range append(a.SameZone[:len(a.SameZone):len(a.SameZone)], a.OtherZones...) {
		known[h.ID] = true
	}
	f.suspects.Retain(func(id string) bool { return known[id] })
}

// order returns the homes that a request is offered to, none when this entry runs it.
func (f *forwarder) order() []homes.Entry {
	if f.homes == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.assignment.IsHome || !f.assignment.Active() {
		return nil
	}
	now := f.self.Clock()
	return f.assignment.OfferOrder(globalRand{}, maxOffers, func(id string) bool { return f.suspects.Avoid(now, id) })
}

// globalRand is the random source of math/rand/v2, which needs no lock.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }

// gather runs a request on a home. It returns nil when no home has taken it, so that it
// has not run and this entry may run it.
func (f *forwarder) gather(ctx context.Context, req *relayapi.Request, p *plan, route *route, core *engine.Request) *relayapi.Answer {
	var tried offers
	for _, home := range f.order() {
		began := time.Now()
		gathered, err := f.homes.Gather(ctx, home.Address, f.start(req, p, route), offerWithin)
		f.note(home.ID, gathered, err)
		tried.add(home.ID, time.Since(began), err)
		if err == nil {
			f.metrics.Forwarded.Add(1)
			f.logForward(req, core, &tried, nil)
			learnLeaving(f.core, home.ID, gathered.Answer.Leaving)
			return answerOf(gathered.Answer)
		}
		failure := status.From(err)
		if failure.Outcome != status.NotRun {
			f.logForward(req, core, &tried, failure)
			return refusal(failure)
		}
		f.metrics.Unoffered.Add(1)
		if ctx.Err() != nil {
			break
		}
	}
	if len(tried) > 0 {
		f.logForward(req, core, &tried, nil)
	}
	return nil
}

// start describes a request to a home.
func (f *forwarder) start(req *relayapi.Request, p *plan, route *route) *peerpb.GatherStart {
	s := &peerpb.GatherStart{
		RequestId:     req.ID,
		Host:          req.Host,
		Path:          req.Path,
		Method:        req.Method,
		Target:        req.Target,
		Body:          req.Body,
		ElapsedUs:     time.Since(req.Arrival).Microseconds(),
		WaitUs:        req.Wait.Microseconds(),
		WaitedUs:      req.Waited.Microseconds(),
		SheetRevision: max(p.sheet.Revision, f.newestRevision()),
		Receiver:      f.self.Entry,
		Leaving:       statedLeaving(f.core, route),
	}
	for name, values := range req.Header {
		for _, v := range values {
			s.Header = append(s.Header, &peerpb.HeaderField{Name: name, Value: v})
		}
	}
	return s
}

// statedLeaving lists the targets of a route that said that they leave. They travel with
// the hop, so that neither side sends to a target whose word the other one has heard.
func statedLeaving(core *engine.Engine, route *route) []*peerpb.Leaving {
	var told []*peerpb.Leaving
	for _, t := range core.StatedLeaving(route.others) {
		told = append(told, &peerpb.Leaving{Target: t.ID, StartedMs: t.Started, Stated: true})
	}
	return told
}

// learnLeaving takes what the other side of a hop knows of leaving targets.
func learnLeaving(core *engine.Engine, peer string, told []*peerpb.Leaving) {
	for _, l := range told {
		core.MergeLeavingReport(peer, notice.Report{Target: notice.Target{ID: l.Target, Started: l.StartedMs}, Stated: l.Stated})
	}
}

// note takes note of how a home treated an offer.
func (f *forwarder) note(home string, g *peerrpc.GatherResult, err error) {
	now := f.self.Clock()
	f.mu.Lock()
	newer := false
	switch code := status.CodeOf(err); {
	case err == nil:
		f.suspects.RecordSuccess(home)
		newer = g.SheetRevision > f.newest
		f.newest = max(f.newest, g.SheetRevision)
	case code == status.Draining:
		f.suspects.RecordStopping(now, home)
	case code == status.Canceled, code == status.DeadlineExceeded, code == status.VersionUnavailable, code == status.Overloaded:
		// These tell about the request, or that the home lives.
	default:
		f.suspects.RecordFailure(now, home)
	}
	f.mu.Unlock()
	if newer {
		f.catchUp(home)
	}
}

// newestRevision returns the highest revision of a sheet that a home ran a request of
// this entry under.
func (f *forwarder) newestRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// awaitRevision returns the plan in force once it is as new as the answers that homes
// gave to callers of this entry, or after maxBehind.
func (r *Relay) awaitRevision(ctx context.Context) *plan {
	newest := r.forwarder.newestRevision()
	for end := time.Now().Add(maxBehind); ; {
		p := r.plan.Load()
		if p == nil || p.sheet.Revision >= newest || ctx.Err() != nil || !time.Now().Before(end) {
			return p
		}
		time.Sleep(behindPoll)
	}
}

// answerOf translates the answer of a home.
func answerOf(a *peerpb.GatherAnswer) *relayapi.Answer {
	if e := a.Error; e != nil {
		err := status.New(status.Code(e.Code), status.Unknown, "%s", e.Message).WithRetryAfter(time.Duration(e.RetryAfterMs) * time.Millisecond)
		if status.Outcome(e.Outcome) == status.NotRun {
			err.Outcome = status.NotRun
		}
		return refusal(err)
	}
	return &relayapi.Answer{Service: a.Service, Merged: &relayapi.Merged{
		Signatures: a.Signatures,
		Missing:    int(a.Missing),
		Records:    a.Records,
	}}
}

// offers lists the homes that a request was offered to, for its log line.
type offers []string

// add records an offer as "home+milliseconds=code".
func (o *offers) add(home string, took time.Duration, err error) {
	code := string(status.CodeOf(err))
	if err == nil {
		code = "ok"
	}
	*o = append(*o, home+"+"+strconv.FormatInt(took.Milliseconds(), 10)+"="+code)
}

// logForward writes the line of a request that was offered to homes. One that the first
// home answered is a line of the level debug.
func (f *forwarder) logForward(req *relayapi.Request, core *engine.Request, tried *offers, failure *status.Error) {
	level := zerolog.DebugLevel
	if failure != nil || len(*tried) > 1 || !strings.HasSuffix((*tried)[0], "=ok") {
		level = zerolog.InfoLevel
	}
	line := f.log.WithLevel(level)
	if level < f.log.GetLevel() || line == nil {
		return
	}
	line.Str("request_id", req.ID).Str("service", core.Service).Uint64("sheet", core.SheetRevision).
		Int64("took_ms", time.Since(req.Arrival).Milliseconds()).Strs("offers", *tried)
	if failure != nil {
		line.Str("code", string(failure.Code)).Str("outcome", string(failure.Outcome)).Str("detail", failure.Message)
	}
	line.Msg("request offered to homes")
}

// headerOf returns the header of a forwarded request.
func headerOf(fields []*peerpb.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	return h
}
