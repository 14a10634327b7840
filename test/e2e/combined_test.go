package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/platform"
	"github.com/balsamstall/balsamstall/internal/standin/target"
	"github.com/balsamstall/balsamstall/internal/testfleet"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
)

// combinedFaults is the number of faults that a combined run injects.
const combinedFaults = 24

// Guards against broken promises under several faults at once: slow, silent, shedding and crashing
// targets, targets that send wrong replies or lose replies, killed, paused and stopped entries, a
// stale or unavailable platform, and new sheets, while searches and permits run. Every answer is
// compared with the hits that the targets hold, every refusal with their records of what ran, and no
// entry may have found an invariant violation.
func TestPromisesUnderCombinedFaults(t *testing.T) {
	seed := testfleet.Seed(t)
	rng := rand.New(rand.NewPCG(seed, 9))
	c := testfleet.New(t, testfleet.Options{Entries: 3, Targets: 6, Shards: 8, ServiceMS: 3})
	var mu sync.Mutex
	permits := map[string]string{}
	stop := startLoad(c, 6, func(string, testfleet.Result) {})
	var wg sync.WaitGroup
	revision := uint64(1)
	for n := range combinedFaults {
		query := fmt.Sprintf("drawing %d", n)
		token := c.Search(c.Entries[rng.IntN(3)], testfleet.AtMostOnceSearch(query, "")).Refusal.Permit
		mu.Lock()
		permits[query] = token
		mu.Unlock()
		for range 3 {
			p := c.Entries[rng.IntN(3)]
			pause := time.Duration(rng.IntN(1_000)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(pause)
				c.CheckAnswer(query, c.Search(p, testfleet.AtMostOnceSearch(query, token)))
			})
		}
		revision = injectRandomFault(c, rng, revision)
		time.Sleep(time.Duration(100+rng.IntN(150)) * time.Millisecond)
	}
	wg.Wait()
	stop()
	for query := range permits {
		if runs := c.Runs(query); len(runs) > 1 {
			t.Errorf("%s ran %d times", query, len(runs))
		}
	}
	checkViolations(c)
	waitForRevision(c, revision)
}

// injectRandomFault injects one fault and returns the revision of the sheet published last.
func injectRandomFault(c *testfleet.Fleet, rng *rand.Rand, revision uint64) uint64 {
	c.T.Helper()
	tg := c.Targets[rng.IntN(len(c.Targets))]
	p := c.Entries[rng.IntN(len(c.Entries))]
	apply := func(cmd target.Command) {
		if err := tg.Apply(cmd); err != nil {
			c.T.Fatal(err)
		}
	}
	platformFault := func(cmd platform.Command) {
		if err := c.Platform.Apply(cmd); err != nil {
			c.T.Fatal(err)
		}
	}
	const faultMS = 600
	switch rng.IntN(12) {
	case 0:
		apply(target.Command{Fault: target.FaultSlow, Factor: 10, DurationMS: faultMS})
	case 1:
		tg.Silence(0.5)
	case 2:
		apply(target.Command{Fault: target.FaultShed, DurationMS: faultMS})
	case 3:
		apply(target.Command{Fault: target.FaultWrongReply, Kind: target.KindCrossed, Fraction: 0.3, DurationMS: faultMS})
	case 4:
		apply(target.Command{Fault: target.FaultResetAfterRun, Fraction: 0.3, DurationMS: faultMS})
	case 5:
		tg.Crash(faultMS * time.Millisecond)
	case 6:
		c.Kill(p)
		c.Start(p)
	case 7:
		c.Signal(p, syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.IntN(1_000)) * time.Millisecond)
		c.Signal(p, syscall.SIGCONT)
	case 8:
		c.Signal(p, syscall.SIGTERM)
		<-p.Exited
		c.Start(p)
	case 9:
		platformFault(platform.Command{Fault: platform.FaultStale, Back: 1, DurationMS: faultMS})
	case 10:
		platformFault(platform.Command{Fault: platform.FaultOutage, DurationMS: faultMS})
	case 11:
		revision++
		s, _ := c.Documents(revision, 8)
		c.Publish(platformapi.SheetKey, s)
	}
	return revision
}

// checkViolations fails the test if an entry found an invariant violation.
func checkViolations(c *testfleet.Fleet) {
	c.T.Helper()
	for _, p := range c.Entries {
		c.WaitReady(p)
		var vars struct {
			Entry struct {
				Violations map[string]int64 `json:"violations_total"`
			} `json:"balsam_entry"`
		}
		if err := c.CallAdmin(p, http.MethodGet, "/debug/vars", &vars); err != nil {
			c.T.Fatal(err)
		}
		if len(vars.Entry.Violations) > 0 {
			c.T.Errorf("%s: violations %v", p.Settings.ID, vars.Entry.Violations)
		}
	}
}

// waitForRevision waits until every entry uses the revision.
func waitForRevision(c *testfleet.Fleet, revision uint64) {
	c.T.Helper()
	c.Eventually("every entry uses the last sheet", func() bool {
		for _, p := range c.Entries {
			if c.SheetRevision(p) != revision {
				return false
			}
		}
		return true
	})
}
