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

// burstPart is the part of the cap that may arrive at once. With it, no second
// sees more than 1.1 times the cap.
const burstPart = 10

// maxSeconds bounds the seconds kept in the counters.
const maxSeconds = 600

// Calls counts calls of readers since the start or the last reset.
type Calls struct {
	// Total counts all calls, refused ones included.
	Total int64 `json:"total"`
	// Served counts the calls that faults and cap let through.
	Served int64 `json:"served"`
	// RateLimited counts the calls above the cap.
	RateLimited int64 `json:"rate_limited"`
	// Failed counts the calls that an outage or a cut met on arrival.
	Failed int64 `json:"failed"`
	// ByKind counts calls by method: config, watch and hosts.
	ByKind map[string]int64 `json:"by_kind"`
	// ByEntry counts calls by the header X-Balsam-Entry.
	ByEntry map[string]int64 `json:"by_entry"`
	// PeakSecond is the largest number of calls in one second of the clock.
	PeakSecond int64 `json:"peak_second"`
	// Seconds lists the last seconds with calls, oldest first.
	Seconds []Second `json:"seconds"`
}

// Second is the number of calls in one second of the clock.
type Second struct {
	// Unix is the second, since the Unix epoch.
	Unix  int64 `json:"unix"`
	Calls int64 `json:"calls"`
}

type callCounter struct {
	mu sync.Mutex
	// calls is guarded by mu.
	calls Calls
}

func (c *callCounter) arrive(kind, entry string, now time.Time) {
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
		if n == maxSeconds {
			c.calls.Seconds = c.calls.Seconds[1:]
		}
		c.calls.Seconds = append(c.calls.Seconds, Second{Unix: now.Unix()})
		n = len(c.calls.Seconds)
	}
	c.calls.Seconds[n-1].Calls++
	c.calls.PeakSecond = max(c.calls.PeakSecond, c.calls.Seconds[n-1].Calls)
}

func (c *callCounter) add(change func(*Calls)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.calls)
}

// Calls returns the current counts.
func (p *Platform) Calls() Calls {
	var copied Calls
	p.calls.add(func(c *Calls) {
		copied = *c
		copied.ByKind = maps.Clone(c.ByKind)
		copied.ByEntry = maps.Clone(c.ByEntry)
		copied.Seconds = append([]Second{}, c.Seconds...)
	})
	return copied
}

// ResetCalls sets all counts to zero.
func (p *Platform) ResetCalls() { p.calls.add(func(c *Calls) { *c = Calls{} }) }

// setRate sets the cap. It needs p.mu.
func (p *Platform) setRate(callsPerSecond int64) {
	burst := max(1, int(callsPerSecond)/burstPart)
	p.limiter = rate.NewLimiter(rate.Limit(callsPerSecond), burst)
}

// read wraps a method of readers with the counters, the faults and the cap.
func (p *Platform) read(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		p.calls.arrive(kind, r.Header.Get(EntryHeader), now)
		if mode := p.failure(r); mode != "" {
			p.calls.add(func(c *Calls) { c.Failed++ })
			p.fail(w, r, mode)
			return
		}
		p.mu.Lock()
		allowed := p.limiter.AllowN(now, 1)
		p.mu.Unlock()
		if !allowed {
			p.calls.add(func(c *Calls) { c.RateLimited++ })
			sendError(w, status.New(status.RateLimited, "", "too many calls").WithRetryAfter(time.Second))
			return
		}
		p.calls.add(func(c *Calls) { c.Served++ })
		next(w, r)
	}
}

// failure returns the way in which an outage or a cut fails the call, or the
// empty mode.
func (p *Platform) failure(r *http.Request) Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut := p.rules[FaultCut]; cut != nil && slices.Contains(cut.Entries, r.Header.Get(EntryHeader)) {
		return ModeReset
	}
	if outage := p.rules[FaultOutage]; outage != nil {
		return outage.Mode
	}
	return ""
}

// fail ends a call in the way of mode.
func (p *Platform) fail(w http.ResponseWriter, r *http.Request, mode Mode) {
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
		if conn := tracked.Of(r); conn != nil {
			conn.Reset()
		}
	}
	panic(http.ErrAbortHandler) // Closes the connection without a reply.
}
