package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/state/audit"
)

// statusReport is the JSON body of /status.
type statusReport struct {
	ID            string          `json:"id"`
	Zone          string          `json:"zone"`
	Incarnation   string          `json:"incarnation"`
	Ready         bool            `json:"ready"`
	Draining      bool            `json:"draining"`
	SheetRevision uint64          `json:"sheet_revision"`
	IndexRevision uint64          `json:"index_revision"`
	PolicyMode    string          `json:"policy_mode"`
	Peers         []peerReport    `json:"peers"`
	Services      []serviceReport `json:"services"`
	Targets       []targetReport  `json:"targets"`
}

type peerReport struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Alive       bool   `json:"alive"`
	Incarnation string `json:"incarnation"`
}

type serviceReport struct {
	Name     string `json:"name"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"`
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
}

type targetReport struct {
	ID       string  `json:"id"`
	Zone     string  `json:"zone"`
	InFlight int     `json:"in_flight"`
	EWMAMS   float64 `json:"ewma_ms"`
	Leaving  bool    `json:"leaving"`
	Open     int     `json:"open_connections"`
}

// Ready implements adminhttp.Operator.
func (d *Daemon) Ready() bool {
	return d.syncer.Ready() && d.engine.plan.Load() != nil && !d.engine.draining.Load()
}

// Drain implements adminhttp.Operator.
func (d *Daemon) Drain(actor string) {
	d.audit.Record(time.Now(), audit.DrainStarted, actor, "planned stop requested")
	go func() {
		if err := d.app.Stop(); err != nil {
			d.log.Error().Err(err).Msg("stopping failed")
		}
	}()
}

// auditReport is the JSON body of /audit.
type auditReport struct {
	Events []audit.Event `json:"events"`
}

// Audit implements adminhttp.Operator.
func (d *Daemon) Audit() any { return auditReport{Events: d.audit.Events()} }

// Status implements adminhttp.Operator.
func (d *Daemon) Status() any {
	report := statusReport{
		ID:          d.self.Entry,
		Zone:        d.self.Zone,
		Incarnation: d.self.Incarnation.String(),
		Ready:       d.Ready(),
		Draining:    d.engine.draining.Load(),
		PolicyMode:  d.settings.PolicyMode,
		Peers:       []peerReport{},
	}
	for _, m := range d.syncer.Members() {
		report.Peers = append(report.Peers, peerReport{ID: m.Entry, Zone: m.Zone, Address: m.Address, Alive: m.Alive, Incarnation: m.Incarnation.String()})
	}
	d.engine.fill(&report)
	return report
}

// fill adds what the engine knows.
func (e *Engine) fill(report *statusReport) {
	report.Services, report.Targets = []serviceReport{}, []targetReport{}
	p := e.plan.Load()
	if p == nil {
		return
	}
	report.SheetRevision, report.IndexRevision = p.revision, p.indexRevision
	for name := range p.services {
		row := serviceReport{Name: name}
		e.policy.describeService(name, &row)
		row.Answered, row.Refused = e.metrics.service(name)
		report.Services = append(report.Services, row)
	}
	for id, t := range p.targets {
		row := targetReport{ID: id, Zone: t.Zone, Leaving: e.leaving.has(id, e.self.clock()), Open: e.targets.Connections(id)}
		e.policy.describeTarget(id, &row)
		report.Targets = append(report.Targets, row)
	}
	slices.SortFunc(report.Services, func(a, b serviceReport) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(report.Targets, func(a, b targetReport) int { return cmp.Compare(a.ID, b.ID) })
}

func (*baseline) describeService(string, *serviceReport) {}
func (*baseline) describeTarget(string, *targetReport)   {}

func (l *loaded) describeService(name string, row *serviceReport) {
	s := l.service(name)
	if s == nil {
		return
	}
	l.admitMu.Lock()
	defer l.admitMu.Unlock()
	row.InFlight, row.Queued, row.Limit = s.admission.InFlight(), s.admission.Waiting(), s.admission.Limit()
}

func (l *loaded) describeTarget(id string, row *targetReport) {
	cell := l.targets.Get(id)
	if cell == nil {
		return
	}
	state := cell.Lock()
	defer cell.Unlock()
	row.InFlight = state.stats.InFlight()
	row.EWMAMS = float64(state.stats.Latency(l.now()).Microseconds()) / 1_000
}
