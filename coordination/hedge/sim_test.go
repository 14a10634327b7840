package hedge

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamstall/balsamstall/coordination/replica"
)

// scenario describes a simulated fleet. Every query searches fanout shards, each of which has
// replicas on three random targets.
type scenario struct {
	targets, slots, fanout, queries int
	utilization                     float64
	// stallsPerSecond is the rate of stalls over the whole fleet. A stalled target runs
	// stallFactor times slower for stallTime.
	stallsPerSecond, stallFactor float64
	stallTime                    time.Duration
	// allSlow slows every target by stallFactor during the second quarter of the run.
	allSlow bool
}

var (
	noisy  = scenario{targets: 60, slots: 3, fanout: 68, queries: 8_000, utilization: 0.4}
	stalls = scenario{targets: 60, slots: 3, fanout: 68, queries: 8_000, utilization: 0.4,
		stallsPerSecond: 4, stallFactor: 20, stallTime: 300 * time.Millisecond}
	small = scenario{targets: 3, slots: 3, fanout: 9, queries: 20_000, utilization: 0.4,
		stallsPerSecond: 0.5, stallFactor: 20, stallTime: 300 * time.Millisecond}
	busy = scenario{targets: 60, slots: 3, fanout: 68, queries: 8_000, utilization: 0.65,
		stallsPerSecond: 2, stallFactor: 20, stallTime: 300 * time.Millisecond}
	slow = scenario{targets: 60, slots: 3, fanout: 68, queries: 8_000, utilization: 0.3,
		stallFactor: 3, allSlow: true}
)

// The service time of one attempt is lognormal; with outlierProbability it is ten times as long.
const (
	medianServiceTime  = 4 * time.Millisecond
	serviceSigma       = 0.5
	outlierProbability = 0.003
	meanServiceSeconds = 4.65e-3 // seconds: 4 ms x exp(0.5^2 / 2) x (1 + 0.003 x 9)
)

type simEvent struct {
	at      time.Duration
	kind    int
	attempt *simAttempt
	sub     *simSub
}

const (
	evArrive = iota
	evDone
	evTimer
	evStall
)

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simTarget struct {
	stats      *replica.Stats
	running    int
	waiting    []*simAttempt
	stallUntil time.Duration
}

type simAttempt struct {
	sub            *simSub
	target         int
	token          replica.Token
	sent           time.Duration
	running, ended bool
}

type simSub struct {
	query    *simQuery
	shard    int
	denied   bool
	attempts []*simAttempt
}

type simQuery struct {
	start       time.Duration
	outstanding int
}

type sim struct {
	scenario
	rng       *rand.Rand
	now, end  time.Duration
	events    simQueue
	fleet     []simTarget
	shards    [][3]int
	tracker   *Tracker
	latencies *hdrhistogram.Histogram
	hedges    int
	primaries int
}

// simulate runs the scenario to its end. The returned sim holds the query latencies in microseconds
// and the numbers of primary attempts and hedges.
func simulate(sc scenario, settings Settings, seed uint64) *sim {
	s := &sim{scenario: sc, rng: rand.New(rand.NewPCG(seed, 9)), tracker: New(settings, 0),
		latencies: hdrhistogram.New(1, highestLatency, 3), fleet: make([]simTarget, sc.targets)}
	rs := replica.DefaultSettings()
	for i := range s.fleet {
		s.fleet[i].stats = replica.NewStats(rs, 0)
	}
	for range sc.fanout {
		p := s.rng.Perm(sc.targets)
		s.shards = append(s.shards, [3]int{p[0], p[1], p[2]})
	}
	rate := float64(sc.targets*sc.slots) / meanServiceSeconds * sc.utilization / float64(sc.fanout)
	at := time.Duration(0)
	for range sc.queries {
		at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		s.push(simEvent{at: at, kind: evArrive})
	}
	s.end = at
	if sc.stallsPerSecond > 0 {
		s.push(simEvent{kind: evStall})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		s.step(e)
	}
	return s
}

func (s *sim) push(e simEvent) { heap.Push(&s.events, e) }

func (s *sim) step(e simEvent) {
	switch e.kind {
	case evArrive:
		q := &simQuery{start: s.now, outstanding: s.fanout}
		s.tracker.AddPrimaries(s.fanout)
		s.primaries += s.fanout
		for shard := range s.fanout {
			sub := &simSub{query: q, shard: shard}
			s.send(sub)
			s.push(simEvent{at: s.now + s.tracker.Delay(s.now), kind: evTimer, sub: sub})
		}
	case evDone:
		if !e.attempt.ended {
			s.answer(e.attempt)
		}
	case evTimer:
		s.timer(e.sub)
	case evStall:
		s.fleet[s.rng.IntN(s.targets)].stallUntil = s.now + s.stallTime
		if next := s.now + time.Duration(s.rng.ExpFloat64()/s.stallsPerSecond*float64(time.Second)); next < s.end {
			s.push(simEvent{at: next, kind: evStall})
		}
	}
}

// timer handles the hedge timer of a sub-request.
func (s *sim) timer(sub *simSub) {
	if sub.attempts == nil || len(sub.attempts) > 1 {
		return
	}
	d := s.tracker.Decide(s.now, Progress{Age: s.now - sub.attempts[0].sent, Fanout: s.fanout, Outstanding: sub.query.outstanding, PreviouslyDenied: sub.denied})
	switch d.Verdict {
	case Send:
		s.hedges++
		s.send(sub)
	case Off:
	default:
		sub.denied = sub.denied || d.Verdict != Wait
		s.push(simEvent{at: s.now + max(d.Wait, 100*time.Microsecond), kind: evTimer, sub: sub})
	}
}

// send starts an attempt on a target of the shard that has not been tried.
func (s *sim) send(sub *simSub) {
	var candidates [3]replica.Candidate
	for i, target := range s.shards[sub.shard] {
		candidates[i] = replica.Candidate{Target: target, Excluded: len(sub.attempts) > 0 && sub.attempts[0].target == target}
	}
	i, _ := replica.Pick(s.rng, candidates[:], func(target int) replica.Score { return s.fleet[target].stats.Score(s.now) })
	a := &simAttempt{sub: sub, target: candidates[i].Target, sent: s.now}
	t := &s.fleet[a.target]
	a.token = t.stats.Start(s.now)
	sub.attempts = append(sub.attempts, a)
	t.waiting = append(t.waiting, a)
	s.run(t)
}

// run starts waiting attempts while the target has free slots.
func (s *sim) run(t *simTarget) {
	for t.running < s.slots && len(t.waiting) > 0 {
		a := t.waiting[0]
		t.waiting = t.waiting[1:]
		if a.ended {
			continue
		}
		t.running++
		a.running = true
		d := float64(medianServiceTime) * math.Exp(serviceSigma*s.rng.NormFloat64())
		if s.rng.Float64() < outlierProbability {
			d *= 10
		}
		if s.now < t.stallUntil || s.allSlow && s.now > s.end/4 && s.now < s.end/2 {
			d *= s.stallFactor
		}
		s.push(simEvent{at: s.now + time.Duration(d), kind: evDone, attempt: a})
	}
}

// answer completes a sub-request with the first answer and cancels its other attempt.
func (s *sim) answer(a *simAttempt) {
	sub := a.sub
	s.tracker.RecordLatency(s.now, s.now-a.sent)
	for _, other := range sub.attempts {
		class := replica.Canceled
		if other == a {
			class = replica.Success
		}
		other.ended = true
		t := &s.fleet[other.target]
		t.stats.Finish(other.token, s.now, class)
		if other.running {
			t.running--
			s.run(t)
		}
	}
	sub.attempts = nil
	sub.query.outstanding--
	if sub.query.outstanding == 0 {
		_ = s.latencies.RecordValue((s.now - sub.query.start).Microseconds())
	}
}

// BenchmarkRules compares rules for the hedge delay in each scenario.
func BenchmarkRules(b *testing.B) {
	rules := []struct {
		name   string
		change func(*Settings)
	}{
		{"none", func(s *Settings) { s.BudgetRatio, s.Burst = 0, 0 }},
		{"fixed-p95", func(s *Settings) { s.Quantile, s.EmptyBudgetQuantile = 0.95, 0.95 }},
		{"fixed-p99", func(s *Settings) { s.Quantile, s.EmptyBudgetQuantile = 0.99, 0.99 }},
		{"default", func(*Settings) {}},
	}
	for _, sc := range []struct {
		name string
		scenario
	}{{"noisy", noisy}, {"stalls", stalls}, {"small", small}, {"busy", busy}, {"slow", slow}} {
		for _, r := range rules {
			b.Run(sc.name+"/"+r.name, func(b *testing.B) {
				settings := DefaultSettings()
				r.change(&settings)
				var p50, p99, squares, p999, load float64
				for i := range b.N {
					s := simulate(sc.scenario, settings, uint64(i+1))
					p50 += float64(s.latencies.ValueAtQuantile(50)) / 1000
					tail := float64(s.latencies.ValueAtQuantile(99)) / 1000
					p99 += tail
					squares += tail * tail
					p999 += float64(s.latencies.ValueAtQuantile(99.9)) / 1000
					load += float64(s.hedges) / float64(s.primaries) * 100
				}
				n := float64(b.N)
				b.ReportMetric(p50/n, "p50-ms")
				b.ReportMetric(p99/n, "p99-ms")
				b.ReportMetric(math.Sqrt(max(squares/n-p99/n*p99/n, 0)/n), "p99-error-ms")
				b.ReportMetric(p999/n, "p999-ms")
				b.ReportMetric(load/n, "hedges-%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
