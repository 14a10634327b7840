package ratelimit

import "time"

const (
	// ProbeInterval is the time between two requests to a target whose limit is zero. Only the reply
	// to a request shows that such a limit has ended.
	ProbeInterval = 10 * time.Second
	// mostUrgentMemory is the time for which the most urgent kind of requests that asked for tokens
	// keeps its precedence.
	mostUrgentMemory = 2 * time.Second
	// precedence divides the time for which tokens are booked ahead for other kinds than the most
	// urgent one. While the urgent kind books all tokens, the others find none near enough.
	precedence = 4
	// othersTurn is the number of tokens in a row that only the most urgent kind may get while others
	// ask in vain, so that no kind starves.
	othersTurn = 7
	// deniedMemory is the time over which denied requests are counted to estimate when a token will
	// be free.
	deniedMemory = time.Second
	// MaxTokens limits the tokens of one grant.
	MaxTokens = 8
)

// Grant is the answer to a request for tokens. Each token allows one request to the target.
type Grant struct {
	// Count is the number of tokens. The first is valid after First, each further one after another
	// Interval.
	Count           int
	First, Interval time.Duration
	// Wait is set if Count is zero: the time after which it makes sense to ask again.
	Wait time.Duration
	// RetryAfter is set if Count is zero: the time after which a token is likely to be free, given
	// the others that ask.
	RetryAfter time.Duration
}

// Allocation allocates one allocator's part of a target's limit. It books the tokens one after
// another at even intervals (the virtual scheduling form of the generic cell rate algorithm, ITU-T
// I.371) without any burst, because each entry that holds a token may use it at any time. The zero
// value is ready for use.
type Allocation struct {
	// booked is the time from which no token is booked.
	booked time.Duration
	// mostUrgent is the most urgent priority that asked, at the time mostUrgentAt.
	mostUrgent   int
	mostUrgentAt time.Duration
	// urgentInRow counts the tokens of the most urgent kind since another kind got one.
	urgentInRow int
	// denied is the number of denied requests, decaying over deniedMemory, at the time deniedAt.
	denied   float64
	deniedAt time.Duration
	used     bool
}

// Allocate grants up to count tokens of a part of perSecond tokens per second to requests of a
// priority, 1 being the most urgent, if the first of them is valid within maxWait.
func (a *Allocation) Allocate(now time.Duration, perSecond float64, priority, count int, maxWait time.Duration) Grant {
	interval := ProbeInterval
	if perSecond > 0 {
		interval = time.Duration(min(float64(time.Second)/perSecond, float64(time.Hour)))
	}
	if !a.used {
		// The target may have got requests just before.
		a.used, a.booked = true, now+interval
	}
	// A limit that rose must not wait for tokens that were booked under the lower one.
	a.booked = min(a.booked, now+interval+maxBooking)
	urgent := a.isMostUrgent(now, priority)
	if !urgent && a.urgentInRow < othersTurn {
		maxWait /= precedence
	}
	first := max(a.booked, now)
	if wait := first - now; wait > min(max(maxWait, 0), maxBooking) {
		a.countDenied(now)
		return Grant{Wait: wait - min(max(maxWait, 0), maxBooking), RetryAfter: wait + time.Duration(a.denied*float64(interval))}
	}
	g := Grant{First: first - now, Interval: interval}
	for g.Count < min(max(count, 1), MaxTokens) && a.booked <= now+maxBooking {
		a.booked = max(a.booked, now) + interval
		g.Count++
	}
	if urgent {
		a.urgentInRow += g.Count
	} else {
		a.urgentInRow = 0
	}
	return g
}

// maxBooking limits how far ahead tokens are booked.
const maxBooking = 400 * time.Millisecond

// isMostUrgent reports whether no more urgent kind asked recently.
func (a *Allocation) isMostUrgent(now time.Duration, priority int) bool {
	if a.mostUrgent == 0 || priority <= a.mostUrgent || now-a.mostUrgentAt > mostUrgentMemory {
		if priority != a.mostUrgent {
			a.urgentInRow = 0
		}
		a.mostUrgent, a.mostUrgentAt = priority, now
	}
	return priority <= a.mostUrgent
}

func (a *Allocation) countDenied(now time.Duration) {
	a.denied = a.denied*max(1-float64(now-a.deniedAt)/float64(deniedMemory), 0) + 1
	a.deniedAt = now
}
