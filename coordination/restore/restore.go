// Package restore decides which targets may be used after the platform's store was away or was restored from a
// backup. During an outage the registrations of live targets may expire; they return shortly after it. The list
// of a restored store is older than the one before: targets that have started since the backup are missing until
// they register again, and targets that have left are listed until their registrations expire.
//
// The package has no side effects: it takes the time, on the monotonic clock of the process, as an
// argument. A Reconciler is not safe for concurrent use.
package restore

import (
	"math"
	"time"

	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// Settings are the settings of a Reconciler.
type Settings struct {
	// Settle is the time after an outage, or after the first list of an era, for which the targets missing
	// since then are kept. It covers the time within which live targets register again.
	Settle time.Duration
	// Hold is the time after the first list of an era for which a target that had left before gets no
	// new work. It covers the time after which the registration of a silent target expires.
	Hold time.Duration
	// Memory is the time for which a departure is remembered. It covers the age of a backup.
	Memory time.Duration
}

// DefaultSettings returns the settings for targets that report every 1.2 s, expire after three missing
// reports, and register again within 2 s.
func DefaultSettings() Settings {
	return Settings{Settle: 2200 * time.Millisecond, Hold: 5 * time.Second, Memory: 2 * time.Minute}
}

// Reconciler tracks the lists of one entry.
type Reconciler struct {
	settings Settings
	// listed holds the targets of the last result by id. It is nil before the first list.
	listed map[string]targetlist.Target
	era    uint64
	// departures holds the incarnations that have left.
	departures map[notice.Target]departure
	// kept holds the targets that are missing from the lists of the current era, by id.
	kept map[string]keptTarget
	// lastOutage is the time at which the last known outage of the platform ended, or NoOutage.
	lastOutage time.Duration
}

type departure struct {
	at time.Duration
	// stated is set if the target had registered as leaving, which holds for its whole incarnation.
	stated bool
}

type keptTarget struct {
	target targetlist.Target
	until  time.Duration
	// expired is set if the target is missing after an outage, and not because of a restore.
	expired bool
}

// NoOutage stands for the end of an outage if none is known.
const NoOutage = time.Duration(math.MinInt64 / 2)

// Result is the result of applying a list.
type Result struct {
	// Targets is the list to use. It is the given list if that needs no correction.
	Targets *targetlist.Document
	// Departed lists the listed targets that had left before the restore.
	Departed []notice.Report
	// Kept is the number of targets in Targets that the given list lacks, and Expired the number of those that
	// are missing after an outage.
	Kept, Expired int
	// NextCheck is the time at which the list must be applied again, or zero if not needed.
	NextCheck time.Duration
}

// New returns a Reconciler that has seen no list.
func New(settings Settings) *Reconciler {
	return &Reconciler{settings: settings, departures: make(map[notice.Target]departure), kept: make(map[string]keptTarget), lastOutage: NoOutage}
}

// SetLastOutage sets the time at which the last known outage of the platform ended, or NoOutage. The current list
// must be applied again if that is earlier than before.
func (r *Reconciler) SetLastOutage(end time.Duration) { r.lastOutage = end }

// Apply returns the list to use in place of the given one, which is the newest that the platform
// published. The given list is not modified.
func (r *Reconciler) Apply(now time.Duration, list *targetlist.Document) Result {
	given := make(map[string]targetlist.Target, len(list.Targets))
	for _, t := range list.Targets {
		given[t.ID] = t
	}
	result := Result{Targets: list}
	r.forget(now)
	if r.listed != nil && list.Era > r.era {
		result.Departed = r.beginEra(now, given)
	} else {
		r.keepExpired(now, given)
		r.recordDepartures(now, given)
	}
	r.era = list.Era
	r.updateKept(now, given)
	r.listed = given
	if len(r.kept) == 0 {
		return result
	}
	result.Targets, result.Kept = r.merge(list), len(r.kept)
	for id, k := range r.kept {
		if k.expired {
			result.Expired++
		}
		given[id] = k.target
		if result.NextCheck == 0 || k.until < result.NextCheck {
			result.NextCheck = k.until
		}
	}
	return result
}

// forget removes the departures that are older than any backup.
func (r *Reconciler) forget(now time.Duration) {
	for incarnation, d := range r.departures {
		if now-d.at > r.settings.Memory {
			delete(r.departures, incarnation)
		}
	}
}

// keepExpired starts to keep the targets that a list of the same era no longer has, while those whose
// registrations expired in the last outage may be missing.
func (r *Reconciler) keepExpired(now time.Duration, given map[string]targetlist.Target) {
	until := r.lastOutage + r.settings.Settle
	if now >= until {
		return
	}
	for id, t := range r.listed {
		if _, ok := given[id]; !ok && !t.Leaving {
			if _, kept := r.kept[id]; !kept {
				r.kept[id] = keptTarget{target: t, until: until, expired: true}
			}
		}
	}
}

// recordDepartures remembers the targets that a list of the same era no longer has.
func (r *Reconciler) recordDepartures(now time.Duration, given map[string]targetlist.Target) {
	for id, t := range r.listed {
		if _, kept := r.kept[id]; kept {
			continue // updateKept ends its time.
		}
		if later, ok := given[id]; !ok || later.Started != t.Started {
			r.recordDeparture(now, t)
		}
	}
}

func (r *Reconciler) recordDeparture(now time.Duration, t targetlist.Target) {
	r.departures[incarnationOf(t)] = departure{at: now, stated: t.Leaving}
}

func incarnationOf(t targetlist.Target) notice.Target {
	return notice.Target{ID: t.ID, Started: t.Started}
}

// beginEra compares the first list of an era with the last one before. It starts to keep live targets
// that are missing, and returns the listed targets that had left.
func (r *Reconciler) beginEra(now time.Duration, given map[string]targetlist.Target) []notice.Report {
	for id, t := range r.listed {
		if t.Leaving {
			r.recordDeparture(now, t)
		}
		restored, ok := given[id]
		precedes := ok && isEarlier(restored, t)
		if precedes {
			r.departures[incarnationOf(restored)] = departure{at: now, stated: true}
		}
		if !t.Leaving && (!ok || precedes) {
			r.kept[id] = keptTarget{target: t, until: now + r.settings.Settle}
		}
	}
	return r.findDeparted(given)
}

// findDeparted returns the listed targets that had left. A registration that ended without a statement may
// have expired while its target lived, so such targets are left out if their group has no others.
func (r *Reconciler) findDeparted(given map[string]targetlist.Target) []notice.Report {
	usable := make(map[string]bool) // By group.
	for _, k := range r.kept {
		usable[k.target.Group] = true
	}
	for _, t := range given {
		if _, left := r.departures[incarnationOf(t)]; !left && !t.Leaving {
			usable[t.Group] = true
		}
	}
	var departed []notice.Report
	for _, t := range given {
		d, left := r.departures[incarnationOf(t)]
		if left && !t.Leaving && (d.stated || usable[t.Group]) {
			departed = append(departed, notice.Report{Target: incarnationOf(t), Stated: d.stated, Remaining: r.settings.Hold})
		}
	}
	return departed
}

// isEarlier reports whether a is an earlier incarnation than b.
func isEarlier(a, b targetlist.Target) bool {
	return a.Started > 0 && b.Started > 0 && a.Started < b.Started
}

// updateKept drops the kept targets that are listed again, those whose time has ended, and expired
// ones whose address another target has.
func (r *Reconciler) updateKept(now time.Duration, given map[string]targetlist.Target) {
	if len(r.kept) == 0 {
		return
	}
	addresses := make(map[string]string, len(given))
	for id, t := range given {
		addresses[t.Address] = id
	}
	for id, k := range r.kept {
		if k.expired { // What is known of the outage may have changed.
			k.until = r.lastOutage + r.settings.Settle
			r.kept[id] = k
		}
		listed, ok := given[id]
		other, taken := addresses[k.target.Address]
		switch {
		case ok && !isEarlier(listed, k.target):
			delete(r.kept, id)
		case now >= k.until, k.expired && taken && other != id:
			delete(r.kept, id)
			r.recordDeparture(now, k.target)
		}
	}
}

// merge returns list with the kept targets, which replace listed ones with the same id.
func (r *Reconciler) merge(list *targetlist.Document) *targetlist.Document {
	merged := &targetlist.Document{Era: list.Era, Revision: list.Revision, Evacuated: list.Evacuated,
		Targets: make([]targetlist.Target, 0, len(list.Targets)+len(r.kept))}
	for _, t := range list.Targets {
		if _, kept := r.kept[t.ID]; !kept {
			merged.Targets = append(merged.Targets, t)
		}
	}
	for _, k := range r.kept {
		merged.Targets = append(merged.Targets, k.target)
	}
	return merged
}
