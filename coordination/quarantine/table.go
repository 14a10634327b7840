package quarantine

import (
	"container/heap"
	"time"
)

// find returns the state of fp, or nil if there is none or it has expired.
func (d *Detector) find(fp Fingerprint, now time.Duration) *fingerprintState {
	e := d.states[fp]
	if e == nil || now >= e.expires {
		return nil
	}
	return e
}

// insert adds a fingerprint. It removes expired ones and, if MaxFingerprints are still left, evicts
// the suspect that expires first or, without suspects, the quarantined fingerprint that expires
// first.
func (d *Detector) insert(fp Fingerprint, expires time.Duration, quarantined bool, now time.Duration) *fingerprintState {
	if old := d.states[fp]; old != nil {
		d.remove(old)
	}
	for _, h := range []*expiryHeap{&d.suspects, &d.quarantined} {
		for len(*h) > 0 && now >= (*h)[0].expires {
			d.remove((*h)[0])
		}
	}
	if len(d.states) >= d.settings.MaxFingerprints {
		if len(d.suspects) > 0 {
			d.remove(d.suspects[0])
		} else {
			d.remove(d.quarantined[0])
		}
	}
	e := &fingerprintState{fingerprint: fp, expires: expires, quarantined: quarantined}
	d.states[fp] = e
	heap.Push(d.heapOf(e), e)
	return e
}

// heapOf returns the heap that holds the state.
func (d *Detector) heapOf(e *fingerprintState) *expiryHeap {
	if e.quarantined {
		return &d.quarantined
	}
	return &d.suspects
}

func (d *Detector) remove(e *fingerprintState) {
	heap.Remove(d.heapOf(e), e.heapIndex)
	delete(d.states, e.fingerprint)
}

// quarantine turns a suspect into a quarantined fingerprint.
func (d *Detector) quarantine(e *fingerprintState, expires time.Duration) {
	heap.Remove(&d.suspects, e.heapIndex)
	e.quarantined, e.cleared, e.expires = true, false, expires
	heap.Push(&d.quarantined, e)
}

// extend moves the expiry of a fingerprint to a later time; an earlier one is ignored.
func (d *Detector) extend(e *fingerprintState, expires time.Duration) {
	if expires > e.expires {
		e.expires = expires
		heap.Fix(d.heapOf(e), e.heapIndex)
	}
}

// expiryHeap is a min-heap of fingerprints ordered by expiry.
type expiryHeap []*fingerprintState

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*fingerprintState)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
