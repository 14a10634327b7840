package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/state/audit"
)

// maxUnlistedEvacuated limits the targets of evacuated zones that are remembered although they are no longer
// listed. It exceeds the number of targets that end within the deadline of a request.
const maxUnlistedEvacuated = 4096

// setZones replaces the zones of the listed targets and the evacuated zones. Targets of an evacuated zone that
// are no longer listed stay blocked, for attempts of earlier requests that still wait for a connection. The
// caller holds mu.
func (n *notices) setZones(zones map[string]string, evacuatedZones []string) {
	evacuated := make(map[string]string)
	if len(evacuatedZones) > 0 {
		for id, zone := range zones {
			if slices.Contains(evacuatedZones, zone) {
				evacuated[id] = zone
			}
		}
		unlisted := 0
		for _, earlier := range []map[string]string{n.zones, n.evacuated} {
			for id, zone := range earlier {
				if zones[id] == "" && evacuated[id] == "" && slices.Contains(evacuatedZones, zone) && unlisted < maxUnlistedEvacuated {
					evacuated[id] = zone
					unlisted++
				}
			}
		}
	}
	n.zones, n.evacuated = zones, evacuated
}

// setEvacuated marks the targets of evacuated zones. A target whose evacuation ends counts as cold from now on:
// it has served nothing meanwhile, and may have been restarted.
func (l *loadPolicy) setEvacuated(targets []CatalogueTarget) {
	now := l.now()
	for i := range targets {
		record := l.targets.Get(targets[i].ID)
		if record == nil {
			continue // A concurrent call has replaced the targets.
		}
		state := record.Lock()
		if state.evacuated && !targets[i].Evacuated {
			state.coldSince = now
		}
		state.evacuated = targets[i].Evacuated
		record.Unlock()
	}
}

// recordEvacuations logs, counts and audits the zones whose evacuation starts or ends with a catalogue. before
// lists the zones that were evacuated by the one before.
func (e *Engine) recordEvacuations(before []string, c *Catalogue) {
	e.metrics.EvacuatedZones.Set(int64(len(c.EvacuatedZones)))
	for _, zone := range c.EvacuatedZones {
		if !slices.Contains(before, zone) {
			e.recordEvacuation(c, zone, "evacuation started", "zone is evacuated; its targets get no requests")
		}
	}
	for _, zone := range before {
		if !slices.Contains(c.EvacuatedZones, zone) {
			e.recordEvacuation(c, zone, "evacuation ended", "evacuation of zone has ended; its targets get requests again, fewer at first")
		}
	}
}

func (e *Engine) recordEvacuation(c *Catalogue, zone, event, message string) {
	targets := 0
	for i := range c.Targets {
		if c.Targets[i].Zone == zone {
			targets++
		}
	}
	e.log.Warn().Str("zone", zone).Uint64("targets_revision", c.ListRevision).Int("targets", targets).Msg(message)
	e.audit.Record(time.Now(), audit.Evacuation, e.self.Entry,
		fmt.Sprintf("%s: zone %s with %d targets, target list revision %d", event, zone, targets, c.ListRevision))
}
