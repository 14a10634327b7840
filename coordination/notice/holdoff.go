package notice

import "time"

// MaxHoldOff is the longest hold-off that is honored. A target that requests more gets new work
// after it and can then request another.
const MaxHoldOff = 10 * time.Minute

// HoldOffs tracks the targets that requested a period without new work. Create it with NewHoldOffs.
type HoldOffs struct {
	holdOffs map[string]holdOff
}

type holdOff struct {
	started int64
	until   time.Duration
}

// NewHoldOffs returns an empty set.
func NewHoldOffs() *HoldOffs { return &HoldOffs{holdOffs: make(map[string]holdOff)} }

// Record records that a target requested no new work for the given length, which is limited to
// MaxHoldOff, and returns the end of the hold-off. A later request for a shorter one does not shorten
// a hold-off.
func (h *HoldOffs) Record(t Target, now, length time.Duration) time.Duration {
	before, known := h.holdOffs[t.ID]
	if length <= 0 || !known && len(h.holdOffs) >= maxTargets {
		return before.until
	}
	until := now + min(length, MaxHoldOff)
	if known && SameIncarnation(before.started, t.Started) {
		until = max(until, before.until)
	}
	h.holdOffs[t.ID] = holdOff{t.Started, until}
	return until
}

// SetListed ends the hold-offs that earlier incarnations requested. listed maps the targets of the
// current list to their start times.
func (h *HoldOffs) SetListed(listed map[string]int64) {
	for id, held := range h.holdOffs {
		if started, ok := listed[id]; ok && !SameIncarnation(started, held.started) {
			delete(h.holdOffs, id)
		}
	}
}

// Until returns the end of a target's hold-off, or zero if it has none or it has ended.
func (h *HoldOffs) Until(id string, now time.Duration) time.Duration {
	if held := h.holdOffs[id]; now < held.until {
		return held.until
	}
	return 0
}

// Len returns the number of hold-offs, including those that have ended but not yet been removed.
func (h *HoldOffs) Len() int { return len(h.holdOffs) }

// Expire removes the hold-offs that have ended.
func (h *HoldOffs) Expire(now time.Duration) {
	for id, held := range h.holdOffs {
		if now >= held.until {
			delete(h.holdOffs, id)
		}
	}
}
