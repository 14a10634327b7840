package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/relayapi"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// Guards against answers of a home that reach the receiving entry after the latency goal has passed.
func TestCutoffLeavesTimeForTheHop(t *testing.T) {
	is := is.New(t)
	p := &plan{sheet: &sheet.Sheet{}, targets: &targetlist.Document{}}
	r := &route{service: &sheet.Service{Latency: sheet.Latency{ContractMS: 60, MaxDeadlineMS: 1000}}, relay: &sheet.Relay{}}
	cutoffWithHop := func(hop time.Duration) time.Duration {
		cutoff, _ := newEngineRequest(&relayapi.Request{HopMargin: hop}, p, r).Contract.Cutoff.At()
		return cutoff
	}
	is.Equal(cutoffWithHop(0)-cutoffWithHop(hopMargin), hopMargin)
}

// Guards against repeated calls whose answer meets only the goal of the second call, and against a
// second call that gets hardly any time.
func TestCutoffFollowsTheFirstCall(t *testing.T) {
	is := is.New(t)
	const goal = 100 * time.Millisecond
	is.Equal(cutoffGoal(goal, 0), goal)
	is.Equal(cutoffGoal(goal, goal/4), goal*3/4)
	is.Equal(cutoffGoal(goal, goal*3/4), goal)
	is.Equal(cutoffGoal(goal, goal), lateGoalFactor*goal)
}

// Guards against a home that answers when the receiving entry has given up on it, so that the outcome of
// a request that reached no target is unknown there, also if the caller did not state its wait.
func TestHomeAnswersBeforeTheReceiverGivesUp(t *testing.T) {
	is := is.New(t)
	p := &plan{sheet: &sheet.Sheet{}, targets: &targetlist.Document{}}
	r := &route{service: &sheet.Service{Latency: sheet.Latency{ContractMS: 60, MaxDeadlineMS: 1000}}, relay: &sheet.Relay{}}
	arrival := time.Now()
	atReceiver := newEngineRequest(&relayapi.Request{Arrival: arrival}, p, r)
	atHome := newEngineRequest(&relayapi.Request{Arrival: arrival, HopMargin: hopMargin}, p, r)
	is.Equal(atReceiver.Deadline.Sub(atHome.Deadline), hopMargin)
}
