package loadmodel

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/balsamstall/balsamstall/coordination/detour"
)

// peerOneWayDelay is the one-way network delay between two entries.
const peerOneWayDelay = time.Millisecond

// cut reports whether an entry is partitioned from all targets.
func (s *simulation) cut(entry int) bool {
	now := s.now()
	return entry < s.load.Detached && now >= s.load.DetachedStart && now < s.load.DetachedEnd
}

// reachedByPeers returns targets that have recently replied to a random other entry.
func (s *simulation) reachedByPeers(entry int) []string {
	time.Sleep(2 * peerOneWayDelay)
	if len(s.engines) < 2 {
		return nil
	}
	peer := (entry + 1 + rand.IntN(len(s.engines)-1)) % len(s.engines)
	return s.engines[peer].RecentlyReached()
}

// runningEntry returns the entry that runs a search of the given entry: a peer if the entry is detached.
func (s *simulation) runningEntry(entry int) int {
	if s.load.NoDetour || !s.engines[entry].Detached() {
		return entry
	}
	var peers []detour.Peer
	for i, e := range s.engines {
		if i != entry && !e.Detached() {
			peers = append(peers, detour.Peer{ID: strconv.Itoa(i)})
		}
	}
	order := detour.Order(globalRand{}, peers, 1)
	if len(order) == 0 {
		return entry
	}
	peer, err := strconv.Atoi(order[0].ID)
	if err != nil {
		return entry
	}
	time.Sleep(2 * peerOneWayDelay) // The offer.
	return peer
}

// globalRand is the global random source of math/rand/v2, which is safe for concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }
