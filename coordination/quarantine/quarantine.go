// Package quarantine detects requests that crash the targets that run them and
// decides when such a request is refused.
//
// A request that coincides with a crash is suspected. It runs again only alone,
// in one attempt on a target that it has not met. If that target crashes too,
// the request is refused for a period; if that target answers, the request is
// cleared. A request that another target answered in the same run is refused after
// two such crashes. Only a run that was alone convicts, so the loss of a rack does not
// refuse the requests that were spread over it.
//
// All times are on the monotonic clock of the process that owns the detector.
package quarantine

import (
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Settings of a detector.
type Settings struct {
	// Period is the time for which a request is refused.
	Period time.Duration
	// SuspicionPeriod is the time for which a coincidence is remembered.
	SuspicionPeriod time.Duration
	// TrialRetryAfter is the time to come back that is told to a request whose
	// fingerprint is running alone.
	TrialRetryAfter time.Duration
	// MaxEntries bounds the number of fingerprints.
	MaxEntries int
	// ProvenCrashes is the number of targets that must crash in runs that were alone
	// before a request that another target answered in the same run is refused. A
	// request that crashes each target has no such answer.
	ProvenCrashes int
	// MaxRepeats is the number of coincidences on known targets, in runs that
	// were alone, after which the request is refused. It bounds the crashes of
	// one target when no other target holds the shard.
	MaxRepeats int
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Period:          10 * time.Minute,
		SuspicionPeriod: 10 * time.Minute,
		TrialRetryAfter: time.Second,
		MaxEntries:      10_000,
		ProvenCrashes:   2,
		MaxRepeats:      2,
	}
}

const (
	// maxTargets bounds the targets remembered for one fingerprint.
	maxTargets = 8
	// travelAllowance is taken off the remaining time of every fact that a peer
	// tells. Without it a message's travel time would prolong the fact at each
	// step, and peers could renew a fact for each other without end.
	travelAllowance = time.Second
)

// Verdict says how a request may run.
type Verdict int

// Verdicts.
const (
	// Allow lets the request run as usual.
	Allow Verdict = iota
	// Alone lets the request run in one attempt at a time, without a hedge and
	// without other requests on the same target. The run must be reported
	// with Ended.
	Alone
	// Refuse means that the request must not run.
	Refuse
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"allow", "alone", "refuse"}[v] }

// Decision is the answer of Decide.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which the caller may try again, set with
	// Refuse.
	RetryAfter time.Duration
	// Avoid lists the targets that crashed with the request, set with Alone.
	Avoid []string
}

// Err returns nil unless the verdict is Refuse, and otherwise a *status.Error
// with the code Quarantined, the outcome NotRun and the time to come back.
func (d Decision) Err() error {
	if d.Verdict != Refuse {
		return nil
	}
	return status.New(status.Quarantined, status.NotRun,
		"the request coincided with crashes of the targets that ran it").WithRetryAfter(d.RetryAfter)
}

// Detector holds the suspected and the refused fingerprints of one entry. It is
// not safe for concurrent use.
type Detector struct {
	settings Settings
	entries  map[Fingerprint]*entry
	// suspects and refused order the entries by their end. Suspects make room
	// before refused ones.
	suspects, refused expiryHeap
}

type entry struct {
	fingerprint Fingerprint
	expires     time.Duration
	heapIndex   int
	refused     bool
	// cleared entries are kept until they expire, so that a peer's older fact
	// does not make the request suspected again.
	cleared bool
	// trial is set while the request runs alone.
	trial bool
	// lone counts coincidences on new targets in runs that were alone.
	lone int
	// repeats counts coincidences on known targets in runs that were alone.
	repeats int
	targets []string
}

// New returns an empty detector.
func New(s Settings) *Detector {
	s.MaxEntries = max(s.MaxEntries, 1)
	return &Detector{settings: s, entries: make(map[Fingerprint]*entry)}
}

// Decide says how a request with the fingerprint may run at now. After Alone,
// equal requests are refused until Ended is called.
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
	// Proven is set when another target answered the same run of the request.
	Proven bool
}

// Crash records that a target crashed while it ran an attempt of the request. It
// reports whether the request is refused from now on because of this event.
func (d *Detector) Crash(fp Fingerprint, run Run, now time.Duration) bool {
	e := d.find(fp, now)
	if e == nil {
		e = d.insert(fp, now+d.settings.SuspicionPeriod, false, now)
	}
	if e.refused {
		return false
	}
	if e.cleared {
		// The run that cleared the request disproved the older coincidences.
		e.cleared, e.targets, e.lone, e.repeats = false, nil, 0, 0
	}
	known := slices.Contains(e.targets, run.Target)
	if known && !run.Alone {
		// One crash may be reported for several attempts.
		return false
	}
	convicted := false
	switch {
	case known:
		e.repeats++
		convicted = e.repeats >= d.settings.MaxRepeats
	case run.Alone && len(e.targets) > 0:
		e.lone++
		convicted = !run.Proven || e.lone >= d.settings.ProvenCrashes
	}
	if !known && len(e.targets) < maxTargets {
		e.targets = append(e.targets, run.Target)
	}
	if convicted {
		d.refuse(e, now+d.settings.Period)
		return true
	}
	d.extend(e, now+d.settings.SuspicionPeriod)
	return false
}

// Ended reports the end of a run that Decide allowed with Alone. If answered is
// true, the request is cleared; otherwise it stays suspected and may run alone
// again. A crash must be reported with Crash before.
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
