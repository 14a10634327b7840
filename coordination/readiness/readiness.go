// Package readiness decides whether an entry reports itself ready to the load balancer. It
// handles the partition of an availability zone from the other zones: entries of that zone
// cannot reach enough shards, entries of other zones can, and callers can reach both.
//
// Failing requests alone do not make an entry not ready: when targets are down, all entries
// would turn callers away. Only an entry that has no contact with entries of another zone has
// reason to assume that those can serve.
//
// All times are durations since an arbitrary origin that is the same for every call. A Checker
// is not safe for concurrent use.
package readiness

import "time"

// Settings configures a Checker.
type Settings struct {
	// SilenceTimeout is the time without contact with another zone after which the entry may be
	// partitioned. The default is 1.5 s, three exchange intervals. With 1 s, entries of every
	// zone briefly considered themselves partitioned after a power loss.
	SilenceTimeout time.Duration
	// UnreachableTimeout replaces SilenceTimeout while no target of another zone can be reached
	// either. The default is 400 ms.
	UnreachableTimeout time.Duration
	// Window is the length of the windows in which results are counted. The current and the
	// previous window are used. The default is 1 s.
	Window time.Duration
	// MaxFailureRatio is the ratio of failed requests above which the entry counts as unable to
	// serve. The default is 0.5.
	MaxFailureRatio float64
	// MinRequests is the minimum number of requests for such a conclusion. The default is 4.
	MinRequests int
	// MaxNotReady is the time after which an entry becomes ready again, even without contact
	// with another zone. The default is 15 s.
	MaxNotReady time.Duration
	// PeerPartitionTTL is the time for which a report of RecordPeerPartitioned is valid. The
	// default is 2 s.
	PeerPartitionTTL time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{SilenceTimeout: 1500 * time.Millisecond, UnreachableTimeout: 400 * time.Millisecond, Window: time.Second, MaxFailureRatio: 0.5, MinRequests: 4, MaxNotReady: 15 * time.Second, PeerPartitionTTL: 2 * time.Second}
}

// Checker holds the state that determines the readiness of one entry. Create it with New.
type Checker struct {
	settings Settings
	// counts holds the results of the current and the previous window.
	counts      [2]struct{ served, failed int }
	windowStart time.Duration
	notReady    bool
	// notReadySince is the time at which the entry became not ready.
	notReadySince time.Duration
	// byOwnResults is set while the entry is not ready because of its own results.
	byOwnResults bool
	// peerPartitionedAt is the time of the last RecordPeerPartitioned. It is valid if
	// peerPartitioned is set.
	peerPartitionedAt time.Duration
	peerPartitioned   bool
}

// New returns a Checker of an entry that is ready.
func New(s Settings, now time.Duration) *Checker { return &Checker{settings: s, windowStart: now} }

// RecordResult counts a finished request. served reports whether it succeeded.
func (c *Checker) RecordResult(now time.Duration, served bool) {
	c.rotate(now)
	if served {
		c.counts[0].served++
	} else {
		c.counts[0].failed++
	}
}

// RecordPeerPartitioned records that an entry of the same zone is partitioned according to its
// own results. In a zone of many entries, each has few requests and would detect the partition
// late. The balancer sends callers to other zones only when all entries of a zone are not ready.
func (c *Checker) RecordPeerPartitioned(now time.Duration) {
	c.peerPartitionedAt, c.peerPartitioned = now, true
}

// Partitioned reports whether the entry is not ready because of its own results. Only such an
// entry reports to its peers, so that a report is not passed on in circles.
func (c *Checker) Partitioned() bool { return c.notReady && c.byOwnResults }

// Ready reports whether the entry should receive callers. lastHeard is the time of the last
// contact with an entry of another zone. otherZoneKnown is false while no other zone is known.
// unreachable is set while no target of another zone can be reached.
func (c *Checker) Ready(now, lastHeard time.Duration, otherZoneKnown, unreachable bool) bool {
	c.rotate(now)
	timeout := c.settings.SilenceTimeout
	if unreachable {
		timeout = c.settings.UnreachableTimeout
	}
	silent := otherZoneKnown && now-lastHeard > timeout
	switch {
	case c.notReady && (!silent || now-c.notReadySince > c.settings.MaxNotReady):
		c.notReady, c.byOwnResults, c.peerPartitioned = false, false, false
		c.counts[0].failed, c.counts[1].failed = 0, 0
	case !c.notReady && silent && (c.failing() || c.peerPartitioned && now-c.peerPartitionedAt <= c.settings.PeerPartitionTTL && !c.serving()):
		c.notReady, c.notReadySince = true, now
	}
	c.byOwnResults = c.notReady && (c.byOwnResults || c.failing())
	return !c.notReady
}

// failing reports whether the entry's own results show that it cannot serve, and serving whether
// they show that it can. With few requests both return false.
func (c *Checker) failing() bool {
	failed, total := c.results()
	return total >= c.settings.MinRequests && float64(failed) > c.settings.MaxFailureRatio*float64(total)
}

func (c *Checker) serving() bool {
	_, total := c.results()
	return total >= c.settings.MinRequests && !c.failing()
}

// results returns the numbers of failed and of all requests in both windows.
func (c *Checker) results() (failed, total int) {
	for _, count := range c.counts {
		failed += count.failed
		total += count.served + count.failed
	}
	return failed, total
}

func (c *Checker) rotate(now time.Duration) {
	for now-c.windowStart >= c.settings.Window {
		c.counts[1] = c.counts[0]
		c.counts[0].served, c.counts[0].failed = 0, 0
		c.windowStart += c.settings.Window
		if now-c.windowStart > 2*c.settings.Window {
			c.windowStart = now - now%c.settings.Window
		}
	}
}
