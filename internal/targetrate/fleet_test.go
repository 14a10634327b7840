package targetrate_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/requestrate"
)

const (
	// grace is the time after the first announcement from which the limit counts, window the time over
	// which requests are counted.
	grace, window = 4 * time.Second, 4 * time.Second
	// callDelay is the time of a call between entries.
	callDelay = time.Millisecond
)

var errUnreachable = errors.New("unreachable")

// fleet simulates the entries of a deployment and one target that announces a rate limit.
type fleet struct {
	start time.Time

	mu       sync.Mutex // Guards the fields below.
	rng      *rand.Rand
	limiters []*targetrate.Limiter
	// cut holds the entries that no other entry reaches.
	cut map[int]bool
	// limit is the limit that the target announces, negative for none.
	limit float64
	// sent holds the times of the requests from entries that know the limit.
	sent  []time.Duration
	calls int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), start: time.Now(), limiters: make([]*targetrate.Limiter, n), cut: map[int]bool{}, limit: -1}
	for i := range f.limiters {
		f.restart(i)
	}
	return f
}

func (f *fleet) setLimit(perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = perSecond
}

func (f *fleet) now() time.Duration { return time.Since(f.start) }

func (f *fleet) entry(i int) ratelimit.Entry {
	return ratelimit.Entry{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Address: fmt.Sprint(i)}
}

// restart replaces an entry by a new process.
func (f *fleet) restart(i int) {
	l := targetrate.New(targetrate.Config{Entry: f.entry(i).ID, Clock: f.now, Log: zerolog.Nop(), Metrics: &targetrate.Metrics{}, NotifyPeers: func() {},
		Tokens: func(_ context.Context, address string, in *peerpb.TokensRequest) (*peerpb.TokensReply, error) {
			time.Sleep(callDelay)
			var to int
			_, _ = fmt.Sscan(address, &to)
			f.mu.Lock()
			f.calls++
			callee, reachable := f.limiters[to], !f.cut[i] && !f.cut[to]
			f.mu.Unlock()
			if !reachable {
				return nil, errUnreachable
			}
			return callee.HandleRequest(in), nil
		}})
	l.SetTargets(map[string]int64{"t": 1}, map[string]string{"t": "z0"})
	f.limiters[i] = l
	f.setView(i, 1)
}

// setView makes an entry know each other entry with the given probability.
func (f *fleet) setView(i int, probability float64) {
	view := targetrate.Fleet{Entries: []ratelimit.Entry{f.entry(i)}}
	for j := range f.limiters {
		if j != i && f.rng.Float64() < probability {
			view.Entries = append(view.Entries, f.entry(j))
		}
	}
	f.limiters[i].SetFleet(view)
}

// request sends a request of an entry to the target, if the limit allows it.
func (f *fleet) request(i, priority int) (sent bool) {
	f.mu.Lock()
	l := f.limiters[i]
	f.mu.Unlock()
	l.Prepare(context.Background(), targetrate.Demand{Priority: priority, Goal: 500 * time.Millisecond, Shards: [][]string{{"t"}}, MinShards: 1})
	known := l.Active()
	if !l.Take("t", priority) || !l.Admit("t") {
		return false
	}
	at := f.now()
	f.mu.Lock()
	if known {
		f.sent = append(f.sent, at)
	}
	rate := requestrate.Rate{Stated: f.limit >= 0, PerSecond: max(f.limit, 0)}
	f.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	l.RecordReply("t", "", at, rate, true)
	return true
}

// run sends perSecond requests a second from random entries for a time.
func (f *fleet) run(perSecond float64, d time.Duration) {
	for end := f.now() + d; f.now() < end; {
		f.mu.Lock()
		pause := f.rng.ExpFloat64() / perSecond
		f.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		f.mu.Lock()
		entry, priority := f.rng.IntN(len(f.limiters)), 1+f.rng.IntN(2)
		f.mu.Unlock()
		go f.request(entry, priority)
	}
}

// maxInWindow returns the largest number of requests of any window after a time.
func (f *fleet) maxInWindow(after time.Duration) int {
	most, first := 0, 0
	for last, at := range f.sent {
		for f.sent[first] < at-window || f.sent[first] < after {
			if first == last {
				break
			}
			first++
		}
		if at >= after {
			most = max(most, last-first+1)
		}
	}
	return most
}

// Guards against entries that respect a limit one by one while their sum exceeds it, in small and large
// fleets and while entries restart, are cut off and disagree on the live entries.
func TestFleetStaysWithinTheLimitOfATarget(t *testing.T) {
	for _, entries := range []int{1, 9, 90, 195} {
		for _, limit := range []float64{0, 0.5, 4, 40} {
			for _, faults := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d entries, limit %g, faults %v", entries, limit, faults), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(entries, uint64(entries))
						f.run(80, time.Second)
						f.setLimit(limit)
						announced := f.now()
						for range 20 {
							f.run(80, time.Second)
							if faults {
								f.disturb()
							}
						}
						time.Sleep(time.Second) // Requests under way end.
						f.mu.Lock()
						defer f.mu.Unlock()
						if got, allowed := f.maxInWindow(announced+grace), int(1.5*limit*window.Seconds())+5; got > allowed {
							t.Errorf("%d requests in %v, allowed %d", got, window, allowed)
						}
						if got, wanted := len(f.sent), int(limit*20*0.6); !faults && got < wanted {
							t.Errorf("%d requests in 20 s, wanted at least %d", got, wanted)
						}
						if !faults && float64(f.calls) > 21*80*4 {
							t.Errorf("%d calls between entries", f.calls)
						}
					})
				})
			}
		}
	}
}

// disturb restarts an entry, cuts another one off, and changes the view of a third.
func (f *fleet) disturb() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.limiters)
	f.restart(f.rng.IntN(n))
	clear(f.cut)
	f.cut[f.rng.IntN(n)] = true
	f.setView(f.rng.IntN(n), 0.9)
}

// Guards against a limit that stays in force after the target ended it, and a target that stays
// unused after it restarted without one, also when the limit was zero.
func TestLimitEndsForTheWholeFleet(t *testing.T) {
	for _, limit := range []float64{0, 4} {
		t.Run(fmt.Sprint("limit ", limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(9, 1)
				f.setLimit(limit)
				f.run(80, 5*time.Second)
				f.setLimit(-1)
				f.run(80, 12*time.Second)
				for _, from := range f.limiters {
					for _, to := range f.limiters {
						for _, r := range from.Reports() {
							to.Merge("", r)
						}
					}
				}
				ended := 0
				for range 200 {
					if f.request(f.rng.IntN(9), 1) {
						ended++
					}
				}
				if ended != 200 {
					t.Errorf("%d of 200 requests were sent after the limit ended", ended)
				}
			})
		})
	}
}
