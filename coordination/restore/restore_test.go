package restore

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamstall/balsamstall/coordination/notice"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

func listAt(era, revision uint64, targets ...targetlist.Target) *targetlist.Document {
	return &targetlist.Document{Era: era, Revision: revision, Targets: targets}
}

func target(id string, started int64) targetlist.Target {
	return targetlist.Target{ID: id, Started: started, Group: "g", Zone: "z", Slots: 1, Address: "127.0.0.1:1"}
}

func leaving(id string, started int64) targetlist.Target {
	t := target(id, started)
	t.Leaving = true
	return t
}

// idsOf returns the ids of the targets that may get new work.
func idsOf(r Result) map[string]int64 {
	ids := make(map[string]int64)
	for _, t := range r.Targets.Targets {
		if !t.Leaving {
			ids[t.ID] = t.Started
		}
	}
	for _, d := range r.Departed {
		delete(ids, d.ID)
	}
	return ids
}

// Guards against losing a target that registered after the backup.
func TestTargetMissingFromTheBackupIsKeptUntilItRegistersAgain(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	r.Apply(0, listAt(1, 8, target("a", 1), target("b", 2)))
	restored := r.Apply(time.Second, listAt(2, 5, target("a", 1)))
	is.Equal(idsOf(restored), map[string]int64{"a": 1, "b": 2})
	is.Equal(restored.NextCheck, time.Second+DefaultSettings().Settle)
	again := r.Apply(2*time.Second, listAt(2, 6, target("a", 1), target("b", 2)))
	is.Equal(again.Kept, 0)
	is.Equal(idsOf(again), map[string]int64{"a": 1, "b": 2})
}

// Guards against using a target that ended during the outage for good.
func TestTargetThatDoesNotRegisterAgainIsDropped(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	r.Apply(0, listAt(1, 8, target("a", 1), target("b", 2)))
	list := listAt(2, 5, target("a", 1))
	next := r.Apply(time.Second, list).NextCheck
	is.Equal(idsOf(r.Apply(next, list)), map[string]int64{"a": 1})
}

// Guards against new work for a target that left after the backup was taken.
func TestTargetThatHadLeftGetsNoWorkAfterTheRestore(t *testing.T) {
	is := is.New(t)
	for name, last := range map[string][]targetlist.Target{
		"removed": {target("a", 1)},
		"leaving": {target("a", 1), leaving("b", 2)},
	} {
		r := New(DefaultSettings())
		r.Apply(0, listAt(1, 7, target("a", 1), target("b", 2)))
		r.Apply(time.Second, listAt(1, 8, last...))
		restored := r.Apply(2*time.Second, listAt(2, 5, target("a", 1), target("b", 2)))
		is.Equal(idsOf(restored), map[string]int64{"a": 1}) // name
		is.Equal(restored.Departed[0].Stated, name == "leaving")
	}
}

// Guards against an earlier incarnation of a restarted target that the backup still has.
func TestEarlierIncarnationDoesNotReplaceALaterOne(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	r.Apply(0, listAt(1, 7, target("a", 1)))
	r.Apply(time.Second, listAt(1, 8, target("a", 5)))
	restored := r.Apply(2*time.Second, listAt(2, 4, target("a", 1)))
	is.Equal(len(restored.Targets.Targets), 1)
	is.Equal(restored.Targets.Targets[0].Started, int64(5))
}

// Guards against corrections without a restore: a list within an era is used as it is.
func TestListsOfOneEraAreNotCorrected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		r := New(DefaultSettings())
		for i := range rapid.IntRange(1, 8).Draw(t, "lists") {
			list := listAt(3, uint64(i+1))
			for j := range 5 {
				if rapid.Bool().Draw(t, "listed") {
					list.Targets = append(list.Targets, target(fmt.Sprint(j), int64(rapid.IntRange(1, 3).Draw(t, "started"))))
				}
			}
			result := r.Apply(time.Duration(i)*time.Second, list)
			is.True(result.Targets == list)
			is.Equal(len(result.Departed), 0)
		}
	})
}

// Guards against two restores in a row that bring back a target that left before the first.
func TestDepartureIsRememberedOverSeveralRestores(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	backup := []targetlist.Target{target("a", 1), target("b", 2)}
	r.Apply(0, listAt(1, 7, backup...))
	r.Apply(time.Second, listAt(1, 8, target("a", 1)))
	for era := uint64(2); era < 5; era++ {
		restored := r.Apply(time.Duration(era)*10*time.Second, listAt(era, 6, backup...))
		is.Equal(idsOf(restored), map[string]int64{"a": 1})
		r.Apply(time.Duration(era)*10*time.Second+3*time.Second, listAt(era, 7, target("a", 1)))
	}
}

// Guards against a group without targets because their registrations expired during an outage before.
func TestExpiredRegistrationsDoNotEmptyAGroup(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	other := target("other", 3)
	other.Group = "h"
	r.Apply(0, listAt(1, 7, target("a", 1), target("b", 2), other))
	r.Apply(time.Second, listAt(1, 8, other))
	restored := r.Apply(2*time.Second, listAt(2, 5, target("a", 1), target("b", 2), other))
	is.Equal(idsOf(restored), map[string]int64{"a": 1, "b": 2, "other": 3})
}

func BenchmarkApply(b *testing.B) {
	var list []targetlist.Target
	for i := range 200 {
		list = append(list, target(fmt.Sprint(i), 1))
	}
	r := New(DefaultSettings())
	for i := range b.N {
		r.Apply(time.Duration(i), listAt(1, uint64(i+1), list...))
	}
}

func Example() {
	r := New(DefaultSettings())
	r.Apply(0, listAt(1, 8, target("old", 1), target("new", 2)))
	r.Apply(time.Second, listAt(1, 9, target("new", 2)))
	restored := r.Apply(2*time.Second, listAt(2, 5, target("old", 1)))
	fmt.Println(restored.Kept, restored.Departed[0].Target == notice.Target{ID: "old", Started: 1})
	// Output: 1 true
}

// Guards against a restore that makes an entry forget the evacuations of the new era, or keep those of the era
// before, while it keeps missing targets.
func TestEvacuationsAreThoseOfTheNewEra(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	before, restored := listAt(1, 8, target("a", 1), target("b", 2)), listAt(2, 5, target("a", 1))
	before.Evacuated, restored.Evacuated = []string{"y"}, []string{"z"}
	is.Equal(r.Apply(0, before).Targets.Evacuated, []string{"y"})
	result := r.Apply(time.Second, restored)
	is.Equal(result.Kept, 1)
	is.Equal(result.Targets.Evacuated, []string{"z"})
}
