package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// CrashFact is a coincidence told by a peer.
type CrashFact struct {
	Fingerprint Fingerprint
	Target      string
	// Remaining is the time until the fact expires.
	Remaining time.Duration
}

// RefusalFact is a refused fingerprint told by a peer.
type RefusalFact struct {
	Fingerprint Fingerprint
	// Remaining is the time until the refusal ends.
	Remaining time.Duration
}

// Facts are what entries tell each other.
type Facts struct {
	Crashes  []CrashFact
	Refusals []RefusalFact
}

// Facts returns what this entry knows at now, at most limit refusals and limit
// crashes, those that end last first, so that new facts always spread. Cleared
// fingerprints are left out.
func (d *Detector) Facts(now time.Duration, limit int) Facts {
	var f Facts
	for _, e := range newest(d.refused) {
		if len(f.Refusals) == limit || e.expires-now <= travelAllowance {
			break
		}
		f.Refusals = append(f.Refusals, RefusalFact{e.fingerprint, e.expires - now})
	}
	for _, e := range newest(d.suspects) {
		if e.expires-now <= travelAllowance {
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

// newest returns the entries with the latest end first. Entries with the same
// end are ordered by fingerprint, so that equal detectors tell equal facts.
func newest(h expiryHeap) []*entry {
	entries := slices.Clone(h)
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.expires, a.expires), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	return entries
}

// Merge takes the facts of a peer. Their remaining times are shortened by
// travelAllowance and cut to this entry's own settings, and a fact that is known
// already is not prolonged. The refusals come first, so that crashes of the same
// message cannot push them out.
func (d *Detector) Merge(f Facts, now time.Duration) {
	for _, r := range f.Refusals {
		if r.Remaining <= travelAllowance {
			continue
		}
		expires := now + min(r.Remaining-travelAllowance, d.settings.Period)
		e := d.find(r.Fingerprint, now)
		switch {
		case e == nil:
			d.insert(r.Fingerprint, expires, true, now)
		case !e.refused:
			d.refuse(e, expires)
		}
	}
	for _, c := range f.Crashes {
		if c.Remaining > travelAllowance {
			d.mergeCrash(c, now)
		}
	}
}

func (d *Detector) mergeCrash(c CrashFact, now time.Duration) {
	e := d.find(c.Fingerprint, now)
	if e == nil {
		e = d.insert(c.Fingerprint, now+min(c.Remaining-travelAllowance, d.settings.SuspicionPeriod), false, now)
	}
	if e.refused || len(e.targets) == maxTargets || slices.Contains(e.targets, c.Target) {
		return
	}
	if e.cleared {
		// This coincidence is another than those that were disproved.
		e.cleared, e.lone, e.repeats = false, 0, 0
	}
	e.targets = append(e.targets, c.Target)
}
