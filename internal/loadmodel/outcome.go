package loadmodel

import (
	"fmt"
	"sync"
)

// Weights of the credit; see Outcome.Credit.
const (
	retryGoalCredit        = 0.55
	lateCredit             = 0.1
	repeatedRefusalPenalty = 0.3
)

// Outcome counts the outcomes of the callers of one kind.
type Outcome struct {
	// Callers is the number of callers.
	Callers int `json:"asked"`
	// WithinGoal counts the answers within the latency goal since the first call, and
	// RetriedWithinGoal those of them whose caller was refused once. WithinRetryGoal counts the
	// later answers that came within the goal since the second call, after an early refusal. Late
	// counts all other answers.
	WithinGoal        int `json:"in_aim"`
	RetriedWithinGoal int `json:"back"`
	WithinRetryGoal   int `json:"second"`
	Late              int `json:"late"`
	// Refused counts the callers whose last call was refused, Failed those that got neither an
	// answer nor a refusal.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Credit is the value of the outcomes to the callers: the squared coverage of an answer within
	// the goal, 0.55 of it within the goal of the second call, 0.1 of it for a late answer, and
	// -0.3 for a caller that was told to retry and is refused again.
	Credit float64 `json:"credit"`
	// SquaredCoverage is the sum of the squared coverage of all answers, late ones included.
	SquaredCoverage float64 `json:"squared_coverage"`
}

// Add adds the counts of another run.
func (o *Outcome) Add(p *Outcome) {
	o.Callers, o.WithinGoal, o.RetriedWithinGoal, o.WithinRetryGoal = o.Callers+p.Callers, o.WithinGoal+p.WithinGoal, o.RetriedWithinGoal+p.RetriedWithinGoal, o.WithinRetryGoal+p.WithinRetryGoal
	o.Late, o.Refused, o.Failed = o.Late+p.Late, o.Refused+p.Refused, o.Failed+p.Failed
	o.Credit, o.SquaredCoverage = o.Credit+p.Credit, o.SquaredCoverage+p.SquaredCoverage
}

// String returns each count as a fraction of the callers, the credit per caller, and the mean squared
// coverage of the answers.
func (o *Outcome) String() string {
	n := float64(max(o.Callers, 1))
	answers := float64(max(o.WithinGoal+o.WithinRetryGoal+o.Late, 1))
	return fmt.Sprintf("in aim %.3f, second %.3f, late %.3f, refused %.3f, failed %.3f, credit %.3f, squared coverage %.3f",
		float64(o.WithinGoal)/n, float64(o.WithinRetryGoal)/n, float64(o.Late)/n, float64(o.Refused)/n, float64(o.Failed)/n, o.Credit/n, o.SquaredCoverage/answers)
}

// callOutcome is the outcome of a caller's last call.
type callOutcome struct {
	refused, failed bool
	// coverage is the fraction of the shards in the answer.
	coverage float64
	// withinGoal and withinRetryGoal report whether the answer came within the goal of the first
	// and of the second call, retried whether the caller was refused once.
	withinGoal, withinRetryGoal, retried bool
}

func (o *Outcome) count(c callOutcome) {
	o.Callers++
	credit := c.coverage * c.coverage
	o.SquaredCoverage += credit // Zero without an answer.
	switch {
	case c.refused:
		o.Refused++
		o.Credit -= repeatedRefusalPenalty
	case c.failed:
		o.Failed++
	case c.withinGoal:
		o.WithinGoal++
		o.Credit += credit
		if c.retried {
			o.RetriedWithinGoal++
		}
	case c.withinRetryGoal:
		o.WithinRetryGoal++
		o.Credit += retryGoalCredit * credit
	default:
		o.Late++
		o.Credit += lateCredit * credit
	}
}

// Result is the result of a simulated load.
type Result struct {
	// Targets maps each TargetName to its target.
	Targets map[string]*Target
	// ShardsLeftOut counts the sub-requests that were not sent because other requests needed their
	// shard.
	ShardsLeftOut int64

	mu sync.Mutex
	// kinds is guarded by mu during the simulation.
	kinds map[string]*Outcome
}

// Kind returns the outcome of the callers of a kind. The callers of Load.ReturningRate are counted
// under ReturningKind.
func (r *Result) Kind(name string) *Outcome { return r.kinds[name] }

func (r *Result) count(kind string, c callOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[kind].count(c)
}
