package replica

import "time"

// Token names one attempt in flight of one Stats. The zero Token names none.
type Token struct {
	index      int32 // 1 + index of the record
	generation uint32
}

// none ends the lists of records.
const none = int32(-1)

// record is one attempt in flight or a free place.
type record struct {
	start      time.Duration
	generation uint32
	prev, next int32
	used       bool
}

// inflight keeps the attempts of one target in order of their start, so that
// the oldest is found and any is removed in constant time. Freed records are
// used again, so that it allocates only when the number in flight reaches a
// new maximum.
type inflight struct {
	records    []record
	head, tail int32 // oldest and newest attempt
	free       int32
	count      int
}

func newInflight() inflight { return inflight{head: none, tail: none, free: none} }

func (f *inflight) add(start time.Duration) Token {
	i := f.free
	if i == none {
		f.records = append(f.records, record{})
		i = int32(len(f.records) - 1)
	} else {
		f.free = f.records[i].next
	}
	r := &f.records[i]
	r.start, r.used = start, true
	r.generation++
	r.prev, r.next = f.tail, none
	if f.tail == none {
		f.head = i
	} else {
		f.records[f.tail].next = i
	}
	f.tail = i
	f.count++
	return Token{index: i + 1, generation: r.generation}
}

// remove ends an attempt. It reports false for a token that is not in flight.
func (f *inflight) remove(t Token) (start time.Duration, ok bool) {
	i := t.index - 1
	if i < 0 || int(i) >= len(f.records) {
		return 0, false
	}
	r := &f.records[i]
	if !r.used || r.generation != t.generation {
		return 0, false
	}
	if r.prev == none {
		f.head = r.next
	} else {
		f.records[r.prev].next = r.next
	}
	if r.next == none {
		f.tail = r.prev
	} else {
		f.records[r.next].prev = r.prev
	}
	r.used, r.next = false, f.free
	f.free = i
	f.count--
	return r.start, true
}

// oldest returns the start of the oldest attempt in flight.
func (f *inflight) oldest() (start time.Duration, ok bool) {
	if f.head == none {
		return 0, false
	}
	return f.records[f.head].start, true
}
