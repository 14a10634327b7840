package coverage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an answer that waits past the goal for a lost shard, and one that
// leaves early while the goal still allows to wait.
func TestCutoffAnswersShortlyBeforeTheGoal(t *testing.T) {
	is := is.New(t)
	c := Cutoff{Goal: 120 * time.Millisecond, Reserve: 14 * time.Millisecond, MinRatio: 0.89}
	is.True(!c.Sufficient(100*time.Millisecond, 9, 10))
	is.True(c.Sufficient(106*time.Millisecond, 9, 10))
	is.True(!c.Sufficient(106*time.Millisecond, 8, 10))
	is.True(c.Sufficient(500*time.Millisecond, 9, 10))
	is.True(!Cutoff{MinRatio: 0.5}.Sufficient(time.Hour, 9, 10)) // No goal.
}

// Guards against a rounding error that asks for one shard too many or too few.
func TestMeetsCountsWholeShards(t *testing.T) {
	is := is.New(t)
	c := Cutoff{MinRatio: 0.9}
	is.True(c.Meets(9, 10))
	is.True(!c.Meets(8, 10))
	is.True(!Cutoff{}.Meets(0, 10))
	is.True(Cutoff{MinRatio: 0.89}.Meets(9, 10))
	is.True(!Cutoff{MinRatio: 0.89}.Meets(8, 9)) // 0.888...
}
