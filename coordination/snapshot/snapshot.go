// Package snapshot chooses the index snapshot that a query reads throughout, and
// decides whether a query whose snapshot disappeared is planned again.
package snapshot

import (
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
)

// Choose returns the newest snapshot of svc whose shards all have a usable target. If
// there is none, it returns the snapshot with the largest fraction of covered shards,
// those with a usable target, and of several the newest. It skips snapshots without
// shards and those for which excluded reports true; excluded may be nil. The int is the
// number of covered shards of the chosen snapshot, which may be 0. The bool is false when
// there is no snapshot to choose.
func Choose(svc *index.Service, usable func(target string) bool, excluded func(ids.Snapshot) bool) (*index.Snapshot, int, bool) {
	if svc == nil {
		return nil, 0, false
	}
	var best *index.Snapshot
	bestCovered := 0
	for i := range svc.Snapshots {
		s := &svc.Snapshots[i]
		if len(s.Shards) == 0 || excluded != nil && excluded(s.Snapshot) {
			continue
		}
		covered := countCovered(s, usable)
		if best == nil || better(s, covered, best, bestCovered) {
			best, bestCovered = s, covered
		}
	}
	return best, bestCovered, best != nil
}

// countCovered returns the number of shards of s that have a usable target.
func countCovered(s *index.Snapshot, usable func(string) bool) int {
	covered := 0
	for _, targets := range s.Shards {
		for _, t := range targets {
			if usable(t) {
				covered++
				break
			}
		}
	}
	return covered
}

// better reports whether a covers a larger fraction of its shards than b, or the same
// fraction and is newer. It cross-multiplies to compare the fractions without rounding,
// because the snapshots may differ in their number of shards.
func better(a *index.Snapshot, aCovered int, b *index.Snapshot, bCovered int) bool {
	left := aCovered * len(b.Shards)
	right := bCovered * len(a.Shards)
	if left != right {
		return left > right
	}
	return a.Newer(b.Snapshot)
}

// Settings configures when a query is planned again.
type Settings struct {
	// Margin is the minimum remaining time as a multiple of the expected latency. It
	// allows for variation in the latency of the second plan.
	Margin float64
	// MaxReplans is the maximum number of times that one query is planned again.
	MaxReplans int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings { return Settings{Margin: 1.25, MaxReplans: 1} }

// ShouldReplan reports whether a query that lost its snapshot is planned again on another
// one. remaining is the time until the query's deadline, expected is the service's recent
// latency at a high quantile, and replans is the number of times that the query was already
// planned again.
func (s Settings) ShouldReplan(remaining, expected time.Duration, replans int) bool {
	return replans < s.MaxReplans && remaining > 0 && float64(remaining) >= s.Margin*float64(expected)
}
