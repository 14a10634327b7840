package notice

import "time"

// MaxHoldOff is the longest time that is believed. A target that asks for more is asked
// again after it.
const MaxHoldOff = 10 * time.Minute

// HoldOffs holds the targets that asked for a time without new work. Create it with
// NewHoldOffs.
type HoldOffs struct {
	asks map[string]ask
}

type ask struct {
	started int64
	until   time.Duration
}

// NewHoldOffs returns an empty set.
func NewHoldOffs() *HoldOffs { return &HoldOffs{asks: make(map[string]ask)} }

// Ask records that a target wants nothing for a time, which is cut at MaxHoldOff. A
// shorter time asked later does not end a longer one. It returns the end.
func (h *HoldOffs) Ask(t Target, now, length time.Duration) time.Duration {
	before, known := h.asks[t.ID]
	if length <= 0 || !known && len(h.asks) >= maxTargets {
		return before.until
	}
	until := now + min(length, MaxHoldOff)
	if known && same(before.started, t.Started) {
		until = max(until, before.until)
	}
	h.asks[t.ID] = ask{t.Started, until}
	return until
}

// SetListed ends the times that earlier incarnations asked for.
func (h *HoldOffs) SetListed(listed map[string]int64) {
	for id, a := range h.asks {
		if started, ok := listed[id]; ok && !same(started, a.started) {
			delete(h.asks, id)
		}
	}
}

// Until returns the time until which a target wants nothing, zero for a target that has
// not asked or whose time is over.
func (h *HoldOffs) Until(id string, now time.Duration) time.Duration {
	if a := h.asks[id]; now < a.until {
		return a.until
	}
	return 0
}

// Len returns the number of times held, those that are over included.
func (h *HoldOffs) Len() int { return len(h.asks) }

// Expire forgets the times that are over.
func (h *HoldOffs) Expire(now time.Duration) {
	for id, a := range h.asks {
		if now >= a.until {
			delete(h.asks, id)
		}
	}
}
