package replica_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/balsamstall/balsamstall/coordination/replica"
)

func Example() {
	settings := replica.DefaultSettings()
	rng := rand.New(rand.NewPCG(1, 2))
	targets := []*replica.Stats{replica.NewStats(settings, 0), replica.NewStats(settings, 0)}

	// Target 0 does not reply for 80 ms. Target 1 replies after 5 ms.
	targets[0].Start(0)
	token := targets[1].Start(0)
	targets[1].Finish(token, 5*time.Millisecond, replica.Success)

	now := 80 * time.Millisecond
	candidates := []replica.Candidate{{Target: 0}, {Target: 1}}
	index, ok := replica.Pick(rng, candidates, func(target int) replica.Score {
		return targets[target].Score(now)
	})
	fmt.Println(index, ok)
	// Output: 1 true
}
