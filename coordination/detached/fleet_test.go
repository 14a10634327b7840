package detached

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// roundInterval is the time between two rounds of probes.
	roundInterval = 200 * ms
	// stabilityWindow is the time within which an entry that reaches a listed target must be attached.
	stabilityWindow = 4 * time.Second
)

// modelFleet is a fleet of entries that lose and regain targets.
type modelFleet struct {
	rng     *rand.Rand
	now     time.Duration
	entries []*modelEntry
	listed  map[string]bool
	// lost holds the targets that no entry reaches.
	lost    map[string]bool
	started int
}

type modelEntry struct {
	detector *Detector
	rotation Rotation
	// cut holds the targets that only this entry cannot reach, all of them if cutAll is set.
	cut    map[string]bool
	cutAll bool
	// replied maps targets to the time of their last reply.
	replied map[string]time.Duration
	last    string
	// reachableSince maps each target that the entry reaches to the time since which it does.
	reachableSince map[string]time.Duration
	detachedSince  time.Duration
}

func (f *modelFleet) start(n int) {
	listed := make(map[string]bool)
	for t := range f.listed {
		listed[t] = true
	}
	for range n {
		f.started++
		listed[fmt.Sprint("t", f.started)] = true
	}
	f.listed = listed
}

func (f *modelFleet) unlist(target string) {
	listed := make(map[string]bool)
	for t := range f.listed {
		if t != target {
			listed[t] = true
		}
	}
	f.listed = listed
}

func (f *modelFleet) reaches(e *modelEntry, target string) bool {
	return !f.lost[target] && !e.cutAll && !e.cut[target]
}

// sample returns at most n random listed targets.
func (f *modelFleet) sample(n int) []string {
	var targets []string
	for t := range f.listed {
		targets = append(targets, t)
	}
	f.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(n, len(targets))]
}

// step lets each entry send requests or probes for one round.
func (f *modelFleet) step(t *rapid.T) {
	f.now += roundInterval
	for i, e := range f.entries {
		wasDetached := e.detector.Detached()
		if wasDetached {
			f.probe(e)
		} else {
			f.serve(e)
		}
		if e.detector.Detached() && !wasDetached {
			e.detachedSince = f.now
		}
		f.check(t, i, e)
	}
}

func (f *modelFleet) serve(e *modelEntry) {
	for _, target := range f.sample(4) {
		if f.reaches(e, target) {
			e.detector.RecordReply(f.now)
			e.replied[target] = f.now
		} else {
			e.detector.RecordRefused(f.now, target)
		}
	}
	if !e.detector.StartCheck(f.now) {
		return
	}
	candidates := f.namedByPeers(e)
	reached := 0
	if len(candidates) > 0 {
		for _, target := range append(candidates, f.sample(8)...) {
			if f.reaches(e, target) {
				reached++
			}
		}
	}
	e.detector.FinishCheck(f.now, len(candidates), reached)
}

// namedByPeers returns listed targets that have replied to three other attached entries within a second.
func (f *modelFleet) namedByPeers(e *modelEntry) []string {
	var named []string
	asked := 0
	for _, i := range f.rng.Perm(len(f.entries)) {
		peer := f.entries[i]
		if peer == e || peer.detector.Detached() {
			continue
		}
		for target, at := range peer.replied {
			if f.now-at <= time.Second && f.listed[target] {
				named = append(named, target)
			}
		}
		if asked++; asked == 3 {
			break
		}
	}
	return named
}

func (f *modelFleet) probe(e *modelEntry) {
	round := e.rotation.Next(f.rng, f.listed)
	if named := f.namedByPeers(e); len(named) > 0 {
		round = append(round, named[0])
	}
	if e.last != "" {
		round = append(round, e.last)
	}
	if len(round) == 0 {
		return
	}
	e.last = ""
	for _, target := range round {
		if f.reaches(e, target) {
			e.last = target
		}
	}
	e.detector.RecordProbe(f.now, e.last != "")
}

// check fails the test if an entry stays detached although it has reached a listed target all the while.
func (f *modelFleet) check(t *rapid.T, i int, e *modelEntry) {
	for target := range e.reachableSince {
		if !f.listed[target] || !f.reaches(e, target) {
			delete(e.reachableSince, target)
		}
	}
	for target := range f.listed {
		if _, known := e.reachableSince[target]; !known && f.reaches(e, target) {
			e.reachableSince[target] = f.now
		}
	}
	if !e.detector.Detached() {
		return
	}
	for target, since := range e.reachableSince {
		if f.now-max(since, e.detachedSince) > stabilityWindow {
			t.Fatalf("entry %d of %d is detached since %v although it reaches %s since %v", i, len(f.entries), e.detachedSince, target, since)
		}
	}
}

// change draws a loss, replacement, partition or return.
func (f *modelFleet) change(t *rapid.T) {
	entry := f.entries[f.rng.IntN(len(f.entries))]
	switch rapid.SampledFrom([]string{"none", "lose", "lose all", "return", "replace", "unlist", "cut", "cut all", "heal", "cut fleet", "heal fleet"}).Draw(t, "change") {
	case "lose":
		for _, target := range f.sample(3) {
			f.lost[target] = true
		}
	case "lose all":
		for target := range f.listed {
			f.lost[target] = true
		}
	case "return":
		clear(f.lost)
	case "replace":
		for target := range f.lost {
			f.unlist(target)
		}
		f.start(max(1, len(f.lost)))
		clear(f.lost)
	case "unlist":
		for _, target := range f.sample(1) {
			f.unlist(target)
		}
	case "cut":
		for _, target := range f.sample(3) {
			entry.cut[target] = true
		}
	case "cut all":
		entry.cutAll = true
	case "heal":
		entry.cutAll = false
		clear(entry.cut)
	case "cut fleet":
		for _, e := range f.entries {
			e.cutAll = f.rng.IntN(3) > 0
		}
	case "heal fleet":
		for _, e := range f.entries {
			e.cutAll = false
			clear(e.cut)
		}
	}
}

func TestEntryThatReachesAListedTargetIsAttached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &modelFleet{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), lost: make(map[string]bool)}
		f.start(rapid.IntRange(1, 40).Draw(t, "targets"))
		for range rapid.SampledFrom([]int{3, 9, 30, 90, 300}).Draw(t, "entries") {
			f.entries = append(f.entries, &modelEntry{detector: New(DefaultSettings()), cut: make(map[string]bool),
				replied: make(map[string]time.Duration), reachableSince: make(map[string]time.Duration)})
		}
		for range rapid.IntRange(5, 12).Draw(t, "changes") {
			f.change(t)
			for range rapid.IntRange(1, 30).Draw(t, "rounds") {
				f.step(t)
			}
		}
	})
}
