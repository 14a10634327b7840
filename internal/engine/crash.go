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
	// crashProbeTimeout limits the connection attempt that tells a crashed target from a lost
	// connection.
	crashProbeTimeout = 250 * time.Millisecond
	// maxSafePerGeneration limits the number of safe fingerprints in one generation.
	maxSafePerGeneration = 32_768
	// safeGenerationPeriod is the age at which a generation is replaced. A safe request may crash a
	// target after the index changed.
	safeGenerationPeriod = 5 * time.Minute
)

// crashGuard isolates or refuses requests that crash targets. It is safe for concurrent use.
type crashGuard struct {
	self  Identity
	keyer *quarantine.Keyer

	mu sync.Mutex
	// detector is guarded by mu.
	detector *quarantine.Detector
	// safe and previousSafe are the current and the previous generation of fingerprints of requests
	// that a target answered. Guarded by mu.
	safe, previousSafe map[quarantine.Fingerprint]struct{}
	// rotatedAt is the start of the current generation. Guarded by mu.
	rotatedAt time.Duration
}

func newCrashGuard(self Identity, key []byte) *crashGuard {
	return &crashGuard{
		self:     self,
		keyer:    quarantine.NewKeyer(key),
		detector: quarantine.New(quarantine.DefaultSettings()),
		safe:     make(map[quarantine.Fingerprint]struct{}),
	}
}

// decide returns how a request may run, and whether a target has answered it before.
func (g *crashGuard) decide(fp quarantine.Fingerprint) (d quarantine.Decision, safe bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, current := g.safe[fp]
	_, previous := g.previousSafe[fp]
	return g.detector.Decide(fp, g.self.Clock()), current || previous
}

// recordAnswered records that a target answered the request.
func (g *crashGuard) recordAnswered(fp quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.self.Clock()
	if len(g.safe) >= maxSafePerGeneration || now-g.rotatedAt > safeGenerationPeriod {
		g.previousSafe, g.safe = g.safe, make(map[quarantine.Fingerprint]struct{})
		g.rotatedAt = now
	}
	g.safe[fp] = struct{}{}
}

// recordCrash records that a target crashed while it ran the request. It reports whether the request
// is quarantined from now on.
func (g *crashGuard) recordCrash(fp quarantine.Fingerprint, run quarantine.Run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.safe, fp)
	delete(g.previousSafe, fp)
	return g.detector.RecordCrash(fp, run, g.self.Clock())
}

// recordIsolatedEnd records the end of an isolated run.
func (g *crashGuard) recordIsolatedEnd(fp quarantine.Fingerprint, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.RecordIsolatedEnd(fp, answered, g.self.Clock())
}

// facts returns at most limit facts for sending to peers.
func (g *crashGuard) facts(limit int) quarantine.Facts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Facts(g.self.Clock(), limit)
}

// merge merges the facts of a peer.
func (g *crashGuard) merge(f quarantine.Facts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Merge(f, g.self.Clock())
}

// guarded reports whether the crash guard applies to a request.
func (e *Engine) guarded(req *Request) bool {
	return e.guard != nil && req.Fingerprint != (quarantine.Fingerprint{})
}

// detectCrash checks whether the target crashed during an attempt, and records it if so. It also
// reports whether the request is quarantined from then on.
func (e *Engine) detectCrash(req *Request, run quarantine.Run, err error) (crashed, quarantined bool) {
	if !e.guarded(req) || !e.targetCrashed(run.Target, err) {
		return false, false
	}
	e.metrics.Crashes.Add(1)
	quarantined = e.guard.recordCrash(req.Fingerprint, run)
	e.reportCrash(run, req.ID, quarantined)
	e.notifyPeers()
	return true, quarantined
}

// reportCrash logs a crash and, if the request is quarantined because of it, adds an audit record.
func (e *Engine) reportCrash(run quarantine.Run, requestID string, quarantined bool) {
	e.log.Warn().Str("target", run.Target).Bool("alone", run.Isolated).Bool("proven", run.AnsweredElsewhere).
		Str("request_id", requestID).Bool("refused", quarantined).Msg("target crashed during an attempt")
	if quarantined {
		e.audit.Record(time.Now(), audit.Quarantined, e.self.Entry, "request "+requestID+" crashed targets, the last one "+run.Target)
	}
}

// targetCrashed reports whether a failed attempt coincides with a crash of its target: the
// connection broke after the request was sent, and no new connection can be opened although other
// targets can be reached. A partition of this entry breaks the connections of all targets.
func (e *Engine) targetCrashed(target string, err error) bool {
	se := status.From(err)
	if se == nil || se.Code != status.ConnectionFailed || se.Outcome != status.Unknown {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return !e.targets.Reachable(ctx, target) && e.reachesOthers(target)
}
