package replica

import "time"

// Token identifies one attempt in flight of one Stats. The zero Token identifies
// none.
type Token struct {
	index      int32 // 1 + index of the record
	generation uint32
}

// noRecord marks the end of a list of records.
const noRecord = int32(-1)

// record is one attempt in flight, or an element of the free list.
type record struct {
	start      time.Duration
	generation uint32
	prev, next int32
	used       bool
}

// inflight is a linked list of the attempts of one target in order of their start,
// so that finding the oldest and removing any takes constant time. Freed records
// are reused, so it allocates only when the number in flight reaches a new maximum.
type inflight struct {
	records    []record
	head, tail int32 // oldest and newest attempt
	freeHead   int32 // first record of the free list
	count      int
}

func newInflight() inflight { return inflight{head: noRecord, tail: noRecord, freeHead: noRecord} }

// add appends an attempt and returns its token.
func (f *inflight) add(start time.Duration) Token {
	i := f.freeHead
	if i == noRecord {
		f.records = append(f.records, record{})
		i = int32(len(f.records) - 1)
	} else {
		f.freeHead = f.records[i].next
	}
	r := &f.records[i]
	r.start, r.used = start, true
	r.generation++
	r.prev, r.next = f.tail, noRecord
	if f.tail == noRecord {
		f.head = i
	} else {
		f.records[f.tail].next = i
	}
	f.tail = i
	f.count++
	return Token{index: i + 1, generation: r.generation}
}

// remove removes an attempt and returns its start. It reports false for a token
// that is not in flight.
func (f *inflight) remove(t Token) (start time.Duration, ok bool) {
	i := t.index - 1
	if i < 0 || int(i) >= len(f.records) {
		return 0, false
	}
	r := &f.records[i]
	if !r.used || r.generation != t.generation {
		return 0, false
	}
	if r.prev == noRecord {
		f.head = r.next
	} else {
		f.records[r.prev].next = r.next
	}
	if r.next == noRecord {
		f.tail = r.prev
	} else {
		f.records[r.next].prev = r.prev
	}
	r.used, r.next = false, f.freeHead
	f.freeHead = i
	f.count--
	return r.start, true
}

// oldest returns the start of the oldest attempt in flight, if there is one.
func (f *inflight) oldest() (start time.Duration, ok bool) {
	if f.head == noRecord {
		return 0, false
	}
	return f.records[f.head].start, true
}
