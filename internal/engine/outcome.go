package engine

import (
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// maxOutcomeWait is the time for which a failed query waits for the results of its canceled attempts.
// They report at once, except on a busy machine. Past the deadline of the attempts it exceeds
// answerMargin by 1 ms, which the callers' margin of 10 ms for the network covers.
const maxOutcomeWait = answerMargin + time.Millisecond

// finalOutcome cancels the attempts that have no result yet and returns the combined outcome of all
// attempts. It is NotRun only if every attempt has reported NotRun: an attempt without a result may
// have reached its target, or may still do so.
func (q *query) finalOutcome() status.Outcome {
	for i := range q.subs {
		q.subs[i].cancel()
	}
	timeout := time.NewTimer(maxOutcomeWait)
	defer timeout.Stop()
	for q.attemptsOutcome == status.NotRun && q.outstanding() > 0 {
		select {
		case r := <-q.results:
			s := &q.subs[r.sub]
			s.outstanding--
			q.trace.recordEnd(s.shard, r.run.Target, r.err)
			q.recordOutcome(r.err)
		case <-timeout.C:
			q.attemptsOutcome = status.Unknown
		}
	}
	return q.attemptsOutcome
}

// recordOutcome adds the result of an attempt to the combined outcome.
func (q *query) recordOutcome(err error) {
	if err == nil || status.From(err).Outcome != status.NotRun {
		q.attemptsOutcome = status.Unknown
	}
}

// outstanding returns the number of attempts of the current plan without a result.
func (q *query) outstanding() int {
	n := 0
	for i := range q.subs {
		n += q.subs[i].outstanding
	}
	return n
}
