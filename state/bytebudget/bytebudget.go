// Package bytebudget bounds the bytes that a process holds for callers, targets and other entries. When
// the budget is exhausted, the body or response that has made no progress for the longest time is evicted.
// docs/design/bytebudget.md describes the rules.
package bytebudget

import (
	"container/list"
	"sync"
	"time"
)

const (
	// SmallBytes is the size of a body up to which its holder may use the reserve.
	SmallBytes = 16 << 10
	// reserveFraction is the part of the budget that only small holders use: one in eight.
	reserveFraction = 8
	// MinStall is the time without progress after which a body may be evicted. It is longer than a
	// retransmission on a path that loses packets.
	MinStall = time.Second
	// MinBytes is the smallest budget: sixteen bodies of the largest size that any setting permits.
	MinBytes = 16 << 20
	// memoryFraction is the part of the process's memory that is the default budget: one in four.
	memoryFraction = 4
)

// Kind is what bytes are held for.
type Kind int

// Kinds.
const (
	// Arriving is the body of a caller's request that is being read.
	Arriving Kind = iota
	// Running is the body of a request that runs.
	Running
	// Response is a response that its caller has not read yet.
	Response
	// Reply is a target's reply that is being read.
	Reply
	// Hosted is a request that runs for another entry.
	Hosted
	kinds
)

var kindNames = [kinds]string{"arriving", "running", "response", "reply", "hosted"}

// Reason is why a holder got no more bytes or lost those that it had.
type Reason int

// Reasons.
const (
	// Evicted is a body or response that made no progress and gave way to another holder.
	Evicted Reason = iota
	// Refused is a request or a reply for which no bytes were left.
	Refused
	// ConnectionRefused is a connection beyond the bound.
	ConnectionRefused
	// ConnectionEvicted is an idle connection that was closed for a new one at the bound.
	ConnectionEvicted
	reasons
)

var reasonNames = [reasons]string{"evicted", "refused", "connection_refused", "connection_evicted"}

// Default returns the budget of a process with the given memory.
func Default(memoryBytes int64) int64 { return max(memoryBytes/memoryFraction, MinBytes) }

// Budget counts the bytes held. It is safe for concurrent use.
type Budget struct {
	limit int64
	// onGiveWay is called without a lock.
	onGiveWay func(Reason, Kind)
	now       func() time.Time

	mu sync.Mutex
	// mu guards the fields below and those of the holders.
	used    int64
	held    [kinds]int64
	gaveWay [reasons]int64
	// evictable holds the arriving bodies and the unread responses, the one without progress for the
	// longest time first.
	evictable list.List
}

// New returns a budget of limit bytes. onGiveWay is called for each refusal and eviction, with the kind
// that was refused or evicted. It may be nil.
func New(limit int64, onGiveWay func(Reason, Kind)) *Budget {
	if onGiveWay == nil {
		onGiveWay = func(Reason, Kind) {}
	}
	return &Budget{limit: limit, onGiveWay: onGiveWay, now: time.Now}
}

// Holder is one owner of bytes in a budget. Its methods are called by one goroutine.
type Holder struct {
	budget *Budget
	kind   Kind
	bytes  int64
	// large is set if the body exceeds SmallBytes.
	large bool
	// evict interrupts the owner. It is called without a lock, at most once.
	evict   func()
	evicted bool
	// element is the holder's place in Budget.evictable, or nil.
	element  *list.Element
	progress time.Time
}

// Hold returns a holder without bytes. It is never evicted.
func (b *Budget) Hold(kind Kind) *Holder { return &Holder{budget: b, kind: kind} }

// HoldEvictable returns a holder without bytes, for a body that is being read or a response that is being
// written. evict is called from another goroutine if the holder gives way; it must make the read or write
// end and must not block.
func (b *Budget) HoldEvictable(kind Kind, evict func()) *Holder {
	h := &Holder{budget: b, kind: kind, evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress = b.now()
	h.element = b.evictable.PushBack(h)
	return h
}

// SetSize states the size of the holder's body as far as it is known. A holder whose body exceeds
// SmallBytes does not use the reserve. What counts is the body, because a small one and its copies together
// may exceed SmallBytes.
func (h *Holder) SetSize(n int64) {
	if n <= SmallBytes {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.large = true
}

// Acquire adds n bytes to the holder and reports whether it has them. If the budget is exhausted, it
// evicts stalled holders; if there are too few, this one keeps what it had. A holder that has been
// evicted gets none.
func (h *Holder) Acquire(n int64) bool {
	b := h.budget
	b.mu.Lock()
	if h.evicted {
		b.mu.Unlock()
		return false
	}
	limit := b.limit
	// A refused reply costs a request that has run, so replies use the whole budget.
	if h.large && h.kind != Reply {
		limit -= b.limit / reserveFraction
	}
	victims := b.makeRoom(h, limit-n)
	granted := b.used+n <= limit
	if granted {
		b.add(h, n)
	} else {
		b.gaveWay[Refused]++
	}
	b.mu.Unlock()
	b.interrupt(victims)
	if !granted {
		b.onGiveWay(Refused, h.kind)
	}
	return granted
}

// makeRoom evicts stalled holders other than h until at most room bytes are used. If that is impossible,
// it evicts none. The caller holds mu and interrupts the victims afterwards.
func (b *Budget) makeRoom(h *Holder, room int64) (victims []*Holder) {
	if b.used <= room {
		return nil
	}
	newest := b.now().Add(-MinStall)
	left := b.used
	for e := b.evictable.Front(); e != nil && left > room; e = e.Next() {
		v := e.Value.(*Holder)
		if v.progress.After(newest) {
			return nil
		}
		if v != h && v.bytes > 0 {
			left -= v.bytes
			victims = append(victims, v)
		}
	}
	if left > room {
		return nil
	}
	for _, v := range victims {
		b.remove(v)
	}
	return victims
}

// EvictStalled evicts the body or response that has made no progress for the longest time, so that its connection
// closes, and reports whether there was one.
func (b *Budget) EvictStalled() bool {
	b.mu.Lock()
	e := b.evictable.Front()
	if e == nil || e.Value.(*Holder).progress.After(b.now().Add(-MinStall)) {
		b.mu.Unlock()
		return false
	}
	v := e.Value.(*Holder)
	b.remove(v)
	b.mu.Unlock()
	b.interrupt([]*Holder{v})
	return true
}

// remove evicts a holder. Its bytes count as free from now on, because its owner frees them as soon as it
// is interrupted. The caller holds mu.
func (b *Budget) remove(v *Holder) {
	b.add(v, -v.bytes)
	b.unlist(v)
	v.evicted = true
	b.gaveWay[Evicted]++
}

func (b *Budget) interrupt(victims []*Holder) {
	for _, v := range victims {
		v.evict()
		b.onGiveWay(Evicted, v.kind)
	}
}

// Force adds n bytes that are held already. If they exceed the budget, it evicts stalled holders where
// that makes enough room.
func (h *Holder) Force(n int64) {
	b := h.budget
	b.mu.Lock()
	var victims []*Holder
	if !h.evicted {
		victims = b.makeRoom(h, b.limit-n)
		b.add(h, n)
	}
	b.mu.Unlock()
	b.interrupt(victims)
}

// Progress records that bytes have been received from the caller or accepted by it. It reports false if
// the holder has been evicted.
func (h *Holder) Progress() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.element != nil {
		h.progress = b.now()
		b.evictable.MoveToBack(h.element)
	}
	return !h.evicted
}

// Evicted reports whether the holder has been evicted.
func (h *Holder) Evicted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Run ends the arrival of a body, which is not evicted any more. It reports false if the body has been
// evicted.
func (h *Holder) Run() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return false
	}
	b.unlist(h)
	b.held[h.kind] -= h.bytes
	h.kind = Running
	b.held[h.kind] += h.bytes
	return true
}

// Release returns n bytes of the holder to the budget.
func (h *Holder) Release(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.evicted {
		h.budget.add(h, -n)
	}
}

// Close returns all bytes of the holder to the budget. evict is not called any more unless the holder has
// been evicted.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(h, -h.bytes)
	b.unlist(h)
}

// unlist removes the holder from those that may be evicted. The caller holds mu.
func (b *Budget) unlist(h *Holder) {
	if h.element != nil {
		b.evictable.Remove(h.element)
		h.element = nil
	}
}

// add changes the bytes of a holder. The caller holds mu.
func (b *Budget) add(h *Holder, n int64) {
	h.bytes += n
	b.used += n
	b.held[h.kind] += n
}

// Count records a connection that was refused or closed at the bound of connections.
func (b *Budget) Count(r Reason) {
	b.mu.Lock()
	b.gaveWay[r]++
	b.mu.Unlock()
	b.onGiveWay(r, Arriving)
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Held returns the bytes held by kind.
func (b *Budget) Held() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return named(b.held[:], kindNames[:])
}

// GaveWay returns the numbers of refusals and evictions by reason.
func (b *Budget) GaveWay() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return named(b.gaveWay[:], reasonNames[:])
}

func named(values []int64, names []string) map[string]int64 {
	m := make(map[string]int64, len(names))
	for i, name := range names {
		m[name] = values[i]
	}
	return m
}
