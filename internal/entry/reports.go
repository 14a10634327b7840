package entry

import (
	"context"
	"github.com/balsamstall/balsamstall/internal/engine"
	"math/rand/v2"
	"time"
)

const (
	// reportInterval is the time in which the report of every target is read once. Reports only
	// ever worsen the rating of a target, and expire after 5 s.
	reportInterval = 2 * time.Second
	// reportTimeout limits the read of one report.
	reportTimeout = 500 * time.Millisecond
)

// pollReports reads the reports of the targets that have not replied recently, until ctx ends. It
// spreads the reads over the interval to avoid bursts.
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
			// A recent reply tells more about a target than its report.
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
		return // Whether the target works is known from the attempts themselves.
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
