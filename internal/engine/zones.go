package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamstall/balsamstall/coordination/zonewatch"
)

const (
	// zoneProbeTimeout limits the connection attempt that tests whether a zone is reachable again.
	zoneProbeTimeout = 250 * time.Millisecond
	// zoneProbeInterval is the minimum time between the starts of two probes.
	zoneProbeInterval = 50 * time.Millisecond
	// partitionedAfter is the time for which all other zones must be unreachable before an entry
	// considers itself partitioned.
	partitionedAfter = 100 * time.Millisecond
)

// zoneSet holds the zones that this entry cannot reach. It is safe for concurrent use.
type zoneSet struct {
	// unreachableCount is the number of unreachable zones, read first to avoid the lock.
	unreachableCount atomic.Int64

	mu sync.Mutex
	// detector is guarded by mu.
	detector *zonewatch.Detector
}

func newZoneSet() *zoneSet { return &zoneSet{detector: zonewatch.New(zonewatch.DefaultSettings())} }

func (z *zoneSet) unreachable(zone string) bool {
	if z.unreachableCount.Load() == 0 {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.detector.Unreachable(zone)
}

// recordReply records a reply from a target in a zone, or a connection opened to one, and reports
// whether the zone counted as unreachable until then.
func (z *zoneSet) recordReply(zone string, now time.Duration) (recovered bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if recovered = z.detector.RecordReply(zone, now); recovered {
		z.unreachableCount.Add(-1)
	}
	return recovered
}

// recordUnanswered records an attempt from start to now that got no reply, and reports whether the
// zone counts as unreachable from then on.
func (z *zoneSet) recordUnanswered(zone, target string, start, now time.Duration) (unreachable bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if unreachable = z.detector.RecordUnanswered(zone, target, start, now); unreachable {
		z.unreachableCount.Add(1)
	}
	return unreachable
}

// Partitioned reports whether this entry cannot reach any target of another zone.
func (e *Engine) Partitioned() bool {
	if e.zones.unreachableCount.Load() == 0 {
		return false
	}
	e.zones.mu.Lock()
	defer e.zones.mu.Unlock()
	return e.zones.detector.AllUnreachable(e.self.Zone, e.self.Clock(), partitionedAfter)
}

// recordZoneResult records the end of an attempt as evidence about the zone of its target.
func (e *Engine) recordZoneResult(target string, answered bool, start time.Duration) {
	zone, ok := e.policy.zoneOf(target)
	if !ok {
		return
	}
	now := e.self.Clock()
	if answered {
		if e.zones.recordReply(zone, now) {
			e.recordZoneRecovery(zone)
		}
		return
	}
	if e.zones.recordUnanswered(zone, target, start, now) {
		e.metrics.UnreachableZones.Add(1)
		e.log.Warn().Str("zone", zone).Str("target", target).Msg("zone is unreachable; its targets get no work while other targets hold their shards")
		go e.probeZone(zone)
	}
}

// probeZone opens connections to targets of a zone until one succeeds, so that no request has to
// test whether the zone is reachable.
func (e *Engine) probeZone(zone string) {
	for e.zones.unreachable(zone) {
		start := time.Now()
		if e.probeRandomTarget(e.policy.targetsOf(zone)) {
			if e.zones.recordReply(zone, e.self.Clock()) {
				e.recordZoneRecovery(zone)
			}
			return
		}
		time.Sleep(max(zoneProbeInterval-time.Since(start), 0))
	}
}

// probeRandomTarget reports whether a connection to a random one of the targets can be opened. The
// list may lack the targets of an unreachable zone, which cannot reach the platform either.
func (e *Engine) probeRandomTarget(targets []string) bool {
	if len(targets) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), zoneProbeTimeout)
	defer cancel()
	return e.targets.Reachable(ctx, targets[rand.IntN(len(targets))])
}

// recordZoneRecovery resets the statistics of the targets of a zone, which reflect the time when it
// was unreachable, and logs that the zone is reachable again.
func (e *Engine) recordZoneRecovery(zone string) {
	e.policy.resetStats(e.policy.targetsOf(zone))
	e.log.Info().Str("zone", zone).Msg("zone is reachable again")
}

func (l *loadPolicy) zoneOf(target string) (string, bool) {
	record := l.targets.Get(target)
	if record == nil {
		return "", false
	}
	defer record.Unlock()
	return record.Lock().zone, true
}

func (l *loadPolicy) targetsOf(zone string) []string {
	var ids []string
	l.targets.ForEach(func(id string, record *targetRecord) {
		state := record.Lock()
		defer record.Unlock()
		if state.zone == zone {
			ids = append(ids, id)
		}
	})
	return ids
}

func (l *loadPolicy) resetStats(ids []string) {
	now := l.now()
	for _, id := range ids {
		if record := l.targets.Get(id); record != nil {
			record.Lock().stats.Reset(now)
			record.Unlock()
		}
	}
}
