package target

import (
	"net"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
)

// listenRetryInterval is the pause between attempts to listen again after a crash if the port is in
// use.
const listenRetryInterval = 50 * time.Millisecond

// Crash resets all connections, refuses new ones for the downtime and then serves again with a cold
// target. It returns after the resets. A crash during the downtime has no effect.
func (t *Target) Crash(downtime time.Duration) { t.crash(downtime, nil) }

// crash is like Crash, but does not reset the connection keep, which may be nil.
func (t *Target) crash(downtime time.Duration, keep *tracked.Conn) {
	t.mu.Lock()
	listener := t.listener
	if listener == nil || t.closed {
		t.mu.Unlock()
		return
	}
	t.listener, t.server = nil, nil
	// The timer is started with the mutex held, so that Close can stop it.
	t.restartTimer = time.AfterFunc(downtime, t.resumeListening)
	t.mu.Unlock()

	t.log.Warn().Dur("restart", downtime).Msg("crashed")
	crashed := t.record.endRunning()
	t.counts.update(func(c *Counters) {
		c.Crashes++
		c.Crashed += crashed
	})
	listener.CloseAndReset(keep)
}

// resumeListening listens on the address again, with retries, and serves it.
func (t *Target) resumeListening() {
	ln, err := net.Listen("tcp", t.Addr())
	if err == nil {
		t.Start(ln)
		return
	}
	t.log.Warn().Err(err).Msg("cannot listen again yet")
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.restartTimer = time.AfterFunc(listenRetryInterval, t.resumeListening)
	}
}
