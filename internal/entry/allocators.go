package entry

import (
	"time"

	"github.com/balsamstall/balsamstall/coordination/homes"
	"github.com/balsamstall/balsamstall/coordination/ratelimit"
	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/internal/targetrate"
	"github.com/balsamstall/balsamstall/protocol/ids"
)

// allocatorRetention is the time without news of an entry after which it no longer allocates the rate
// limits of targets. It is long enough for news to reach every entry of a large fleet, so that entries
// agree on the allocators.
const allocatorRetention = homes.DefaultReplaceAfter

// allocatorFleet returns the entries that may allocate the rate limits of targets: those that were
// heard of recently and reach targets. A draining entry stays among them, because entries that merely
// cannot read the platform count as draining too. detached is set while this entry reaches no target; it
// is among them then only if there is no other.
func allocatorFleet(self ratelimit.Entry, detached bool, s *configsync.Syncer) targetrate.Fleet {
	var fleet targetrate.Fleet
	now := time.Now()
	for _, m := range s.Members() {
		if m.Entry != self.ID && m.Incarnation != (ids.Incarnation{}) && !m.Detached && now.Sub(m.LastSeen) < allocatorRetention {
			fleet.Entries = append(fleet.Entries, ratelimit.Entry{ID: m.Entry, Zone: m.Zone, Address: m.Address})
		}
	}
	if !detached || len(fleet.Entries) == 0 {
		fleet.Entries = append(fleet.Entries, self)
	}
	return fleet
}
