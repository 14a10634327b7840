package entry

import (
	"context"
	"github.com/balsamstall/balsamstall/internal/engine"
	"math/rand/v2"
	"time"
)

const (
	// statusPollInterval is the time in which the status of every target is read once. A status
	// can only raise the cost of a target, and expires after 5 s.
	statusPollInterval = 2 * time.Second
	// statusTimeout limits the read of one status.
	statusTimeout = 500 * time.Millisecond
)

// pollStatuses reads the status of the targets that have not replied recently, until ctx ends. It
// spreads the reads over the interval to avoid bursts.
func (e *Engine) pollStatuses(ctx context.Context) {
	for ctx.Err() == nil {
		var ids []string
		if p := e.plan.Load(); p != nil {
			for id := range p.targets {
				ids = append(ids, id)
			}
		}
		if len(ids) == 0 {
			sleep(ctx, statusPollInterval)
		}
		gap := statusPollInterval / time.Duration(max(len(ids), 1))
		for _, id := range ids {
			// A recent reply tells more about a target than its status.
			if !e.core.RepliedWithin(id, statusPollInterval) {
				go e.readStatus(ctx, id)
			}
			sleep(ctx, gap/2+time.Duration(rand.Int64N(int64(gap))))
		}
	}
}

func (e *Engine) readStatus(ctx context.Context, target string) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reported, err := e.targets.Status(ctx, target)
	if err != nil {
		return // Whether the target works is known from the attempts themselves.
	}
	e.core.RecordTargetStatus(target, reported)
	if reported.Draining {
		e.core.MarkLeaving(target, engine.LeavingPeriod)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
