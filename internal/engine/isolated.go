package engine

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
)

// isolatedRuns keeps track of the targets that run a suspected request in isolation. When two
// requests run on a target that crashes, it is unknown which one caused the crash. It is safe for
// concurrent use.
type isolatedRuns struct {
	entry string
	// count is the number of isolated runs, read first so that most attempts need no lock.
	count atomic.Int64

	mu sync.Mutex
	// entries names the live entries of the fleet, including this one. Guarded by mu.
	entries []string
	// targets holds all targets. Guarded by mu.
	targets []CatalogueTarget
	// preferred holds the targets that this entry prefers for isolated runs. It is computed on first
	// use after a change, and nil until then, because most changes occur without a crash. Guarded by
	// mu.
	preferred map[string]bool
	// busy counts the isolated runs by target. Guarded by mu.
	busy map[string]int
}

func newIsolatedRuns(entry string) *isolatedRuns {
	return &isolatedRuns{entry: entry, busy: make(map[string]int)}
}

// setEntries replaces the live entries of the fleet.
func (l *isolatedRuns) setEntries(entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(entries, l.entries) {
		l.entries, l.preferred = entries, nil
	}
}

// setTargets replaces the known targets.
func (l *isolatedRuns) setTargets(targets []CatalogueTarget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets, l.preferred = targets, nil
}

// computePreferred computes the targets that this entry prefers. The caller must hold mu.
func (l *isolatedRuns) computePreferred() {
	ids := make([]string, len(l.targets))
	for i := range l.targets {
		ids[i] = l.targets[i].ID
	}
	l.preferred = make(map[string]bool)
	for _, t := range quarantine.PreferredTargets(l.entry, l.entries, ids) {
		l.preferred[t] = true
	}
}

// begin records an isolated run on a target. It returns false, and records nothing, when the target
// already has one and allowShared is false.
func (l *isolatedRuns) begin(target string, allowShared bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy[target] > 0 && !allowShared {
		return false
	}
	l.busy[target]++
	l.count.Add(1)
	return true
}

// end records the end of an isolated run on a target.
func (l *isolatedRuns) end(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy[target]--; l.busy[target] <= 0 {
		delete(l.busy, target)
	}
	l.count.Add(-1)
}

// busyTargets returns those of the targets that have an isolated run.
func (l *isolatedRuns) busyTargets(targets []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var busy []string
	for _, t := range targets {
		if l.busy[t] > 0 {
			busy = append(busy, t)
		}
	}
	return busy
}

// preferredByOthers returns those of the targets that other entries prefer for isolated runs.
func (l *isolatedRuns) preferredByOthers(targets []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 {
		return nil
	}
	if l.preferred == nil {
		l.computePreferred()
	}
	var others []string
	for _, t := range targets {
		if !l.preferred[t] {
			others = append(others, t)
		}
	}
	return others
}

// hasFreeTarget reports whether one of the targets is preferred by this entry and has no isolated
// run.
func (l *isolatedRuns) hasFreeTarget(targets []string) bool {
	busy, others := l.busyTargets(targets), l.preferredByOthers(targets)
	return slices.ContainsFunc(targets, func(t string) bool {
		return !slices.Contains(busy, t) && !slices.Contains(others, t)
	})
}

// SetPeers replaces the other live entries of the fleet. The entries divide the targets among
// themselves for isolated runs.
func (e *Engine) SetPeers(peers []string) {
	e.isolated.setEntries(append(slices.Clone(peers), e.self.Entry))
}

// chooseWithIsolation is chooseTarget, but separates isolated runs from other attempts. The attempt
// must be sent with send, which ends an isolated run.
func (e *Engine) chooseWithIsolation(req *Request, targets []string, shard int, exclude []string, isolated bool) (string, bool) {
	if isolated {
		return e.chooseIsolated(req, targets, shard, exclude)
	}
	return e.chooseAvoidingIsolated(req, targets, shard, exclude)
}

// chooseAvoidingIsolated is chooseTarget, but avoids targets with an isolated run if the shard has
// another target.
func (e *Engine) chooseAvoidingIsolated(req *Request, targets []string, shard int, exclude []string) (string, bool) {
	if e.isolated.count.Load() == 0 {
		return e.chooseTarget(req, targets, shard, exclude)
	}
	if busy := e.isolated.busyTargets(e.candidates(req, targets, shard)); len(busy) > 0 {
		if target, ok := e.chooseTarget(req, targets, shard, slices.Concat(exclude, busy)); ok {
			return target, true
		}
	}
	return e.chooseTarget(req, targets, shard, exclude)
}

// chooseIsolated selects a target for an isolated run and records the run. It takes a target that
// this entry prefers, or else any target without an isolated run. If there is none it shares a
// target, because the shard would be missing otherwise.
func (e *Engine) chooseIsolated(req *Request, targets []string, shard int, exclude []string) (string, bool) {
	others := e.isolated.preferredByOthers(e.candidates(req, targets, shard))
	for _, excluded := range [][]string{others, nil} {
		avoid := slices.Concat(exclude, excluded)
		for {
			target, ok := e.chooseTarget(req, targets, shard, avoid)
			if !ok {
				break
			}
			if e.isolated.begin(target, false) {
				return target, true
			}
			avoid = append(avoid, target)
		}
	}
	target, ok := e.chooseTarget(req, targets, shard, exclude)
	return target, ok && e.isolated.begin(target, true)
}

// candidates returns all targets of a shard. A target may occur twice.
func (e *Engine) candidates(req *Request, targets []string, shard int) []string {
	if req.GroupTargets == nil {
		return targets
	}
	return slices.Concat(targets, req.GroupTargets[shard])
}
