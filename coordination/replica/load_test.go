package replica_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/coordination/replica"
)

// paceSim simulates entries that send requests to the three targets of one shard, whose pace changes
// several times per second. Each target runs up to slots requests and queues the others.
type paceSim struct {
	entries int
	// rate is the number of requests per second of all entries, changeEvery the mean time between
	// changes of the pace of a target.
	rate        float64
	changeEvery time.Duration
	duration    time.Duration
	settings    *replica.Settings
	// report, if set, replaces the report of a target.
	report func(target int, r replica.LoadReport) (replica.LoadReport, bool)
}

const (
	simTargets, simSlots = 3, 3
	simService           = 8 * time.Millisecond
	simNetwork           = 500 * time.Microsecond
)

type simEvent struct {
	at time.Duration
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type simTarget struct {
	running int
	waiting []func()
	// changes lists the times at which the pace changes, paces the pace from each of them on.
	changes []time.Duration
	paces   []float64
}

// finish returns when work that starts now ends.
func (t *simTarget) finish(now time.Duration, work float64) time.Duration {
	i, _ := slices.BinarySearch(t.changes, now+1)
	for at := now; ; i++ {
		pace := t.paces[i-1]
		if i == len(t.changes) || at+time.Duration(work*pace) <= t.changes[i] {
			return at + time.Duration(work*pace)
		}
		work -= float64(t.changes[i]-at) / pace
		at = t.changes[i]
	}
}

func (t *simTarget) paceAt(now time.Duration) float64 {
	i, _ := slices.BinarySearch(t.changes, now+1)
	return t.paces[i-1]
}

// drawPace draws a pace: usual for most of the time, and up to eight times as slow otherwise.
func drawPace(rng *rand.Rand) float64 {
	if rng.Float64() < 0.7 {
		return 1
	}
	return math.Exp2(3 * rng.Float64())
}

// run returns the latencies of the requests in ascending order, and the share of each target.
func (s *paceSim) run(seed uint64) (latencies []time.Duration, share [simTargets]float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var targets [simTargets]simTarget
	for i := range targets {
		paces := rand.New(rand.NewPCG(seed, 10+uint64(i)))
		for at := time.Duration(0); at < 2*s.duration; at += time.Duration(paces.ExpFloat64() * float64(s.changeEvery)) {
			targets[i].changes, targets[i].paces = append(targets[i].changes, at), append(targets[i].paces, drawPace(paces))
		}
	}
	stats := make([][simTargets]*replica.Stats, s.entries)
	for e := range stats {
		for i := range targets {
			stats[e][i] = replica.NewStats(s.settings, 0)
		}
	}
	var events simQueue
	now := time.Duration(0)
	after := func(d time.Duration, do func()) { heap.Push(&events, simEvent{now + d, do}) }
	candidates := make([]replica.Candidate, simTargets)
	for i := range candidates {
		candidates[i] = replica.Candidate{Target: i}
	}
	send := func() {
		entry, work, sent := rng.IntN(s.entries), float64(simService)*math.Exp(0.35*rng.NormFloat64()-0.06), now
		i, _ := replica.Pick(rng, candidates, func(i int) replica.Score { return stats[entry][i].Score(now) })
		share[i]++
		token := stats[entry][i].Start(now)
		target := &targets[i]
		serve := func() {
			end := target.finish(now, work)
			after(end-now, func() {
				target.running--
				if len(target.waiting) > 0 {
					next := target.waiting[0]
					target.waiting = target.waiting[1:]
					target.running++
					next()
				}
				report, ok := replica.LoadReport{Waiting: len(target.waiting), Slots: simSlots, Pace: target.paceAt(now)}, true
				if s.report != nil {
					report, ok = s.report(i, report)
				}
				after(simNetwork, func() {
					stats[entry][i].Finish(token, now, replica.Success)
					if ok {
						stats[entry][i].RecordLoad(now, report)
					}
					latencies = append(latencies, now-sent)
				})
			})
		}
		after(simNetwork, func() {
			if target.running < simSlots {
				target.running++
				serve()
				return
			}
			target.waiting = append(target.waiting, serve)
		})
	}
	var arrive func()
	arrive = func() {
		send()
		if now < s.duration {
			after(time.Duration(rng.ExpFloat64()/s.rate*float64(time.Second)), arrive)
		}
	}
	arrive()
	for events.Len() > 0 {
		e := heap.Pop(&events).(simEvent)
		now = e.at
		e.do()
	}
	slices.Sort(latencies)
	for i := range share {
		share[i] /= float64(len(latencies))
	}
	return latencies, share
}

// play returns the fraction of the requests that take more than three times the usual service time, the
// mean latency, and the share of target 0.
func (s paceSim) play(t *testing.T, name string) (late, mean, share float64) {
	t.Helper()
	const seeds = 4
	n, sum := 0, time.Duration(0)
	for seed := range uint64(seeds) {
		latencies, shares := s.run(seed)
		for _, l := range latencies {
			n, sum = n+1, sum+l
			if l > 3*simService {
				late++
			}
		}
		share += shares[0] / seeds
	}
	late, mean = late/float64(n), sum.Seconds()*1000/float64(n)
	t.Logf("%d entries, %s: late %.4f, mean %.2f ms, share of target 0 %.3f", s.entries, name, late, mean, share)
	return late, mean, share
}

// newPaceSim returns a simulation at a third of the targets' capacity. Without reports, their expiry is
// zero.
func newPaceSim(entries int, reports bool) paceSim {
	settings := replica.DefaultSettings()
	if !reports {
		settings.LoadExpiry = 0
	}
	return paceSim{entries: entries, rate: 200, changeEvery: 200 * time.Millisecond, duration: 15 * time.Second, settings: settings}
}

// Guards against old reports that keep their effect: the factor on the cost must approach 1 with the age of
// the report, in either direction, and be exactly 1 from LoadExpiry on.
func TestLoadReportWeightDecays(t *testing.T) {
	is := is.New(t)
	settings := replica.DefaultSettings()
	for _, pace := range []float64{0.2, 5} {
		with, without := replica.NewStats(settings, 0), replica.NewStats(settings, 0)
		for range 3 {
			with.RecordLoad(0, replica.LoadReport{Slots: 3, Pace: 1})
		}
		with.RecordLoad(0, replica.LoadReport{Slots: 3, Pace: pace})
		last := math.Inf(1)
		for age := time.Duration(0); age <= 2*settings.LoadExpiry; age += settings.LoadExpiry / 10 {
			deviation := math.Abs(math.Log(with.Score(age).Cost / without.Score(age).Cost))
			is.True(deviation < last || deviation == 0)
			is.Equal(deviation == 0, age >= settings.LoadExpiry)
			last = deviation
		}
	}
}

// Guards against load reports that do not help, or do harm where an entry gets one too rarely to know
// the present load: 61 entries get three of a shard per second each.
func TestLoadReportsAvoidSlowTargets(t *testing.T) {
	for _, c := range []struct {
		entries  int
		maxRatio float64
	}{{1, 0.7}, {3, 0.7}, {9, 0.8}, {61, 1.03}} {
		late, mean, _ := newPaceSim(c.entries, true).play(t, "reports")
		lateWithout, meanWithout, _ := newPaceSim(c.entries, false).play(t, "no reports")
		if late > c.maxRatio*lateWithout || mean > 1.01*meanWithout {
			t.Errorf("%d entries: late %.4f with reports, %.4f without; mean %.2f and %.2f ms", c.entries, late, lateWithout, mean, meanWithout)
		}
	}
}

// Guards against reports that are the only source of the choice: one of three targets sends false,
// frozen or no reports. Requests may not do worse than without any report, and the target may neither
// lose most of its share nor draw that of the others.
func TestWrongLoadReportsCostLittle(t *testing.T) {
	const entries = 3
	lateWithout, _, shareWithout := newPaceSim(entries, false).play(t, "no reports")
	var first *replica.LoadReport
	calls := 0
	rng := rand.New(rand.NewPCG(1, 4))
	for name, wrong := range map[string]func(r replica.LoadReport) (replica.LoadReport, bool){
		"always idle and fast": func(replica.LoadReport) (replica.LoadReport, bool) {
			return replica.LoadReport{Slots: simSlots, Pace: 0.01}, true
		},
		"always full and slow": func(replica.LoadReport) (replica.LoadReport, bool) {
			return replica.LoadReport{Waiting: 1000, Slots: simSlots, Pace: 100}, true
		},
		"missing": func(r replica.LoadReport) (replica.LoadReport, bool) { return r, false },
		"frozen": func(r replica.LoadReport) (replica.LoadReport, bool) {
			if first == nil {
				first = &r
			}
			return *first, true
		},
		"frozen while slow": func(r replica.LoadReport) (replica.LoadReport, bool) {
			if calls++; calls%2000 < 500 {
				return r, true
			}
			return replica.LoadReport{Waiting: 2 * simSlots, Slots: simSlots, Pace: 8}, true
		},
		"inverse": func(r replica.LoadReport) (replica.LoadReport, bool) {
			r.Pace = 1 / r.Pace
			return r, true
		},
		"random": func(r replica.LoadReport) (replica.LoadReport, bool) {
			r.Pace = math.Exp2(20 * (rng.Float64() - 0.5))
			return r, true
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPaceSim(entries, true)
			s.report = func(target int, r replica.LoadReport) (replica.LoadReport, bool) {
				if target != 0 {
					return r, true
				}
				return wrong(r)
			}
			late, _, share := s.play(t, name)
			if late > lateWithout {
				t.Errorf("late %.4f, %.4f without reports", late, lateWithout)
			}
			if share < 0.4*shareWithout || share > 1.25*shareWithout {
				t.Errorf("share of the target %.3f, %.3f without reports", share, shareWithout)
			}
		})
	}
}
