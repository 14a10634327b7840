package target

import (
	"net"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
)

// listenRetry is the pause between attempts to listen again after a crash,
// should the port be taken for a moment.
const listenRetry = 50 * time.Millisecond

// Crash resets all connections, refuses new ones for the restart time, and then
// serves again, cold. It returns after the resets. A crash during the restart
// time has no effect.
func (t *Target) Crash(restart time.Duration) { t.crash(restart, nil) }

// crash is Crash that leaves the connection keep alone.
func (t *Target) crash(restart time.Duration, keep *tracked.Conn) {
	t.mu.Lock()
	listener := t.listener
	if listener == nil || t.closed {
		t.mu.Unlock()
		return
	}
	t.listener, t.server = nil, nil
	// The timer is set under the mutex so that Close finds it.
	t.restart = time.AfterFunc(restart, t.relisten)
	t.mu.Unlock()

	t.log.Warn().Dur("restart", restart).Msg("crashed")
	crashed := t.record.crash()
	t.counts.add(func(c *Counters) {
		c.Crashes++
		c.Crashed += crashed
	})
	listener.Shut(keep)
}

func (t *Target) relisten() {
	ln, err := net.Listen("tcp", t.Addr())
	if err == nil {
		t.Start(ln)
		return
	}
	t.log.Warn().Err(err).Msg("cannot listen again yet")
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.restart = time.AfterFunc(listenRetry, t.relisten)
	}
}
