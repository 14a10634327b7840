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
	"github.com/balsamstall/balsamstall/internal/testfleet"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Guards the path of a search over all shards, of a permit that another entry forwards to its
// issuer, and of a repeat of that permit.
func TestSearchAndPermit(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 3, Targets: 4, Shards: 8, ServiceMS: 2})
	got := c.Search(c.Entries[0], testfleet.IdempotentSearch("clamp"))
	is.Equal(got.Status, http.StatusOK)
	is.Equal(len(got.Answer.Coverage.Searched), 8)
	is.True(got.Answer.Coverage.ContractMet)

	permit := c.Search(c.Entries[0], testfleet.AtMostOnceSearch("drawing 7", ""))
	is.Equal(permit.Refusal.Code, status.PermitRequired)
	ran := c.Search(c.Entries[1], testfleet.AtMostOnceSearch("drawing 7", permit.Refusal.Permit))
	is.Equal(ran.Status, http.StatusOK)
	is.Equal(ran.Answer.Entry, "entry-0")
	again := c.Search(c.Entries[2], testfleet.AtMostOnceSearch("drawing 7", permit.Refusal.Permit))
	is.True(again.Answer.Replayed)
	is.Equal(len(c.Runs("drawing 7")), 1)
}

// Guards against running the permits of a killed issuer on another entry, and against the outcome
// "not run" for them, whether replies were outstanding or the issuer had not run anything yet.
func TestKilledIssuer(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 3, Targets: 2, Shards: 4, ServiceMS: 2})
	unused := c.Search(c.Entries[0], testfleet.AtMostOnceSearch("unused", "")).Refusal.Permit
	used := c.Search(c.Entries[0], testfleet.AtMostOnceSearch("used", "")).Refusal.Permit
	for _, tg := range c.Targets {
		is.NoErr(tg.Apply(target.Command{Fault: target.FaultDelay, DelayMS: 1_000}))
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.CheckAnswer("used", c.Search(c.Entries[1], testfleet.AtMostOnceSearch("used", used))) })
	c.Eventually("the permit runs", func() bool { return len(c.Runs("used")) == 1 })
	c.Kill(c.Entries[0])
	wg.Wait()
	for _, restart := range []bool{false, true} {
		if restart {
			c.Start(c.Entries[0])
			c.WaitReady(c.Entries[0])
		}
		for _, p := range c.Entries[1:] {
			is.Equal(c.Search(p, testfleet.AtMostOnceSearch("used", used)).Refusal.Outcome, status.Unknown)
			is.Equal(c.Search(p, testfleet.AtMostOnceSearch("unused", unused)).Refusal.Outcome, status.Unknown)
		}
	}
	is.Equal(len(c.Runs("used")), 1)
	is.Equal(len(c.Runs("unused")), 0)
}

// Guards against an issuer that is paused past the deadline of a request and runs it more than once
// or reports an outcome that differs from the records of the targets when it resumes.
func TestPausedIssuer(t *testing.T) {
	is := is.New(t)
	pause := time.Duration(testfleet.EnvNumber(t, "BALSAM_PAUSE_SECONDS", 5)) * time.Second
	c := testfleet.New(t, testfleet.Options{Entries: 3, Targets: 2, Shards: 4, ServiceMS: 2})
	const permits = 6
	tokens := make([]string, permits)
	for n := range permits {
		tokens[n] = c.Search(c.Entries[0], testfleet.AtMostOnceSearch(fmt.Sprintf("drawing %d", n), "")).Refusal.Permit
	}
	c.Signal(c.Entries[0], syscall.SIGSTOP)
	var wg sync.WaitGroup
	for n := range permits {
		for use := range 3 {
			wg.Go(func() {
				query := fmt.Sprintf("drawing %d", n)
				got := c.Search(c.Entries[1+use%2], testfleet.AtMostOnceSearch(query, tokens[n]))
				c.CheckAnswer(query, got)
				if got.Err == nil && got.Status != http.StatusOK && got.Refusal.Outcome != status.Unknown {
					t.Errorf("%s: outcome %s while the issuer is paused", query, got.Refusal.Outcome)
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(pause)
	c.Signal(c.Entries[0], syscall.SIGCONT)
	for n := range permits {
		query := fmt.Sprintf("drawing %d", n)
		c.Eventually("the issuer answers again", func() bool {
			got := c.Search(c.Entries[1], testfleet.AtMostOnceSearch(query, tokens[n]))
			c.CheckAnswer(query, got)
			return got.Err == nil && got.Refusal.Code != status.IssuerUnreachable && got.Refusal.Code != status.DeadlineExceeded
		})
		is.True(len(c.Runs(query)) <= 1)
	}
}

// Guards against a planned shutdown that breaks off requests in flight, and against a successor
// that does not know the outcomes of the permits.
func TestPlannedShutdownUnderLoad(t *testing.T) {
	is := is.New(t)
	c := testfleet.New(t, testfleet.Options{Entries: 3, Targets: 4, Shards: 8, ServiceMS: 20, BalancerDelayMS: 300})
	used := c.Search(c.Entries[0], testfleet.AtMostOnceSearch("used", "")).Refusal.Permit
	unused := c.Search(c.Entries[0], testfleet.AtMostOnceSearch("unused", "")).Refusal.Permit
	is.Equal(c.Search(c.Entries[0], testfleet.AtMostOnceSearch("used", used)).Status, http.StatusOK)

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
				got := c.Search(c.Entries[0], testfleet.IdempotentSearch(query))
				c.CheckAnswer(query, got)
				if got.Err != nil && len(c.Runs(query)) > 0 {
					t.Errorf("%s was broken off in flight: %v", query, got.Err)
				}
				if got.Err != nil {
					return // The listener is closed.
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.Signal(c.Entries[0], syscall.SIGTERM)
	<-c.Entries[0].Exited
	close(stopped)
	wg.Wait()
	for _, p := range c.Entries[1:] {
		is.True(c.Search(p, testfleet.AtMostOnceSearch("used", used)).Answer.Replayed)
		got := c.Search(p, testfleet.AtMostOnceSearch("unused", unused))
		is.Equal(got.Refusal.Code, status.PermitVoid)
		is.Equal(got.Refusal.Outcome, status.NotRun)
	}
	is.Equal(len(c.Runs("used")), 1)
}

// Guards against permits that run more than once, and against the outcome "not run" for a request
// that ran: each permit is sent several times to random entries while entries are killed, stopped,
// paused and restarted and targets refuse requests or reset connections before or after the run.
func TestPermitsUnderRandomFaults(t *testing.T) {
	const permits, uses = 30, 5
	seed := testfleet.Seed(t)
	c := testfleet.New(t, testfleet.Options{Entries: 3, Targets: 3, Shards: 4, ServiceMS: 5})
	for _, tg := range c.Targets {
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
	randomN := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	var wg sync.WaitGroup
	for n := range permits {
		query := fmt.Sprintf("drawing %d", n)
		token := c.Search(c.Entries[randomN(3)], testfleet.AtMostOnceSearch(query, "")).Refusal.Permit
		for range uses {
			wg.Go(func() {
				time.Sleep(time.Duration(randomN(3_000)) * time.Millisecond)
				c.CheckAnswer(query, c.Search(c.Entries[randomN(3)], testfleet.AtMostOnceSearch(query, token)))
			})
		}
	}
	for range 4 {
		time.Sleep(time.Duration(300+randomN(300)) * time.Millisecond)
		p := c.Entries[randomN(3)]
		switch randomN(3) {
		case 0:
			c.Kill(p)
			c.Start(p)
		case 1:
			c.Signal(p, syscall.SIGTERM)
			<-p.Exited
			c.Start(p)
		case 2:
			c.Signal(p, syscall.SIGSTOP)
			time.Sleep(time.Duration(randomN(800)) * time.Millisecond)
			c.Signal(p, syscall.SIGCONT)
		}
	}
	wg.Wait()
	for n := range permits {
		if runs := c.Runs(fmt.Sprintf("drawing %d", n)); len(runs) > 1 {
			t.Errorf("drawing %d ran %d times", n, len(runs))
		}
	}
}
