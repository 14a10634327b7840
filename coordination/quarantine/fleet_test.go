package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/quarantine"
)

const (
	tick             = 10 * time.Millisecond
	exchangeInterval = 500 * time.Millisecond
)

// event is a function that is called at a time of a simulated run.
type event struct {
	at time.Duration
	do func()
}

// schedule is the clock and the event queue of a simulated run.
type schedule struct {
	now    time.Duration
	events []event
}

// after schedules an event d from now.
func (s *schedule) after(d time.Duration, do func()) {
	s.events = append(s.events, event{s.now + d, do})
}

// runUntil advances the clock to end. At each tick it runs the events that are due and then calls
// onTick.
func (s *schedule) runUntil(end time.Duration, onTick func()) {
	for ; s.now < end; s.now += tick {
		due := []event{}
		s.events = slices.DeleteFunc(s.events, func(e event) bool {
			if e.at <= s.now {
				due = append(due, e)
			}
			return e.at <= s.now
		})
		for _, e := range due {
			e.do()
		}
		onTick()
	}
}

// crashFleet sends a request that crashes every target to a fleet for 20 s; a call arrives every gap
// ticks on average. It returns the number of targets lost and of runs under the verdict Allow.
func crashFleet(t *rapid.T, s quarantine.Settings, answeredElsewhere bool, entries, fanout, gap int, delay time.Duration, r *rand.Rand) (lost, runs int) {
	fp := fingerprint(1)
	fleet := make([]*quarantine.Detector, entries)
	for i := range fleet {
		fleet[i] = quarantine.New(s)
	}
	var sched schedule
	crashed := map[string]bool{}
	var firstCrash, quarantinedAt time.Duration = -1, -1
	crash := func(d *quarantine.Detector, target string, isolated bool) {
		crashed[target] = true
		if firstCrash < 0 {
			firstCrash = sched.now
		}
		if d.RecordCrash(fp, quarantine.Run{Target: target, Isolated: isolated, AnsweredElsewhere: answeredElsewhere}, sched.now) && quarantinedAt < 0 {
			quarantinedAt = sched.now
		}
	}
	// Every attempt gets a target of its own, which is the worst choice of targets.
	attempts := 0
	propagationTime := exchangeInterval + delay + tick
	sched.runUntil(20*time.Second, func() {
		for i, d := range fleet {
			if (sched.now+time.Duration(i)*tick)%exchangeInterval == 0 {
				facts := d.Facts(sched.now, 100)
				for _, peer := range fleet {
					sched.after(delay, func() { peer.Merge(facts, sched.now) })
				}
			}
		}
		if r.IntN(gap) > 0 {
			return
		}
		d := fleet[r.IntN(entries)]
		decision := d.Decide(fp, sched.now)
		if decision.Verdict != quarantine.Refuse && quarantinedAt >= 0 && sched.now > quarantinedAt+propagationTime {
			t.Fatalf("%v at %v, but the request was quarantined at %v", decision.Verdict, sched.now, quarantinedAt)
		}
		n := 1
		if decision.Verdict == quarantine.Allow {
			if firstCrash >= 0 && sched.now > firstCrash+propagationTime {
				t.Fatalf("allowed at %v, but the first crash was at %v", sched.now, firstCrash)
			}
			runs++
			n = fanout
		}
		if decision.Verdict == quarantine.Refuse {
			return
		}
		for range n {
			target := fmt.Sprint(attempts)
			attempts++
			sched.after(time.Duration(1+r.IntN(10))*tick, func() {
				crash(d, target, decision.Verdict == quarantine.Isolate)
				if decision.Verdict == quarantine.Isolate {
					d.RecordIsolatedEnd(fp, false, sched.now)
				}
			})
		}
	})
	return len(crashed), runs
}

// Guards against a request that crashes more targets than stated in docs/policies/quarantine.md:
// those of the runs that started before their entry knew of a crash, and one per entry, or two if
// another target answers the request.
func TestFleetWideTargetLossIsBounded(t *testing.T) {
	isolatedLosses, totalLosses, fleets := map[int]int{}, map[int]int{}, map[int]int{}
	rapid.Check(t, func(t *rapid.T) {
		entries, fanout := rapid.IntRange(1, 9).Draw(t, "entries"), rapid.IntRange(1, 10).Draw(t, "fan-out")
		delay := time.Duration(rapid.IntRange(0, 50).Draw(t, "delay")) * tick
		seed := rapid.Uint64().Draw(t, "seed")
		gap := rapid.SampledFrom([]int{5, 50, 200}).Draw(t, "gap")
		fleets[gap]++
		answeredElsewhere, crashes := rapid.Bool().Draw(t, "proven"), 1
		if answeredElsewhere {
			crashes = quarantine.DefaultSettings().AnsweredCrashes
		}
		lost, runs := crashFleet(t, quarantine.DefaultSettings(), answeredElsewhere, entries, fanout, gap, delay, rand.New(rand.NewPCG(seed, 0)))
		if lost > runs*fanout+entries*crashes {
			t.Fatalf("%d targets lost to %d runs of %d attempts on %d entries", lost, runs, fanout, entries)
		}
		isolatedLosses[gap] += lost - runs*fanout
		totalLosses[gap] += lost
	})
	for gap, n := range fleets {
		t.Logf("a call every %v: %.2f targets lost in isolated runs, %.2f in total (%d fleets)",
			time.Duration(gap)*tick, float64(isolatedLosses[gap])/float64(n), float64(totalLosses[gap])/float64(n), n)
	}
}

// Measures how many requests that crash nothing are quarantined while targets crash for other
// reasons. Guards against the quarantine of such a request without a crash during an isolated run of
// it.
func TestUnrelatedRequestsAreCleared(t *testing.T) {
	const targets, fanout, queries, perTick, rackSize = 100, 10, 100, 2, 10
	var suspectedTotal, quarantinedTotal, twoTargets int
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		crashes := rapid.IntRange(1, 60).Draw(t, "crashes per minute")
		d := quarantine.New(quarantine.DefaultSettings())
		type attempt struct{ query, target int }
		running := map[attempt]bool{} // true for an isolated run
		coincidences, coincidedIsolated, quarantined := map[int]map[int]bool{}, map[int]bool{}, map[int]bool{}
		crash := func(target int, now time.Duration) {
			for a, isolated := range running {
				if a.target != target {
					continue
				}
				delete(running, a)
				if coincidences[a.query] == nil {
					coincidences[a.query] = map[int]bool{}
				}
				coincidences[a.query][target] = true
				coincidedIsolated[a.query] = coincidedIsolated[a.query] || isolated
				if d.RecordCrash(fingerprint(a.query), quarantine.Run{Target: fmt.Sprint(target), Isolated: isolated}, now) {
					quarantined[a.query] = true
					if !coincidedIsolated[a.query] {
						t.Fatalf("query %d quarantined after the crashes of %v", a.query, coincidences[a.query])
					}
				}
				if isolated {
					d.RecordIsolatedEnd(fingerprint(a.query), false, now)
				}
			}
		}
		var sched schedule
		sched.runUntil(10*time.Second, func() {
			if sched.now == 5*time.Second {
				for target := range rackSize {
					crash(target, sched.now)
				}
			}
			if r.Float64() < float64(crashes)*tick.Minutes() {
				crash(r.IntN(targets), sched.now)
			}
			for range perTick {
				q, n := r.IntN(queries), fanout
				decision := d.Decide(fingerprint(q), sched.now)
				isolated := decision.Verdict == quarantine.Isolate
				if isolated {
					n = 1
				}
				if decision.Verdict == quarantine.Refuse {
					n = 0
				}
				for range n {
					a := attempt{q, r.IntN(targets)}
					running[a] = isolated
					sched.after(time.Duration(1+r.IntN(10))*tick, func() {
						if _, ok := running[a]; ok && isolated {
							d.RecordIsolatedEnd(fingerprint(q), true, sched.now)
						}
						delete(running, a)
					})
				}
			}
		})
		suspectedTotal, quarantinedTotal = suspectedTotal+len(coincidences), quarantinedTotal+len(quarantined)
		for _, m := range coincidences {
			if len(m) > 1 {
				twoTargets++
			}
		}
	})
	t.Logf("unrelated requests: %d shared a crashed target, %d quarantined; %d shared two", suspectedTotal, quarantinedTotal, twoTargets)
}
