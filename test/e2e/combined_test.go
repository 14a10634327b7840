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
	"github.com/balsamstall/balsamstall/protocol/platformapi"
)

// combinedFaults is the number of faults of a combined run.
const combinedFaults = 24

// Guards the promises under several faults at once: slow, silent, shedding,
// lying and draining targets, killed, paused and stopped entries, a platform
// that is stale, cut or down, and new sheets, while searches and permits run.
// Every answer and every refusal is checked against the targets' records, and
// no invariant fails inside an entry.
func TestPromisesUnderCombinedFaults(t *testing.T) {
	seed := testSeed(t)
	rng := rand.New(rand.NewPCG(seed, 9))
	c := newCluster(t, options{entries: 3, targets: 6, shards: 8, serviceMS: 3})
	var mu sync.Mutex
	permits := map[string]string{}
	stop := c.load(6, func(string, result) {})
	var uses sync.WaitGroup
	revision := uint64(1)
	for n := range combinedFaults {
		query := fmt.Sprintf("drawing %d", n)
		token := c.search(c.entries[rng.IntN(3)], fetch(query, "")).fault.Permit
		mu.Lock()
		permits[query] = token
		mu.Unlock()
		for range 3 {
			p := c.entries[rng.IntN(3)]
			pause := time.Duration(rng.IntN(1_000)) * time.Millisecond
			uses.Go(func() {
				time.Sleep(pause)
				c.checkAnswer(query, c.search(p, fetch(query, token)))
			})
		}
		revision = c.randomFault(rng, revision)
		time.Sleep(time.Duration(100+rng.IntN(150)) * time.Millisecond)
	}
	uses.Wait()
	stop()
	for query := range permits {
		if runs := c.runs(query); len(runs) > 1 {
			t.Errorf("%s ran %d times", query, len(runs))
		}
	}
	c.checkViolations()
	c.checkRevisions(revision)
}

// randomFault injects one fault and returns the revision of the sheet published last.
func (c *cluster) randomFault(rng *rand.Rand, revision uint64) uint64 {
	c.t.Helper()
	tg := c.targets[rng.IntN(len(c.targets))]
	p := c.entries[rng.IntN(len(c.entries))]
	apply := func(cmd target.Command) {
		if err := tg.Apply(cmd); err != nil {
			c.t.Fatal(err)
		}
	}
	platformFault := func(cmd platform.Command) {
		if err := c.platform.Apply(cmd); err != nil {
			c.t.Fatal(err)
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
		c.kill(p)
		c.start(p)
	case 7:
		c.signal(p, syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.IntN(1_000)) * time.Millisecond)
		c.signal(p, syscall.SIGCONT)
	case 8:
		c.signal(p, syscall.SIGTERM)
		<-p.exited
		c.start(p)
	case 9:
		platformFault(platform.Command{Fault: platform.FaultStale, Back: 1, DurationMS: faultMS})
	case 10:
		platformFault(platform.Command{Fault: platform.FaultOutage, DurationMS: faultMS})
	case 11:
		revision++
		s, _ := c.documents(revision, 8)
		c.publish(platformapi.SheetKey, s)
	}
	return revision
}

// checkViolations fails when an entry found a broken invariant.
func (c *cluster) checkViolations() {
	c.t.Helper()
	for _, p := range c.entries {
		c.waitReady(p)
		var vars struct {
			Entry struct {
				Violations map[string]int64 `json:"violations_total"`
			} `json:"balsam_entry"`
		}
		if err := c.admin(p, http.MethodGet, "/debug/vars", &vars); err != nil {
			c.t.Fatal(err)
		}
		if len(vars.Entry.Violations) > 0 {
			c.t.Errorf("%s: violations %v", p.settings.ID, vars.Entry.Violations)
		}
	}
}

// checkRevisions waits until the revision is in force on every entry.
func (c *cluster) checkRevisions(revision uint64) {
	c.t.Helper()
	c.eventually("the last sheet is in force everywhere", func() bool {
		for _, p := range c.entries {
			if c.revision(p) != revision {
				return false
			}
		}
		return true
	})
}
