package platform

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// EntryHeader carries the id of the entry that calls.
const EntryHeader = "X-Balsam-Entry"

// burstDivisor sets the burst of the rate limiter to a tenth of the rate, so that no second has more
// than 1.1 times the limit.
const burstDivisor = 10

// maxCountedSeconds limits the number of seconds whose calls are counted separately.
const maxCountedSeconds = 600

// Calls counts the calls of clients since the start or the last reset.
type Calls struct {
	// Total counts all calls, refused ones included.
	Total int64 `json:"total"`
	// Served counts the calls that were neither failed by a fault nor over the rate limit.
	Served int64 `json:"served"`
	// RateLimited counts the calls refused because of the rate limit.
	RateLimited int64 `json:"rate_limited"`
	// Failed counts the calls that arrived during an outage or from an entry that is cut off.
	Failed int64 `json:"failed"`
	// ByKind counts calls by method: config, watch and hosts.
	ByKind map[string]int64 `json:"by_kind"`
	// ByEntry counts calls by the header X-Balsam-Entry.
	ByEntry map[string]int64 `json:"by_entry"`
	// PeakSecond is the largest number of calls in one clock second.
	PeakSecond int64 `json:"peak_second"`
	// Seconds lists the most recent seconds with calls, oldest first.
	Seconds []Second `json:"seconds"`
}

// Second is the number of calls in one clock second.
type Second struct {
	// Unix is the time in seconds since the Unix epoch.
	Unix  int64 `json:"unix"`
	Calls int64 `json:"calls"`
}

type callCounter struct {
	mu sync.Mutex
	// calls is guarded by mu.
	calls Calls
}

// recordArrival counts a call on arrival, before faults and the rate limit apply to it.
func (c *callCounter) recordArrival(kind, entry string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls.ByKind == nil {
		c.calls.ByKind = make(map[string]int64)
		c.calls.ByEntry = make(map[string]int64)
	}
	c.calls.Total++
	c.calls.ByKind[kind]++
	c.calls.ByEntry[entry]++
	n := len(c.calls.Seconds)
	if n == 0 || c.calls.Seconds[n-1].Unix != now.Unix() {
		if n == maxCountedSeconds {
			c.calls.Seconds = c.calls.Seconds[1:]
		}
		c.calls.Seconds = append(c.calls.Seconds, Second{Unix: now.Unix()})
		n = len(c.calls.Seconds)
	}
	c.calls.Seconds[n-1].Calls++
	c.calls.PeakSecond = max(c.calls.PeakSecond, c.calls.Seconds[n-1].Calls)
}

// update runs change with mu held.
func (c *callCounter) update(change func(*Calls)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.calls)
}

// Calls returns the current counts.
func (p *Platform) Calls() Calls {
	var copied Calls
	p.calls.update(func(c *Calls) {
		copied = *c
		copied.ByKind = maps.Clone(c.ByKind)
		copied.ByEntry = maps.Clone(c.ByEntry)
		copied.Seconds = append([]Second{}, c.Seconds...)
	})
	return copied
}

// ResetCalls sets all counts to zero.
func (p *Platform) ResetCalls() { p.calls.update(func(c *Calls) { *c = Calls{} }) }

// setRateLimit sets the limit on calls per second. p.mu must be held.
func (p *Platform) setRateLimit(callsPerSecond int64) {
	burst := max(1, int(callsPerSecond)/burstDivisor)
	p.limiter = rate.NewLimiter(rate.Limit(callsPerSecond), burst)
}

// apiHandler wraps a handler of the platform API with the call counters, the injected faults and the
// rate limit.
func (p *Platform) apiHandler(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		p.calls.recordArrival(kind, r.Header.Get(EntryHeader), now)
		if mode := p.failureMode(r); mode != "" {
			p.calls.update(func(c *Calls) { c.Failed++ })
			p.failCall(w, r, mode)
			return
		}
		p.mu.Lock()
		allowed := p.limiter.AllowN(now, 1)
		p.mu.Unlock()
		if !allowed {
			p.calls.update(func(c *Calls) { c.RateLimited++ })
			sendError(w, status.New(status.RateLimited, "", "too many calls").WithRetryAfter(time.Second))
			return
		}
		p.calls.update(func(c *Calls) { c.Served++ })
		next(w, r)
	}
}

// failureMode returns the mode in which an outage or a cut fails the call, or the empty mode if none
// does.
func (p *Platform) failureMode(r *http.Request) Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut := p.activeFaults[FaultCut]; cut != nil && slices.Contains(cut.Entries, r.Header.Get(EntryHeader)) {
		return ModeReset
	}
	if outage := p.activeFaults[FaultOutage]; outage != nil {
		return outage.Mode
	}
	return ""
}

// failCall fails a call in the given mode.
func (p *Platform) failCall(w http.ResponseWriter, r *http.Request, mode Mode) {
	switch mode {
	case ModeUnavailable:
		sendError(w, status.New(status.Unavailable, "", "the platform is unavailable"))
		return
	case ModeHang:
		select {
		case <-r.Context().Done():
		case <-p.closing:
		}
	default:
		if conn := tracked.FromRequest(r); conn != nil {
			conn.Reset()
		}
	}
	panic(http.ErrAbortHandler) // Closes the connection without a reply.
}
