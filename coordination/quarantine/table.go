package quarantine

import (
	"container/heap"
	"time"
)

// find returns the entry of fp, or nil if there is none or it has expired.
func (d *Detector) find(fp Fingerprint, now time.Duration) *entry {
	e := d.entries[fp]
	if e == nil || now >= e.expires {
		return nil
	}
	return e
}

// insert adds an entry. It removes expired entries and, if the table is still full, evicts the
// suspect that expires first or, without suspects, the refused entry that expires first.
func (d *Detector) insert(fp Fingerprint, expires time.Duration, refused bool, now time.Duration) *entry {
	if old := d.entries[fp]; old != nil {
		d.remove(old)
	}
	for _, h := range []*expiryHeap{&d.suspects, &d.refused} {
		for len(*h) > 0 && now >= (*h)[0].expires {
			d.remove((*h)[0])
		}
	}
	if len(d.entries) >= d.settings.MaxEntries {
		if len(d.suspects) > 0 {
			d.remove(d.suspects[0])
		} else {
			d.remove(d.refused[0])
		}
	}
	e := &entry{fingerprint: fp, expires: expires, refused: refused}
	d.entries[fp] = e
	heap.Push(d.heapOf(e), e)
	return e
}

// heapOf returns the heap that holds the entry.
func (d *Detector) heapOf(e *entry) *expiryHeap {
	if e.refused {
		return &d.refused
	}
	return &d.suspects
}

func (d *Detector) remove(e *entry) {
	heap.Remove(d.heapOf(e), e.heapIndex)
	delete(d.entries, e.fingerprint)
}

// refuse turns a suspect into a refused entry.
func (d *Detector) refuse(e *entry, expires time.Duration) {
	heap.Remove(&d.suspects, e.heapIndex)
	e.refused, e.cleared, e.expires = true, false, expires
	heap.Push(&d.refused, e)
}

// extend moves the expiry of an entry to a later time; an earlier one is ignored.
func (d *Detector) extend(e *entry, expires time.Duration) {
	if expires > e.expires {
		e.expires = expires
		heap.Fix(d.heapOf(e), e.heapIndex)
	}
}

// expiryHeap is a min-heap of entries ordered by expiry.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
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
