package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/coordination/ratelimit"
)

// Guards against a second allowance of a cold target: from an entry that just started, is alone, serves another
// zone, replaces one that is only cut off, or is not known to all others yet.
func TestColdAllocatorsChangeOnlyWhenAllEntriesKnow(t *testing.T) {
	is := is.New(t)
	var all []ratelimit.Entry
	for i := range 9 {
		all = append(all, ratelimit.Entry{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3)})
	}
	chosen := ratelimit.Allocators("t", "z1", all)
	other := "e1"
	for _, e := range all {
		if e.Zone == "z1" && e.ID != chosen[0].ID && e.ID != chosen[1].ID {
			other = e.ID
		}
	}
	allocating := func(v *ratelimit.ColdView, now time.Duration) (ids []string) {
		for _, e := range all {
			if v.Allocates(e.ID, "t", "z1", now) {
				ids = append(ids, e.ID)
			}
		}
		return ids
	}
	v := ratelimit.NewColdView()
	now := time.Hour
	v.Update(now, all, false)
	is.Equal(len(allocating(v, now)), 0) // The others may not know this entry yet.
	now += 3 * time.Second
	v.Update(now, all, false)
	is.Equal(v.Allocators("t", "z1"), chosen)
	is.Equal(len(allocating(v, now)), 2)

	v.Update(now+time.Minute, []ratelimit.Entry{{ID: other, Zone: "z1"}}, false)
	is.True(!v.Allocates(other, "t", "z1", now+time.Minute)) // The allocators may only be cut off.
	v.Update(now+3*time.Minute, []ratelimit.Entry{{ID: other, Zone: "z1"}}, true)
	is.True(!v.Allocates(other, "t", "z1", now+3*time.Minute)) // There must be others.
	v.Update(now+3*time.Minute, []ratelimit.Entry{{ID: other, Zone: "z1"}}, false)
	is.True(v.Allocates(other, "t", "z1", now+3*time.Minute))
	v.Update(now+4*time.Minute, all, false)
	is.True(!v.Allocates(other, "t", "z1", now+4*time.Minute)) // The allocators are back.
	is.Equal(len(v.Allocators("t", "empty")), 0)               // No entry of another zone takes over.
}

// Guards against a burst to a cold target by a token that is kept for later, and by requests that have taken
// their tokens long before they are sent.
func TestTokensOfColdTargetsAreNotKept(t *testing.T) {
	is := is.New(t)
	a := ratelimit.NewEvenAllocation(0, 2)
	granted := 0
	for range 5 {
		if a.Allocate(10*time.Second, 2, 1, 0).Granted {
			granted++
		}
	}
	is.Equal(granted, 1)

	k := ratelimit.NewTokens()
	for range 2 {
		k.RecordGrant("t", "e1", 1, time.Second, ratelimit.Grant{Granted: true, ValidAfter: 100 * time.Millisecond, VoidAfter: 300 * time.Millisecond})
	}
	is.True(k.Take("t", 1, 1100*time.Millisecond))
	is.True(k.Take("t", 1, 1200*time.Millisecond))
	is.True(k.Admit("t", 1299*time.Millisecond))
	is.True(!k.Admit("t", 1300*time.Millisecond))
}

func ExampleColdView() {
	v := ratelimit.NewColdView()
	v.Update(0, []ratelimit.Entry{{ID: "e1", Zone: "z"}}, false)
	fmt.Println(v.Allocates("e1", "t", "z", time.Second), v.Allocates("e1", "t", "z", 3*time.Second))
	// Output:
	// false true
}
