package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// CrashFact states that a target crashed while it ran the request with the fingerprint.
type CrashFact struct {
	Fingerprint Fingerprint
	Target      string
	// Remaining is the time until the fact expires.
	Remaining time.Duration
}

// QuarantineFact states that requests with the fingerprint are quarantined.
type QuarantineFact struct {
	Fingerprint Fingerprint
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
}

// Facts are the facts that entries exchange.
type Facts struct {
	Crashes     []CrashFact
	Quarantines []QuarantineFact
}

// Facts returns the facts that this entry knows at now: at most limit quarantines and limit crashes,
// those that expire last first, so that new facts always spread. Cleared fingerprints are omitted.
func (d *Detector) Facts(now time.Duration, limit int) Facts {
	var f Facts
	for _, e := range latestExpiryFirst(d.quarantined) {
		if len(f.Quarantines) == limit || e.expires-now <= transitAllowance {
			break
		}
		f.Quarantines = append(f.Quarantines, QuarantineFact{e.fingerprint, e.expires - now})
	}
	for _, e := range latestExpiryFirst(d.suspects) {
		if e.expires-now <= transitAllowance {
			break
		}
		if e.cleared {
			continue
		}
		for _, target := range e.targets {
			if len(f.Crashes) == limit {
				return f
			}
			f.Crashes = append(f.Crashes, CrashFact{e.fingerprint, target, e.expires - now})
		}
	}
	return f
}

// latestExpiryFirst returns the states sorted by descending expiry. States with the same expiry are
// sorted by fingerprint, so that equal detectors return equal facts.
func latestExpiryFirst(h expiryHeap) []*fingerprintState {
	states := slices.Clone(h)
	slices.SortFunc(states, func(a, b *fingerprintState) int {
		return cmp.Or(cmp.Compare(b.expires, a.expires), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	return states
}

// Merge adds the facts of a peer. Their remaining times are shortened by transitAllowance and capped
// by this entry's settings; the expiry of a fact that is already known is not extended. Quarantines
// are merged first, so that crashes in the same message cannot evict them.
func (d *Detector) Merge(f Facts, now time.Duration) {
	for _, q := range f.Quarantines {
		if q.Remaining <= transitAllowance {
			continue
		}
		expires := now + min(q.Remaining-transitAllowance, d.settings.QuarantinePeriod)
		e := d.find(q.Fingerprint, now)
		switch {
		case e == nil:
			d.insert(q.Fingerprint, expires, true, now)
		case !e.quarantined:
			d.quarantine(e, expires)
		}
	}
	for _, c := range f.Crashes {
		if c.Remaining > transitAllowance {
			d.mergeCrash(c, now)
		}
	}
}

// mergeCrash adds one crash reported by a peer.
func (d *Detector) mergeCrash(c CrashFact, now time.Duration) {
	e := d.find(c.Fingerprint, now)
	if e == nil {
		e = d.insert(c.Fingerprint, now+min(c.Remaining-transitAllowance, d.settings.SuspicionPeriod), false, now)
	}
	if e.quarantined || len(e.targets) == maxTargets || slices.Contains(e.targets, c.Target) {
		return
	}
	if e.cleared {
		// This crash is none of those that the request was cleared of.
		e.cleared, e.newTargetCrashes, e.repeatCrashes = false, 0, 0
	}
	e.targets = append(e.targets, c.Target)
}
