package engine

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/coordination/coverage"
	"github.com/balsamstall/balsamstall/coordination/shardroom"
)

// Guards against a metric and a log line that name the wrong cause of a rejection. The request needs 9 of
// 10 shards.
func TestRejectionReason(t *testing.T) {
	is := is.New(t)
	reason := func(available, kept, unavailable, rateLimited int) string {
		d := shardroom.Decision{Available: available, Kept: make([]int, kept)}
		return rejectionReason(d, coverage.Cutoff{MinRatio: 0.9}, 10, unavailable, rateLimited)
	}
	is.Equal(reason(8, 0, 0, 0), rejectedFull)
	is.Equal(reason(8, 1, 0, 0), rejectedKept)
	is.Equal(reason(7, 1, 0, 0), rejectedFull)
	is.Equal(reason(8, 0, 1, 0), rejectedFull)
	is.Equal(reason(8, 0, 2, 0), rejectedUnavailable)
	is.Equal(reason(8, 0, 2, 1), rejectedRateLimited)
}
