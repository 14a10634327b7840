// Package quarantine detects requests that crash the targets that run them ("queries of death") and
// decides when such a request is refused.
//
// A request that was running on a target when it crashed becomes a suspect. From then on it may only
// run alone (an isolated run): in one attempt, on a target that has not crashed with it. If that
// target crashes too, the request is refused for a period; if it answers, the request is cleared. A
// request that another target answered in the same run is refused only after two such crashes. Only
// crashes in isolated runs lead to a refusal, so that the loss of a rack does not refuse the requests
// that were spread over it.
//
// All times are on the monotonic clock of the process that owns the Detector.
package quarantine

import (
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Settings configures a Detector.
type Settings struct {
	// RefusalPeriod is the time for which a request is refused.
	RefusalPeriod time.Duration
	// SuspicionPeriod is the time for which a request stays a suspect after a crash.
	SuspicionPeriod time.Duration
	// TrialRetryAfter is the retry-after time of a request that is refused because an equal request
	// is running alone.
	TrialRetryAfter time.Duration
	// MaxEntries bounds the number of fingerprints held.
	MaxEntries int
	// AnsweredCrashes is the number of targets that must crash in isolated runs before a request
	// that another target answered in the same run is refused. A request that crashes every target
	// has no such answer.
	AnsweredCrashes int
	// MaxRepeatCrashes is the number of crashes, in isolated runs, of targets that had already
	// crashed with the request, after which the request is refused. It bounds the crashes of one
	// target when no other target holds the shard.
	MaxRepeatCrashes int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		RefusalPeriod:    10 * time.Minute,
		SuspicionPeriod:  10 * time.Minute,
		TrialRetryAfter:  time.Second,
		MaxEntries:       10_000,
		AnsweredCrashes:  2,
		MaxRepeatCrashes: 2,
	}
}

const (
	// maxTargets bounds the number of crashed targets recorded for one fingerprint.
	maxTargets = 8
	// transitAllowance is subtracted from the remaining time of every fact received from a peer.
	// Without it, the transit time of the message would extend the fact at each hop, and peers could
	// keep each other's facts alive forever.
	transitAllowance = time.Second
)

// Verdict says how a request may run.
type Verdict int

// The verdicts of Detector.Decide.
const (
	// Allow lets the request run normally.
	Allow Verdict = iota
	// Alone lets the request run in one attempt at a time, without hedges and without other
	// requests on the same target. The end of the run must be reported with Ended.
	Alone
	// Refuse forbids the request to run.
	Refuse
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"allow", "alone", "refuse"}[v] }

// Decision is the result of Detector.Decide.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which the caller may try again. It is set with Refuse.
	RetryAfter time.Duration
	// Avoid lists the targets that crashed while they ran the request. It is set with Alone.
	Avoid []string
}

// Err returns nil unless the verdict is Refuse, and otherwise a *status.Error with the code
// Quarantined, the outcome NotRun and RetryAfter.
func (d Decision) Err() error {
	if d.Verdict != Refuse {
		return nil
	}
	return status.New(status.Quarantined, status.NotRun,
		"the request coincided with crashes of the targets that ran it").WithRetryAfter(d.RetryAfter)
}

// Detector holds the suspected and the refused fingerprints known to one entry. It is not safe for
// concurrent use.
type Detector struct {
	settings Settings
	entries  map[Fingerprint]*entry
	// suspects and refused order the entries by expiry. When the table is full, suspects are evicted
	// before refused entries.
	suspects, refused expiryHeap
}

// entry is the state of one fingerprint.
type entry struct {
	fingerprint Fingerprint
	expires     time.Duration
	heapIndex   int
	refused     bool
	// cleared is set when an isolated run was answered. The entry is kept until it expires, so that an
	// older fact from a peer does not make the request a suspect again.
	cleared bool
	// trial is set during an isolated run.
	trial bool
	// newTargetCrashes counts the crashes in isolated runs of targets that were not in targets.
	newTargetCrashes int
	// repeatCrashes counts the crashes in isolated runs of targets that were already in targets.
	repeatCrashes int
	// targets lists the targets that crashed while they ran the request, at most maxTargets.
	targets []string
}

// New returns an empty Detector.
func New(s Settings) *Detector {
	s.MaxEntries = max(s.MaxEntries, 1)
	return &Detector{settings: s, entries: make(map[Fingerprint]*entry)}
}

// Decide says how a request with the fingerprint may run at now. After the verdict Alone, equal
// requests are refused until Ended is called.
func (d *Detector) Decide(fp Fingerprint, now time.Duration) Decision {
	e := d.find(fp, now)
	switch {
	case e == nil || e.cleared:
		return Decision{Verdict: Allow}
	case e.refused:
		return Decision{Verdict: Refuse, RetryAfter: e.expires - now}
	case e.trial:
		return Decision{Verdict: Refuse, RetryAfter: d.settings.TrialRetryAfter}
	}
	e.trial = true
	return Decision{Verdict: Alone, Avoid: slices.Clone(e.targets)}
}

// Run describes the attempt during which a target crashed.
type Run struct {
	Target string
	// Alone is set when the attempt ran under the verdict Alone.
	Alone bool
	// AnsweredElsewhere is set when another target answered in the same run of the request.
	AnsweredElsewhere bool
}

// Crash records that a target crashed while it ran an attempt of the request. It reports whether
// this crash causes the request to be refused from now on.
func (d *Detector) Crash(fp Fingerprint, run Run, now time.Duration) bool {
	e := d.find(fp, now)
	if e == nil {
		e = d.insert(fp, now+d.settings.SuspicionPeriod, false, now)
	}
	if e.refused {
		return false
	}
	if e.cleared {
		// The run that cleared the request also cleared it of the earlier crashes.
		e.cleared, e.targets, e.newTargetCrashes, e.repeatCrashes = false, nil, 0, 0
	}
	knownTarget := slices.Contains(e.targets, run.Target)
	if knownTarget && !run.Alone {
		// One crash may be reported for several attempts.
		return false
	}
	confirmed := false
	switch {
	case knownTarget:
		e.repeatCrashes++
		confirmed = e.repeatCrashes >= d.settings.MaxRepeatCrashes
	case run.Alone && len(e.targets) > 0:
		e.newTargetCrashes++
		confirmed = !run.AnsweredElsewhere || e.newTargetCrashes >= d.settings.AnsweredCrashes
	}
	if !knownTarget && len(e.targets) < maxTargets {
		e.targets = append(e.targets, run.Target)
	}
	if confirmed {
		d.refuse(e, now+d.settings.RefusalPeriod)
		return true
	}
	d.extend(e, now+d.settings.SuspicionPeriod)
	return false
}

// Ended records the end of an isolated run, one that Decide allowed with the verdict Alone. If
// answered is true, the request is cleared; otherwise it stays a suspect and may run alone again. If
// the target crashed, Crash must be called before Ended.
func (d *Detector) Ended(fp Fingerprint, answered bool, now time.Duration) {
	e := d.find(fp, now)
	if e == nil || !e.trial {
		return
	}
	e.trial = false
	if answered && !e.refused {
		e.cleared = true
	}
}

// Len returns the number of fingerprints held, expired ones included.
func (d *Detector) Len() int { return len(d.entries) }

// Refused returns the number of fingerprints refused at now.
func (d *Detector) Refused(now time.Duration) int {
	n := 0
	for _, e := range d.refused {
		if now < e.expires {
			n++
		}
	}
	return n
}
