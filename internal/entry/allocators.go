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
// heard of recently. A draining entry stays among them, because entries that merely cannot read the
// platform count as draining too.
func allocatorFleet(self ratelimit.Entry, s *configsync.Syncer) targetrate.Fleet {
	fleet := targetrate.Fleet{Entries: []ratelimit.Entry{self}}
	now := time.Now()
	for _, m := range s.Members() {
		if m.Entry != self.ID && m.Incarnation != (ids.Incarnation{}) && now.Sub(m.LastSeen) < allocatorRetention {
			fleet.Entries = append(fleet.Entries, ratelimit.Entry{ID: m.Entry, Zone: m.Zone, Address: m.Address})
		}
	}
	return fleet
}
