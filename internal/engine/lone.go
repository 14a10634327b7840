package engine

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
)

// loneRuns keeps the requests that run alone apart from others: two requests on
// one target that crashes cannot be told apart. It is safe for concurrent use.
type loneRuns struct {
	entry string
	// some is the number of lone runs, read first to spare each attempt the lock.
	some atomic.Int64

	mu sync.Mutex
	// entries names the live entries of the fleet, this one included. Guarded by mu.
	entries []string
	// targets holds all targets. Guarded by mu.
	targets []CatalogueTarget
	// own holds the targets that this entry prefers for lone runs. It is nil until it
	// is needed after a change, because most changes come without a crash. Guarded by
	// mu.
	own map[string]bool
	// busy counts the lone runs by target. Guarded by mu.
	busy map[string]int
}

func newLoneRuns(entry string) *loneRuns {
	return &loneRuns{entry: entry, busy: make(map[string]int)}
}

// setEntries names the live entries of the fleet.
func (l *loneRuns) setEntries(entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(entries, l.entries) {
		l.entries, l.own = entries, nil
	}
}

// setTargets tells which targets exist.
func (l *loneRuns) setTargets(targets []CatalogueTarget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets, l.own = targets, nil
}

// divide chooses the targets of this entry. The caller holds mu.
func (l *loneRuns) divide() {
	ids := make([]string, len(l.targets))
	for i := range l.targets {
		ids[i] = l.targets[i].ID
	}
	l.own = make(map[string]bool)
	for _, t := range quarantine.OwnedTargets(l.entry, l.entries, ids) {
		l.own[t] = true
	}
}

// begin records a lone run on a target. It reports false, and records nothing, when
// the target has one already and is not to be shared.
func (l *loneRuns) begin(target string, share bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy[target] > 0 && !share {
		return false
	}
	l.busy[target]++
	l.some.Add(1)
	return true
}

// end records the end of a lone run on a target.
func (l *loneRuns) end(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy[target]--; l.busy[target] <= 0 {
		delete(l.busy, target)
	}
	l.some.Add(-1)
}

// among returns those of the targets that have a lone run.
func (l *loneRuns) among(targets []string) []string {
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

// foreign returns those of the targets that other entries prefer for lone runs.
func (l *loneRuns) foreign(targets []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 {
		return nil
	}
	if l.own == nil {
		l.divide()
	}
	var foreign []string
	for _, t := range targets {
		if !l.own[t] {
			foreign = append(foreign, t)
		}
	}
	return foreign
}

// free reports whether one of the targets is left to a lone run of this entry.
func (l *loneRuns) free(targets []string) bool {
	busy, foreign := l.among(targets), l.foreign(targets)
	return slices.ContainsFunc(targets, func(t string) bool {
		return !slices.Contains(busy, t) && !slices.Contains(foreign, t)
	})
}

// SetPeers names the other live entries of the fleet. The entries divide the targets
// among themselves for requests that run alone.
func (e *Engine) SetPeers(peers []string) {
	e.lone.setEntries(append(slices.Clone(peers), e.self.Entry))
}

// chooseKeptApart is choose with requests that run alone kept apart from the others. The
// attempt must be sent with send, which ends a lone run.
func (e *Engine) chooseKeptApart(req *Request, targets []string, shard int, exclude []string, alone bool) (string, bool) {
	if alone {
		return e.chooseAlone(req, targets, shard, exclude)
	}
	return e.chooseApart(req, targets, shard, exclude)
}

// chooseApart is choose for an attempt that keeps clear of the targets of lone runs
// where another target of the shard allows it.
func (e *Engine) chooseApart(req *Request, targets []string, shard int, exclude []string) (string, bool) {
	if e.lone.some.Load() == 0 {
		return e.choose(req, targets, shard, exclude)
	}
	if busy := e.lone.among(e.candidates(req, targets, shard)); len(busy) > 0 {
		if target, ok := e.choose(req, targets, shard, slices.Concat(exclude, busy)); ok {
			return target, true
		}
	}
	return e.choose(req, targets, shard, exclude)
}

// chooseAlone picks a target for a lone run and records the run. It prefers the targets of this entry, then any without a lone run.
// Without such a target it shares one, because the shard would be missed.
func (e *Engine) chooseAlone(req *Request, targets []string, shard int, exclude []string) (string, bool) {
	foreign := e.lone.foreign(e.candidates(req, targets, shard))
	for _, others := range [][]string{foreign, nil} {
		avoid := slices.Concat(exclude, others)
		for {
			target, ok := e.choose(req, targets, shard, avoid)
			if !ok {
				break
			}
			if e.lone.begin(target, false) {
				return target, true
			}
			avoid = append(avoid, target)
		}
	}
	target, ok := e.choose(req, targets, shard, exclude)
	return target, ok && e.lone.begin(target, true)
}

// candidates returns all targets of a shard.
func (e *Engine) candidates(req *Request, targets []string, shard int) []string {
	if req.Others == nil {
		return targets
	}
	return slices.Concat(targets, req.Others[shard])
}
