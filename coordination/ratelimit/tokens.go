package ratelimit

import (
	"slices"
	"time"
)

const (
	// tokenLifetime is the time after which an unused token is void. An allocator counts on it: a
	// token that is used later would add to those of that time.
	tokenLifetime = 500 * time.Millisecond
	// admittedLifetime is the time within which a request that has taken its token must be sent. It
	// covers the wait for a connection.
	admittedLifetime = time.Second
)

// Tokens holds the tokens that allocators granted to this entry. Create it with NewTokens.
type Tokens struct {
	held map[string][]token
	// admitted holds the expiry times of the tokens that were taken by requests not yet sent.
	admitted map[string][]time.Duration
	denials  map[denialKey]denial
}

type token struct {
	from, until time.Duration
	// rank is the least urgent rank that may use the token.
	rank int
	// strict is set if a request that has taken the token must also be sent before until.
	strict bool
}

type denialKey struct{ target, allocator string }

type denial struct {
	until time.Duration
	// rank is the most urgent rank that was denied.
	rank int
}

// NewTokens returns an empty set.
func NewTokens() *Tokens {
	return &Tokens{held: make(map[string][]token), admitted: make(map[string][]time.Duration), denials: make(map[denialKey]denial)}
}

// RecordGrant records the answer of an allocator to a request for a token of a rank.
func (t *Tokens) RecordGrant(target, allocator string, rank int, now time.Duration, g Grant) {
	key := denialKey{target, allocator}
	if !g.Granted {
		if before, ok := t.denials[key]; !ok || now >= before.until || rank <= before.rank {
			t.denials[key] = denial{until: now + g.Wait, rank: rank}
		}
		return
	}
	delete(t.denials, key)
	k := token{from: now + g.ValidAfter, until: now + g.ValidAfter + tokenLifetime, rank: rank}
	if g.VoidAfter != 0 {
		k.until, k.strict = now+g.VoidAfter, true
	}
	t.held[target] = append(t.held[target], k)
}

// find returns the index of a valid token that a request of a rank may use, or -1.
func (t *Tokens) find(target string, rank int, now time.Duration) int {
	return slices.IndexFunc(t.held[target], func(k token) bool {
		return k.from <= now && now < k.until && rank <= k.rank
	})
}

// Has reports whether a request of a rank may take a token now.
func (t *Tokens) Has(target string, rank int, now time.Duration) bool {
	return t.find(target, rank, now) >= 0
}

// Held returns the number of tokens of a target that a request of a rank may use, now or later.
func (t *Tokens) Held(target string, rank int, now time.Duration) int {
	held := 0
	for _, k := range t.held[target] {
		if now < k.until && rank <= k.rank {
			held++
		}
	}
	return held
}

// Take takes a token for a request of a rank. The request must call Admit when it is sent.
func (t *Tokens) Take(target string, rank int, now time.Duration) bool {
	i := t.find(target, rank, now)
	if i < 0 {
		return false
	}
	until := now + admittedLifetime
	if k := t.held[target][i]; k.strict {
		until = k.until
	}
	t.held[target] = slices.Delete(t.held[target], i, i+1)
	t.admitted[target] = append(t.admitted[target], until)
	return true
}

// Admit reports whether a request may be sent now, because a token was taken for it. A request that
// was chosen before the limit was known has none.
func (t *Tokens) Admit(target string, now time.Duration) bool {
	admitted := slices.DeleteFunc(t.admitted[target], func(until time.Duration) bool { return now >= until })
	ok := len(admitted) > 0
	if ok {
		admitted = admitted[1:]
	}
	t.admitted[target] = admitted
	return ok
}

// MayAsk reports whether it makes sense to ask an allocator for tokens of a rank.
func (t *Tokens) MayAsk(target, allocator string, rank int, now time.Duration) bool {
	d, denied := t.denials[denialKey{target, allocator}]
	return !denied || now >= d.until || rank < d.rank
}

// Availability returns the time until a request of a rank is likely to get a token, zero if that
// is not known.
func (t *Tokens) Availability(target string, allocators []Entry, rank int, now time.Duration) time.Duration {
	earliest := time.Duration(0)
	note := func(at time.Duration) {
		if wait := at - now; wait > 0 && (earliest == 0 || wait < earliest) {
			earliest = wait
		}
	}
	for _, k := range t.held[target] {
		if rank <= k.rank {
			note(k.from)
		}
	}
	for _, a := range allocators {
		if d, denied := t.denials[denialKey{target, a.ID}]; denied && rank >= d.rank {
			note(d.until)
		}
	}
	return earliest
}

// Drop removes all tokens. It is called when the process was paused, because the allocators granted
// others since.
func (t *Tokens) Drop() {
	clear(t.held)
	clear(t.admitted)
	clear(t.denials)
}

// Expire removes the tokens and denials that have ended.
func (t *Tokens) Expire(now time.Duration) {
	for target, tokens := range t.held {
		if tokens = slices.DeleteFunc(tokens, func(k token) bool { return now >= k.until }); len(tokens) == 0 {
			delete(t.held, target)
		} else {
			t.held[target] = tokens
		}
	}
	for target, admitted := range t.admitted {
		if admitted = slices.DeleteFunc(admitted, func(until time.Duration) bool { return now >= until }); len(admitted) == 0 {
			delete(t.admitted, target)
		} else {
			t.admitted[target] = admitted
		}
	}
	for key, d := range t.denials {
		if now >= d.until {
			delete(t.denials, key)
		}
	}
}
