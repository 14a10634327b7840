// Package history records the uses of permits and the runs on targets, and
// checks with porcupine that they agree with the promises about at-most-once
// requests: a permit runs at most once, an answer Done carries the result of
// that run, and an answer NotRun is true for its use.
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

// Answer is what a caller got for one use of a permit.
type Answer struct {
	Outcome status.Outcome
	// Result is the result of the run, set with Done.
	Result string
	// Final is set with NotRun when a fresh permit came with it. The caller
	// sends the request again with that permit, so the old one must never run.
	Final bool
}

// operation is the input of every porcupine operation: a use of a permit by a
// caller, or a run on a target.
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
	// closed is set when a caller was told that the permit never runs.
	closed bool
	// notRun lists the uses whose callers were told that they did not run.
	notRun string
}

const useSeparator = "\x00"

func step(before, input, output any) (bool, any) {
	s, op := before.(state), input.(operation)
	if op.run {
		refused := slices.Contains(strings.Split(s.notRun, useSeparator), op.use)
		if s.ran || s.closed || refused {
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
		slices.Sort(uses) // The order of the answers makes no difference to the state.
		s.notRun, s.closed = strings.Join(uses, useSeparator), s.closed || answer.Final
		return true, s
	case status.Unknown:
		return true, s
	default:
		return false, s
	}
}

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	index := map[string]int{}
	var parts [][]porcupine.Operation
	for _, op := range history {
		permit := op.Input.(operation).permit
		i, ok := index[permit]
		if !ok {
			i = len(parts)
			index[permit] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

var model = porcupine.Model{
	Partition: partition,
	Init:      func() any { return state{} },
	Step:      step,
}

// Recorder collects a history. It is safe for concurrent use. Times are numbers
// from a counter, which orders operations as they happened.
type Recorder struct {
	mu sync.Mutex
	// clock and operations are guarded by mu.
	clock      int64
	operations []porcupine.Operation
}

func (r *Recorder) tick() int64 {
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

// Use records that a caller presents a permit in a request with the id use. The
// caller calls the returned function with the answer.
func (r *Recorder) Use(permit, use string) func(Answer) {
	op := porcupine.Operation{Input: operation{permit: permit, use: use}, Call: r.tick()}
	return func(a Answer) {
		op.Output = a
		r.add(op)
	}
}

// Run records that a target ran the request with the id use under a permit. It
// must be called before the target replies.
func (r *Recorder) Run(permit, use, result string) {
	r.add(porcupine.Operation{Input: operation{permit: permit, use: use, run: true, result: result}, Call: r.tick()})
}

// Len returns the number of operations recorded.
func (r *Recorder) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.operations)
}

// Check returns nil when the history agrees with the promises, and otherwise a
// *status.Error with the code Internal that lists the operations of the permits
// that violate them. A use without an answer is left out, like one that is Unknown.
func (r *Recorder) Check() error {
	r.mu.Lock()
	history := slices.Clone(r.operations)
	r.mu.Unlock()
	var faults []string
	for _, part := range partition(history) {
		if porcupine.CheckOperations(model, part) {
			continue
		}
		slices.SortFunc(part, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
		for _, op := range part {
			faults = append(faults, fmt.Sprintf("%d-%d %+v %+v", op.Call, op.Return, op.Input, op.Output))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return status.New(status.Internal, "", "history violates at-most-once:\n%s", strings.Join(faults, "\n"))
}
