package entry

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/failing"
	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/coordination/quarantine"
	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/internal/engine"
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

const (
	// maxCrashFacts limits the crash facts of one message.
	maxCrashFacts = 256
	// maxSuccessions limits the number of handovers that an entry remembers.
	maxSuccessions = 8_192
	// maxSuccessionAge is the time for which a handover is remembered. It covers the longest
	// repeat window that a sheet may set.
	maxSuccessionAge = 24 * time.Hour
	// leavingTransitAllowance is subtracted from the remaining time that a peer reports, so that
	// entries do not keep extending each other's facts forever.
	leavingTransitAllowance = time.Second
)

// factExchange passes short-lived facts, such as crashes and leaving targets, between the engine
// and the exchanges with peers. It implements configsync.Facts.
type factExchange struct {
	self Identity
	core *engine.Engine

	mu sync.Mutex
	// successions holds the known handovers by the incarnation that stopped. Guarded by mu.
	successions map[ids.Incarnation]succession
}

// succession names the entry that took over a journal.
type succession struct {
	entry       string
	incarnation ids.Incarnation
	// expires is the time, on the clock of the Identity, at which the handover is forgotten.
	expires time.Duration
}

func newFactExchange(self Identity, core *engine.Engine) *factExchange {
	return &factExchange{self: self, core: core, successions: make(map[ids.Incarnation]succession)}
}

// Collect implements configsync.Facts.
func (f *factExchange) Collect() configsync.FactSet {
	var set configsync.FactSet
	now := f.self.Clock()
	crashFacts := f.core.CrashFacts(maxCrashFacts)
	for _, r := range crashFacts.Quarantines {
		set.Quarantines = append(set.Quarantines, &peerpb.Quarantine{Fingerprint: r.Fingerprint[:], RemainingMs: r.Remaining.Milliseconds()})
	}
	for _, c := range crashFacts.Crashes {
		set.Crashes = append(set.Crashes, &peerpb.Crash{Fingerprint: c.Fingerprint[:], Target: c.Target, RemainingMs: c.Remaining.Milliseconds()})
	}
	set.Leaving = f.leavingTargets()
	set.Successions = f.validSuccessions(now)
	for _, t := range f.core.FailingTargets() {
		set.Failing = append(set.Failing, &peerpb.Failing{Target: t.Target, AgeMs: t.Age.Milliseconds()})
	}
	for _, a := range f.core.RateLimits().Reports() {
		set.RateLimits = append(set.RateLimits, targetrate.EncodeAnnouncement(a))
	}
	return set
}

// leavingTargets returns the leaving targets, those with the longest remaining time first, because
// their evidence is the most recent.
func (f *factExchange) leavingTargets() []*peerpb.Leaving {
	reports := f.core.LeavingTargets()
	slices.SortFunc(reports, func(a, b notice.Report) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.ID, b.ID))
	})
	leaving := make([]*peerpb.Leaving, len(reports))
	for i, r := range reports {
		leaving[i] = &peerpb.Leaving{Target: r.ID, StartedMs: r.Started, Stated: r.Stated, RemainingMs: r.Remaining.Milliseconds()}
	}
	return leaving
}

// validSuccessions returns the handovers that have not expired, the most recent first, and removes
// the others.
func (f *factExchange) validSuccessions(now time.Duration) []*peerpb.Succession {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.successions, func(_ ids.Incarnation, s succession) bool { return now >= s.expires })
	stopped := slices.SortedFunc(maps.Keys(f.successions), func(a, b ids.Incarnation) int {
		return cmp.Or(cmp.Compare(f.successions[b].expires, f.successions[a].expires), bytes.Compare(a[:], b[:]))
	})
	successions := make([]*peerpb.Succession, len(stopped))
	for i, inc := range stopped {
		s := f.successions[inc]
		successions[i] = &peerpb.Succession{Incarnation: inc[:], Successor: s.entry, SuccessorIncarnation: s.incarnation[:]}
	}
	return successions
}

// Receive implements configsync.Facts.
func (f *factExchange) Receive(entry string, set configsync.FactSet) {
	f.mergeCrashFacts(set)
	for _, t := range set.Failing {
		f.core.MergeFailingReport(entry, failing.Report{Target: t.Target, Age: time.Duration(t.AgeMs) * time.Millisecond})
	}
	for _, l := range set.Leaving {
		f.core.MergeLeavingReport(entry, notice.Report{Target: notice.Target{ID: l.Target, Started: l.StartedMs}, Stated: l.Stated,
			Remaining: time.Duration(l.RemainingMs)*time.Millisecond - leavingTransitAllowance})
	}
	for _, m := range set.RateLimits {
		f.core.RateLimits().Merge(entry, targetrate.DecodeAnnouncement(m))
	}
	for _, s := range set.Successions {
		if len(s.Incarnation) == ids.IncarnationSize && len(s.SuccessorIncarnation) == ids.IncarnationSize {
			f.addSuccession(ids.Incarnation(s.Incarnation), s.Successor, ids.Incarnation(s.SuccessorIncarnation))
		}
	}
}

func (f *factExchange) mergeCrashFacts(set configsync.FactSet) {
	var crashFacts quarantine.Facts
	for _, q := range set.Quarantines {
		if fp, err := quarantine.ParseFingerprint(q.Fingerprint); err == nil {
			crashFacts.Quarantines = append(crashFacts.Quarantines, quarantine.QuarantineFact{Fingerprint: fp, Remaining: time.Duration(q.RemainingMs) * time.Millisecond})
		}
	}
	for _, c := range set.Crashes {
		if fp, err := quarantine.ParseFingerprint(c.Fingerprint); err == nil {
			crashFacts.Crashes = append(crashFacts.Crashes, quarantine.CrashFact{Fingerprint: fp, Target: c.Target, Remaining: time.Duration(c.RemainingMs) * time.Millisecond})
		}
	}
	f.core.MergeCrashFacts(crashFacts)
}

// addSuccession records that a stopped incarnation handed over its journal to the given incarnation
// of entry. An existing record is kept, because an incarnation stops only once.
func (f *factExchange) addSuccession(stopped ids.Incarnation, entry string, incarnation ids.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.successions[stopped]; ok || len(f.successions) >= maxSuccessions {
		return
	}
	f.successions[stopped] = succession{entry: entry, incarnation: incarnation, expires: f.self.Clock() + maxSuccessionAge}
}

// maxSuccessionChain limits the number of handovers that successor follows.
const maxSuccessionChain = 64

// successor returns the entry that holds the journal of a stopped incarnation. It follows the chain
// of handovers, because a successor that stopped has passed the journal on to its own successor. It
// returns false if no handover of the incarnation is known.
func (f *factExchange) successor(stopped ids.Incarnation) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.self.Clock()
	entry, found := "", false
	for range maxSuccessionChain {
		s, ok := f.successions[stopped]
		if !ok || now >= s.expires {
			break
		}
		entry, found, stopped = s.entry, true, s.incarnation
	}
	return entry, found
}
