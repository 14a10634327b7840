package engine

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/detached"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// maxReachedTargets limits the targets that RecentlyReached returns.
	maxReachedTargets = 8
	// reachedWithin is the maximum age of the replies that RecentlyReached reports.
	reachedWithin = time.Second
	// reachedTimeout limits the question to peers which targets they have reached.
	reachedTimeout = 200 * time.Millisecond
	// detachedProbeTimeout limits a connection attempt to a target that a peer has reached.
	// firstProbeTimeout limits the first attempt of a check, which usually succeeds.
	detachedProbeTimeout = 250 * time.Millisecond
	firstProbeTimeout    = 50 * time.Millisecond
	// detachedProbeInterval is the minimum time between the starts of two probes of a detached entry.
	detachedProbeInterval = 200 * time.Millisecond
	// silentPeriod is the time without any reply after which attempts on open connections count as lost
	// once the entry is detached. Connections that were opened before may work on meanwhile.
	silentPeriod = 100 * time.Millisecond
	// candidatesInterval is the time after which peers are asked again if none has named a target.
	candidatesInterval = 250 * time.Millisecond
	// candidatesPeriod is the time for which a detached entry probes the same candidates.
	candidatesPeriod = time.Second
)

// attachment tracks whether this entry reaches the targets. It is safe for concurrent use.
type attachment struct {
	detached atomic.Bool

	mu sync.Mutex
	// detector is guarded by mu.
	detector *detached.Detector
	// reached holds the last targets that replied, and next the position of the next one. Guarded by
	// mu.
	reached [maxReachedTargets]reachedTarget
	next    int
	// targets holds the ids of the known targets. The map is replaced, not changed. Guarded by mu.
	targets map[string]bool
	// repliedAt is the time of the last reply. Guarded by mu.
	repliedAt time.Duration
	// connected ends when the entry becomes detached while no target replies. Guarded by mu.
	connected    context.Context
	endConnected context.CancelFunc
}

// reachedTarget is a target and the time of its last reply.
type reachedTarget struct {
	target string
	at     time.Duration
}

func newAttachment() *attachment {
	a := &attachment{detector: detached.New(detached.DefaultSettings())}
	a.connected, a.endConnected = context.WithCancel(context.Background())
	return a
}

// setDetached ends connected, or replaces it by a new context.
func (a *attachment) setDetached(isDetached bool, now time.Duration) {
	a.detached.Store(isDetached)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !isDetached:
		a.connected, a.endConnected = context.WithCancel(context.Background())
	case now-a.repliedAt > silentPeriod:
		a.endConnected()
	}
}

// setTargets replaces the known targets. Those of evacuated zones are left out: an entry that reaches only them
// can serve nothing.
func (a *attachment) setTargets(targets []CatalogueTarget) {
	known := make(map[string]bool, len(targets))
	for i := range targets {
		if !targets[i].Evacuated {
			known[targets[i].ID] = true
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targets = known
}

func (a *attachment) recordReply(target string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detector.RecordReply(now)
	a.repliedAt = now
	for i := range a.reached {
		if a.reached[i].target == target {
			a.reached[i].at = now
			return
		}
	}
	a.reached[a.next] = reachedTarget{target, now}
	a.next = (a.next + 1) % len(a.reached)
}

// recordFailure records an attempt without a reply, and reports whether to check now whether targets
// can be reached. refused is set if a connection could not be opened or was reset.
func (a *attachment) recordFailure(target string, refused bool, started, now time.Duration) (check bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if refused {
		a.detector.RecordRefused(now, target)
	} else {
		a.detector.RecordUnanswered(now, started, target)
	}
	return a.detector.StartCheck(now)
}

// Detached reports whether this entry reaches no target although its peers do.
func (e *Engine) Detached() bool { return e.attachment.detached.Load() }

// MayBeDetached reports whether this entry is detached, or attempts at so many targets have failed
// that it may be.
func (e *Engine) MayBeDetached() bool {
	if e.Detached() {
		return true
	}
	e.attachment.mu.Lock()
	defer e.attachment.mu.Unlock()
	return e.attachment.detector.Suspected(e.self.Clock())
}

// Connected returns a context that ends when this entry becomes detached while no target replies:
// attempts that run then get no reply.
func (e *Engine) Connected() context.Context {
	e.attachment.mu.Lock()
	defer e.attachment.mu.Unlock()
	return e.attachment.connected
}

// RecentlyReached returns targets that have replied to this entry within a second.
func (e *Engine) RecentlyReached() []string {
	if e.Detached() {
		return nil
	}
	now := e.self.Clock()
	e.attachment.mu.Lock()
	defer e.attachment.mu.Unlock()
	var targets []string
	for _, r := range e.attachment.reached {
		if r.target != "" && now-r.at <= reachedWithin {
			targets = append(targets, r.target)
		}
	}
	return targets
}

// recordAttachment records the end of an attempt as evidence whether this entry reaches the targets.
func (e *Engine) recordAttachment(target string, err error, started time.Duration) {
	now := e.self.Clock()
	switch {
	case err == nil || mayHaveAnswered(err):
		e.attachment.recordReply(target, now)
	case mayBeUnanswered(err):
		if e.attachment.recordFailure(target, status.CodeOf(err) == status.ConnectionFailed, started, now) {
			go e.checkAttachment()
		}
	}
}

// checkAttachment opens connections to targets that peers have just reached, and to some others: those of the
// peers may have been lost for all entries. This entry is detached if none can be opened.
func (e *Engine) checkAttachment() {
	candidates := e.awaitCandidates()
	reached := 0
	if len(candidates) > 0 {
		reached = e.countReachable(slices.Concat(candidates, e.otherTargets(candidates)))
	}
	e.attachment.mu.Lock()
	isDetached := e.attachment.detector.FinishCheck(e.self.Clock(), len(candidates), reached)
	e.attachment.mu.Unlock()
	e.log.Info().Int("candidates", len(candidates)).Int("reached", reached).Bool("detached", isDetached).
		Msg("checked whether this entry reaches the targets that its peers reach")
	if isDetached {
		e.setDetached(true)
		e.awaitAttachment()
	}
}

// awaitCandidates returns targets that peers have just reached. As long as no peer names any and a zone is
// unreachable, it asks again: the peers that were asked may be detached too, and no attempt would cause
// another check, because requests to unreachable zones are refused before.
func (e *Engine) awaitCandidates() []string {
	for {
		candidates := e.reachedByPeers()
		if len(candidates) > 0 || e.zones.unreachableCount.Load() == 0 {
			return candidates
		}
		time.Sleep(candidatesInterval)
	}
}

// reachedByPeers returns known targets that peers have just reached.
func (e *Engine) reachedByPeers() []string {
	ctx, cancel := context.WithTimeout(context.Background(), reachedTimeout)
	defer cancel()
	reached := e.reachedTargets(ctx)
	e.attachment.mu.Lock()
	var known []string
	for _, target := range reached {
		if e.attachment.targets[target] {
			known = append(known, target)
		}
	}
	e.attachment.mu.Unlock()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return known[:min(len(known), maxReachedTargets)]
}

// countReachable returns the number of targets to which a connection can be opened. It tries the others
// only if the first one cannot be reached within firstProbeTimeout.
func (e *Engine) countReachable(targets []string) int {
	if len(targets) == 0 {
		return 0
	}
	if e.probeTarget(targets[0], firstProbeTimeout) {
		return 1
	}
	return len(e.reachable(targets))
}

// reachable returns the targets to which a connection can be opened.
func (e *Engine) reachable(targets []string) []string {
	var mu sync.Mutex
	var reached []string
	var probes sync.WaitGroup
	for _, target := range targets {
		probes.Go(func() {
			if e.probeTarget(target, detachedProbeTimeout) {
				mu.Lock()
				defer mu.Unlock()
				reached = append(reached, target)
			}
		})
	}
	probes.Wait()
	return reached
}

// firstReachable returns a target to which a connection can be opened, or an empty string.
func (e *Engine) firstReachable(targets []string) string {
	if reached := e.reachable(targets); len(reached) > 0 {
		return reached[0]
	}
	return ""
}

// reachesOthers reports whether this entry reaches any target other than the given one, or knows none.
func (e *Engine) reachesOthers(target string) bool {
	if e.Detached() {
		return false
	}
	others := e.otherTargets([]string{target})
	return len(others) == 0 || e.countReachable(others) > 0
}

// otherTargets returns random known targets except the given ones.
func (e *Engine) otherTargets(targets []string) []string {
	var others []string
	for t := range e.listedTargets() { // Go iterates in random order.
		if len(others) < maxReachedTargets && !slices.Contains(targets, t) {
			others = append(others, t)
		}
	}
	return others
}

// listedTargets returns the known targets. The caller must not change the map.
func (e *Engine) listedTargets() map[string]bool {
	e.attachment.mu.Lock()
	defer e.attachment.mu.Unlock()
	return e.attachment.targets
}

func (e *Engine) probeTarget(target string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return e.targets.Reachable(ctx, target)
}

// awaitAttachment probes targets until this entry reaches some again: one that peers have just reached, and in turn
// all that are listed, because the peers may be detached too.
func (e *Engine) awaitAttachment() {
	var candidates []string
	var askedAt time.Time
	var rotation detached.Rotation
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	// last is a target that the previous round has reached, or empty.
	last := ""
	for {
		start := time.Now()
		if time.Since(askedAt) > candidatesPeriod {
			if fresh := e.reachedByPeers(); len(fresh) > 0 {
				candidates = fresh
			}
			askedAt = start
		}
		round := rotation.Next(rng, e.listedTargets())
		if len(candidates) > 0 {
			round = append(round, candidates[rng.IntN(len(candidates))])
		}
		if last != "" {
			round = append(round, last)
		}
		if len(round) > 0 {
			last = e.firstReachable(round)
			e.attachment.mu.Lock()
			attached := e.attachment.detector.RecordProbe(e.self.Clock(), last != "")
			e.attachment.mu.Unlock()
			if attached {
				e.setDetached(false)
				return
			}
		}
		time.Sleep(max(detachedProbeInterval-time.Since(start), 0))
	}
}

// setDetached applies a change of Detached.
func (e *Engine) setDetached(isDetached bool) {
	e.attachment.setDetached(isDetached, e.self.Clock())
	if isDetached {
		e.metrics.Detached.Set(1)
		e.log.Warn().Msg("this entry reaches no target although its peers do; they serve its requests")
	} else {
		e.metrics.Detached.Set(0)
		e.targets.DropIdle()
		e.attachment.mu.Lock()
		targets := slices.Collect(maps.Keys(e.attachment.targets))
		e.attachment.mu.Unlock()
		e.policy.resetStats(targets)
		e.log.Info().Msg("this entry reaches targets again; it serves its requests itself")
	}
	e.onDetached(isDetached)
	e.notifyPeers()
}
