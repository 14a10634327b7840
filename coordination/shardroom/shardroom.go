// Package shardroom decides which shards a gathered request queries when shards have too few free
// slots for all requests. It handles shards that lost targets or have only slow ones left while the
// other shards work: a request that needs such a shard is rejected, while a request that could be
// answered without the shard uses its slots.
//
// A request that cannot get its minimum of shards is rejected as a whole before anything is sent. A
// shard that rejected a request which needed it is contended; requests that reach their minimum
// without it leave it out. An answer is worth the square of the fraction of shards in it, so a caller
// loses 5.5% of an answer of 36 shards with each shard left out, and everything when it is rejected.
// Each rejection therefore permits only a limited number of requests to leave the shard out. Without
// rejections, no shard is left out.
//
// All times are durations since an arbitrary origin that is the same for every call. The types are not
// safe for concurrent use.
package shardroom

import (
	"cmp"
	"slices"
	"time"
)

// Settings configures the decisions.
type Settings struct {
	// ContendedFor is the time for which a shard counts as contended after it rejected a request. The
	// default is 1 s: rejected callers have called again by then, and it spans many arrivals at a shard
	// that gets a few dozen requests per second.
	ContendedFor time.Duration
	// Margin is the number of shards above the minimum that a request keeps for failures when it leaves
	// shards out. The default is 2.
	Margin int
	// LeftOutPerRejection is the number of requests that may leave a shard out for each request that it
	// rejected. The default is 6: with 36 shards they lose a third of an answer together. In the played
	// loads 12 and 40 rejected no fewer requests, and 3 rejected a fifth more in a burst.
	LeftOutPerRejection int
	// MaxPermitted bounds the requests that may leave a shard out after many rejections. The default is
	// 60, the permission of ten rejections.
	MaxPermitted int
	// UrgentFirst keeps free slots of contended shards for more urgent requests. It is off by default: in
	// the played load of two priorities it halves the refusals of the urgent kind, and more requests are
	// refused in all, because kept slots stay free for a time.
	UrgentFirst bool
	// MaxYields is the number of starts of more urgent requests, for each more urgent priority, after
	// which a priority may take a slot that is kept for them. The default is 8: enough to serve an urgent kind
	// first, and a floor that keeps every priority from starving.
	MaxYields int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{ContendedFor: time.Second, Margin: 2, LeftOutPerRejection: 6, MaxPermitted: 60, MaxYields: 8}
}

// Contention records the rejections at one shard. The zero value has none.
type Contention struct {
	// until is the time at which the shard stops being contended.
	until time.Duration
	// permitted is the number of requests that may still leave the shard out until then.
	permitted int
	// priorities holds the priorities that asked for the shard within Settings.ContendedFor.
	priorities []priorityState
}

// priorityState is the state of one priority at a shard.
type priorityState struct {
	priority int
	// askedUntil and rejectedUntil are the times until which it counts that a request of the priority
	// asked for the shard, and that the shard had no room for one.
	askedUntil, rejectedUntil time.Duration
	// yields counts the more urgent requests that started since the last start of this priority and since
	// the shard became contended.
	yields int
}

// asked returns the state of a priority, of which a request asked for the shard.
func (c *Contention) asked(s Settings, now time.Duration, priority int) *priorityState {
	i := slices.IndexFunc(c.priorities, func(p priorityState) bool { return p.priority == priority })
	if i < 0 {
		c.priorities = slices.DeleteFunc(c.priorities, func(p priorityState) bool { return now >= p.askedUntil })
		i = len(c.priorities)
		c.priorities = append(c.priorities, priorityState{priority: priority})
	}
	c.priorities[i].askedUntil = now + s.ContendedFor
	return &c.priorities[i]
}

// RecordRejection records that the shard had no room for a request that needed it.
func (c *Contention) RecordRejection(s Settings, now time.Duration, priority int) {
	if now >= c.until {
		c.permitted = 0
		for i := range c.priorities {
			c.priorities[i].yields = 0
		}
	}
	c.until = now + s.ContendedFor
	c.permitted = min(c.permitted+s.LeftOutPerRejection, s.MaxPermitted)
	c.asked(s, now, priority).rejectedUntil = now + s.ContendedFor
}

// RecordLeftOut records that a request that could have used the shard left it out.
func (c *Contention) RecordLeftOut() { c.permitted = max(c.permitted-1, 0) }

// RecordStart records that a request of a priority started a sub-request at the shard. Only
// Settings.UrgentFirst needs it.
func (c *Contention) RecordStart(s Settings, now time.Duration, priority int) {
	if !s.UrgentFirst {
		return
	}
	c.asked(s, now, priority).yields = 0
	for i := range c.priorities {
		if p := &c.priorities[i]; p.priority > priority {
			p.yields++
		}
	}
}

// Contended reports whether requests that can spare the shard leave it out.
func (c *Contention) Contended(now time.Duration) bool { return now < c.until && c.permitted > 0 }

// maxKeptShift bounds the slots that are kept to 255, more than any limit of a shard.
const maxKeptShift = 8

// SlotsKept returns the number of free slots that are kept from requests of a priority. It is zero
// unless Settings.UrgentFirst is set and the shard has recently rejected a more urgent request. Otherwise
// one slot is kept from the second priority in use, and twice as many and one more from each following
// one, because a priority needs a slot in addition to those that are kept from itself. After MaxYields
// starts for each of these priorities, the priority may take one of the slots, unless a more urgent one
// has yielded MaxYields times itself.
func (c *Contention) SlotsKept(s Settings, now time.Duration, priority int) int {
	if !s.UrgentFirst || now >= c.until {
		return 0
	}
	moreUrgent, yields := 0, 0
	rejected, urgentDue := false, false
	for _, p := range c.priorities {
		switch {
		case p.priority < priority && now < p.askedUntil:
			moreUrgent++
			rejected = rejected || now < p.rejectedUntil
			urgentDue = urgentDue || p.yields >= s.MaxYields
		case p.priority == priority:
			yields = p.yields
		}
	}
	if !rejected || !urgentDue && yields >= moreUrgent*s.MaxYields {
		return 0
	}
	return 1<<min(moreUrgent, maxKeptShift) - 1
}

// Shard is the state of one shard as the entry sees it.
type Shard struct {
	// Usable is set if any target of the shard may be used.
	Usable bool
	// Free is the number of sub-requests that the shard can take in addition to those in flight. It may
	// be negative.
	Free int
	// Contended is set if the shard recently rejected a request that needed it.
	Contended bool
	// Kept is the number of free slots that are kept for more urgent requests.
	Kept int
}

// Request is a gathered request that nothing has been sent for.
type Request struct {
	// Sufficient reports whether a number of shards is enough for an answer. It must be monotonic.
	Sufficient func(shards int) bool
}

// Decision tells which shards a request queries.
type Decision struct {
	// Rejected is set if too few shards can take the request.
	Rejected bool
	// Available is the number of shards that can take the request, including those in LeftOut.
	Available int
	// Full lists the usable shards without a free slot. Full and Kept are empty for a request that is
	// rejected because of unusable shards, since free slots would not have helped it.
	Full []int
	// LeftOut lists the shards that have a free slot and are left to requests that need them, Kept
	// those whose free slots are all kept for more urgent requests.
	LeftOut, Kept []int
}

// Decide decides which of the shards a request queries.
func (s Settings) Decide(r Request, shards []Shard) Decision {
	var d Decision
	var contended []int
	for i, shard := range shards {
		switch {
		case !shard.Usable:
		case shard.Free <= 0:
			d.Full = append(d.Full, i)
		case shard.Free <= shard.Kept:
			d.Kept = append(d.Kept, i)
		default:
			d.Available++
			if shard.Contended {
				contended = append(contended, i)
			}
		}
	}
	if !r.Sufficient(d.Available) {
		d.Rejected = true
		if !r.Sufficient(d.Available + len(d.Full) + len(d.Kept)) {
			d.Full, d.Kept = nil, nil
		}
		return d
	}
	// The shards with the fewest free slots are left out first.
	slices.SortStableFunc(contended, func(a, b int) int { return cmp.Compare(shards[a].Free, shards[b].Free) })
	for _, i := range contended {
		if !r.Sufficient(d.Available - len(d.LeftOut) - 1 - s.Margin) {
			break
		}
		d.LeftOut = append(d.LeftOut, i)
	}
	return d
}
