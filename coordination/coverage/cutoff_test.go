package coverage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against waiting past the latency goal for a lost shard, and against answering
// while there is still time to wait.
func TestCutoffAnswersShortlyBeforeTheGoal(t *testing.T) {
	is := is.New(t)
	c := Cutoff{Goal: 120 * time.Millisecond, Reserve: 14 * time.Millisecond, MinRatio: 0.89}
	is.True(!c.Sufficient(100*time.Millisecond, 9, 10))
	is.True(c.Sufficient(106*time.Millisecond, 9, 10))
	is.True(!c.Sufficient(106*time.Millisecond, 8, 10))
	is.True(c.Sufficient(500*time.Millisecond, 9, 10))
	is.True(!Cutoff{MinRatio: 0.5}.Sufficient(time.Hour, 9, 10)) // No goal.
}

// Guards against a rounding error that requires one shard too many or too few.
func TestMeetsMinRatioCountsWholeShards(t *testing.T) {
	is := is.New(t)
	c := Cutoff{MinRatio: 0.9}
	is.True(c.MeetsMinRatio(9, 10))
	is.True(!c.MeetsMinRatio(8, 10))
	is.True(!Cutoff{}.MeetsMinRatio(0, 10))
	is.True(Cutoff{MinRatio: 0.89}.MeetsMinRatio(9, 10))
	is.True(!Cutoff{MinRatio: 0.89}.MeetsMinRatio(8, 9)) // 0.888...
}
