// Package quarantine detects requests that crash the targets that run them ("queries of death") and
// puts them in quarantine, in which they are refused.
//
// A request that was running on a target when the target crashed becomes a suspect. From then on it
// may only run in isolation: in one attempt, on a target that has not crashed with it. If that target
// crashes too, the request is quarantined for a period; if it answers, the request is cleared. A
// request that another target answered in the same run is quarantined only after two such crashes.
// Only crashes in isolated runs lead to a quarantine, so that the loss of a rack does not quarantine
// the requests that were spread over it.
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
	// QuarantinePeriod is the time for which a request is quarantined.
	QuarantinePeriod time.Duration
	// SuspicionPeriod is the time for which a request stays a suspect after a crash.
	SuspicionPeriod time.Duration
	// IsolatedRetryAfter is the retry-after time of a request that is refused because an equal
	// request is running in isolation.
	IsolatedRetryAfter time.Duration
	// MaxFingerprints bounds the number of fingerprints held.
	MaxFingerprints int
	// AnsweredCrashes is the number of targets that must crash in isolated runs before a request
	// that another target answered in the same run is quarantined. A request that crashes every target
	// has no such answer.
	AnsweredCrashes int
	// MaxRepeatCrashes is the number of crashes, in isolated runs, of targets that had already
	// crashed with the request, after which the request is quarantined. It bounds the crashes of
	// one target when no other target holds the shard.
	MaxRepeatCrashes int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		QuarantinePeriod:   10 * time.Minute,
		SuspicionPeriod:    10 * time.Minute,
		IsolatedRetryAfter: time.Second,
		MaxFingerprints:    10_000,
		AnsweredCrashes:    2,
		MaxRepeatCrashes:   2,
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
	// Isolate lets the request run in one attempt at a time, without hedges and without other
	// requests on the same target. The end of the run must be reported with RecordIsolatedEnd.
	Isolate
	// Refuse forbids the request to run.
	Refuse
)

// String returns the name of the verdict. That of Isolate is "alone".
func (v Verdict) String() string { return [...]string{"allow", "alone", "refuse"}[v] }

// Decision is the result of Detector.Decide.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which the caller may try again. It is set with Refuse.
	RetryAfter time.Duration
	// Avoid lists the targets that crashed while they ran the request. It is set with Isolate.
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

// Detector holds the suspected and the quarantined fingerprints known to one entry. It is not safe
// for concurrent use.
type Detector struct {
	settings Settings
	states   map[Fingerprint]*fingerprintState
	// suspects and quarantined order the fingerprints by expiry. At MaxFingerprints, suspects are
	// evicted before quarantined fingerprints.
	suspects, quarantined expiryHeap
}

// fingerprintState is the state of one fingerprint.
type fingerprintState struct {
	fingerprint Fingerprint
	expires     time.Duration
	heapIndex   int
	quarantined bool
	// cleared is set when an isolated run was answered. The state is kept until it expires, so that
	// an older fact from a peer does not make the request a suspect again.
	cleared bool
	// isolatedRun is set during an isolated run.
	isolatedRun bool
	// newTargetCrashes counts the crashes in isolated runs of targets that were not in targets.
	newTargetCrashes int
	// repeatCrashes counts the crashes in isolated runs of targets that were already in targets.
	repeatCrashes int
	// targets lists the targets that crashed while they ran the request, at most maxTargets.
	targets []string
}

// New returns an empty Detector.
func New(s Settings) *Detector {
	s.MaxFingerprints = max(s.MaxFingerprints, 1)
	return &Detector{settings: s, states: make(map[Fingerprint]*fingerprintState)}
}

// Decide says how a request with the fingerprint may run at now. After the verdict Isolate, equal
// requests are refused until RecordIsolatedEnd is called.
func (d *Detector) Decide(fp Fingerprint, now time.Duration) Decision {
	e := d.find(fp, now)
	switch {
	case e == nil || e.cleared:
		return Decision{Verdict: Allow}
	case e.quarantined:
		return Decision{Verdict: Refuse, RetryAfter: e.expires - now}
	case e.isolatedRun:
		return Decision{Verdict: Refuse, RetryAfter: d.settings.IsolatedRetryAfter}
	}
	e.isolatedRun = true
	return Decision{Verdict: Isolate, Avoid: slices.Clone(e.targets)}
}

// Run describes the attempt during which a target crashed.
type Run struct {
	Target string
	// Isolated is set when the attempt ran under the verdict Isolate.
	Isolated bool
	// AnsweredElsewhere is set when another target answered in the same run of the request.
	AnsweredElsewhere bool
}

// RecordCrash records that a target crashed while it ran an attempt of the request. It reports
// whether this crash causes the request to be quarantined from now on.
func (d *Detector) RecordCrash(fp Fingerprint, run Run, now time.Duration) bool {
	e := d.find(fp, now)
	if e == nil {
		e = d.insert(fp, now+d.settings.SuspicionPeriod, false, now)
	}
	if e.quarantined {
		return false
	}
	if e.cleared {
		// The run that cleared the request also cleared it of the earlier crashes.
		e.cleared, e.targets, e.newTargetCrashes, e.repeatCrashes = false, nil, 0, 0
	}
	knownTarget := slices.Contains(e.targets, run.Target)
	if knownTarget && !run.Isolated {
		// One crash may be reported for several attempts.
		return false
	}
	confirmed := false
	switch {
	case knownTarget:
		e.repeatCrashes++
		confirmed = e.repeatCrashes >= d.settings.MaxRepeatCrashes
	case run.Isolated && len(e.targets) > 0:
		e.newTargetCrashes++
		confirmed = !run.AnsweredElsewhere || e.newTargetCrashes >= d.settings.AnsweredCrashes
	}
	if !knownTarget && len(e.targets) < maxTargets {
		e.targets = append(e.targets, run.Target)
	}
	if confirmed {
		d.quarantine(e, now+d.settings.QuarantinePeriod)
		return true
	}
	d.extend(e, now+d.settings.SuspicionPeriod)
	return false
}

// RecordIsolatedEnd records the end of an isolated run, one that Decide allowed with the verdict
// Isolate. If answered is true, the request is cleared; otherwise it stays a suspect and may run in
// isolation again. If the target crashed, RecordCrash must be called first.
func (d *Detector) RecordIsolatedEnd(fp Fingerprint, answered bool, now time.Duration) {
	e := d.find(fp, now)
	if e == nil || !e.isolatedRun {
		return
	}
	e.isolatedRun = false
	if answered && !e.quarantined {
		e.cleared = true
	}
}

// Len returns the number of fingerprints held, expired ones included.
func (d *Detector) Len() int { return len(d.states) }

// Quarantined returns the number of fingerprints quarantined at now.
func (d *Detector) Quarantined(now time.Duration) int {
	n := 0
	for _, e := range d.quarantined {
		if now < e.expires {
			n++
		}
	}
	return n
}
