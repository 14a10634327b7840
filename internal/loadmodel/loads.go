package loadmodel

import "time"

// Searches returns the users' two kinds of search over ten shards, at a multiple of their
// usual rate.
func Searches(times float64) []Kind {
	return []Kind{
		{Name: "wide", PerSecond: 165 * times, Work: 20 * time.Millisecond, Goal: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond, Least: 0.89, Worth: 2},
		{Name: "quick", PerSecond: 55 * times, Work: 6700 * time.Microsecond, Goal: 60 * time.Millisecond, Deadline: time.Second, Least: 0.75, Worth: 1},
	}
}

// Names lists the loads that Named knows.
var Names = []string{"calm", "slow", "crest", "lost", "shed", "partition", "outage"}

// Named returns one of the loads that the users' heaviest days consist of, for a number of
// entries. It returns nil for a name that it does not know.
func Named(name string, entries int) *Load {
	const period, swing = 13 * time.Second, 0.55
	l := &Load{Entries: entries, Length: 2 * period, Kinds: Searches(1), Shards: 10, Replicas: 3, Swing: swing, Period: period}
	switch name {
	case "calm":
		l.Kinds = Searches(0.8)
	case "slow": // A sixth of the targets takes 8.5 times as long.
		l.Set = func(shard, replica int, t *Target) {
			if (shard*l.Replicas+replica)%6 == 0 {
				t.Slow = 8.5
			}
		}
	case "crest": // Each shard lost a target, a third of them two.
		l.Set = func(shard, replica int, t *Target) { t.Down = replica == 2 || replica == 1 && shard%3 == 0 }
	case "lost": // One shard is down, two have one good target and a slow one.
		l.Set = func(shard, replica int, t *Target) {
			t.Down = shard == 1 || replica == 2
			if (shard == 0 || shard == 8) && replica == 0 {
				t.Slow = 10
			}
		}
	case "shed": // One target of each shard refuses nothing, the others 60%.
		l.Set = func(shard, replica int, t *Target) {
			t.Down = replica == 2 && shard%2 == 0
			if replica > 0 {
				t.Refuses = 0.6
			}
		}
	case "partition": // A zone with a target of each shard falls silent for 5 s.
		l.Length, l.Swing, l.Kinds = 12*time.Second, 0, Searches(0.7)
		l.Set = func(shard, replica int, t *Target) {
			if replica == 0 {
				t.SilentFrom, t.SilentTo = 3*time.Second, 8*time.Second
			}
		}
	case "outage": // The callers of an outage return beside the usual ones.
		l.Length, l.Swing, l.Kinds, l.Returning = 2*time.Second, 0, Searches(1.1), 350
	default:
		return nil
	}
	return l
}
