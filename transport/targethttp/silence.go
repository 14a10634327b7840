package targethttp

import (
	"bufio"
	"context"
	"net/http"
	"time"
)

// probeAfterPeriods is the number of periods without any reply from the target after which a probe
// determines whether the target or only its connections are silent.
const probeAfterPeriods = 2

// startSilenceCheck starts to check, after each period without a reply, whether the connection is
// silent. A period of zero disables the check.
func (x *exchange) startSilenceCheck(period time.Duration) {
	if period <= 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.silenceTimer = time.AfterFunc(period, func() { x.checkSilence(period) })
}

// checkSilence fails the exchange if a later one on another connection to the target has had its
// reply: the target works, so the connection is silent.
func (x *exchange) checkSilence(period time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	switch {
	case x.pool.laterExchangeReplied(x.started):
		x.failSilent()
	case time.Since(x.started) >= probeAfterPeriods*period && !x.pool.repliedAfter(x.started):
		go x.probe(period)
	default:
		x.silenceTimer.Reset(period)
	}
}

// failSilent interrupts the exchange because its connection is silent. mu must be held.
func (x *exchange) failSilent() {
	x.silent = true
	x.client.metrics.SilentConnection()
	// Idle connections without a reply since the exchange started may be silent too.
	x.pool.closeIdle(x.started)
	x.interrupt()
}

// probe requests the target's status on a new connection. If the target replies while no attempt
// has had a reply, the existing connections are silent. Without the probe, silent connections
// would not be detected while all attempts wait on such connections, because no later attempt gets
// a reply.
func (x *exchange) probe(timeout time.Duration) {
	answered := x.pool.probe(timeout)
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.ended:
	case answered && !x.pool.repliedAfter(x.started):
		x.failSilent()
	default:
		x.silenceTimer.Reset(timeout)
	}
}

// stopSilenceCheck stops the checks and reports whether one found the connection silent.
func (x *exchange) stopSilenceCheck() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	if x.silenceTimer != nil {
		x.silenceTimer.Stop()
	}
	return x.silent
}

// probe reports whether the target replies to a status request on a new connection within the
// timeout.
func (p *pool) probe(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return false
	}
	defer nc.Close()
	deadline, _ := ctx.Deadline()
	nc.SetDeadline(deadline)
	if _, err := nc.Write(statusMessage(p.address)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
