package loadmodel

import (
	"fmt"
	"sync"
)

// Parts of the credit; see Outcome.Credit.
const (
	secondCredit = 0.55
	lateCredit   = 0.1
	againLoss    = 0.3
)

// Outcome counts what the callers of one kind got.
type Outcome struct {
	Asked int `json:"asked"`
	// InAim counts the answers within the goal of the first call, and Back those of them
	// whose caller was refused once. Second counts answers within the goal of the second
	// call, Late the others.
	InAim  int `json:"in_aim"`
	Back   int `json:"back"`
	Second int `json:"second"`
	Late   int `json:"late"`
	// Refused counts callers whose last call was refused, Failed those that got neither.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Credit weighs them by their use to a caller: the squared share of the shards for an
	// answer in aim, 0.55 of it for one in the aim of the second call, 0.1 for a late one,
	// and a loss of 0.3 for callers who were told to return and are refused again.
	Credit float64 `json:"credit"`
}

// Add joins the counts of another run.
func (o *Outcome) Add(p *Outcome) {
	o.Asked, o.InAim, o.Back, o.Second = o.Asked+p.Asked, o.InAim+p.InAim, o.Back+p.Back, o.Second+p.Second
	o.Late, o.Refused, o.Failed = o.Late+p.Late, o.Refused+p.Refused, o.Failed+p.Failed
	o.Credit += p.Credit
}

// String returns the parts of the callers.
func (o *Outcome) String() string {
	n := float64(max(o.Asked, 1))
	return fmt.Sprintf("in aim %.3f, second %.3f, late %.3f, refused %.3f, failed %.3f, credit %.3f",
		float64(o.InAim)/n, float64(o.Second)/n, float64(o.Late)/n, float64(o.Refused)/n, float64(o.Failed)/n, o.Credit/n)
}

// end is how one caller's last call ended.
type end struct {
	refused, failed bool
	// share is the part of the shards in the answer.
	share float64
	// inAim and second tell whether it came within the goal of the first and of the second
	// call; back that the caller was refused once.
	inAim, second, back bool
}

func (o *Outcome) count(e end) {
	o.Asked++
	worth := e.share * e.share
	switch {
	case e.refused:
		o.Refused++
		o.Credit -= againLoss
	case e.failed:
		o.Failed++
	case e.inAim:
		o.InAim++
		o.Credit += worth
		if e.back {
			o.Back++
		}
	case e.second:
		o.Second++
		o.Credit += secondCredit * worth
	default:
		o.Late++
		o.Credit += lateCredit * worth
	}
}

// Result is what a played load came to.
type Result struct {
	// Targets holds the targets by "shard-replica", both from 0.
	Targets map[string]*Target

	mu sync.Mutex
	// kinds is guarded by mu while the load is played.
	kinds map[string]*Outcome
}

// Kind returns the outcome of the callers of a kind. Those of Load.Returning are the kind
// Returning.
func (r *Result) Kind(name string) *Outcome { return r.kinds[name] }

func (r *Result) count(kind string, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[kind].count(e)
}
