// Package faketier simulates a small fleet of entries in process, to check at-most-once histories.
// The entries use the real permit and journal packages; forwarding and the target are fakes that
// lose messages. Entries are frozen, killed, stopped and replaced at random while callers use
// permits.
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

// Fault is a mechanism that is disabled to verify that the check detects its absence.
type Fault int

// Faults.
const (
	// NoFault disables nothing.
	NoFault Fault = iota
	// BeginAlwaysStarts runs a permit regardless of the state that the journal returns.
	BeginAlwaysStarts
	// ReleaseAfterLostReply treats a lost reply as proof that the request did not run.
	ReleaseAfterLostReply
	// EmptyHandover hands a journal over without its records.
	EmptyHandover
	// ExtendedWindow applies the longer window of a later sheet to permits issued before it.
	ExtendedWindow
)

const (
	permitWindow  = 300 // clock ticks
	workers       = 12
	usesPerWorker = 40
	entries       = 3
	query         = "drawing 8814"
)

// issuer is one incarnation of an entry. It uses the real permit and journal packages.
type issuer struct {
	entry     int
	inc       ids.Incarnation
	start     int64
	journal   *journal.Journal
	inherited *journal.Inherited
	killed    atomic.Bool
	// freezeLock is write-locked while the process is frozen.
	freezeLock sync.RWMutex
}

// fleet is a fleet of entries with a fake forwarder and a fake target that records what ran.
type fleet struct {
	fault    Fault
	signer   *permit.Signer
	clock    atomic.Int64
	sequence atomic.Uint64
	recorder history.Recorder

	mu sync.Mutex
	// current, successors and permits are guarded by mu. successors maps a replaced incarnation to
	// the entry that answers for it.
	current    [entries]*issuer
	successors map[ids.Incarnation]*issuer
	permits    []string
}

func (f *fleet) newIssuer(entry int) *issuer {
	return &issuer{entry: entry, inc: ids.NewIncarnation(), start: f.clock.Load(), journal: journal.New(2), inherited: journal.NewInherited()}
}

func (f *fleet) now(i *issuer) time.Duration { return time.Duration(f.clock.Add(1) - i.start) }

func (f *fleet) currentIssuer(entry int) *issuer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current[entry]
}

func (f *fleet) issue(i *issuer) {
	token := f.signer.Issue(permit.Claims{Issuer: i.inc, Entry: fmt.Sprint(i.entry), Sequence: f.sequence.Add(1),
		IssuedAt: f.now(i), Window: permitWindow, QueryDigest: permit.Digest(query)})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.permits = append(f.permits, token)
}

// faultPoint is a point at which the process may be slow, frozen or killed. It reports whether the
// process is still alive.
func (f *fleet) faultPoint(i *issuer, r *rand.Rand) bool {
	f.clock.Add(int64(r.IntN(3)))
	if r.IntN(4) == 0 {
		time.Sleep(time.Duration(r.IntN(100)) * time.Microsecond)
	}
	i.freezeLock.RLock()
	defer i.freezeLock.RUnlock()
	return !i.killed.Load()
}

var (
	unknown     = history.Answer{Outcome: status.Unknown}
	notRun      = history.Answer{Outcome: status.NotRun}
	finalNotRun = history.Answer{Outcome: status.NotRun, Final: true}
)

func answerOf(r journal.Record) history.Answer {
	return history.Answer{Outcome: r.Outcome, Result: string(r.Body)}
}

// presentPermit presents a permit to an entry, which runs or forwards the request.
func (f *fleet) presentPermit(i *issuer, token, id string, r *rand.Rand) history.Answer {
	claims, err := f.signer.Verify(token, permit.Request{Query: query})
	if err != nil {
		return notRun
	}
	if permit.Decide(claims, i.inc, f.now(i), 2*permitWindow) != permit.Forward {
		return f.runLocally(i, claims, token, id, r)
	}
	var entry int
	fmt.Sscan(claims.Entry, &entry)
	owner := f.currentIssuer(entry)
	if r.IntN(8) == 0 || !f.faultPoint(i, r) {
		return unknown // The forwarded request is lost.
	}
	answer := f.handleForwarded(owner, claims, token, id, r)
	if r.IntN(8) == 0 {
		return unknown // The reply is lost.
	}
	return answer
}

func (f *fleet) handleForwarded(i *issuer, claims permit.Claims, token, id string, r *rand.Rand) history.Answer {
	if permit.Decide(claims, i.inc, f.now(i), 2*permitWindow) != permit.Forward {
		return f.runLocally(i, claims, token, id, r)
	}
	f.mu.Lock()
	successor := f.successors[claims.Issuer]
	f.mu.Unlock()
	if successor == nil || !f.faultPoint(successor, r) {
		return unknown
	}
	switch record, result := successor.inherited.Lookup(claims.Issuer, claims.Sequence, claims.Expires(), f.now(successor)); result {
	case journal.Found:
		return answerOf(record)
	case journal.NoRecord:
		return finalNotRun
	default:
		return unknown
	}
}

func (f *fleet) runLocally(i *issuer, claims permit.Claims, token, id string, r *rand.Rand) history.Answer {
	now := f.now(i)
	if f.fault == ExtendedWindow && now >= claims.Expires() {
		// A later sheet has a longer window and the permit has none of its own.
		claims.Window = 2 * permitWindow
	}
	if permit.Decide(claims, i.inc, now, 2*permitWindow) != permit.Run || !f.faultPoint(i, r) {
		return unknown
	}
	for {
		result := i.journal.Begin(claims.Sequence, now, claims.Expires())
		if f.fault == BeginAlwaysStarts {
			result.State = journal.Started
		}
		switch result.State {
		case journal.Started:
			if !f.faultPoint(i, r) {
				// Requests that wait on a killed process must end before the test does.
				i.journal.Finish(claims.Sequence, journal.Record{Outcome: status.Unknown})
				return unknown
			}
			return f.sendToTarget(i, claims.Sequence, token, id, r)
		case journal.Running:
			if r.IntN(4) == 0 {
				return unknown // The duplicate's own deadline passes first.
			}
			<-result.Done
		case journal.Finished:
			return answerOf(result.Record)
		case journal.Sealed:
			return finalNotRun
		default:
			return unknown
		}
	}
}

// sendToTarget makes the attempt and records its end in the journal, even if the process was killed
// meanwhile: its callers get no answer, but requests that wait on it must end before the test does.
func (f *fleet) sendToTarget(i *issuer, seq uint64, token, id string, r *rand.Rand) history.Answer {
	record := journal.Record{Outcome: status.Unknown}
	switch r.IntN(6) {
	case 0: // The target refuses.
		alive := f.faultPoint(i, r)
		i.journal.Release(seq)
		if !alive {
			return unknown
		}
		return notRun
	case 1: // The reply is lost.
		f.recorder.Run(token, id, id)
		if f.fault == ReleaseAfterLostReply {
			i.journal.Release(seq)
			return notRun
		}
	default:
		f.recorder.Run(token, id, id)
		record = journal.Record{Outcome: status.Done, Body: []byte(id)}
	}
	alive := f.faultPoint(i, r)
	i.journal.Finish(seq, record)
	if !alive {
		return unknown
	}
	return answerOf(record)
}

// replace kills or stops the incarnation of an entry and starts a new one. A stopped incarnation
// continues with its outstanding requests, like one that other entries wrongly believe to be gone.
func (f *fleet) replace(entry int, r *rand.Rand) {
	old, next := f.currentIssuer(entry), f.newIssuer(entry)
	successor := f.currentIssuer((entry + 1) % entries)
	if r.IntN(3) == 0 {
		old.killed.Store(true)
	} else {
		old.journal.Seal()
		if r.IntN(2) == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			_ = old.journal.WaitIdle(ctx) // What still runs is exported as Unknown.
			cancel()
		}
		now := f.now(old)
		records, err := old.journal.Export(now)
		if err != nil {
			panic(err)
		}
		if f.fault == EmptyHandover {
			records = nil
		}
		successor.inherited.Import(old.inc, journal.Handover{Records: records, ExportedAt: now, PermitRemaining: permitWindow}, f.now(successor))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.successors[old.inc] = successor
	f.current[entry] = next
}

// injectFaults replaces and freezes entries and expires journal records until done is closed.
func (f *fleet) injectFaults(done <-chan struct{}, r *rand.Rand) error {
	for {
		select {
		case <-done:
			return nil
		case <-time.After(time.Duration(r.IntN(300)) * time.Microsecond):
		}
		i := f.currentIssuer(r.IntN(entries))
		switch r.IntN(4) {
		case 0:
			f.replace(i.entry, r)
		case 1:
			i.freezeLock.Lock()
			time.Sleep(time.Duration(r.IntN(300)) * time.Microsecond)
			i.freezeLock.Unlock()
		default:
			i.journal.Expire(f.now(i))
		}
	}
}

// Run generates one history and checks it. The seed determines the random choices, but not the order
// in which goroutines run. Run returns the number of operations and the result of the check.
func Run(seed uint64, fault Fault) (operations int, err error) {
	f := &fleet{fault: fault, signer: permit.NewSigner([]byte("key")), successors: map[ids.Incarnation]*issuer{}}
	for e := range entries {
		f.current[e] = f.newIssuer(e)
		f.issue(f.current[e])
	}
	done := make(chan struct{})
	var injector, callers errgroup.Group
	injector.Go(func() error { return f.injectFaults(done, rand.New(rand.NewPCG(seed, workers))) })
	for w := range workers {
		callers.Go(func() error {
			r := rand.New(rand.NewPCG(seed, uint64(w)))
			for n := range usesPerWorker {
				i := f.currentIssuer(r.IntN(entries))
				if r.IntN(10) == 0 {
					f.issue(i)
				}
				f.mu.Lock()
				token := f.permits[max(0, len(f.permits)-1-r.IntN(6))]
				f.mu.Unlock()
				id := fmt.Sprintf("%d-%d", w, n)
				recordAnswer := f.recorder.Use(token, id)
				recordAnswer(f.presentPermit(i, token, id, r))
			}
			return nil
		})
	}
	_ = callers.Wait()
	close(done)
	_ = injector.Wait()
	return f.recorder.Len(), f.recorder.Check()
}
