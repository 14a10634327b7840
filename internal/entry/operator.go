package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/protocol/adminapi"
	"github.com/balsamstall/balsamstall/state/audit"
)

// Ready implements adminhttp.Entry.
func (d *Daemon) Ready() bool {
	return d.syncer.Ready() && d.engine.plan.Load() != nil && !d.engine.draining.Load() && !d.engine.core.Detached()
}

// Drain implements adminhttp.Entry.
func (d *Daemon) Drain(actor string) {
	d.audit.Record(time.Now(), audit.DrainStarted, actor, "graceful shutdown requested")
	go func() {
		if err := d.app.Stop(); err != nil {
			d.log.Error().Err(err).Msg("cannot stop")
		}
	}()
}

// Audit implements adminhttp.Entry. It returns an adminapi.Audit.
func (d *Daemon) Audit() any {
	events := d.audit.Events()
	trail := adminapi.Audit{Events: make([]adminapi.Event, len(events))}
	for i, e := range events {
		trail.Events[i] = adminapi.Event{Time: e.Time, Sequence: e.Sequence, Kind: string(e.Kind), Actor: e.Actor, Detail: e.Detail}
	}
	return trail
}

// Status implements adminhttp.Entry. It returns an adminapi.Status.
func (d *Daemon) Status() any {
	report := adminapi.Status{
		ID:          d.self.Entry,
		Zone:        d.self.Zone,
		Incarnation: d.self.Incarnation.String(),
		Ready:       d.Ready(),
		Draining:    d.engine.draining.Load(),
		PolicyMode:  d.settings.PolicyMode,
		Peers:       []adminapi.Peer{},
	}
	for _, m := range d.syncer.Members() {
		report.Peers = append(report.Peers, adminapi.Peer{ID: m.Entry, Zone: m.Zone, Address: m.Address, Alive: m.Alive, Incarnation: m.Incarnation.String()})
	}
	d.engine.fillStatus(&report)
	return report
}

// fillStatus adds the documents' revisions, the services and the targets to a status report.
func (e *Engine) fillStatus(report *adminapi.Status) {
	report.Services, report.Targets = []adminapi.Service{}, []adminapi.Target{}
	p := e.plan.Load()
	if p == nil {
		return
	}
	report.SheetRevision, report.IndexRevision = p.sheetRevision, p.indexRevision
	for name := range p.services {
		row := adminapi.Service{Name: name}
		e.core.DescribeService(name, &row)
		row.Answered, row.Refused = e.metrics.serviceCounts(name)
		report.Services = append(report.Services, row)
	}
	for id, t := range p.targets {
		row := adminapi.Target{ID: id, Zone: t.Zone, Leaving: e.core.IsLeaving(id), OpenConnections: e.targets.Connections(id)}
		e.core.DescribeTarget(id, &row)
		report.Targets = append(report.Targets, row)
	}
	slices.SortFunc(report.Services, func(a, b adminapi.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(report.Targets, func(a, b adminapi.Target) int { return cmp.Compare(a.ID, b.ID) })
}
