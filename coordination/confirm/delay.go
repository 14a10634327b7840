package confirm

import (
	"time"

	"github.com/balsamstall/balsamstall/protocol/ids"
)

const (
	// unknownDelay is assumed for the first message of a process. It is the time after which an entry gives
	// up a call to another one.
	unknownDelay = time.Second
	// minDelay is added for the time on the way of the fastest message, which is in no estimate. It exceeds
	// the delay between regions.
	minDelay = 50 * time.Millisecond
	// maxProcesses limits the processes whose messages are compared.
	maxProcesses = 8192
)

// Delays estimates how long messages from other entries were on their way, so that an age stated in a
// message can be corrected. A message may wait in a socket for seconds if its sender, its receiver or the
// path between them is paused. It is not safe for concurrent use. The zero value is ready for use.
type Delays struct {
	started map[string]process
}

// process is the latest process of an entry.
type process struct {
	incarnation ids.Incarnation
	// at is its start by the clock of this entry, as late as the fastest of its messages was on its way.
	at time.Time
}

// Estimate returns how long a message that arrived at now was on its way at most. uptime is the age of the
// sending process as stated in the message, or zero if it is not stated.
func (d *Delays) Estimate(now time.Time, entry string, incarnation ids.Incarnation, uptime time.Duration) time.Duration {
	if uptime <= 0 {
		return unknownDelay
	}
	at := now.Add(-uptime)
	p, known := d.started[entry]
	switch {
	case known && p.incarnation == incarnation && !at.Before(p.at):
		return at.Sub(p.at) + minDelay
	case !known && len(d.started) >= maxProcesses:
		return unknownDelay
	case d.started == nil:
		d.started = make(map[string]process)
	}
	d.started[entry] = process{incarnation: incarnation, at: at}
	if known && p.incarnation == incarnation {
		return minDelay
	}
	return unknownDelay
}
