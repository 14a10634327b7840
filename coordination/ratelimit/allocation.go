package ratelimit

import "time"

const (
	// ProbeInterval is the time between two requests to a target whose limit is zero. Only the reply
	// to a request shows that such a limit has ended.
	ProbeInterval = 10 * time.Second
	// maxBooking limits how far ahead tokens are booked.
	maxBooking = 400 * time.Millisecond
	// rankMemory is the time for which a rank that asked for a token keeps its precedence.
	rankMemory = 2 * time.Second
	// turnTokens is the number of tokens after which a rank that got none has its turn, so that none
	// starves.
	turnTokens = 6
	// maxRanks limits the number of ranks that are distinguished.
	maxRanks = 32
)

// Grant is the answer to a request for a token. A token allows one request to the target.
type Grant struct {
	Granted bool
	// ValidAfter is the time until the token is valid.
	ValidAfter time.Duration
	// VoidAfter, if it is not zero, is the time after which the token is void, also for a request that
	// has taken it and has not been sent.
	VoidAfter time.Duration
	// Wait is set without a token: the time after which a token may be free.
	Wait time.Duration
}

// Allocation allocates one allocator's part of a target's limit. It books the tokens one after
// another at even intervals (the virtual scheduling form of the generic cell rate algorithm, ITU-T
// I.371). One unused token is kept for later, as a reserve for the most urgent rank of requests that
// ask; other ranks get a token while the reserve is there. Create it with NewAllocation.
type Allocation struct {
	// booked is the time at which the next token becomes valid. It lies in the past by up to one
	// interval if there is a reserve.
	booked time.Duration
	// asked and granted hold, by rank, the times of the last request and of the last grant.
	asked, granted map[int]time.Duration
	// even is set if no token is kept for later.
	even bool
}

// NewAllocation returns an allocation without tokens: the target may have got requests just before.
func NewAllocation(now time.Duration, perSecond float64) *Allocation {
	return &Allocation{booked: now + tokenInterval(perSecond), asked: make(map[int]time.Duration), granted: make(map[int]time.Duration)}
}

// NewEvenAllocation returns an allocation like NewAllocation that keeps no token for later, so that the
// number of tokens in a period exceeds the rate by at most one.
func NewEvenAllocation(now time.Duration, perSecond float64) *Allocation {
	a := NewAllocation(now, perSecond)
	a.even = true
	return a
}

// Even reports whether the allocation was created by NewEvenAllocation.
func (a *Allocation) Even() bool { return a.even }

// tokenInterval returns the time between tokens at a rate.
func tokenInterval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return ProbeInterval
	}
	return time.Duration(min(float64(time.Second)/perSecond, float64(time.Hour)))
}

// Allocate grants a token, of perSecond tokens per second, to a request of a rank, 1 being the most
// urgent, if the token is valid within maxWait.
func (a *Allocation) Allocate(now time.Duration, perSecond float64, rank int, maxWait time.Duration) Grant {
	interval := tokenInterval(perSecond)
	reserve := interval
	if perSecond <= 0 || a.even {
		reserve = 0
	}
	// A limit that rose must not wait for tokens that were booked under the lower one.
	a.booked = min(max(a.booked, now-reserve), now+interval+maxBooking)
	at := a.booked
	if a.yields(now, rank, interval) {
		at += reserve
	}
	wait := max(at-now, 0)
	if wait > min(max(maxWait, 0), maxBooking) {
		return Grant{Wait: wait}
	}
	a.booked += interval
	a.granted[rank] = now + wait
	return Grant{Granted: true, ValidAfter: wait}
}

// yields records a request of a rank, and reports whether it leaves the reserve to a more urgent rank.
func (a *Allocation) yields(now time.Duration, rank int, interval time.Duration) bool {
	if _, known := a.asked[rank]; !known && len(a.asked) >= maxRanks {
		return true
	}
	if _, known := a.asked[rank]; !known {
		a.granted[rank] = now
	}
	a.asked[rank] = now
	if now-a.granted[rank] >= turnTokens*interval {
		return false
	}
	for other, at := range a.asked {
		if other < rank && now-at < rankMemory {
			return true
		}
	}
	return false
}
