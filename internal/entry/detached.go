package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/detour"
	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/transport/peerrpc"
)

const (
	// peersAsked is the number of peers that an entry asks which targets they reach.
	peersAsked = 3
	// peerSilence is the time without news after which a peer is not asked and gets no requests.
	peerSilence = 1500 * time.Millisecond
)

// attachedPeers returns the peers that were heard recently and reach targets. Among them may be entries
// that are stopping: the flag for that is also set while an entry has yielded the watcher role.
func attachedPeers(s *configsync.Syncer) []configsync.Member {
	now := time.Now()
	return slices.DeleteFunc(s.Members(), func(m configsync.Member) bool {
		return m.Incarnation == (ids.Incarnation{}) || m.Detached || now.Sub(m.LastSeen) > peerSilence
	})
}

// detourPeers returns the peers that may run requests while this entry reaches no target.
func detourPeers(s *configsync.Syncer) []detour.Peer {
	members := attachedPeers(s)
	peers := make([]detour.Peer, len(members))
	for i, m := range members {
		peers[i] = detour.Peer{ID: m.Entry, Address: m.Address, Capacity: m.Capacity}
	}
	return peers
}

// reachedTargets asks random peers, most of them with a large capacity, for targets that have recently
// replied to them. The entries with the largest capacity have the densest traffic.
func reachedTargets(ctx context.Context, syncer *configsync.Syncer, pool *peerrpc.Pool, log zerolog.Logger) []string {
	peers := attachedPeers(syncer)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if len(peers) > 1 {
		slices.SortStableFunc(peers[1:], func(a, b configsync.Member) int { return int(b.Capacity) - int(a.Capacity) })
	}
	var mu sync.Mutex
	var targets []string
	var calls sync.WaitGroup
	for _, peer := range peers[:min(len(peers), peersAsked)] {
		calls.Go(func() {
			reply, err := pool.Reached(ctx, peer.Address)
			if err != nil {
				log.Debug().Err(err).Str("peer", peer.Entry).Msg("peer did not tell which targets it reaches")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, t := range reply.Targets {
				if !slices.Contains(targets, t) {
					targets = append(targets, t)
				}
			}
		})
	}
	calls.Wait()
	return targets
}
