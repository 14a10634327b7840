package hedge_test

import (
	"fmt"

	"github.com/balsamstall/balsamstall/coordination/hedge"
)

func Example() {
	tracker := hedge.New(hedge.DefaultSettings(), 0)
	tracker.AddPrimaries(68) // a query is sent to 68 shards

	// One sub-request is still unanswered after the delay.
	delay := tracker.Delay(0)
	decision := tracker.Decide(delay, hedge.Progress{Age: delay, Fanout: 68, Outstanding: 1})
	fmt.Println(delay, decision.Verdict)
	// Output: 50ms send
}
