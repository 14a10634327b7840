package engine

import (
	"context"
	"time"

	"github.com/balsamstall/balsamstall/coordination/admission"
	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// admit implements policy.
func (l *loadPolicy) admit(ctx context.Context, req *Request) (func(admission.Result), error) {
	if req.SkipAdmission {
		return func(admission.Result) {}, nil
	}
	s := l.service(req.Service)
	if s == nil {
		return nil, status.New(status.Unavailable, status.NotRun, "service %s was removed", req.Service)
	}
	ticket := &admission.Ticket{}
	decided := make(chan admission.Decision, 1)
	ticket.Owner = decided
	// A request that is admitted after the contracted latency would take the place of one that can
	// still be answered in time.
	deadline := l.now() + min(time.Until(req.Deadline), req.Contract.Latency)

	l.admitMu.Lock()
	decision := l.admission.Submit(l.now(), globalRand{}, s.admission, deadline, ticket)
	l.deliverDecisions()
	l.admitMu.Unlock()
	if decision.Verdict == admission.Wait {
		decision = l.awaitAdmission(ctx, ticket, decided, decision.WaitUntil)
	}
	if decision.Verdict != admission.Admit {
		return nil, refusedAdmission(decision)
	}
	return func(result admission.Result) {
		l.admitMu.Lock()
		defer l.admitMu.Unlock()
		l.admission.Release(l.now(), ticket, result)
		l.deliverDecisions()
	}, nil
}

// deliverDecisions sends decisions to waiting requests. The caller must hold admitMu.
func (l *loadPolicy) deliverDecisions() {
	for {
		ticket, decision := l.admission.Next(l.now(), globalRand{})
		if ticket == nil {
			return
		}
		ticket.Owner.(chan admission.Decision) <- decision
	}
}

// awaitAdmission waits for the decision on a queued request.
func (l *loadPolicy) awaitAdmission(ctx context.Context, ticket *admission.Ticket, decided chan admission.Decision, until time.Duration) admission.Decision {
	timer := time.NewTimer(until - l.now())
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	l.admitMu.Lock()
	d, ok := l.admission.Expire(l.now(), globalRand{}, ticket)
	l.deliverDecisions()
	l.admitMu.Unlock()
	if ok {
		return d
	}
	return <-decided
}

func refusedAdmission(d admission.Decision) error {
	return status.New(status.Overloaded, status.NotRun, "the service is overloaded: %s", d.Reason).WithRetryAfter(d.RetryAfter)
}

// loadResult classifies the end of a request for admission control.
func loadResult(missing []callerapi.Reason, err error) admission.Result {
	switch status.CodeOf(err) {
	case "":
		return coverageResult(missing)
	case status.Shed, status.Overloaded:
		return admission.Shed
	case status.DeadlineExceeded:
		return admission.DeadlineExceeded
	}
	return admission.Abandoned
}

// coverageResult classifies an answer by whether shards are missing because of load.
func coverageResult(missing []callerapi.Reason) admission.Result {
	result := admission.Finished
	for _, reason := range missing {
		switch reason {
		case callerapi.ReasonShed:
			return admission.Shed
		case callerapi.ReasonDeadline:
			result = admission.DeadlineExceeded
		}
	}
	return result
}
