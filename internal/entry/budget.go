package entry

import (
	"expvar"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/balsamstall/balsamstall/state/bytebudget"
)

// giveWayLineInterval limits the log lines about refused and evicted callers. One line suffices to find the
// cause; the metrics have the numbers.
const giveWayLineInterval = time.Second

// newBudget returns the budget of held bytes of a process and publishes it in the metrics.
func newBudget(limit int64, m *Metrics, log zerolog.Logger) *bytebudget.Budget {
	lines := rate.NewLimiter(rate.Every(giveWayLineInterval), 1)
	b := bytebudget.New(limit, func(reason bytebudget.Reason, kind bytebudget.Kind) {
		if lines.Allow() {
			log.Warn().Str("reason", reason.String()).Str("kind", kind.String()).Int64("limit", limit).
				Msg("the bound on held bytes or on connections of callers is reached")
		}
	})
	m.HeldBytes = expvar.Func(func() any { return b.Held() })
	m.GaveWay = expvar.Func(func() any { return b.GaveWay() })
	return b
}
