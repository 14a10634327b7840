package entry

import (
	"time"

	"github.com/balsamstall/balsamstall/state/audit"
)

const (
	// balancerDelay is the time from a stop signal until the balancer opens no new connections:
	// two readiness checks at intervals of one second, and a margin for a check in transit.
	balancerDelay = 2500 * time.Millisecond
	// acceptFraction is the fraction of the grace period in which a stopping entry takes new requests.
	// The rest is for those that run.
	acceptFraction = 0.5
	// stopReserve is the time reserved for sending the last answers and exiting before the process
	// is killed.
	stopReserve = 700 * time.Millisecond
	// stopPollInterval is the interval at which a stopping entry checks for running requests.
	stopPollInterval = 20 * time.Millisecond
)

// drain performs a graceful shutdown: it reports not ready immediately, and serves requests on open
// connections until the balancer has noticed and no request is running, or half of the grace period is
// over. Then it refuses new requests, and ends when no request is running, or the grace period is nearly
// over.
func (d *RelayDaemon) drain() {
	start := time.Now()
	grace := seconds(d.settings.GraceS)
	end := start.Add(grace - 2*stopReserve)
	lastAccept := start.Add(min(time.Duration(acceptFraction*float64(grace)), grace-2*stopReserve))
	d.relay.BeginDrain()
	d.syncer.SetDraining()
	d.audit.Record(start, audit.DrainStarted, d.self.Entry, "not ready; serving requests until the balancer has noticed")
	time.Sleep(min(balancerDelay, time.Until(lastAccept)))
	d.awaitIdle(lastAccept)
	d.relay.RefuseNew()
	d.awaitIdle(end)
	d.relay.Abort()
	d.audit.Record(time.Now(), audit.Stopped, d.self.Entry, "closing connections")
}

// awaitIdle waits until no request is running, or until end.
func (d *RelayDaemon) awaitIdle(end time.Time) {
	for d.relay.Running() > 0 && time.Now().Before(end) {
		time.Sleep(stopPollInterval)
	}
}
