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
	"github.com/balsamstall/balsamstall/coordination/shardroom"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
	"github.com/balsamstall/balsamstall/protocol/targetapi"
	"github.com/balsamstall/balsamstall/state/targets"
)

const (
	// maxReplicas limits the number of replicas of a shard that pick considers.
	maxReplicas = 16
	// A connection may count as silent after silentAfterFactor times the hedge delay, but not before
	// minSilentAfter. When half of all connections went silent, a factor of 4 with 3 later replies
	// on other connections as evidence cost 0.6% of the coverage; a factor of 2 with 1 later reply
	// cost 0.1%.
	silentAfterFactor = 2
	minSilentAfter    = 40 * time.Millisecond
	// expectedLatencyFactor is the ratio of the expected latency of a whole query to the hedge delay
	// of a sub-request.
	expectedLatencyFactor = 2
)

// loadPolicy is the policy with all load policies on.
type loadPolicy struct {
	self         Identity
	restrictions *restrictions
	failing      *failingSet
	settings     *replica.Settings
	ramp         rampup.Settings
	// shardRoom configures the decisions about contended shards.
	shardRoom shardroom.Settings
	targets   targets.Table[targetState]
	services  atomic.Pointer[map[string]*serviceState]
	groups    atomic.Pointer[map[string]*groupState]

	admitMu sync.Mutex
	// admission is guarded by admitMu.
	admission *admission.Controller
}

type targetRecord = targets.Record[targetState]

// targetState holds the statistics and the availability of one target.
type targetState struct {
	stats *replica.Stats
	zone  string
	local bool
	// failed is set by a failure and cleared by the next reply.
	failed bool
	// evacuated is set while the target's zone is evacuated.
	evacuated bool
	// coldSince is the time at which the target became cold.
	coldSince time.Duration
	// repliedAt is the time of the last reply to an attempt; replied is false before the first.
	replied   bool
	repliedAt time.Duration
	// downUntil is the time until which the target counts as down after it refused a connection.
	downUntil time.Duration
}

// serviceState holds the hedge tracker, retry budget and admission state of one service.
type serviceState struct {
	mu sync.Mutex
	// hedges is guarded by mu.
	hedges *hedge.Tracker
	// retries is guarded by mu.
	retries *retrybudget.Budget
	// admission is guarded by loadPolicy.admitMu.
	admission *admission.Service
}

func newLoadPolicy(self Identity, restrictions *restrictions, failing *failingSet, urgentFirst bool) *loadPolicy {
	shardRoom := shardroom.DefaultSettings()
	shardRoom.UrgentFirst = urgentFirst
	return &loadPolicy{
		self:         self,
		restrictions: restrictions,
		failing:      failing,
		settings:     replica.DefaultSettings(),
		ramp:         rampup.DefaultSettings(),
		shardRoom:    shardRoom,
		admission:    admission.New(admissionSettings()),
	}
}

func (l *loadPolicy) now() time.Duration { return l.self.Clock() }

func (l *loadPolicy) setCatalogue(c *Catalogue) {
	l.setTargets(c.Targets)
	l.setGroups(c)
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
	l.deliverDecisions()
}

// setTargets creates the state of new targets. Targets of the first catalogue are assumed to be warm
// unless ColdFor is set; targets that are added later start cold.
func (l *loadPolicy) setTargets(targets []CatalogueTarget) {
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
	l.setEvacuated(targets)
}

func (l *loadPolicy) service(name string) *serviceState {
	if m := l.services.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// globalRand is the global random source of math/rand/v2, which is safe for concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int   { return rand.IntN(n) }
func (globalRand) Float64() float64 { return rand.Float64() }

func (l *loadPolicy) pick(req *Request, shard int, ids, exclude []string, slowThreshold time.Duration) (string, bool, bool) {
	now := l.now()
	canAffordRefusal := l.repeatsLeft(req, shard) >= refusalRepeatReserve
	var buffer [maxReplicas]replica.Candidate
	var records [maxReplicas]*targetRecord
	var names [maxReplicas]string
	candidates := buffer[:0]
	// Of a large group, consider those that may get work from a random one on.
	first := 0
	if len(ids) > maxReplicas {
		first = rand.IntN(len(ids))
	}
	for i := 0; i < len(ids) && len(candidates) < maxReplicas; i++ {
		id := ids[(first+i)%len(ids)]
		record := l.targets.Get(id)
		if record == nil || slices.Contains(exclude, id) {
			continue
		}
		state := record.Lock()
		zone := state.zone
		candidate := replica.Candidate{Target: len(candidates), Local: state.local, Weight: l.ramp.Weight(now, state.coldSince)}
		record.Unlock()
		if _, _, blocked := l.restrictions.check(id, zone, req.rateRanks.Of(shard), now); !blocked {
			records[candidate.Target], names[candidate.Target] = record, id
			candidates = append(candidates, candidate)
		}
	}
	i, ok := replica.Pick(globalRand{}, candidates, func(target int) replica.Score {
		record := records[target]
		defer record.Unlock()
		score := record.Lock().stats.Score(now)
		if l.failing.has(names[target], now) {
			score.Cost *= failing.CostFactor
		}
		if score.Acceptance < lowAcceptance {
			if canAffordRefusal {
				score.Cost /= max(score.Acceptance, minAcceptance)
			} else {
				score.Cost *= refusalCostFactor
			}
		}
		return score
	})
	if !ok {
		return "", false, false
	}
	stats := records[i].Lock().stats
	degraded := stats.Score(now).Ejected || slowThreshold > 0 && max(stats.Latency(now), stats.OldestAge(now)) > slowThreshold
	records[i].Unlock()
	return names[i], degraded || l.failing.has(names[i], now), true
}

func (l *loadPolicy) start(req *Request, shard int, target string) attemptToken {
	t := attemptToken{target: l.targets.Get(target), service: l.service(req.Service), start: l.now()}
	if len(req.Groups) > 1 {
		if t.group = l.group(req.Groups[shard]); t.group != nil {
			t.usefulLatency = usefulLatency(req)
			t.group.startAttempt()
		}
	}
	if t.target != nil {
		t.token = t.target.Lock().stats.Start(l.now())
		t.target.Unlock()
	}
	return t
}

// connRefusedPeriod is the time for which a target that refused a connection counts as down. After
// it, the target is tried again for requests that need its shard.
const connRefusedPeriod = 250 * time.Millisecond

func (l *loadPolicy) finish(t attemptToken, class replica.Class, connRefused bool) {
	now := l.now()
	if t.group != nil {
		t.group.endAttempt(now, now-t.start, t.usefulLatency, class)
	}
	if t.target == nil {
		return
	}
	state := t.target.Lock()
	latency, ok := state.stats.Finish(t.token, now, class)
	if class == replica.Success {
		state.replied, state.repliedAt = true, now
	}
	if connRefused {
		state.downUntil = now + connRefusedPeriod
	}
	switch {
	case class == replica.Failure:
		state.failed = true
	case class == replica.Success && state.failed:
		// The target has recovered, probably with cold caches.
		state.failed = false
		state.coldSince = now
	}
	t.target.Unlock()
	if ok && class == replica.Success && t.service != nil {
		t.service.mu.Lock()
		t.service.hedges.RecordLatency(now, latency)
		t.service.retries.AddSuccesses(1)
		t.service.mu.Unlock()
	}
}

func (l *loadPolicy) repliedWithin(target string, period time.Duration) bool {
	record := l.targets.Get(target)
	if record == nil {
		return false
	}
	state := record.Lock()
	defer record.Unlock()
	return state.replied && l.now()-state.repliedAt < period
}

func (l *loadPolicy) recordStatus(target string, r *targetapi.Status) {
	record := l.targets.Get(target)
	if record == nil {
		return
	}
	defer record.Unlock()
	record.Lock().stats.RecordStatus(l.now(), replica.TargetStatus{InFlight: r.InFlight, Slots: r.Slots, Unhealthy: r.Cold})
}

func (l *loadPolicy) recordPrimaries(req *Request, primaries int) {
	for _, name := range req.Groups {
		if g := l.group(name); g != nil {
			g.mu.Lock()
			g.repeatBudget.AddRequests(l.now(), 1)
			g.mu.Unlock()
		}
	}
	if s := l.service(req.Service); s != nil {
		s.mu.Lock()
		s.hedges.AddPrimaries(primaries)
		s.mu.Unlock()
	}
}

// hedgeFraction is the fraction of the time to the cutoff after which a sub-request without a reply
// is hedged. It leaves the second target twice the time of a typical reply; an earlier hedge would
// spend repeats on replies that are already on their way.
const hedgeFraction = 0.6

func (l *loadPolicy) hedgeDelay(req *Request) (time.Duration, bool) {
	delay, ok := l.serviceHedgeDelay(req.Service)
	if at, limited := req.Contract.Cutoff.At(); limited {
		delay = min(delay, time.Duration(hedgeFraction*float64(at)))
	}
	return delay, ok
}

// serviceHedgeDelay returns the hedge delay derived from the recent latency of a service.
func (l *loadPolicy) serviceHedgeDelay(service string) (time.Duration, bool) {
	s := l.service(service)
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedges.Delay(l.now()), true
}

func (l *loadPolicy) hedge(req *Request, shard int, p hedge.Progress) hedge.Decision {
	if req.Groups != nil {
		if l.tryRepeat(req, shard) {
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

func (l *loadPolicy) silentAfter(service string) time.Duration {
	delay, _ := l.serviceHedgeDelay(service)
	return max(silentAfterFactor*delay, minSilentAfter)
}

func (l *loadPolicy) expectedLatency(service string) time.Duration {
	delay, _ := l.serviceHedgeDelay(service)
	return expectedLatencyFactor * delay
}

func (l *loadPolicy) describeService(name string, row *adminapi.Service) {
	s := l.service(name)
	if s == nil {
		return
	}
	l.admitMu.Lock()
	defer l.admitMu.Unlock()
	row.InFlight, row.Queued, row.Limit = s.admission.InFlight(), s.admission.Waiting(), s.admission.Limit()
}

func (l *loadPolicy) describeTarget(id string, row *adminapi.Target) {
	record := l.targets.Get(id)
	if record == nil {
		return
	}
	state := record.Lock()
	defer record.Unlock()
	row.InFlight = state.stats.InFlight()
	row.EWMAMS = float64(state.stats.Latency(l.now()).Microseconds()) / 1_000
}
