package engine

import (
	"context"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/audit"
)

const (
	// reachTimeout bounds the new connection that tells a crashed target from a
	// lost connection.
	reachTimeout = 250 * time.Millisecond
	// maxSafe bounds the fingerprints of one generation that are known to be safe.
	maxSafe = 32_768
	// safePeriod is the age at which a generation is replaced. A request that was
	// safe may crash a target after the index changed.
	safePeriod = 5 * time.Minute
)

// crashGuard keeps requests that crash targets from running again. It is safe
// for concurrent use.
type crashGuard struct {
	self  Identity
	keyer *quarantine.Keyer

	mu sync.Mutex
	// detector is guarded by mu.
	detector *quarantine.Detector
	// safe and wasSafe are two generations of fingerprints that a target
	// answered. Guarded by mu.
	safe, wasSafe map[quarantine.Fingerprint]struct{}
	// rotated is the start of the present generation. Guarded by mu.
	rotated time.Duration
}

func newCrashGuard(self Identity, key []byte) *crashGuard {
	return &crashGuard{
		self:     self,
		keyer:    quarantine.NewKeyer(key),
		detector: quarantine.New(quarantine.DefaultSettings()),
		safe:     make(map[quarantine.Fingerprint]struct{}),
	}
}

// decide says how a request may run, and whether a target has answered it before.
func (g *crashGuard) decide(fp quarantine.Fingerprint) (d quarantine.Decision, safe bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, current := g.safe[fp]
	_, previous := g.wasSafe[fp]
	return g.detector.Decide(fp, g.self.Clock()), current || previous
}

// answered records that a target answered the request.
func (g *crashGuard) answered(fp quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.self.Clock()
	if len(g.safe) >= maxSafe || now-g.rotated > safePeriod {
		g.wasSafe, g.safe = g.safe, make(map[quarantine.Fingerprint]struct{})
		g.rotated = now
	}
	g.safe[fp] = struct{}{}
}

// crashed records that a target crashed while it ran the request. It reports
// whether the request is refused from now on.
func (g *crashGuard) crashed(fp quarantine.Fingerprint, run quarantine.Run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.safe, fp)
	delete(g.wasSafe, fp)
	return g.detector.Crash(fp, run, g.self.Clock())
}

// ended reports the end of a run that was allowed alone.
func (g *crashGuard) ended(fp quarantine.Fingerprint, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Ended(fp, answered, g.self.Clock())
}

// facts returns at most limit facts for peers.
func (g *crashGuard) facts(limit int) quarantine.Facts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Facts(g.self.Clock(), limit)
}

// merge takes the facts of a peer.
func (g *crashGuard) merge(f quarantine.Facts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Merge(f, g.self.Clock())
}

// guarded reports whether the crash guard concerns a request.
func (e *Engine) guarded(req *Request) bool {
	return e.guard != nil && req.Fingerprint != (quarantine.Fingerprint{})
}

// noteIfCrashed records that a target crashed while it ran a request, if it did. It
// also reports whether the request is refused from then on.
func (e *Engine) noteIfCrashed(req *Request, run quarantine.Run, err error) (crashed, refused bool) {
	if !e.guarded(req) || !e.targetCrashed(run.Target, err) {
		return false, false
	}
	e.metrics.Crashes.Add(1)
	refused = e.guard.crashed(req.Fingerprint, run)
	e.noteCrash(run, req.ID, refused)
	e.spread()
	return true, refused
}

// noteCrash logs a crash and records a request that is refused because of it.
func (e *Engine) noteCrash(run quarantine.Run, requestID string, refused bool) {
	e.log.Warn().Str("target", run.Target).Bool("alone", run.Alone).Bool("proven", run.AnsweredElsewhere).
		Str("request_id", requestID).Bool("refused", refused).Msg("target crashed during an attempt")
	if refused {
		e.audit.Record(time.Now(), audit.Quarantined, e.self.Entry, "request "+requestID+" crashed targets, the last one "+run.Target)
	}
}

// targetCrashed reports whether a failed attempt coincides with a crash of its
// target: the connection broke after the request was sent and a new one is
// refused.
func (e *Engine) targetCrashed(target string, err error) bool {
	se := status.From(err)
	if se == nil || se.Code != status.ConnectionFailed || se.Outcome != status.Unknown {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	return !e.targets.Reachable(ctx, target)
}
