package targethttp

import (
	"bufio"
	"context"
	"net/http"
	"time"
)

// quietPeriods is the number of periods without any reply of the target after
// which a probe tells a silent target from silent connections.
const quietPeriods = 2

// watchSilence checks after each period without a reply whether the connection
// is silent. A period of zero turns the check off.
func (x *exchange) watchSilence(period time.Duration) {
	if period <= 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.silence = time.AfterFunc(period, func() { x.checkSilence(period) })
}

// checkSilence ends the exchange when later ones on other connections to the
// target had their replies: the target works, so the connection does not.
func (x *exchange) checkSilence(period time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	switch {
	case x.pool.overtaken(x.started):
		x.endSilent()
	case time.Since(x.started) >= quietPeriods*period && !x.pool.repliedAfter(x.started):
		go x.probe(period)
	default:
		x.silence.Reset(period)
	}
}

// endSilent ends the exchange because its connection is silent. mu must be held.
func (x *exchange) endSilent() {
	x.silent = true
	x.client.metrics.SilentConnection()
	// Connections without a reply since then may have gone silent with this one.
	x.pool.dropIdle(x.started)
	x.interrupt()
}

// probe asks the target for its status on a new connection. When it answers while
// no attempt had a reply, the connections are silent; without this, attempts that
// all wait on silent connections would give each other no evidence.
func (x *exchange) probe(timeout time.Duration) {
	answered := x.pool.probe(timeout)
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.ended:
	case answered && !x.pool.repliedAfter(x.started):
		x.endSilent()
	default:
		x.silence.Reset(timeout)
	}
}

// endSilenceWatch ends the checks and reports whether one found the connection
// silent.
func (x *exchange) endSilenceWatch() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	if x.silence != nil {
		x.silence.Stop()
	}
	return x.silent
}

// probe reports whether the target answers a request for its status on a new
// connection within the timeout.
func (p *pool) probe(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	nc, err := p.dial.DialContext(ctx, "tcp", p.address)
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
