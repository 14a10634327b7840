package notice

import "time"

// MaxHoldOff is the longest time that is believed. A target that asks for more is asked
// again after it.
const MaxHoldOff = 10 * time.Minute

// HoldOffs holds the targets that asked for a time without new work. Create it with
// NewHoldOffs.
type HoldOffs struct {
	holdOffs map[string]holdOff
}

type holdOff struct {
	started int64
	until   time.Duration
}

// NewHoldOffs returns an empty set.
func NewHoldOffs() *HoldOffs { return &HoldOffs{holdOffs: make(map[string]holdOff)} }

// Ask records that a target wants nothing for a time, which is cut at MaxHoldOff. A
// shorter time asked later does not end a longer one. It returns the end.
func (h *HoldOffs) Record(t Target, now, length time.Duration) time.Duration {
	before, known := h.holdOffs[t.ID]
	if length <= 0 || !known && len(h.holdOffs) >= maxTargets {
		return before.until
	}
	until := now + min(length, MaxHoldOff)
	if known && sameIncarnation(before.started, t.Started) {
		until = max(until, before.until)
	}
	h.holdOffs[t.ID] = holdOff{t.Started, until}
	return until
}

// SetListed ends the times that earlier incarnations asked for.
func (h *HoldOffs) SetListed(listed map[string]int64) {
	for id, a := range h.holdOffs {
		if started, ok := listed[id]; ok && !sameIncarnation(started, a.started) {
			delete(h.holdOffs, id)
		}
	}
}

// Until returns the time until which a target wants nothing, zero for a target that has
// not asked or whose time is over.
func (h *HoldOffs) Until(id string, now time.Duration) time.Duration {
	if a := h.holdOffs[id]; now < a.until {
		return a.until
	}
	return 0
}

// Len returns the number of times held, those that are over included.
func (h *HoldOffs) Len() int { return len(h.holdOffs) }

// Expire forgets the times that are over.
func (h *HoldOffs) Expire(now time.Duration) {
	for id, a := range h.holdOffs {
		if now >= a.until {
			delete(h.holdOffs, id)
		}
	}
}
