package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/internal/standin/target"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Guards the whole path: a search over all shards, a permit that another entry
// forwards to its issuer, and the repeat of the permit.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, options{entries: 3, targets: 4, shards: 8, serviceMS: 2})
	got := c.search(c.entries[0], quote("clamp"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(got.answer.Coverage.Searched), 8)
	is.True(got.answer.Coverage.ContractMet)

	permit := c.search(c.entries[0], fetch("drawing 7", ""))
	is.Equal(permit.fault.Code, status.PermitRequired)
	ran := c.search(c.entries[1], fetch("drawing 7", permit.fault.Permit))
	is.Equal(ran.status, http.StatusOK)
	is.Equal(ran.answer.Entry, "entry-0")
	again := c.search(c.entries[2], fetch("drawing 7", permit.fault.Permit))
	is.True(again.answer.Replayed)
	is.Equal(len(c.runs("drawing 7")), 1)
}

// Guards P5 when the issuer is killed: with replies outstanding, and before it
// ran anything. Nobody else runs the permit, and nobody says "not run".
func TestKilledIssuer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, options{entries: 3, targets: 2, shards: 4, serviceMS: 2})
	unused := c.search(c.entries[0], fetch("unused", "")).fault.Permit
	used := c.search(c.entries[0], fetch("used", "")).fault.Permit
	for _, tg := range c.targets {
		is.NoErr(tg.Apply(target.Command{Fault: target.FaultDelay, DelayMS: 1_000}))
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.checkAnswer("used", c.search(c.entries[1], fetch("used", used))) })
	c.eventually("the permit runs", func() bool { return len(c.runs("used")) == 1 })
	c.kill(c.entries[0])
	wg.Wait()
	for _, restart := range []bool{false, true} {
		if restart {
			c.start(c.entries[0])
			c.waitReady(c.entries[0])
		}
		for _, p := range c.entries[1:] {
			is.Equal(c.search(p, fetch("used", used)).fault.Outcome, status.Unknown)
			is.Equal(c.search(p, fetch("unused", unused)).fault.Outcome, status.Unknown)
		}
	}
	is.Equal(len(c.runs("used")), 1)
	is.Equal(len(c.runs("unused")), 0)
}

// Guards P5 and F5 when the issuer is paused past the deadline of a request and
// wakes: the request runs at most once and its outcome agrees with the targets.
func TestPausedIssuer(t *testing.T) {
	is := is.New(t)
	pause := time.Duration(envNumber(t, "BALSAM_PAUSE_SECONDS", 5)) * time.Second
	c := newCluster(t, options{entries: 3, targets: 2, shards: 4, serviceMS: 2})
	const permits = 6
	tokens := make([]string, permits)
	for n := range permits {
		tokens[n] = c.search(c.entries[0], fetch(fmt.Sprintf("drawing %d", n), "")).fault.Permit
	}
	c.signal(c.entries[0], syscall.SIGSTOP)
	var wg sync.WaitGroup
	for n := range permits {
		for use := range 3 {
			wg.Go(func() {
				query := fmt.Sprintf("drawing %d", n)
				got := c.search(c.entries[1+use%2], fetch(query, tokens[n]))
				c.checkAnswer(query, got)
				if got.err == nil && got.status != http.StatusOK && got.fault.Outcome != status.Unknown {
					t.Errorf("%s: outcome %s while the issuer is paused", query, got.fault.Outcome)
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(pause)
	c.signal(c.entries[0], syscall.SIGCONT)
	for n := range permits {
		query := fmt.Sprintf("drawing %d", n)
		c.eventually("the issuer answers again", func() bool {
			got := c.search(c.entries[1], fetch(query, tokens[n]))
			c.checkAnswer(query, got)
			return got.err == nil && got.fault.Code != status.IssuerUnreachable && got.fault.Code != status.DeadlineExceeded
		})
		is.True(len(c.runs(query)) <= 1)
	}
}

// Guards P5 and P7: a planned stop under load cuts no request off, and its
// successor knows the outcomes of its permits.
func TestPlannedStopUnderLoad(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, options{entries: 3, targets: 4, shards: 8, serviceMS: 20, balancerDelayMS: 300})
	used := c.search(c.entries[0], fetch("used", "")).fault.Permit
	unused := c.search(c.entries[0], fetch("unused", "")).fault.Permit
	is.Equal(c.search(c.entries[0], fetch("used", used)).status, http.StatusOK)

	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for worker := range 16 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				query := fmt.Sprintf("load %d %d", worker, n)
				got := c.search(c.entries[0], quote(query))
				c.checkAnswer(query, got)
				if got.err != nil && len(c.runs(query)) > 0 {
					t.Errorf("%s was cut off in flight: %v", query, got.err)
				}
				if got.err != nil {
					return // The listener is closed.
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.signal(c.entries[0], syscall.SIGTERM)
	<-c.entries[0].exited
	close(stopped)
	wg.Wait()
	for _, p := range c.entries[1:] {
		is.True(c.search(p, fetch("used", used)).answer.Replayed)
		got := c.search(p, fetch("unused", unused))
		is.Equal(got.fault.Code, status.PermitVoid)
		is.Equal(got.fault.Outcome, status.NotRun)
	}
	is.Equal(len(c.runs("used")), 1)
}

// Guards P4 and P5 in a randomised run of real processes: permits are sent many
// times at once to all entries while entries are killed, stopped, paused and
// restarted and targets lose replies.
func TestPermitsUnderRandomFaults(t *testing.T) {
	const permits, uses = 30, 5
	seed := testSeed(t)
	c := newCluster(t, options{entries: 3, targets: 3, shards: 4, serviceMS: 5})
	for _, tg := range c.targets {
		for _, f := range []target.Command{
			{Fault: target.FaultResetAfterRun, Fraction: 0.1},
			{Fault: target.FaultShed, Fraction: 0.1},
			{Fault: target.FaultResetBeforeRun, Fraction: 0.1},
		} {
			if err := tg.Apply(f); err != nil {
				t.Fatal(err)
			}
		}
	}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 3))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	var wg sync.WaitGroup
	for n := range permits {
		query := fmt.Sprintf("drawing %d", n)
		token := c.search(c.entries[draw(3)], fetch(query, "")).fault.Permit
		for range uses {
			wg.Go(func() {
				time.Sleep(time.Duration(draw(3_000)) * time.Millisecond)
				c.checkAnswer(query, c.search(c.entries[draw(3)], fetch(query, token)))
			})
		}
	}
	for range 4 {
		time.Sleep(time.Duration(300+draw(300)) * time.Millisecond)
		p := c.entries[draw(3)]
		switch draw(3) {
		case 0:
			c.kill(p)
			c.start(p)
		case 1:
			c.signal(p, syscall.SIGTERM)
			<-p.exited
			c.start(p)
		case 2:
			c.signal(p, syscall.SIGSTOP)
			time.Sleep(time.Duration(draw(800)) * time.Millisecond)
			c.signal(p, syscall.SIGCONT)
		}
	}
	wg.Wait()
	for n := range permits {
		if runs := c.runs(fmt.Sprintf("drawing %d", n)); len(runs) > 1 {
			t.Errorf("drawing %d ran %d times", n, len(runs))
		}
	}
}
