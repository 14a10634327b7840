package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// Guards against answers of a home that reach the caller's entry when its goal has passed.
func TestCutoffLeavesTimeForTheHop(t *testing.T) {
	is := is.New(t)
	p := &plan{sheet: &sheet.Sheet{}, targets: &targetlist.Document{}}
	r := &route{service: &sheet.Service{Latency: sheet.Latency{ContractMS: 60, MaxDeadlineMS: 1000}}, relay: &sheet.Relay{}}
	at := func(hop time.Duration) time.Duration {
		cutoff, _ := coreRequest(&relayapi.Request{HopMargin: hop}, p, r).Contract.Cutoff.At()
		return cutoff
	}
	is.Equal(at(0)-at(hopMargin), hopMargin)
}

// Guards against callers who returned and get an answer within the goal of their second call
// only, and against a second call that has hardly any time left.
func TestCutoffFollowsTheFirstCall(t *testing.T) {
	is := is.New(t)
	const goal = 100 * time.Millisecond
	is.Equal(cutoffGoal(goal, 0), goal)
	is.Equal(cutoffGoal(goal, goal/4), goal*3/4)
	is.Equal(cutoffGoal(goal, goal*3/4), goal)
	is.Equal(cutoffGoal(goal, goal), lateGoals*goal)
}
