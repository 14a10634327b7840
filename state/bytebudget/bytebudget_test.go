package bytebudget

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newTestBudget returns a budget whose clock the test sets.
func newTestBudget(limit int64) (*Budget, *time.Time) {
	b := New(limit, nil)
	now := time.Unix(1_000, 0)
	b.now = func() time.Time { return now }
	return b, &now
}

// Guards against a budget that is exceeded, that leaks, whose reserve is given to large holders, that evicts a
// body in progress, or that refuses although stalled bodies would have made room.
func TestBudgetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		b, now := newTestBudget(limit)
		var open []*Holder
		evictions := make(map[*Holder]bool)
		forced := int64(0)
		pick := func(t *rapid.T) *Holder {
			if len(open) == 0 {
				t.Skip()
			}
			return open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")]
		}
		size := rapid.Int64Range(0, 300<<10)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				var h *Holder
				h = b.HoldEvictable(Arriving, func() { evictions[h] = true })
				open = append(open, h)
			},
			"hold": func(t *rapid.T) { open = append(open, b.Hold(Hosted)) },
			"wait": func(t *rapid.T) {
				*now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"acquire": func(t *rapid.T) {
				h, n := pick(t), size.Draw(t, "n")
				before := make(map[*Holder]Holder)
				stalled := int64(0)
				for _, o := range open {
					before[o] = *o
					if o != h && o.element != nil && !o.progress.After(now.Add(-MinStall)) {
						stalled += o.bytes
					}
				}
				usedBefore := b.used
				room := int64(limit)
				if h.large {
					room -= limit / reserveFraction
				}
				granted := h.Acquire(n)
				if granted && (b.used > room || before[h].evicted) {
					t.Fatalf("granted %d bytes: %d of %d are used", n, b.used, room)
				}
				if !granted && !before[h].evicted && usedBefore-stalled+n <= room {
					t.Fatalf("refused %d bytes although %d of %d are held by stalled bodies", n, stalled, usedBefore)
				}
				oldestLeft := now.Add(time.Hour)
				for _, o := range open {
					if o.element != nil && o != h && o.bytes > 0 && o.progress.Before(oldestLeft) {
						oldestLeft = o.progress
					}
				}
				for _, o := range open {
					was := before[o]
					if o.evicted && !was.evicted && (was.element == nil || was.progress.After(now.Add(-MinStall)) || was.progress.After(oldestLeft)) {
						t.Fatal("a body was evicted that is not the one stalled for the longest time")
					}
				}
			},
			"force": func(t *rapid.T) {
				h, n := pick(t), size.Draw(t, "n")
				if h.Force(n); !h.evicted {
					forced += n
				}
			},
			"size":     func(t *rapid.T) { pick(t).SetSize(size.Draw(t, "size")) },
			"progress": func(t *rapid.T) { pick(t).Progress() },
			"run":      func(t *rapid.T) { pick(t).Run() },
			"close": func(t *rapid.T) {
				i := rapid.IntRange(0, max(len(open)-1, 0)).Draw(t, "holder")
				if len(open) > 0 {
					open[i].Close()
					open = append(open[:i], open[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, h := range open {
					sum += h.bytes
					if h.evicted != evictions[h] || h.evicted && h.bytes != 0 {
						t.Fatalf("evicted %v, interrupted %v, %d bytes", h.evicted, evictions[h], h.bytes)
					}
				}
				if b.used != sum || b.used > limit+forced {
					t.Fatalf("used %d, held %d, forced %d", b.used, sum, forced)
				}
			},
		})
		for _, h := range open {
			h.Close()
		}
		if b.used != 0 || b.evictable.Len() != 0 {
			t.Fatalf("%d bytes and %d holders are left", b.used, b.evictable.Len())
		}
	})
}

// Guards against evicting the wrong body: one in progress, one that runs, or not the one that has made no
// progress for the longest time.
func TestEvictionOrder(t *testing.T) {
	is := is.New(t)
	const part = 100 << 10
	b, now := newTestBudget(5 * part)
	var evicted []string
	arrive := func(name string) *Holder {
		h := b.HoldEvictable(Arriving, func() { evicted = append(evicted, name) })
		h.SetSize(part)
		is.True(h.Acquire(part))
		return h
	}
	first, running := arrive("first"), arrive("running")
	is.True(running.Run())
	*now = now.Add(MinStall / 2)
	arrive("second")
	first.Progress()
	arrive("third")
	newcomer := b.HoldEvictable(Arriving, func() {})
	newcomer.SetSize(part)
	is.True(!newcomer.Acquire(part)) // None has stalled for MinStall.
	*now = now.Add(MinStall)
	is.True(newcomer.Acquire(part))
	is.Equal(evicted, []string{"second"})
	is.True(b.EvictStalled())
	is.Equal(evicted, []string{"second", "first"})
	is.True(!first.Run())
	is.Equal(b.GaveWay()["evicted"], int64(2))
	is.Equal(b.GaveWay()["refused"], int64(1))
}

// Guards against large bodies that use the reserve of small ones.
func TestReserveForSmallHolders(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget(MinBytes)
	hold := func(size, n int64) bool {
		h := b.Hold(Hosted)
		h.SetSize(size)
		return h.Acquire(n)
	}
	is.True(hold(SmallBytes+1, MinBytes-MinBytes/reserveFraction))
	is.True(!hold(SmallBytes+1, 1))
	for range MinBytes / reserveFraction / SmallBytes / 2 {
		is.True(hold(SmallBytes, 2*SmallBytes)) // The body and a copy.
	}
	is.True(!hold(SmallBytes, 1))
}

// Guards against bodies that are altered, and against holding more than is counted or much more than arrived.
func TestReadCountsWhatItHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("0123456789abcdef?"), rapid.IntRange(0, 1<<15).Draw(t, "repeats"))
		length := int64(len(body))
		if rapid.Bool().Draw(t, "unknown length") {
			length = -1
		}
		var src io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(t, "end with data") {
			src = iotest.DataErrReader(src)
		}
		kind := rapid.SampledFrom([]Kind{Arriving, Reply}).Draw(t, "kind")
		b, _ := newTestBudget(MinBytes)
		h := b.Hold(kind)
		got, err := h.Read(src, length, func(received int64) {
			if held := h.bytes; received > held || kind != Reply && held > 2*received+maxBufferBytes {
				t.Fatalf("%d bytes received, %d counted", received, held)
			}
		})
		if err != nil || !bytes.Equal(got, body) || h.bytes < int64(cap(got)) || h.bytes > int64(cap(got))+firstBufferBytes {
			t.Fatalf("%v, %d of %d bytes, %d counted for %d", err, len(got), len(body), h.bytes, cap(got))
		}
		h.Close()
		if b.used != 0 {
			t.Fatalf("%d bytes are left", b.used)
		}
	})
}
