// Package history records uses of permits and runs on targets, and checks with porcupine that they
// satisfy the guarantees for at-most-once requests: a permit runs at most once, an answer Done
// carries the result of that run, and an answer NotRun means that its use did not run.
package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/anishathalye/porcupine"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Answer is the answer to one use of a permit.
type Answer struct {
	Outcome status.Outcome
	// Result is the result of the run. It is set with Done.
	Result string
	// Final is set with NotRun if the answer carries a new permit. The caller repeats the request
	// with the new permit, so the old one must never run.
	Final bool
}

// operation is the input of a porcupine operation: a use of a permit by a caller, or a run on a
// target.
type operation struct {
	permit, use string
	run         bool
	// result is set for a run.
	result string
}

// state is the model's state of one permit. It is comparable.
type state struct {
	ran    bool
	result string
	// final is set once a caller was told that the permit never runs.
	final bool
	// notRun lists the uses whose callers were told that they did not run.
	notRun string
}

const useSeparator = "\x00"

func step(before, input, output any) (bool, any) {
	s, op := before.(state), input.(operation)
	if op.run {
		refused := slices.Contains(strings.Split(s.notRun, useSeparator), op.use)
		if s.ran || s.final || refused {
			return false, s
		}
		s.ran, s.result = true, op.result
		return true, s
	}
	answer := output.(Answer)
	switch answer.Outcome {
	case status.Done:
		return s.ran && s.result == answer.Result, s
	case status.NotRun:
		if s.ran {
			return false, s
		}
		uses := append(strings.Split(s.notRun, useSeparator), op.use)
		slices.Sort(uses) // The order of the answers does not matter.
		s.notRun, s.final = strings.Join(uses, useSeparator), s.final || answer.Final
		return true, s
	case status.Unknown:
		return true, s
	default:
		return false, s
	}
}

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	index := map[string]int{}
	var partitions [][]porcupine.Operation
	for _, op := range history {
		permit := op.Input.(operation).permit
		i, ok := index[permit]
		if !ok {
			i = len(partitions)
			index[permit] = i
			partitions = append(partitions, nil)
		}
		partitions[i] = append(partitions[i], op)
	}
	return partitions
}

var model = porcupine.Model{
	Partition: partition,
	Init:      func() any { return state{} },
	Step:      step,
}

// Recorder records a history. It is safe for concurrent use. Times are values of a counter, which
// orders the operations as they happened.
type Recorder struct {
	mu sync.Mutex
	// clock and operations are guarded by mu.
	clock      int64
	operations []porcupine.Operation
}

func (r *Recorder) nextTime() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

func (r *Recorder) add(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	op.Return = r.clock
	r.operations = append(r.operations, op)
}

// Use records that a caller presents a permit in a request with the id use. The returned function
// must be called with the answer.
func (r *Recorder) Use(permit, use string) func(Answer) {
	op := porcupine.Operation{Input: operation{permit: permit, use: use}, Call: r.nextTime()}
	return func(a Answer) {
		op.Output = a
		r.add(op)
	}
}

// Run records that a target ran the request with the id use under a permit. It must be called before
// the target replies.
func (r *Recorder) Run(permit, use, result string) {
	r.add(porcupine.Operation{Input: operation{permit: permit, use: use, run: true, result: result}, Call: r.nextTime()})
}

// Len returns the number of operations recorded.
func (r *Recorder) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.operations)
}

// Check returns nil if the history satisfies the guarantees, and otherwise a *status.Error with the
// code Internal that lists all operations of the permits that violate them. A use without an answer
// is left out, which is equivalent to the answer Unknown.
func (r *Recorder) Check() error {
	r.mu.Lock()
	history := slices.Clone(r.operations)
	r.mu.Unlock()
	var violations []string
	for _, part := range partition(history) {
		if porcupine.CheckOperations(model, part) {
			continue
		}
		slices.SortFunc(part, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
		for _, op := range part {
			violations = append(violations, fmt.Sprintf("%d-%d %+v %+v", op.Call, op.Return, op.Input, op.Output))
		}
	}
	if len(violations) == 0 {
		return nil
	}
	return status.New(status.Internal, "", "history violates at-most-once:\n%s", strings.Join(violations, "\n"))
}
