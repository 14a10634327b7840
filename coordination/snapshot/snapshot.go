// Package snapshot chooses the one index snapshot that a query reads from start
// to end, and decides whether a query whose snapshot disappeared starts over.
package snapshot

import (
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/index"
)

// Choose returns the newest snapshot of svc whose shards all have a usable
// target; if there is none, the one with the largest covered part, and the
// newest of those. Snapshots without shards and those for which excluded
// reports true are left out; excluded may be nil. The number covered counts the
// chosen snapshot's shards with a usable target and may be 0. The last result
// is false when no snapshot is left.
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

// better compares covered parts without rounding: two snapshots may differ in
// their number of shards.
func better(a *index.Snapshot, aCovered int, b *index.Snapshot, bCovered int) bool {
	left := aCovered * len(b.Shards)
	right := bCovered * len(a.Shards)
	if left != right {
		return left > right
	}
	return a.Newer(b.Snapshot)
}

// Settings of Replan.
type Settings struct {
	// Margin is the time that must be left as a multiple of the expected
	// latency. It covers the second plan's own variation.
	Margin float64
	// MaxReplans is the number of times that one query may start over.
	MaxReplans int
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{Margin: 1.25, MaxReplans: 1} }

// Replan decides whether a query that lost its snapshot starts over at another
// one. The time remaining lasts until the query's deadline, expected is the
// service's recent latency at a high quantile, and replans counts how often the
// query started over before.
func (s Settings) Replan(remaining, expected time.Duration, replans int) bool {
	return replans < s.MaxReplans && remaining > 0 && float64(remaining) >= s.Margin*float64(expected)
}
