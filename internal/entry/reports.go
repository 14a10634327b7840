package entry

import (
	"context"
	"github.com/balsamstall/balsamstall/internal/engine"
	"math/rand/v2"
	"time"
)

const (
	// reportInterval is the time in which every target's report is read once.
	// Reports only make a target look worse and expire after 5 s.
	reportInterval = 2 * time.Second
	// reportTimeout bounds the read of one report.
	reportTimeout = 500 * time.Millisecond
)

// pollReports reads the reports of the targets that did not reply lately until ctx
// ends. It spreads the reads evenly over the interval, so that they are no burst.
func (e *Engine) pollReports(ctx context.Context) {
	for ctx.Err() == nil {
		var ids []string
		if p := e.plan.Load(); p != nil {
			for id := range p.targets {
				ids = append(ids, id)
			}
		}
		if len(ids) == 0 {
			sleep(ctx, reportInterval)
		}
		gap := reportInterval / time.Duration(max(len(ids), 1))
		for _, id := range ids {
			// A target that just replied is known better than its report tells.
			if !e.core.RepliedWithin(id, reportInterval) {
				go e.readReport(ctx, id)
			}
			sleep(ctx, gap/2+time.Duration(rand.Int64N(int64(gap))))
		}
	}
}

func (e *Engine) readReport(ctx context.Context, target string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := e.targets.Status(ctx, target)
	if err != nil {
		return // The attempts themselves tell whether the target works.
	}
	e.core.RecordTargetStatus(target, report)
	if report.Draining {
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
