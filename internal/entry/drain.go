package entry

import (
	"context"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/state/audit"
)

// handoverTimeout limits the handover to one successor.
const handoverTimeout = 3 * time.Second

// drain performs a graceful shutdown: it reports not ready, waits until the balancer has noticed,
// finishes the requests in flight and hands over the journal.
func (d *Daemon) drain() {
	d.engine.draining.Store(true)
	d.audit.Record(time.Now(), audit.DrainStarted, d.self.Entry, "not ready; finishing requests in flight")
	d.syncer.SetDraining()
	time.Sleep(time.Duration(d.settings.BalancerDelayMS) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.DrainTimeoutMS)*time.Millisecond)
	defer cancel()
	if err := d.engine.Stop(ctx); err != nil {
		d.log.Error().Err(err).Msg("drain timeout expired with requests still running")
	}
	d.handOver()
	d.audit.Record(time.Now(), audit.Stopped, d.self.Entry, "requests in flight have finished")
}

// handOver sends the journal to a successor and announces the successor to every peer.
func (d *Daemon) handOver() {
	parts, err := d.engine.HandoverParts()
	if err != nil {
		d.log.Error().Err(err).Msg("cannot export the journal")
		return
	}
	for _, m := range d.successorCandidates() {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		accepted := true
		for _, part := range parts {
			reply, err := d.pool.Handover(ctx, m.Address, part)
			if err != nil || !reply.Accepted {
				d.log.Warn().Str("peer", m.Entry).Err(err).Msg("handover failed; trying the next peer")
				accepted = false
				break
			}
		}
		cancel()
		if !accepted {
			continue
		}
		d.facts.addSuccession(d.self.Incarnation, m.Entry, m.Incarnation)
		d.audit.Record(time.Now(), audit.Succession, d.self.Entry, "journal handed over to "+m.Entry)
		d.syncer.Announce(context.Background())
		return
	}
	if len(d.settings.Peers) > 0 {
		d.log.Warn().Msg("no peer accepted the journal; permits issued by this entry become void")
	}
}

// successorCandidates returns the live peers that are not draining, those of this zone first.
func (d *Daemon) successorCandidates() []configsync.Member {
	var live []configsync.Member
	for _, m := range d.syncer.Members() {
		if m.Entry != d.self.Entry && m.Alive && !m.Draining {
			live = append(live, m)
		}
	}
	slices.SortStableFunc(live, func(a, b configsync.Member) int {
		return sameZoneRank(b, d.self.Zone) - sameZoneRank(a, d.self.Zone)
	})
	return live
}

// sameZoneRank returns 1 for a member of the given zone and 0 for any other.
func sameZoneRank(m configsync.Member, zone string) int {
	if m.Zone == zone {
		return 1
	}
	return 0
}
