// Package faketier is a small in-process fleet of entries for the check of
// at-most-once histories. Its entries are made of the real permit and journal
// packages; the forwarder and the target are fakes that lose messages. Entries
// are frozen, killed, stopped and replaced at random while callers use permits.
package faketier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamstall/balsamstall/coordination/permit"
	"github.com/balsamstall/balsamstall/internal/history"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/journal"
)

// Fault is a mechanism that is turned off to see whether the check finds it.
type Fault int

// Faults.
const (
	// None turns nothing off.
	None Fault = iota
	// AlwaysStart runs a permit whatever the journal answers.
	AlwaysStart
	// ReleaseAfterLostReply takes a lost reply as proof that nothing ran.
	ReleaseAfterLostReply
	// EmptyHandover hands over a journal without its records.
	EmptyHandover
	// GrowingWindow judges permits by the longer window of a later sheet.
	GrowingWindow
)

const (
	window  = 300 // clock ticks
	workers = 12
	uses    = 40
	entries = 3
	query   = "drawing 8814"
)

// issuer is one incarnation of an entry, built from the real packages.
type issuer struct {
	entry     int
	inc       ids.Incarnation
	start     int64
	journal   *journal.Journal
	inherited *journal.Inherited
	killed    atomic.Bool
	// gate is write-locked while the process is frozen.
	gate sync.RWMutex
}

// tier is a fleet of entries with a forwarder and a target that records what ran.
type tier struct {
	fault    Fault
	signer   *permit.Signer
	clock    atomic.Int64
	sequence atomic.Uint64
	recorder history.Recorder

	mu sync.Mutex
	// current, successor and permits are guarded by mu.
	current   [entries]*issuer
	successor map[ids.Incarnation]*issuer
	permits   []string
}

func (t *tier) newIssuer(entry int) *issuer {
	return &issuer{entry: entry, inc: ids.NewIncarnation(), start: t.clock.Load(), journal: journal.New(2), inherited: journal.NewInherited()}
}

func (t *tier) now(i *issuer) time.Duration { return time.Duration(t.clock.Add(1) - i.start) }

func (t *tier) get(entry int) *issuer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current[entry]
}

func (t *tier) issue(i *issuer) {
	token := t.signer.Issue(permit.Claims{Issuer: i.inc, Entry: fmt.Sprint(i.entry), Sequence: t.sequence.Add(1),
		IssuedAt: t.now(i), Window: window, QueryDigest: permit.Digest(query)})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.permits = append(t.permits, token)
}

// pause is a point at which the process may be slow, frozen or killed. It
// reports whether the process still runs.
func (t *tier) pause(i *issuer, r *rand.Rand) bool {
	t.clock.Add(int64(r.IntN(3)))
	if r.IntN(4) == 0 {
		time.Sleep(time.Duration(r.IntN(100)) * time.Microsecond)
	}
	i.gate.RLock()
	defer i.gate.RUnlock()
	return !i.killed.Load()
}

var (
	unknown = history.Answer{Outcome: status.Unknown}
	notRun  = history.Answer{Outcome: status.NotRun}
	never   = history.Answer{Outcome: status.NotRun, Final: true}
)

func answerOf(r journal.Record) history.Answer {
	return history.Answer{Outcome: r.Outcome, Result: string(r.Body)}
}

// use presents a permit at an entry, which runs or forwards the request.
func (t *tier) use(i *issuer, token, id string, r *rand.Rand) history.Answer {
	claims, err := t.signer.Verify(token, permit.Request{Query: query})
	if err != nil {
		return notRun
	}
	if permit.Decide(claims, i.inc, t.now(i), 2*window) != permit.Forward {
		return t.runHere(i, claims, token, id, r)
	}
	var entry int
	fmt.Sscan(claims.Entry, &entry)
	issuer := t.get(entry)
	if r.IntN(8) == 0 || !t.pause(i, r) {
		return unknown // The forwarded request is lost.
	}
	answer := t.forwarded(issuer, claims, token, id, r)
	if r.IntN(8) == 0 {
		return unknown // The reply is lost.
	}
	return answer
}

func (t *tier) forwarded(i *issuer, claims permit.Claims, token, id string, r *rand.Rand) history.Answer {
	if permit.Decide(claims, i.inc, t.now(i), 2*window) != permit.Forward {
		return t.runHere(i, claims, token, id, r)
	}
	t.mu.Lock()
	heir := t.successor[claims.Issuer]
	t.mu.Unlock()
	if heir == nil || !t.pause(heir, r) {
		return unknown
	}
	switch record, finding := heir.inherited.Lookup(claims.Issuer, claims.Sequence, claims.Expires(), t.now(heir)); finding {
	case journal.Found:
		return answerOf(record)
	case journal.NoRecord:
		return never
	default:
		return unknown
	}
}

func (t *tier) runHere(i *issuer, claims permit.Claims, token, id string, r *rand.Rand) history.Answer {
	now := t.now(i)
	if t.fault == GrowingWindow && now >= claims.Expires() {
		// A later sheet has a longer window and the permit has none of its own.
		claims.Window = 2 * window
	}
	if permit.Decide(claims, i.inc, now, 2*window) != permit.Run || !t.pause(i, r) {
		return unknown
	}
	for {
		result := i.journal.Begin(claims.Sequence, now, claims.Expires())
		if t.fault == AlwaysStart {
			result.State = journal.Started
		}
		switch result.State {
		case journal.Started:
			if !t.pause(i, r) {
				// The waiters of a killed process must end with the test.
				i.journal.Finish(claims.Sequence, journal.Record{Outcome: status.Unknown})
				return unknown
			}
			return t.send(i, claims.Sequence, token, id, r)
		case journal.Running:
			if r.IntN(4) == 0 {
				return unknown // The duplicate's own deadline passes first.
			}
			<-result.Done
		case journal.Finished:
			return answerOf(result.Record)
		case journal.Sealed:
			return never
		default:
			return unknown
		}
	}
}

// send makes the attempt and records its end, also for a process that was killed
// meanwhile: its callers get no answer, but its waiters must end with the test.
func (t *tier) send(i *issuer, seq uint64, token, id string, r *rand.Rand) history.Answer {
	record := journal.Record{Outcome: status.Unknown}
	switch r.IntN(6) {
	case 0: // The target refuses.
		alive := t.pause(i, r)
		i.journal.Release(seq)
		if !alive {
			return unknown
		}
		return notRun
	case 1: // The reply is lost.
		t.recorder.Run(token, id, id)
		if t.fault == ReleaseAfterLostReply {
			i.journal.Release(seq)
			return notRun
		}
	default:
		t.recorder.Run(token, id, id)
		record = journal.Record{Outcome: status.Done, Body: []byte(id)}
	}
	alive := t.pause(i, r)
	i.journal.Finish(seq, record)
	if !alive {
		return unknown
	}
	return answerOf(record)
}

// replace kills or stops the incarnation of an entry and starts another one. A
// stopped incarnation goes on with what it has, like one that others only
// believe to be gone.
func (t *tier) replace(entry int, r *rand.Rand) {
	old, next := t.get(entry), t.newIssuer(entry)
	heir := t.get((entry + 1) % entries)
	if r.IntN(3) == 0 {
		old.killed.Store(true)
	} else {
		old.journal.Seal()
		if r.IntN(2) == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			_ = old.journal.WaitIdle(ctx) // What still runs is exported as Unknown.
			cancel()
		}
		now := t.now(old)
		records, err := old.journal.Export(now)
		if err != nil {
			panic(err)
		}
		if t.fault == EmptyHandover {
			records = nil
		}
		heir.inherited.Import(old.inc, journal.Handover{Records: records, ExportedAt: now, PermitRemaining: window}, t.now(heir))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.successor[old.inc] = heir
	t.current[entry] = next
}

// disturb replaces, freezes and expires until the work is done.
func (t *tier) disturb(done <-chan struct{}, r *rand.Rand) error {
	for {
		select {
		case <-done:
			return nil
		case <-time.After(time.Duration(r.IntN(300)) * time.Microsecond):
		}
		i := t.get(r.IntN(entries))
		switch r.IntN(4) {
		case 0:
			t.replace(i.entry, r)
		case 1:
			i.gate.Lock()
			time.Sleep(time.Duration(r.IntN(300)) * time.Microsecond)
			i.gate.Unlock()
		default:
			i.journal.Expire(t.now(i))
		}
	}
}

// Run makes one history and checks it. The seed selects the random choices, but
// not the order in which goroutines run. It returns the number of operations and
// the result of the check.
func Run(seed uint64, f Fault) (operations int, err error) {
	t := &tier{fault: f, signer: permit.NewSigner([]byte("key")), successor: map[ids.Incarnation]*issuer{}}
	for e := range entries {
		t.current[e] = t.newIssuer(e)
		t.issue(t.current[e])
	}
	done := make(chan struct{})
	var disturber, work errgroup.Group
	disturber.Go(func() error { return t.disturb(done, rand.New(rand.NewPCG(seed, workers))) })
	for w := range workers {
		work.Go(func() error {
			r := rand.New(rand.NewPCG(seed, uint64(w)))
			for n := range uses {
				i := t.get(r.IntN(entries))
				if r.IntN(10) == 0 {
					t.issue(i)
				}
				t.mu.Lock()
				token := t.permits[max(0, len(t.permits)-1-r.IntN(6))]
				t.mu.Unlock()
				id := fmt.Sprintf("%d-%d", w, n)
				answered := t.recorder.Use(token, id)
				answered(t.use(i, token, id, r))
			}
			return nil
		})
	}
	_ = work.Wait()
	close(done)
	_ = disturber.Wait()
	return t.recorder.Len(), t.recorder.Check()
}
