package engine

import (
	"github.com/balsamstall/balsamstall/coordination/replica"
	"github.com/balsamstall/balsamstall/protocol/loadreport"
)

// RecordLoad records the load that a target reported in a reply, or counts an invalid report.
func (e *Engine) RecordLoad(target string, r loadreport.Report, invalid error) {
	if invalid != nil {
		e.metrics.LoadReports.Add("invalid", 1)
		return
	}
	e.metrics.LoadReports.Add("valid", 1)
	e.policy.recordLoad(target, replica.LoadReport{Waiting: r.Waiting, Slots: r.Slots, Pace: r.Pace / loadreport.UsualPace})
}

func (l *loadPolicy) recordLoad(target string, r replica.LoadReport) {
	record := l.targets.Get(target)
	if record == nil {
		return
	}
	defer record.Unlock()
	record.Lock().stats.RecordLoad(l.now(), r)
}
