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

// processStart is the origin of the clock of the pacers.
var processStart = time.Now()

func monotonic() time.Duration { return time.Since(processStart) }

// globalRand is the random source of math/rand/v2, which needs no lock.
type globalRand struct{}

func (globalRand) Float64() float64 { return rand.Float64() }

func newPool(address string, dial dialer) *pool {
	return &pool{address: address, dial: dial, pacer: connshare.NewPacer(connshare.DefaultSettings())}
}

// pool holds the connections to one target.
type pool struct {
	address string
	dial    dialer

	mu sync.Mutex
	// idle is a stack, so that surplus connections age out. Guarded by mu.
	idle []*conn
	// open counts idle, busy and dialling connections. Guarded by mu.
	open int
	// limit is this entry's share of the target's connection cap. Guarded by mu.
	limit int
	// transient is set when connections are closed after use, because this entry has no
	// share. Guarded by mu.
	transient bool
	// waiters are served first come, first served. Guarded by mu.
	waiters []chan *conn
	// peak and lastPeak are the largest numbers of busy connections in the running
	// and in the previous peak window. Guarded by mu.
	peak, lastPeak int
	// peakSince is the start of the running peak window. Guarded by mu.
	peakSince time.Time
	// answered is the latest send time of an exchange that had its reply. Guarded by mu.
	answered time.Time
	// lastReply is the time of the latest reply. Guarded by mu.
	lastReply time.Time
	// pacer spaces the dials that add connections. Guarded by mu.
	pacer *connshare.Pacer
	// closed is set when the target left the sheet. Guarded by mu.
	closed bool
}

// acquire returns an idle connection, opens one within the limit, or waits for
// one. With fresh set it never returns a connection that was used before.
// Every error has the outcome NotRun.
func (p *pool) acquire(ctx context.Context, fresh bool) (*conn, error) {
	c, err := p.take(ctx, fresh)
	if err == nil {
		p.mu.Lock()
		p.peak = max(p.peak, p.open-len(p.idle))
		p.mu.Unlock()
	}
	return c, err
}

// acquireFor is acquire for an attempt that may still be sent when it has its connection.
func (p *pool) acquireFor(ctx context.Context, target string, opt Options) (*conn, error) {
	c, err := p.acquire(ctx, opt.FreshConnection)
	if err != nil || opt.MaySend == nil {
		return c, err
	}
	if err := opt.MaySend(target); err != nil {
		p.release(c)
		return nil, err
	}
	return c, nil
}

func (p *pool) take(ctx context.Context, fresh bool) (*conn, error) {
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, status.New(status.ConnectionFailed, status.NotRun, "target %s was removed", p.address)
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
			wait, ok := p.reserve(fresh)
			switch {
			case ok && wait == 0:
				p.open++
				p.mu.Unlock()
				return p.connect(ctx)
			case ok:
				// The connection goes to the first waiter, which may get another
				// one before.
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
		c, err := p.await(ctx, ready)
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

// reserve returns the time to wait before a dial. It reports false during a
// backoff. A dial for one attempt that needs a fresh connection is not paced:
// the attempts bound its rate. mu must be held.
func (p *pool) reserve(fresh bool) (time.Duration, bool) {
	if fresh {
		return 0, true
	}
	return p.pacer.Reserve(monotonic(), globalRand{})
}

// connectIdle opens a connection for a slot that is counted in open and hands
// it to the first waiter.
func (p *pool) connectIdle() {
	ctx, cancel := context.WithTimeout(context.Background(), DefaultDialTimeout)
	defer cancel()
	// A failed dial has freed the slot and told a waiter.
	if c, err := p.connect(ctx); err == nil {
		p.release(c)
	}
}

// await waits for a connection or, with a nil result, for a free slot.
func (p *pool) await(ctx context.Context, ready chan *conn) (*conn, error) {
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
	// The wake-up came at the same moment; it passes to the next waiter.
	if c := <-ready; c != nil {
		p.release(c)
	} else {
		p.wake()
	}
	return nil, contextError(ctx, status.NotRun, "no connection to target "+p.address+" became free")
}

// connect opens a connection for a slot that the caller holds.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	nc, err := p.dial.DialContext(ctx, "tcp", p.address)
	p.dialled(ctx, err)
	if err != nil {
		if ctx.Err() != nil {
			return nil, contextError(ctx, status.NotRun, "dialling target "+p.address)
		}
		return nil, status.Wrap(err, status.ConnectionFailed, status.NotRun, "dialling target %s", p.address)
	}
	return newConn(nc, time.Now()), nil
}

// dialled records the end of a dial and frees the slot of a failed one. A dial
// that was given up says nothing about the target.
func (p *pool) dialled(ctx context.Context, err error) {
	p.mu.Lock()
	switch {
	case err == nil:
		p.pacer.Succeeded()
	case ctx.Err() == nil:
		p.pacer.Failed(monotonic(), globalRand{})
	}
	if err != nil {
		p.open--
	}
	p.mu.Unlock()
	if err != nil {
		p.wake()
	}
}

// refused starts the backoff of dials: the target closed a connection before its
// first reply, as one over its cap.
func (p *pool) refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Failed(monotonic(), globalRand{})
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
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.wake()
}

// wake tells the first waiter that a slot is free.
func (p *pool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) == 0 || p.open >= p.limit {
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w <- nil
}

// noteReply records the reply of an exchange that was sent at the given time.
func (p *pool) noteReply(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReply = time.Now()
	if sent.After(p.answered) {
		p.answered = sent
	}
}

// repliedAfter reports whether any exchange had its reply after t.
func (p *pool) repliedAfter(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReply.After(t)
}

// overtaken reports whether an exchange that was sent after t had its reply. A
// slow target overtakes itself too, but seldom by as much as the caller waits
// before it asks.
func (p *pool) overtaken(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered.After(t)
}

// dropIdle closes the idle connections whose last reply came before t.
// It returns their number.
func (p *pool) dropIdle(t time.Time) int {
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
		p.wake()
	}
	return len(stale)
}

// setLimit changes the share and closes idle connections above it. A share of zero
// allows one connection, which is closed after use.
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
	p.wake()
}

// openCount returns the number of open connections.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// close closes the idle connections; busy ones close when they are released.
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
