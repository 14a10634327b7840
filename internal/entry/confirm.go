package entry

import (
	"expvar"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/coordination/confirm"
	"github.com/balsamstall/balsamstall/internal/configsync"
	"github.com/balsamstall/balsamstall/internal/settings"
)

const (
	// confirmReserveDivisor reserves a quarter of the time within which a change must be in force for the
	// read of an entry whose documents are unconfirmed.
	confirmReserveDivisor = 4
	// confirmCallShare is the share of the store's calls that such reads may use.
	confirmCallShare = 0.5
)

// confirmSettings returns when an entry that is not a watcher reads the store. The read, and what it
// changes, take the rest of the bound.
func confirmSettings(set *settings.Relay) confirm.Settings {
	if len(set.ChangeBoundsMS) == 0 {
		return confirm.Settings{}
	}
	bound := time.Duration(slices.Min(set.ChangeBoundsMS)) * time.Millisecond
	return confirm.Settings{MaxAge: bound - bound/confirmReserveDivisor, CallsPerSecond: set.StoreCallsPerS * confirmCallShare}
}

// confirmedAges returns the function of Metrics.ConfirmedAge.
func confirmedAges(syncer *configsync.Syncer, keys ...string) expvar.Func {
	return func() any {
		ages := make(map[string]int64, len(keys))
		for _, key := range keys {
			if at := syncer.ConfirmedAt(key); !at.IsZero() {
				ages[key] = time.Since(at).Milliseconds()
			}
		}
		return ages
	}
}
