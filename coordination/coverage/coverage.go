// Package coverage merges the shard replies of one query and computes the coverage
// that the answer reports.
//
// Coverage is computed from accepted replies only: a shard counts as searched if
// and only if its reply was accepted.
package coverage

import (
	"cmp"
	"slices"
	"strings"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Merger collects the shard replies of one query on one snapshot. It is not safe for
// concurrent use.
type Merger struct {
	snapshot    ids.Snapshot
	shards      []shard
	neededCount int
	sealed      bool
}

type shard struct {
	needed   bool
	accepted bool
	reason   callerapi.Reason
	hits     []callerapi.Hit
}

// New returns a merger for a snapshot with shardCount shards. needed lists the
// numbers of the shards that the request needs; nil means all. A number outside the
// snapshot makes Seal fail.
func New(snapshot ids.Snapshot, shardCount int, needed []int) *Merger {
	m := &Merger{snapshot: snapshot, shards: make([]shard, max(shardCount, 0))}
	for i := range m.shards {
		// A shard that is neither accepted nor marked as missing had no reply when the
		// query ended.
		m.shards[i].reason = callerapi.ReasonDeadline
		m.shards[i].needed = needed == nil
	}
	if needed == nil {
		m.neededCount = len(m.shards)
		return m
	}
	distinct := slices.Compact(slices.Sorted(slices.Values(needed)))
	m.neededCount = len(distinct)
	for _, n := range distinct {
		if m.has(n) {
			m.shards[n].needed = true
		}
	}
	return m
}

// Snapshot returns the snapshot that the query reads from.
func (m *Merger) Snapshot() ids.Snapshot { return m.snapshot }

// has reports whether n is the number of a shard of the snapshot.
func (m *Merger) has(n int) bool { return n >= 0 && n < len(m.shards) }

// Accept adds the hits of shard n and reports whether it did. It ignores them when
// the shard was already accepted or is not needed, or when the merger is sealed. The
// hits are copied, and the copies get the shard's number.
func (m *Merger) Accept(n int, hits []callerapi.Hit) bool {
	if m.sealed || !m.has(n) || !m.shards[n].needed || m.shards[n].accepted {
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

// MarkMissing records why shard n has no reply so far. A later reason or an accepted
// reply replaces it. It has no effect on an accepted shard or after Seal.
func (m *Merger) MarkMissing(n int, reason callerapi.Reason) {
	if m.sealed || !m.has(n) || !m.shards[n].needed {
		return
	}
	m.shards[n].reason = reason
}

// Pending returns the needed shards without an accepted reply, in ascending order.
func (m *Merger) Pending() []int {
	var out []int
	for n, s := range m.shards {
		if s.needed && !s.accepted {
			out = append(out, n)
		}
	}
	return out
}

// Complete reports whether the replies of all needed shards were accepted.
func (m *Merger) Complete() bool { return len(m.Pending()) == 0 }

// Seal ends the merge and returns the coverage and the hits, ordered by descending
// score, then shard, then id, independently of the order of the replies. The contract
// is met when the ratio reaches minRatio and at least one shard was searched. Later
// calls with the same minRatio return the same result. The error is a *status.Error
// with the code Internal when the coverage violates an invariant; then the answer must
// not be sent.
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
		case !s.needed:
			cov.NotSearched = append(cov.NotSearched, callerapi.NotSearched{Shard: n, Reason: callerapi.ReasonNotNeeded})
		case s.accepted:
			cov.Searched = append(cov.Searched, n)
			hits = append(hits, s.hits...)
		default:
			cov.NotSearched = append(cov.NotSearched, callerapi.NotSearched{Shard: n, Reason: s.reason})
		}
	}
	if m.neededCount > 0 {
		cov.Ratio = float64(len(cov.Searched)) / float64(m.neededCount)
	}
	cov.ContractMet = len(cov.Searched) > 0 && cov.Ratio >= minRatio
	// Hits that compare as equal come from one reply, and their order in hits depends
	// only on the replies, so the result of the unstable sort is deterministic.
	slices.SortFunc(hits, compareHits)
	return cov, hits, Check(cov, hits, len(m.shards), m.neededCount)
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

// Check verifies the invariants of an answer: the searched and the not-searched
// shards are disjoint and together are all of the shardCount shards, every
// not-searched shard has a reason, neededCount shards are not marked as not needed,
// and every hit comes from a searched shard. The error is a *status.Error with the
// code Internal.
func Check(cov callerapi.Coverage, hits []callerapi.Hit, shardCount, neededCount int) error {
	if shardCount < 1 || neededCount < 1 {
		return violation("the snapshot has %d shards, of which %d are needed", shardCount, neededCount)
	}
	seen := make([]bool, shardCount)
	mark := func(n int) error {
		if n < 0 || n >= shardCount {
			return violation("shard %d is not in a snapshot of %d shards", n, shardCount)
		}
		if seen[n] {
			return violation("shard %d is listed twice", n)
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
	listed := len(cov.Searched)
	for _, ns := range cov.NotSearched {
		if err := mark(ns.Shard); err != nil {
			return err
		}
		if ns.Reason == "" {
			return violation("shard %d has no reason", ns.Shard)
		}
		if ns.Reason != callerapi.ReasonNotNeeded {
			listed++
		}
	}
	if n := slices.Index(seen, false); n >= 0 {
		return violation("shard %d is not listed", n)
	}
	if listed != neededCount {
		return violation("%d shards are listed as needed, expected %d", listed, neededCount)
	}
	for _, h := range hits {
		if h.Shard < 0 || h.Shard >= shardCount || !searched[h.Shard] {
			return violation("a hit comes from shard %d, which was not searched", h.Shard)
		}
	}
	return nil
}

func violation(format string, args ...any) error {
	return status.New(status.Internal, status.Unknown, "coverage invariant violated: "+format, args...)
}
