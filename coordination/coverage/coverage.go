// Package coverage merges the replies of one query and derives the coverage
// that the answer states.
//
// Coverage comes from accepted replies only: a shard counts as searched when
// its reply was accepted and for no other reason.
package coverage

import (
	"cmp"
	"slices"
	"strings"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Merger collects the replies of one query at one snapshot. It is not safe for
// concurrent use.
type Merger struct {
	snapshot  ids.Snapshot
	shards    []shard
	concerned int
	sealed    bool
}

type shard struct {
	concerned bool
	accepted  bool
	reason    callerapi.Reason
	hits      []callerapi.Hit
}

// New returns a merger for a snapshot with shardCount shards. The request
// concerns the shards listed in concerned, or all shards when it is nil;
// numbers outside the snapshot make Seal fail.
func New(snapshot ids.Snapshot, shardCount int, concerned []int) *Merger {
	m := &Merger{snapshot: snapshot, shards: make([]shard, max(shardCount, 0))}
	for i := range m.shards {
		// A shard without any report had no reply when the query ended.
		m.shards[i].reason = callerapi.ReasonDeadline
		m.shards[i].concerned = concerned == nil
	}
	if concerned == nil {
		m.concerned = len(m.shards)
		return m
	}
	wanted := slices.Compact(slices.Sorted(slices.Values(concerned)))
	m.concerned = len(wanted)
	for _, n := range wanted {
		if m.has(n) {
			m.shards[n].concerned = true
		}
	}
	return m
}

// Snapshot returns the snapshot that the query reads.
func (m *Merger) Snapshot() ids.Snapshot { return m.snapshot }

func (m *Merger) has(n int) bool { return n >= 0 && n < len(m.shards) }

// Accept takes the hits of a shard and reports whether they count. They do not
// when the shard was already accepted, when the merger is sealed, or when the
// request does not concern the shard. The hits are copied and carry the
// shard's number afterwards.
func (m *Merger) Accept(n int, hits []callerapi.Hit) bool {
	if m.sealed || !m.has(n) || !m.shards[n].concerned || m.shards[n].accepted {
		return false
	}
	s := &m.shards[n]
	s.accepted = true
	s.hits = slices.Clone(hits)
	for i := range s.hits {
		s.hits[i].Shard = n
	}
	return true
}

// Miss records why a shard has no reply so far. The last reason counts, and a
// reply that is accepted later replaces it. It has no effect on an accepted
// shard or after Seal.
func (m *Merger) Miss(n int, reason callerapi.Reason) {
	if m.sealed || !m.has(n) || !m.shards[n].concerned {
		return
	}
	m.shards[n].reason = reason
}

// Pending returns the concerned shards without an accepted reply, in order.
func (m *Merger) Pending() []int {
	var out []int
	for n, s := range m.shards {
		if s.concerned && !s.accepted {
			out = append(out, n)
		}
	}
	return out
}

// Complete reports whether every concerned shard was accepted.
func (m *Merger) Complete() bool { return len(m.Pending()) == 0 }

// Seal ends the merge and returns the coverage and the hits, ordered by
// descending score, then shard, then id. The order does not depend on the order
// of the replies. The contract is met when the ratio reaches minRatio and at
// least one shard was searched. Later calls with the same ratio return the same
// answer. The error is a *status.Error with the code Internal when the coverage
// violates an invariant; the answer must not be sent then.
func (m *Merger) Seal(minRatio float64) (callerapi.Coverage, []callerapi.Hit, error) {
	m.sealed = true
	cov := callerapi.Coverage{Searched: []int{}, NotSearched: []callerapi.NotSearched{}}
	total := 0
	for _, s := range m.shards {
		total += len(s.hits)
	}
	hits := make([]callerapi.Hit, 0, total)
	for n, s := range m.shards {
		switch {
		case !s.concerned:
			cov.NotSearched = append(cov.NotSearched, callerapi.NotSearched{Shard: n, Reason: callerapi.ReasonNotNeeded})
		case s.accepted:
			cov.Searched = append(cov.Searched, n)
			hits = append(hits, s.hits...)
		default:
			cov.NotSearched = append(cov.NotSearched, callerapi.NotSearched{Shard: n, Reason: s.reason})
		}
	}
	if m.concerned > 0 {
		cov.Ratio = float64(len(cov.Searched)) / float64(m.concerned)
	}
	cov.ContractMet = len(cov.Searched) > 0 && cov.Ratio >= minRatio
	// Hits that compare as equal come from one reply and start out in its order,
	// so the unstable sort always gives the same result for the same replies.
	slices.SortFunc(hits, compareHits)
	return cov, hits, Check(cov, hits, len(m.shards), m.concerned)
}

func compareHits(a, b callerapi.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Shard, b.Shard); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

// Check tests the invariants of an answer: the searched and the not-searched
// shards are disjoint and together name every one of shardCount shards, every
// not-searched shard has a reason, exactly the concerned shards are not marked
// as not needed, and every hit comes from a searched shard. The error is a
// *status.Error with the code Internal.
func Check(cov callerapi.Coverage, hits []callerapi.Hit, shardCount, concerned int) error {
	if shardCount < 1 || concerned < 1 {
		return violated("%d shards, of which %d are concerned", shardCount, concerned)
	}
	seen := make([]bool, shardCount)
	mark := func(n int) error {
		if n < 0 || n >= shardCount {
			return violated("shard %d is not in a snapshot of %d shards", n, shardCount)
		}
		if seen[n] {
			return violated("shard %d is listed twice", n)
		}
		seen[n] = true
		return nil
	}
	for _, n := range cov.Searched {
		if err := mark(n); err != nil {
			return err
		}
	}
	searched := slices.Clone(seen)
	needed := len(cov.Searched)
	for _, ns := range cov.NotSearched {
		if err := mark(ns.Shard); err != nil {
			return err
		}
		if ns.Reason == "" {
			return violated("shard %d has no reason", ns.Shard)
		}
		if ns.Reason != callerapi.ReasonNotNeeded {
			needed++
		}
	}
	if n := slices.Index(seen, false); n >= 0 {
		return violated("shard %d is not listed", n)
	}
	if needed != concerned {
		return violated("%d shards are listed as concerned instead of %d", needed, concerned)
	}
	for _, h := range hits {
		if h.Shard < 0 || h.Shard >= shardCount || !searched[h.Shard] {
			return violated("a hit names shard %d, which was not searched", h.Shard)
		}
	}
	return nil
}

func violated(format string, args ...any) error {
	return status.New(status.Internal, status.Unknown, "coverage invariant violated: "+format, args...)
}
