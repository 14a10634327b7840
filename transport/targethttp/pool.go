package targethttp

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/connshare"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// dialer opens connections. net.Dialer implements it.
type dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// processStart is the origin of the time that the pacers use.
var processStart = time.Now()

// monotonic returns the time since processStart.
func monotonic() time.Duration { return time.Since(processStart) }

// globalRand is the global random source of math/rand/v2, which is safe for concurrent use.
type globalRand struct{}

func (globalRand) Float64() float64 { return rand.Float64() }

func newPool(address string, d dialer) *pool {
	return &pool{address: address, dialer: d, pacer: connshare.NewPacer(connshare.DefaultSettings())}
}

// pool holds the connections to one target.
type pool struct {
	address string
	dialer  dialer

	mu sync.Mutex
	// idle is a stack, so that surplus connections stay idle and expire. Guarded by mu.
	idle []*conn
	// open counts idle, busy and dialing connections. Guarded by mu.
	open int
	// limit is this entry's share of the target's connection limit. Guarded by mu.
	limit int
	// transient is set if connections are closed after use, because this entry has a share of
	// zero. Guarded by mu.
	transient bool
	// waiters are served first come, first served. Guarded by mu.
	waiters []chan *conn
	// peak and lastPeak are the largest numbers of busy connections in the current and in the
	// previous peak window. Guarded by mu.
	peak, lastPeak int
	// peakWindowStart is the start of the current peak window. Guarded by mu.
	peakWindowStart time.Time
	// newestRepliedStart is the latest start time of an exchange that has had its reply. Guarded
	// by mu.
	newestRepliedStart time.Time
	// lastReply is the time of the latest reply. Guarded by mu.
	lastReply time.Time
	// pacer spaces the dials that add connections. Guarded by mu.
	pacer *connshare.Pacer
	// closed is set when the target was removed from the sheet. Guarded by mu.
	closed bool
}

// acquire returns an idle connection, opens one within the limit, or waits for one. If fresh is
// set, it never returns a connection that was used before. Every error has the outcome NotRun.
func (p *pool) acquire(ctx context.Context, fresh bool) (*conn, error) {
	c, err := p.takeOrOpen(ctx, fresh)
	if err == nil {
		p.mu.Lock()
		p.peak = max(p.peak, p.open-len(p.idle))
		p.mu.Unlock()
	}
	return c, err
}

// acquireForAttempt acquires a connection and then asks opt.MaySend whether to use it. It is not used if the target
// was removed while it was opened. An attempt whose ctx has ended meanwhile is not sent: its outcome would be
// unknown for nothing.
func (p *pool) acquireForAttempt(ctx context.Context, target string, opt Options) (*conn, error) {
	c, err := p.acquire(ctx, opt.FreshConnection)
	if err != nil {
		return nil, err
	}
	if opt.MaySend != nil {
		err = opt.MaySend(target)
	}
	if err == nil && p.isClosed() {
		err = p.removedError()
	}
	if err == nil && ctx.Err() != nil {
		err = contextError(ctx, status.NotRun, "nothing was sent to target "+p.address)
	}
	if err != nil {
		p.release(c)
		return nil, err
	}
	return c, nil
}

// takeOrOpen is acquire without the update of the peak.
func (p *pool) takeOrOpen(ctx context.Context, fresh bool) (*conn, error) {
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, p.removedError()
		}
		if !fresh && len(p.idle) > 0 {
			c := p.idle[len(p.idle)-1]
			p.idle = p.idle[:len(p.idle)-1]
			p.mu.Unlock()
			if c.alive() {
				return c, nil
			}
			p.discard(c)
			continue
		}
		if fresh && p.open >= p.limit && len(p.idle) > 0 {
			// Makes room for a new connection by closing the oldest idle one.
			c := p.idle[0]
			p.idle = p.idle[1:]
			p.open--
			p.mu.Unlock()
			c.Close()
			continue
		}
		if p.open < p.limit {
			wait, ok := p.reserveDial(fresh)
			switch {
			case ok && wait == 0:
				p.open++
				p.mu.Unlock()
				return p.connect(ctx)
			case ok:
				// The connection goes to the first waiter. This caller may get another
				// connection earlier.
				p.open++
				time.AfterFunc(wait, p.connectIdle)
			case p.open == 0:
				p.mu.Unlock()
				return nil, status.New(status.ConnectionFailed, status.NotRun, "dials to target %s are backing off", p.address)
			}
		}
		ready := make(chan *conn, 1)
		p.waiters = append(p.waiters, ready)
		p.mu.Unlock()
		c, err := p.awaitConn(ctx, ready)
		if err != nil {
			return nil, err
		}
		if c == nil {
			continue // A slot became free.
		}
		if fresh || !c.alive() {
			p.discard(c)
			continue
		}
		return c, nil
	}
}

// reserveDial returns the time to wait before a dial. It reports false during a backoff. A dial for
// an attempt that needs a fresh connection is not paced, because the attempts bound its rate. mu
// must be held.
func (p *pool) reserveDial(fresh bool) (time.Duration, bool) {
	if fresh {
		return 0, true
	}
	return p.pacer.Reserve(monotonic(), globalRand{})
}

// connectIdle opens a connection for a slot that is already counted in open and hands it to the
// first waiter.
func (p *pool) connectIdle() {
	ctx, cancel := context.WithTimeout(context.Background(), DefaultDialTimeout)
	defer cancel()
	// A failed dial has already freed the slot and woken a waiter.
	if c, err := p.connect(ctx); err == nil {
		p.release(c)
	}
}

// awaitConn waits for a connection. A nil connection without an error means that a slot is free.
func (p *pool) awaitConn(ctx context.Context, ready chan *conn) (*conn, error) {
	select {
	case c := <-ready:
		return c, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, w := range p.waiters {
		if w == ready {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return nil, contextError(ctx, status.NotRun, "no connection to target "+p.address+" became free")
		}
	}
	p.mu.Unlock()
	// The wake-up came at the same time as the end of ctx. Pass it on to the next waiter.
	if c := <-ready; c != nil {
		p.release(c)
	} else {
		p.wakeWaiter()
	}
	return nil, contextError(ctx, status.NotRun, "no connection to target "+p.address+" became free")
}

// connect opens a connection for a slot that the caller holds.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", p.address)
	p.recordDial(ctx, err)
	if err != nil {
		if ctx.Err() != nil {
			return nil, contextError(ctx, status.NotRun, "dial target "+p.address)
		}
		return nil, status.Wrap(err, status.ConnectionFailed, status.NotRun, "dial target %s", p.address)
	}
	return newConn(nc, time.Now()), nil
}

// recordDial records the result of a dial and frees the slot if it failed. A dial that failed
// because ctx ended is not counted against the target.
func (p *pool) recordDial(ctx context.Context, err error) {
	p.mu.Lock()
	switch {
	case err == nil:
		p.pacer.RecordSuccess()
	case ctx.Err() == nil:
		p.pacer.RecordFailure(monotonic(), globalRand{})
	}
	if err != nil {
		p.open--
	}
	p.mu.Unlock()
	if err != nil {
		p.wakeWaiter()
	}
}

// recordRefusal starts the backoff of dials after the target closed a connection before its first
// reply, as it does with connections above its limit.
func (p *pool) recordRefusal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.RecordFailure(monotonic(), globalRand{})
}

// release returns a healthy connection to the pool.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	if p.closed || p.open > p.limit || p.transient && len(p.waiters) == 0 {
		p.open--
		p.mu.Unlock()
		c.Close()
		return
	}
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		p.mu.Unlock()
		w <- c
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection and frees its slot.
func (p *pool) discard(c *conn) {
	c.Close()
	p.forget()
}

// forget frees the slot of a connection that its user closes.
func (p *pool) forget() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.wakeWaiter()
}

// wakeWaiter tells the first waiter that a slot is free.
func (p *pool) wakeWaiter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) == 0 || p.open >= p.limit {
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w <- nil
}

// recordReply records the reply of an exchange that started at the given time.
func (p *pool) recordReply(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReply = time.Now()
	if sent.After(p.newestRepliedStart) {
		p.newestRepliedStart = sent
	}
}

// repliedAfter reports whether any exchange has had its reply after t.
func (p *pool) repliedAfter(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReply.After(t)
}

// laterExchangeReplied reports whether an exchange that started after t has had its reply. A slow
// target may also reply out of order, but rarely by as much time as the caller waits before the
// check.
func (p *pool) laterExchangeReplied(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newestRepliedStart.After(t)
}

// closeIdle closes the idle connections whose last reply came before t. It returns their number.
func (p *pool) closeIdle(t time.Time) int {
	p.mu.Lock()
	var stale []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastReply.Before(t) {
			stale = append(stale, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.open -= len(stale)
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
		p.wakeWaiter()
	}
	return len(stale)
}

// setLimit changes the share and closes idle connections above it. A share of zero allows one
// connection, which is closed after use.
func (p *pool) setLimit(n int) {
	p.mu.Lock()
	p.limit, p.transient = max(n, 1), n <= 0
	p.pacer.SetRate(max(float64(p.limit), connshare.DefaultSettings().DialsPerSecond), max(p.limit/2, connshare.DefaultSettings().Burst))
	var surplus []*conn
	for (p.open > p.limit || p.transient) && len(p.idle) > 0 {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	p.mu.Unlock()
	for _, c := range surplus {
		c.Close()
	}
	p.wakeWaiter()
}

// openCount returns the number of open connections.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// isClosed reports whether the target was removed.
func (p *pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *pool) removedError() error {
	return status.New(status.ConnectionFailed, status.NotRun, "target %s was removed", p.address)
}

// close closes the idle connections. Busy ones are closed when they are released.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	waiters := p.waiters
	p.waiters = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
	for _, w := range waiters {
		w <- nil
	}
}
