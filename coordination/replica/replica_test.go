package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against an attempt that is lost or counted twice, and against a wrong age
// of the oldest attempt when attempts finish in any order.
func TestInFlightMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stats, now := NewStats(DefaultSettings(), 0), time.Duration(0)
		live := map[Token]time.Duration{}
		var ended []Token
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * ms
			if len(live) == 0 || rapid.Bool().Draw(t, "start") {
				live[stats.Start(now)] = now
			} else {
				token := rapid.SampledFrom(liveTokens(live, stats)).Draw(t, "token")
				latency, ok := stats.Finish(token, now, Class(rapid.IntRange(0, 3).Draw(t, "class")))
				if !ok || latency != now-live[token] {
					t.Fatalf("latency %v, ok %v", latency, ok)
				}
				delete(live, token)
				ended = append(ended, token)
			}
			oldest := time.Duration(0)
			for _, start := range live {
				oldest = max(oldest, now-start)
			}
			if stats.InFlight() != len(live) || stats.OldestAge(now) != oldest {
				t.Fatalf("in flight %d, oldest %v, want %d, %v", stats.InFlight(), stats.OldestAge(now), len(live), oldest)
			}
		}
		for _, token := range ended {
			if _, ok := stats.Finish(token, now, Success); ok {
				t.Fatalf("token %v finished twice", token)
			}
		}
	})
}

// liveTokens returns the tokens in flight in order of their start.
func liveTokens(live map[Token]time.Duration, s *Stats) []Token {
	var tokens []Token
	for i := s.inflight.head; i != noRecord; i = s.inflight.records[i].next {
		token := Token{index: i + 1, generation: s.inflight.records[i].generation}
		if _, ok := live[token]; ok {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

// Guards against a status that lowers the cost of a target, and against one that never
// expires.
func TestStatusOnlyWorsensAndExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		plain, reported := NewStats(s, 0), NewStats(s, 0)
		at := time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")) * ms
		reported.RecordStatus(at, TargetStatus{
			InFlight:  rapid.IntRange(-5, 1000).Draw(t, "inFlight"),
			Slots:     rapid.IntRange(-1, 10).Draw(t, "slots"),
			Unhealthy: rapid.Bool().Draw(t, "unhealthy"),
		})
		ratio := reported.Score(at).Cost / plain.Score(at).Cost
		if ratio < 1 || ratio > s.MaxStatusPenalty+1e-9 {
			t.Fatalf("status changed the cost by %v", ratio)
		}
		later := at + s.StatusExpiry
		if reported.Score(later) != plain.Score(later) {
			t.Fatalf("status is used after its expiry")
		}
	})
}

// Guards against picking an excluded candidate, against picking none while one is
// left, and against picking an ejected one while another is not.
func TestPickNeverTakesExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		candidates := make([]Candidate, rapid.IntRange(0, 8).Draw(t, "n"))
		scores := make([]Score, len(candidates))
		usable := 0
		for i := range candidates {
			candidates[i] = Candidate{
				Target:   i,
				Weight:   rapid.Float64Range(0, 1).Draw(t, "weight"),
				Local:    rapid.Bool().Draw(t, "local"),
				Excluded: rapid.Bool().Draw(t, "excluded"),
			}
			scores[i] = Score{Cost: rapid.Float64Range(0, 10).Draw(t, "cost"), Ejected: rapid.Bool().Draw(t, "held")}
			if !candidates[i].Excluded {
				usable++
			}
		}
		i, ok := Pick(rng, candidates, func(target int) Score { return scores[target] })
		if ok != (usable > 0) || ok && candidates[i].Excluded {
			t.Fatalf("picked %d, %v of %+v", i, ok, candidates)
		}
		for j, c := range candidates {
			if ok && scores[i].Ejected && !c.Excluded && !scores[j].Ejected {
				t.Fatalf("picked ejected %d while %d is not ejected", i, j)
			}
		}
	})
}

// simulate sends one attempt per interval to three targets. reply returns the latency
// and class of an attempt. The result is the number of attempts per target.
func simulate(seed uint64, attempts int, interval time.Duration, reply func(target int) (time.Duration, Class)) [3]int {
	type pending struct {
		target int
		token  Token
		due    time.Duration
		class  Class
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	s := DefaultSettings()
	stats := [3]*Stats{NewStats(s, 0), NewStats(s, 0), NewStats(s, 0)}
	candidates := []Candidate{{Target: 0}, {Target: 1}, {Target: 2}}
	var open []pending
	var counts [3]int
	for n := range attempts {
		now := time.Duration(n) * interval
		rest := open[:0]
		for _, p := range open {
			if p.due <= now {
				stats[p.target].Finish(p.token, p.due, p.class)
			} else {
				rest = append(rest, p)
			}
		}
		open = rest
		i, _ := Pick(rng, candidates, func(target int) Score { return stats[target].Score(now) })
		latency, class := reply(i)
		open = append(open, pending{i, stats[i].Start(now), now + latency, class})
		counts[i]++
	}
	return counts
}

// Guards against a dead target that attracts work because it fails fast and has
// nothing in flight.
func TestDeadTargetIsTriedRarely(t *testing.T) {
	is := is.New(t)
	counts := simulate(1, 60_000, ms, func(target int) (time.Duration, Class) {
		if target == 0 {
			return ms, Failure
		}
		return 10 * ms, Success
	})
	is.True(counts[0] >= 2)  // it is still probed, so that its recovery is noticed
	is.True(counts[0] <= 20) // 60,000 attempts in one minute
}

// Guards against sending work to a stalled target until its first late reply.
func TestStalledTargetLosesWorkBeforeItsFirstReply(t *testing.T) {
	is := is.New(t)
	stats := NewStats(DefaultSettings(), 0)
	for range 10 {
		stats.Finish(stats.Start(0), 5*ms, Success)
	}
	stats.Start(5 * ms)
	young, old := stats.Score(6*ms).Cost, stats.Score(105*ms).Cost
	is.True(old > 15*young) // 100 ms of age against 5 ms of latency
	counts := simulate(2, 1_000, ms, func(target int) (time.Duration, Class) {
		if target == 0 {
			return time.Hour, Success
		}
		return 10 * ms, Success
	})
	is.True(counts[0] <= 20) // of 1,000 attempts in one second
}

// Guards against counting the failures of one crash separately, which would eject the
// target for too long.
func TestFailuresOfOneCrashEjectOnce(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	stats := NewStats(s, 0)
	var tokens []Token
	for range 30 {
		tokens = append(tokens, stats.Start(0))
	}
	for i, token := range tokens {
		stats.Finish(token, ms+time.Duration(i), Failure)
	}
	is.True(stats.Score(ms + s.MinEjection/2).Ejected)
	is.True(!stats.Score(2*ms + s.MinEjection).Ejected)
}

// Guards against a slow target that gets the same share as its fast peers, and against
// one that is never tried again.
func TestSlowTargetGetsLessWork(t *testing.T) {
	is := is.New(t)
	counts := simulate(3, 30_000, ms, func(target int) (time.Duration, Class) {
		if target == 0 {
			return 100 * ms, Success
		}
		return 5 * ms, Success
	})
	is.True(counts[0] < 30_000/20)
	is.True(counts[0] > 0)
}

// Guards against a cold target that gets the share of a warm one.
func TestWeightLimitsTheShare(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(4, 4))
	candidates := []Candidate{{Target: 0, Weight: 0.1}, {Target: 1}, {Target: 2}}
	counts := [3]int{}
	for range 10_000 {
		i, _ := Pick(rng, candidates, func(target int) Score { return Score{Cost: float64(target)} })
		counts[i]++
	}
	is.True(counts[0] > 500)   // the target warms up although it gets little work
	is.True(counts[0] < 2_500) // target 0 would get 2/3 with full weight
}

// Guards against choosing a remote target although a local one is about as good.
func TestLocalTargetIsPreferredWhenScoresAreClose(t *testing.T) {
	is := is.New(t)
	local, remote := Candidate{Local: true}, Candidate{}
	is.True(better(local, Score{Cost: 1.59}, remote, Score{Cost: 1}))
	is.True(!better(local, Score{Cost: 1.61}, remote, Score{Cost: 1}))
	is.True(!better(remote, Score{Cost: 1}, local, Score{Cost: 1.59}))
	is.True(better(remote, Score{Cost: 1}, local, Score{Cost: 1.61}))
}

// Guards against allocations on the path of every attempt.
func TestAttemptPathDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	is.Equal(testing.AllocsPerRun(100, newAttemptLoop(3)), 0.0)
}

// Guards against a target that stops replying and is not ejected because hedges cancel
// each attempt, and against ejecting one that replies to other attempts meanwhile or only
// loses to hedges.
func TestUnansweredAttemptsEjectTheirTarget(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	stats := NewStats(s, 0)
	cancelAfter := func(at, after time.Duration) {
		token := stats.Start(at)
		stats.Finish(token, at+after, Canceled)
	}
	for n := range 10 {
		cancelAfter(time.Duration(n)*time.Second, 49*ms)
	}
	slow, quick := stats.Start(10*time.Second), stats.Start(10*time.Second)
	stats.Finish(quick, 10*time.Second+20*ms, Success)
	stats.Finish(slow, 10*time.Second+70*ms, Canceled)
	cancelAfter(11*time.Second, 60*ms)
	is.True(!stats.Score(11*time.Second + 60*ms).Ejected)
	cancelAfter(12*time.Second, 60*ms)
	is.True(stats.Score(12*time.Second + 60*ms).Ejected)
	for n := range 10 {
		cancelAfter(time.Duration(20+2*n)*time.Second, 60*ms)
	}
	is.True(!stats.Score(38*time.Second + 60*ms + s.MaxUnansweredEjection).Ejected)
	stats.Finish(stats.Start(50*time.Second), 50*time.Second+20*ms, Success)
	is.True(!stats.Score(50*time.Second + 20*ms).Ejected)
}

// Guards against a refusal that counts as a failure, and against an acceptance that stays
// low when the target accepts again or is not asked.
func TestAcceptanceFollowsRefusals(t *testing.T) {
	is := is.New(t)
	stats := NewStats(DefaultSettings(), 0)
	cost := stats.Score(0).Cost
	for range 100 {
		stats.Finish(stats.Start(0), 0, Shed)
	}
	is.True(stats.Score(0).Acceptance < 0.01)
	is.Equal(stats.Score(0).Cost, cost)
	is.True(stats.Score(30*time.Second).Acceptance > 0.99)
	for range 50 {
		stats.Finish(stats.Start(0), 20*ms, Success)
	}
	is.True(stats.Score(20*ms).Acceptance > 0.99)
}
