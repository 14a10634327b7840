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
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

const (
	// maxFacts bounds the crash facts of one message.
	maxFacts = 256
	// maxSuccessions bounds the handovers that an entry remembers.
	maxSuccessions = 8_192
	// maxSuccessionAge is the longest time for which a handover is remembered. It
	// covers the longest repeat window of a sheet.
	maxSuccessionAge = 24 * time.Hour
	// leavingTravel is taken off the remaining time that a peer tells, so that
	// entries do not renew the fact for each other without end.
	leavingTravel = time.Second
)

// facts joins the engine's short-lived facts to the exchanges with peers. It
// implements configsync.Facts.
type facts struct {
	self Identity
	core *engine.Engine

	mu sync.Mutex
	// successions holds the handovers by the incarnation that stopped. Guarded by mu.
	successions map[ids.Incarnation]succession
}

type succession struct {
	entry       string
	incarnation ids.Incarnation
	expires     time.Duration
}

func newFacts(self Identity, core *engine.Engine) *facts {
	return &facts{self: self, core: core, successions: make(map[ids.Incarnation]succession)}
}

// Collect implements configsync.Facts.
func (f *facts) Collect() configsync.FactSet {
	var set configsync.FactSet
	now := f.self.Clock()
	known := f.core.CrashFacts(maxFacts)
	for _, r := range known.Refusals {
		set.Quarantines = append(set.Quarantines, &peerpb.Quarantine{Fingerprint: r.Fingerprint[:], RemainingMs: r.Remaining.Milliseconds()})
	}
	for _, c := range known.Crashes {
		set.Crashes = append(set.Crashes, &peerpb.Crash{Fingerprint: c.Fingerprint[:], Target: c.Target, RemainingMs: c.Remaining.Milliseconds()})
	}
	set.Leaving = f.leaving()
	set.Successions = f.validSuccessions(now)
	for _, t := range f.core.FailingTargets() {
		set.Failing = append(set.Failing, &peerpb.Failing{Target: t.Target, AgeMs: t.Age.Milliseconds()})
	}
	return set
}

// leaving returns the leaving targets, those with the latest evidence first: it
// has the latest end.
func (f *facts) leaving() []*peerpb.Leaving {
	reports := f.core.LeavingTargets()
	slices.SortFunc(reports, func(a, b notice.Report) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.ID, b.ID))
	})
	told := make([]*peerpb.Leaving, len(reports))
	for i, r := range reports {
		told[i] = &peerpb.Leaving{Target: r.ID, StartedMs: r.Started, Stated: r.Stated, RemainingMs: r.Remaining.Milliseconds()}
	}
	return told
}

// validSuccessions returns the handovers that still matter, the latest first,
// and drops the others.
func (f *facts) validSuccessions(now time.Duration) []*peerpb.Succession {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.successions, func(_ ids.Incarnation, s succession) bool { return now >= s.expires })
	stopped := slices.SortedFunc(maps.Keys(f.successions), func(a, b ids.Incarnation) int {
		return cmp.Or(cmp.Compare(f.successions[b].expires, f.successions[a].expires), bytes.Compare(a[:], b[:]))
	})
	told := make([]*peerpb.Succession, len(stopped))
	for i, inc := range stopped {
		s := f.successions[inc]
		told[i] = &peerpb.Succession{Incarnation: inc[:], Successor: s.entry, SuccessorIncarnation: s.incarnation[:]}
	}
	return told
}

// Receive implements configsync.Facts.
func (f *facts) Receive(entry string, set configsync.FactSet) {
	f.receiveCrashes(set)
	for _, t := range set.Failing {
		f.core.MergeFailingReport(entry, failing.Report{Target: t.Target, Age: time.Duration(t.AgeMs) * time.Millisecond})
	}
	for _, l := range set.Leaving {
		f.core.MergeLeavingReport(entry, notice.Report{Target: notice.Target{ID: l.Target, Started: l.StartedMs}, Stated: l.Stated,
			Remaining: time.Duration(l.RemainingMs)*time.Millisecond - leavingTravel})
	}
	for _, s := range set.Successions {
		if len(s.Incarnation) == ids.IncarnationSize && len(s.SuccessorIncarnation) == ids.IncarnationSize {
			f.addSuccession(ids.Incarnation(s.Incarnation), s.Successor, ids.Incarnation(s.SuccessorIncarnation))
		}
	}
}

func (f *facts) receiveCrashes(set configsync.FactSet) {
	var known quarantine.Facts
	for _, q := range set.Quarantines {
		if fp, err := quarantine.ParseFingerprint(q.Fingerprint); err == nil {
			known.Refusals = append(known.Refusals, quarantine.RefusalFact{Fingerprint: fp, Remaining: time.Duration(q.RemainingMs) * time.Millisecond})
		}
	}
	for _, c := range set.Crashes {
		if fp, err := quarantine.ParseFingerprint(c.Fingerprint); err == nil {
			known.Crashes = append(known.Crashes, quarantine.CrashFact{Fingerprint: fp, Target: c.Target, Remaining: time.Duration(c.RemainingMs) * time.Millisecond})
		}
	}
	f.core.MergeCrashFacts(known)
}

// addSuccession records that an incarnation stopped and handed its journal over.
// The first record stays: an incarnation stops once.
func (f *facts) addSuccession(stopped ids.Incarnation, entry string, incarnation ids.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.successions[stopped]; ok || len(f.successions) >= maxSuccessions {
		return
	}
	f.successions[stopped] = succession{entry: entry, incarnation: incarnation, expires: f.self.Clock() + maxSuccessionAge}
}

// maxSuccessionChain bounds the planned stops that successor follows.
const maxSuccessionChain = 64

// successor returns the entry that holds the journal of a stopped incarnation. A
// successor that stopped too has passed the journal on to its own successor.
func (f *facts) successor(stopped ids.Incarnation) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.self.Clock()
	entry, known := "", false
	for range maxSuccessionChain {
		s, ok := f.successions[stopped]
		if !ok || now >= s.expires {
			break
		}
		entry, known, stopped = s.entry, true, s.incarnation
	}
	return entry, known
}
