package loadmodel

import "time"

// SearchKinds returns the users' two kinds of search over ten shards, at a multiple of their usual
// rate.
func SearchKinds(rateFactor float64) []Kind {
	return []Kind{
		{Name: "wide", Rate: 165 * rateFactor, MeanServiceTime: 20 * time.Millisecond, Goal: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond, MinRatio: 0.89, Weight: 2, Priority: 2},
		{Name: "quick", Rate: 55 * rateFactor, MeanServiceTime: 6700 * time.Microsecond, Goal: 60 * time.Millisecond, Deadline: time.Second, MinRatio: 0.75, Weight: 1, Priority: 1},
	}
}

// GatheredKinds returns two kinds of search over 36 shards that compete for the same shards. A page
// needs 35 of them, a lookup 31.
func GatheredKinds() []Kind {
	return []Kind{
		{Name: "page", Rate: 40, MeanServiceTime: 20 * time.Millisecond, Goal: 300 * time.Millisecond, Deadline: 2500 * time.Millisecond, MinRatio: 0.95, Weight: 1, Priority: 2},
		{Name: "lookup", Rate: 60, MeanServiceTime: 6700 * time.Microsecond, Goal: 80 * time.Millisecond, Deadline: time.Second, MinRatio: 0.85, Weight: 1, Priority: 1},
	}
}

// setUpContendedShards leaves each third shard of the last nine one slow target. The other shards have
// one slow target of three.
func setUpContendedShards(shard, replica int, t *Target) {
	contended := shard >= 27 && shard%3 == 0
	t.Down = contended && replica > 0
	if replica == 0 && (contended || shard%2 == 0) {
		t.Slowdown = 4
	}
}

// Names lists the names that Named accepts.
var Names = []string{"calm", "slow", "crest", "lost", "shed", "partition", "outage", "limited", "detached", "restored", "contended", "burst", "ranked"}

// Named returns the load of the given name for a number of entries, or nil for an unknown name.
// The users' heaviest days consist of these loads.
func Named(name string, entries int) *Load {
	const period, amplitude = 13 * time.Second, 0.55
	l := &Load{Entries: entries, Duration: 2 * period, Kinds: SearchKinds(1), Shards: 10, Replicas: 3, Amplitude: amplitude, Period: period}
	switch name {
	case "calm":
		l.Kinds = SearchKinds(0.8)
	case "slow": // One target in six is 8.5 times slower.
		l.SetupTarget = func(shard, replica int, t *Target) {
			if (shard*l.Replicas+replica)%6 == 0 {
				t.Slowdown = 8.5
			}
		}
	case "crest": // Each shard has lost one target; one shard in three has lost two.
		l.SetupTarget = func(shard, replica int, t *Target) { t.Down = replica == 2 || replica == 1 && shard%3 == 0 }
	case "lost": // One shard is down; two have one fast and one slow target; the others have lost one.
		l.SetupTarget = func(shard, replica int, t *Target) {
			t.Down = shard == 1 || replica == 2
			if (shard == 0 || shard == 8) && replica == 0 {
				t.Slowdown = 10
			}
		}
	case "shed": // One target of each shard refuses nothing, the others refuse 60%.
		l.SetupTarget = func(shard, replica int, t *Target) {
			t.Down = replica == 2 && shard%2 == 0
			if replica > 0 {
				t.RefusalProbability = 0.6
			}
		}
	case "partition": // A zone with one target of each shard is partitioned for 5 s.
		l.Duration, l.Amplitude, l.Kinds = 12*time.Second, 0, SearchKinds(0.7)
		l.SetupTarget = func(shard, replica int, t *Target) {
			if replica == 0 {
				t.PartitionStart, t.PartitionEnd = 3*time.Second, 8*time.Second
			}
		}
	case "outage": // The callers of an outage return in addition to the usual ones.
		l.Duration, l.Amplitude, l.Kinds, l.ReturningRate = 2*time.Second, 0, SearchKinds(1.1), 350
	case "limited": // Two targets of each shard state a rate limit, and all three of every third shard.
		l.Kinds = SearchKinds(0.7)
		l.SetupTarget = func(shard, replica int, t *Target) {
			if replica < 2 || shard%3 == 0 {
				t.RateLimit, t.RateLimitStart = 15, 2*time.Second
			}
		}
	case "detached": // Most entries are partitioned from all targets for 5 s; their callers do not know.
		l.Duration, l.Amplitude, l.Kinds = 12*time.Second, 0, SearchKinds(0.5)
		l.Detached, l.DetachedStart, l.DetachedEnd = (2*entries)/3, 3*time.Second, 8*time.Second
	case "restored": // The list of targets is restored from a backup.
		l.Duration, l.Amplitude, l.Kinds = 10*time.Second, 0, SearchKinds(0.5)
		l.RestoredAt = 3 * time.Second
		l.SetupTarget = func(shard, replica int, t *Target) {
			// The backup has no target of replica 2, and those of replica 1 that have ended since.
			if replica == 1 && shard%2 == 0 {
				t.EndsAt = 2500 * time.Millisecond
			}
			t.StartedAfterBackup = replica == 2
		}
	case "contended": // Three of 36 shards have one slow target left; pages need 35 shards, lookups 31.
		l.Kinds, l.Shards, l.SetupTarget = GatheredKinds(), 36, setUpContendedShards
	case "burst": // Like "contended", with three times as many lookups for 4 s.
		l.Kinds, l.Shards, l.SetupTarget, l.Amplitude = GatheredKinds(), 36, setUpContendedShards, 0
		lookup := &l.Kinds[1]
		lookup.BurstFactor, lookup.BurstStart, lookup.BurstEnd = 3, 4*time.Second, 8*time.Second
	case "ranked": // Like "contended" with pages only, of two priorities.
		l.Kinds, l.Shards, l.SetupTarget, l.UrgentFirst = GatheredKinds()[:1], 36, setUpContendedShards, true
		urgent, bulk := l.Kinds[0], l.Kinds[0]
		urgent.Name, urgent.Rate, urgent.Priority = "urgent", 20, 1
		bulk.Name, bulk.Rate, bulk.Priority = "bulk", 25, 3
		l.Kinds = []Kind{urgent, bulk}
	default:
		return nil
	}
	return l
}
