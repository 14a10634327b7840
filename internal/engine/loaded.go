package engine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/admission"
	"github.com/balsamstall/balsamstall/coordination/failing"
	"github.com/balsamstall/balsamstall/coordination/hedge"
	"github.com/balsamstall/balsamstall/coordination/rampup"
	"github.com/balsamstall/balsamstall/coordination/replica"
	"github.com/balsamstall/balsamstall/coordination/retrybudget"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/state/targets"
)

const (
	// maxReplicas bounds the replicas of a shard that pick considers.
	maxReplicas = 16
	// silentFactor and silentFloor set the time after which a connection may
	// count as silent, as a multiple of the hedge delay. With four times and three
	// later replies as evidence, half of all connections going silent cost 0.6% of
	// the coverage; with twice and one later reply 0.1%.
	silentFactor = 2
	silentFloor  = 40 * time.Millisecond
	// latencyMargin is the factor from the hedge delay of a sub-request to the
	// expected latency of a whole query.
	latencyMargin = 2
)

// loaded is the policy with all load policies.
type loaded struct {
	self     Identity
	notices  *notices
	failing  *failingSet
	zones    *zoneSet
	settings *replica.Settings
	ramp     rampup.Settings
	targets  targets.Table[targetState]
	services atomic.Pointer[map[string]*serviceState]
	pools    atomic.Pointer[map[string]*poolState]

	admitMu sync.Mutex
	// admission is guarded by admitMu.
	admission *admission.Controller
}

type targetCell = targets.Record[targetState]

// targetState is what this entry knows of one target.
type targetState struct {
	stats *replica.Stats
	zone  string
	local bool
	// failed is set from a failure to the next reply.
	failed bool
	// coldSince is the time at which the target turned cold.
	coldSince time.Duration
	// replied and repliedAt tell the time of the last reply to an attempt.
	replied   bool
	repliedAt time.Duration
	// refusedUntil is the time until which the target counts as down after it refused a
	// connection.
	refusedUntil time.Duration
}

// serviceState is what this entry knows of one service.
type serviceState struct {
	mu sync.Mutex
	// hedges is guarded by mu.
	hedges *hedge.Tracker
	// retries is guarded by mu.
	retries *retrybudget.Budget
	// admission is guarded by loaded.admitMu.
	admission *admission.Service
}

func newLoaded(self Identity, notices *notices, failing *failingSet, zones *zoneSet) *loaded {
	return &loaded{
		self:      self,
		notices:   notices,
		failing:   failing,
		zones:     zones,
		settings:  replica.DefaultSettings(),
		ramp:      rampup.DefaultSettings(),
		admission: admission.New(admissionSettings()),
	}
}

func (l *loaded) now() time.Duration { return l.self.Clock() }

func (l *loaded) setCatalogue(c *Catalogue) {
	l.setTargets(c.Targets)
	l.setPools(c)
	now := l.now()
	old := l.services.Load()
	if old == nil {
		old = &map[string]*serviceState{}
	}
	next := make(map[string]*serviceState, len(c.Services))
	l.admitMu.Lock()
	defer l.admitMu.Unlock()
	l.admission.SetMaxLimit(float64(maxEntryConcurrency(c)))
	for i := range c.Services {
		svc := &c.Services[i]
		state := (*old)[svc.Name]
		if state == nil {
			state = &serviceState{
				hedges:  hedge.New(hedgeSettings(), now),
				retries: retrybudget.New(retrybudget.DefaultSettings(), now),
			}
		}
		state.mu.Lock()
		state.hedges.SetBudgetRatio(svc.HedgeRatio)
		state.mu.Unlock()
		state.admission = l.admission.SetService(svc.Name, admission.ServiceConfig{
			Priority:       svc.Priority,
			MaxConcurrency: maxConcurrency(svc, c.Entries),
			MaxQueue:       svc.MaxQueue,
		})
		next[svc.Name] = state
	}
	for name := range *old {
		if next[name] == nil {
			l.admission.RemoveService(name)
		}
	}
	l.services.Store(&next)
	l.handOut()
}

// setTargets creates the records of new targets. Targets of the first catalogue
// are taken for warm unless it says otherwise; those that are added later start
// cold.
func (l *loaded) setTargets(targets []CatalogueTarget) {
	now := l.now()
	first := l.services.Load() == nil
	ids := make([]string, len(targets))
	byID := make(map[string]*CatalogueTarget, len(targets))
	for i := range targets {
		ids[i] = targets[i].ID
		byID[ids[i]] = &targets[i]
	}
	l.targets.SetTargets(ids, func(id string) targetState {
		t := byID[id]
		cold := now
		if first {
			cold = now - l.ramp.Duration + min(t.ColdFor, l.ramp.Duration)
		}
		return targetState{
			stats:     replica.NewStats(l.settings, now),
			zone:      t.Zone,
			local:     t.Zone == l.self.Zone,
			coldSince: cold,
		}
	})
}

func (l *loaded) service(name string) *serviceState {
	if m := l.services.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// globalRand is the random source of math/rand/v2, which needs no lock.
type globalRand struct{}

func (globalRand) IntN(n int) int   { return rand.IntN(n) }
func (globalRand) Float64() float64 { return rand.Float64() }

func (l *loaded) pick(req *Request, shard int, ids, exclude []string, slow time.Duration) (string, bool, bool) {
	now := l.now()
	refusable := l.repeatsLeft(req, shard) >= refusalReserve
	var buffer [maxReplicas]replica.Candidate
	var cells [maxReplicas]*targetCell
	candidates := buffer[:0]
	// Of a large group a random part is looked at.
	first := 0
	if len(ids) > maxReplicas {
		first = rand.IntN(len(ids))
	}
	for i := range min(len(ids), maxReplicas) {
		id := ids[(first+i)%len(ids)]
		cell := l.targets.Get(id)
		candidate := replica.Candidate{
			Target:   i,
			Excluded: cell == nil || slices.Contains(exclude, id) || l.notices.closed(id, now),
		}
		if cell != nil {
			cells[i] = cell
			state := cell.Lock()
			zone := state.zone
			candidate.Local = state.local
			candidate.Weight = l.ramp.Weight(now, state.coldSince)
			cell.Unlock()
			candidate.Excluded = candidate.Excluded || l.zones.lost(zone)
		}
		candidates = append(candidates, candidate)
	}
	i, ok := replica.Pick(globalRand{}, candidates, func(target int) replica.Score {
		cell := cells[target]
		defer cell.Unlock()
		score := cell.Lock().stats.Score(now)
		if l.failing.has(ids[(first+target)%len(ids)], now) {
			score.Cost *= failing.Factor
		}
		if score.Acceptance < refusesOften {
			if refusable {
				score.Cost /= max(score.Acceptance, leastAcceptance)
			} else {
				score.Cost *= refusalFactor
			}
		}
		return score
	})
	if !ok {
		return "", false, false
	}
	stats := cells[i].Lock().stats
	weak := stats.Score(now).Held || slow > 0 && max(stats.Latency(now), stats.OldestAge(now)) > slow
	cells[i].Unlock()
	id := ids[(first+i)%len(ids)]
	return id, weak || l.failing.has(id, now), true
}

func (l *loaded) start(req *Request, shard int, target string) attemptToken {
	t := attemptToken{target: l.targets.Get(target), service: l.service(req.Service), began: l.now()}
	if len(req.Pools) > 1 {
		if t.pool = l.pool(req.Pools[shard]); t.pool != nil {
			t.useful = useful(req)
			t.pool.begin()
		}
	}
	if t.target != nil {
		t.token = t.target.Lock().stats.Start(l.now())
		t.target.Unlock()
	}
	return t
}

// refusedPeriod is the time for which a target that refused a connection counts as
// down before it is tried again for requests that need its shard.
const refusedPeriod = 250 * time.Millisecond

func (l *loaded) finish(t attemptToken, class replica.Class, refused bool) {
	now := l.now()
	if t.pool != nil {
		t.pool.end(now, now-t.began, t.useful, class)
	}
	if t.target == nil {
		return
	}
	state := t.target.Lock()
	latency, ok := state.stats.Finish(t.token, now, class)
	if class == replica.Success {
		state.replied, state.repliedAt = true, now
	}
	if refused {
		state.refusedUntil = now + refusedPeriod
	}
	switch {
	case class == replica.Failure:
		state.failed = true
	case class == replica.Success && state.failed:
		// The target came back, probably with cold caches.
		state.failed = false
		state.coldSince = now
	}
	t.target.Unlock()
	if ok && class == replica.Success && t.service != nil {
		t.service.mu.Lock()
		t.service.hedges.Observe(now, latency)
		t.service.retries.Success(1)
		t.service.mu.Unlock()
	}
}

func (l *loaded) zoneOf(target string) (string, bool) {
	cell := l.targets.Get(target)
	if cell == nil {
		return "", false
	}
	defer cell.Unlock()
	return cell.Lock().zone, true
}

func (l *loaded) targetsOf(zone string) []string {
	var ids []string
	l.targets.ForEach(func(id string, cell *targetCell) {
		state := cell.Lock()
		defer cell.Unlock()
		if state.zone == zone {
			ids = append(ids, id)
		}
	})
	return ids
}

func (l *loaded) forget(ids []string) {
	now := l.now()
	for _, id := range ids {
		if cell := l.targets.Get(id); cell != nil {
			cell.Lock().stats.Forget(now)
			cell.Unlock()
		}
	}
}

func (l *loaded) repliedWithin(target string, period time.Duration) bool {
	cell := l.targets.Get(target)
	if cell == nil {
		return false
	}
	state := cell.Lock()
	defer cell.Unlock()
	return state.replied && l.now()-state.repliedAt < period
}

func (l *loaded) report(target string, r *targetapi.Status) {
	cell := l.targets.Get(target)
	if cell == nil {
		return
	}
	defer cell.Unlock()
	cell.Lock().stats.Report(l.now(), replica.Hint{InFlight: r.InFlight, Slots: r.Slots, Unhealthy: r.Cold})
}

func (l *loaded) planned(req *Request, primaries int) {
	for _, name := range req.Pools {
		if p := l.pool(name); p != nil {
			p.mu.Lock()
			p.repeats.Request(l.now(), 1)
			p.mu.Unlock()
		}
	}
	if s := l.service(req.Service); s != nil {
		s.mu.Lock()
		s.hedges.Primary(primaries)
		s.mu.Unlock()
	}
}

// hedgePart is the part of the time to the cutoff after which a sub-request without
// a reply is sent to a second target. It leaves the second target twice the time of a
// usual reply; an earlier hedge spends repeats on replies that are under way.
const hedgePart = 0.6

func (l *loaded) hedgeDelay(req *Request) (time.Duration, bool) {
	delay, ok := l.usualDelay(req.Service)
	if at, limited := req.Contract.Cutoff.At(); limited {
		delay = min(delay, time.Duration(hedgePart*float64(at)))
	}
	return delay, ok
}

// usualDelay returns the hedge delay that the recent latency of a service suggests.
func (l *loaded) usualDelay(service string) (time.Duration, bool) {
	s := l.service(service)
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedges.Delay(l.now()), true
}

func (l *loaded) hedge(req *Request, shard int, p hedge.Progress) hedge.Decision {
	if req.Pools != nil {
		if l.allowRetry(req, shard) {
			return hedge.Decision{Verdict: hedge.Send}
		}
		return hedge.Decision{Verdict: hedge.Exhausted, Wait: p.Age}
	}
	s := l.service(req.Service)
	if s == nil {
		return hedge.Decision{Verdict: hedge.Off}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedges.Decide(l.now(), p)
}

func (l *loaded) silentAfter(service string) time.Duration {
	delay, _ := l.usualDelay(service)
	return max(silentFactor*delay, silentFloor)
}

func (l *loaded) expectedLatency(service string) time.Duration {
	delay, _ := l.usualDelay(service)
	return latencyMargin * delay
}

func (l *loaded) describeService(name string, row *adminapi.Service) {
	s := l.service(name)
	if s == nil {
		return
	}
	l.admitMu.Lock()
	defer l.admitMu.Unlock()
	row.InFlight, row.Queued, row.Limit = s.admission.InFlight(), s.admission.Waiting(), s.admission.Limit()
}

func (l *loaded) describeTarget(id string, row *adminapi.Target) {
	cell := l.targets.Get(id)
	if cell == nil {
		return
	}
	state := cell.Lock()
	defer cell.Unlock()
	row.InFlight = state.stats.InFlight()
	row.EWMAMS = float64(state.stats.Latency(l.now()).Microseconds()) / 1_000
}
