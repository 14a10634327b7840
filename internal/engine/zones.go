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
	// zoneProbeTimeout bounds a connection that tells whether a zone can be reached again.
	zoneProbeTimeout = 250 * time.Millisecond
	// zoneProbeInterval is the least time between two of them.
	zoneProbeInterval = 50 * time.Millisecond
	// cutOffAfter is the time for which all other zones must be unreachable before an
	// entry takes itself for cut off.
	cutOffAfter = 100 * time.Millisecond
)

// zoneSet is what this entry knows of the zones that it cannot reach. It is safe for
// concurrent use.
type zoneSet struct {
	// some is the number of unreachable zones, read first to spare the lock.
	some atomic.Int64

	mu sync.Mutex
	// watch is guarded by mu.
	watch *zonewatch.Detector
}

func newZoneSet() *zoneSet { return &zoneSet{watch: zonewatch.New(zonewatch.DefaultSettings())} }

func (z *zoneSet) lost(zone string) bool {
	if z.some.Load() == 0 {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.watch.Unreachable(zone)
}

func (z *zoneSet) replied(zone string, now time.Duration) (found bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if found = z.watch.Replied(zone, now); found {
		z.some.Add(-1)
	}
	return found
}

func (z *zoneSet) unanswered(zone, target string, began, now time.Duration) (lost bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if lost = z.watch.Unanswered(zone, target, began, now); lost {
		z.some.Add(1)
	}
	return lost
}

// CutOff reports whether this entry reaches no target of another zone.
func (e *Engine) CutOff() bool {
	if e.zones.some.Load() == 0 {
		return false
	}
	e.zones.mu.Lock()
	defer e.zones.mu.Unlock()
	return e.zones.watch.AllUnreachable(e.self.Zone, e.self.Clock(), cutOffAfter)
}

// noteZone takes the end of an attempt as evidence about the zone of its target.
func (e *Engine) noteZone(target string, answered bool, began time.Duration) {
	zone, ok := e.policy.zoneOf(target)
	if !ok {
		return
	}
	now := e.self.Clock()
	if answered {
		if e.zones.replied(zone, now) {
			e.zoneFound(zone)
		}
		return
	}
	if e.zones.unanswered(zone, target, began, now) {
		e.metrics.LostZones.Add(1)
		e.log.Warn().Str("zone", zone).Str("target", target).Msg("zone is unreachable; its targets get no work while others hold their shards")
		go e.probeZone(zone)
	}
}

// probeZone opens connections to targets of a zone until one can be opened, so that no
// request has to find out.
func (e *Engine) probeZone(zone string) {
	for e.zones.lost(zone) {
		began := time.Now()
		if e.reachesAny(e.policy.targetsOf(zone)) {
			if e.zones.replied(zone, e.self.Clock()) {
				e.zoneFound(zone)
			}
			return
		}
		time.Sleep(max(zoneProbeInterval-time.Since(began), 0))
	}
}

// reachesAny reports whether a connection to a random one of the targets can be opened.
// The list may lack the targets of a lost zone, which cannot reach the platform either.
func (e *Engine) reachesAny(targets []string) bool {
	if len(targets) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), zoneProbeTimeout)
	defer cancel()
	return e.targets.Reachable(ctx, targets[rand.IntN(len(targets))])
}

// zoneFound takes note of a zone that can be reached again. What its targets seemed to be
// like meanwhile is forgotten.
func (e *Engine) zoneFound(zone string) {
	e.policy.forget(e.policy.targetsOf(zone))
	e.log.Info().Str("zone", zone).Msg("zone is reachable again")
}
