package restore

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// at returns t with an address of its own.
func at(port int, t targetlist.Target) targetlist.Target {
	t.Address = fmt.Sprintf("127.0.0.1:%d", port)
	return t
}

// Guards against live targets that are given up because their registrations expired in an outage.
func TestTargetMissingAfterAnOutageIsKept(t *testing.T) {
	is := is.New(t)
	settle := DefaultSettings().Settle
	r := New(DefaultSettings())
	r.Apply(0, listAt(0, 5, at(1, target("a", 1)), at(2, target("b", 2)), at(3, leaving("c", 3)), at(4, target("d", 4))))
	r.SetLastOutage(10 * time.Second)
	later := r.Apply(10*time.Second, listAt(0, 8, at(1, target("a", 1)), at(2, leaving("b", 2)), at(5, target("e", 5))))
	is.Equal(idsOf(later), map[string]int64{"a": 1, "d": 4, "e": 5}) // Without b and c, which had said that they leave.
	is.Equal(later.Expired, 1)
	is.Equal(later.NextCheck, 10*time.Second+settle)
	later = r.Apply(11*time.Second, listAt(0, 9, at(1, target("a", 1)), at(5, target("e", 5)))) // a expires after the outage.
	is.Equal(idsOf(later), map[string]int64{"a": 1, "d": 4, "e": 5})
	later = r.Apply(11*time.Second, listAt(0, 10, at(5, target("e", 5)), at(4, target("d", 4))))
	is.Equal(idsOf(later), map[string]int64{"a": 1, "d": 4, "e": 5})
	is.Equal(later.Expired, 1)
	end := r.Apply(later.NextCheck, listAt(0, 10, at(5, target("e", 5)), at(4, target("d", 4))))
	is.Equal(idsOf(end), map[string]int64{"d": 4, "e": 5})
	is.Equal(end.NextCheck, time.Duration(0))
}

// Guards against work for a target that was removed while the store was available, or whose address another one has.
func TestRemovalThatNoOutageExplainsIsInForceAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		settings := DefaultSettings()
		r := New(settings)
		before := []targetlist.Target{at(1, target("a", 1)), at(2, target("b", 1)), at(3, target("c", 1))}
		now := time.Minute
		r.Apply(now, listAt(0, 1, before...))
		outage := time.Duration(rapid.Int64Range(0, int64(now-settings.Settle)).Draw(t, "outage"))
		r.SetLastOutage(rapid.SampledFrom([]time.Duration{NoOutage, outage}).Draw(t, "known"))
		left := rapid.IntRange(0, 3).Draw(t, "left")
		list := listAt(0, 2, before[:left]...)
		is.True(r.Apply(now, list).Targets == list)
	})
	is := is.New(t)
	r := New(DefaultSettings())
	r.Apply(0, listAt(0, 1, target("a", 1)))
	r.SetLastOutage(time.Second)
	is.Equal(idsOf(r.Apply(time.Second, listAt(0, 2, target("b", 2)))), map[string]int64{"b": 2})
}

// Guards against a removal that is withheld although the outage has turned out to be none.
func TestRemovalIsInForceOnceTheOutageIsNone(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	r.Apply(0, listAt(0, 1, target("a", 1)))
	r.SetLastOutage(time.Second)
	is.Equal(r.Apply(time.Second, listAt(0, 2)).Expired, 1)
	r.SetLastOutage(-time.Minute)
	is.Equal(r.Apply(time.Second, listAt(0, 2)).Kept, 0)
}
