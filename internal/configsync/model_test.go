package configsync

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/internal/feed"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/protocol/targetlist"
	"github.com/balsamstall/balsamstall/state/audit"
)

var (
	modelSeed      = flag.Uint64("model.seed", 1, "seed of the first schedule of the model tests")
	modelSchedules = flag.Uint64("model.schedules", 1_000, "number of schedules of the model tests")
)

const (
	// modelSteps is the number of steps of a schedule before the store becomes stable.
	modelSteps = 60
	// convergenceRounds exchanges at the default interval take the 4 s within which entries must have the
	// store's list once it is stable.
	convergenceRounds = 8
	// modelPushFanout is the number of peers that an entry tells at once of a new list.
	modelPushFanout = DefaultPushFanout
	// modelWatchWait is the simulated duration of a watch.
	modelWatchWait = 50 * time.Millisecond
)

// modelEntry is an entry without goroutines: the schedule makes its calls.
type modelEntry struct {
	*Syncer
	id     string
	source *modelSource
	reader *platformReader
	// earlier is set if the entry runs the rules of an earlier build.
	earlier                      bool
	stopped, paused, partitioned bool
}

// model is one schedule.
type model struct {
	store   *modelStore
	rng     *rand.Rand
	entries []*modelEntry
	// fails describes the first violation.
	fails string
}

// modelPeers carries the calls of one entry to its peers.
type modelPeers struct {
	m    *model
	from *modelEntry
}

func (p modelPeers) peer(address string) (*Syncer, error) {
	for _, e := range p.m.entries {
		if e.id == address && !e.stopped && !e.paused && e.partitioned == p.from.partitioned {
			return e.Syncer, nil
		}
	}
	return nil, status.New(status.ConnectionFailed, status.NotRun, "peer %s is not reachable", address)
}

func (p modelPeers) Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	peer, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	return peer.HandleExchange(ctx, in)
}

func (p modelPeers) Fetch(ctx context.Context, address string, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	peer, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	return peer.HandleFetch(ctx, in)
}

// start starts an entry without documents, which has not met a peer.
func (m *model) start(e *modelEntry) {
	e.source = &modelSource{modelStore: m.store, cut: e.source != nil && e.source.cut}
	var platform Platform
	if e.earlier {
		platform = &earlierFeed{source: e.source}
	} else {
		f := feed.New(e.source, zerolog.Nop(), feed.WithClock(func() time.Time { return m.store.now }))
		e.source.during = func() { _, _ = f.Get(context.Background(), platformapi.TargetsKey) }
		platform = f
	}
	e.Syncer = New(Config{Keys: []string{platformapi.TargetsKey}, Entry: e.id, Address: e.id, Zone: "z", Incarnation: ids.Incarnation{1}, MonotonicPlatform: true,
		WatchWait: modelWatchWait},
		Deps{Platform: platform, Peers: modelPeers{m, e}, Audit: audit.New(zerolog.Nop()), Log: zerolog.Nop(), ParseTargets: targetlist.Parse,
			CheckTargets: (*targetlist.Document).Validate})
	e.reader = &platformReader{key: platformapi.TargetsKey, fullRead: true}
	e.stopped, e.paused = false, false
}

// canceled is the context of the calls to a feed, which then does not pause between two watches.
var canceled = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// read makes one call of the entry to the store, as platformLoop does.
func (m *model) read(e *modelEntry, watching bool) {
	if _, err := e.readPlatform(canceled, e.reader, watching); err != nil {
		e.reader.failures++
	} else {
		e.reader.failures = 0
	}
}

// exchange lets an entry exchange state with a peer. Both fetch what the other offers, unless the fetches
// are delayed.
func (m *model) exchange(e, peer *modelEntry, fetch bool) {
	e.Syncer.exchange(context.Background(), membership.Entry{ID: peer.id, Address: peer.id}, false)
	if fetch {
		for _, x := range []*modelEntry{e, peer} {
			if !x.stopped && !x.paused {
				x.fetchOffers(context.Background(), platformapi.TargetsKey)
			}
		}
	}
}

// step makes one random step.
func (m *model) step() {
	s := m.store
	s.now = s.now.Add(time.Duration(m.rng.Int64N(int64(400 * time.Millisecond))))
	e, peer := m.entries[m.rng.IntN(len(m.entries))], m.entries[m.rng.IntN(len(m.entries))]
	switch n := m.rng.IntN(100); {
	case n < 20:
		s.change()
	case n < 23:
		s.silent = !s.silent
	case n < 27: // Discard the history and cut the watches.
		s.oldest, s.silent = s.revision(), false
	case n < 28:
		s.restore()
	case n < 31:
		e.source.cut = !e.source.cut
	case n < 34:
		e.partitioned = !e.partitioned
	case n < 36:
		e.stopped = true
	case n < 39:
		e.paused = !e.paused
	case n < 45:
		m.start(e)
	case e.stopped || e.paused:
	case n < 75:
		m.read(e, true)
	case e != peer:
		m.exchange(e, peer, m.rng.IntN(4) > 0)
	}
}

// list returns the current target list of an entry, or nil.
func (e *modelEntry) list() *targetlist.Document {
	if doc := e.store.Current(platformapi.TargetsKey); doc != nil && !e.stopped {
		return doc.Value.(*targetlist.Document)
	}
	return nil
}

// check checks that each list of this build is the store's as of its revision. It follows that two lists of
// one version are equal, and that a newer one lacks no change of an older one.
func (m *model) check(step string) {
	for _, e := range m.entries {
		list := e.list()
		if list != nil && m.fails == "" && !m.store.matches(list, list.Era, list.Revision) {
			m.fails = fmt.Sprintf("%s: %s has a list of era %d and revision %d with %v and zones %v instead of %v and %v", step, e.id, list.Era, list.Revision,
				list.Targets, list.Evacuated, m.store.targetsAt(list.Era, list.Revision), m.store.evacuatedAt(list.Era, list.Revision))
		}
	}
}

// converge makes the store and the network stable and checks that every entry has the store's list in
// time. One entry of this build watches, and one more if it reaches the store.
func (m *model) converge(checkLists bool) {
	s := m.store
	s.stable, s.silent = true, false
	for i, e := range m.entries {
		e.partitioned, e.paused = false, false
		if e.source.cut = i > 0 && e.source.cut; e.stopped {
			m.start(e)
		}
	}
	for range convergenceRounds {
		s.now = s.now.Add(defaultExchangeInterval)
		for i, e := range m.entries {
			if i < 2 {
				m.read(e, true)
			}
			for _, n := range m.rng.Perm(len(m.entries))[:min(len(m.entries), 1+modelPushFanout)] {
				if n != i {
					m.exchange(e, m.entries[n], true)
				}
			}
		}
		if checkLists {
			m.check("stable")
		}
	}
	for _, e := range m.entries {
		if list := e.list(); !e.earlier && m.fails == "" && (list == nil || !s.matches(list, s.era(), s.revision())) {
			m.fails = fmt.Sprintf("%s has not the store's list of era %d and revision %d %d ms after it is stable: %+v", e.id, s.era(), s.revision(),
				convergenceRounds*defaultExchangeInterval.Milliseconds(), list)
		}
	}
}

// runModel runs one schedule and returns the first violation. earlier tells whether an entry runs the rules of
// an earlier build; the lists of a fleet with such entries are checked only at the end.
func runModel(seed uint64, earlier func(entry int) bool, checkLists bool) string {
	rng := rand.New(rand.NewPCG(seed, 0))
	start := time.Unix(1_700_000_000, 0)
	m := &model{rng: rng, store: &modelStore{rng: rng, zoneRng: rand.New(rand.NewPCG(seed, 1)), now: start, pageSize: 1 + rng.IntN(4), eras: []modelEra{{began: start}}}}
	for range 4 {
		m.store.change()
	}
	entries := 3 + rng.IntN(4)
	if seed%50 == 0 {
		entries = 3 + rng.IntN(98)
	}
	for i := range entries {
		e := &modelEntry{id: fmt.Sprintf("entry-%d", i), earlier: earlier(i)}
		m.entries = append(m.entries, e)
		m.start(e)
	}
	for i := range modelSteps + 2*entries {
		if m.step(); checkLists && m.fails == "" {
			m.check(fmt.Sprintf("step %d", i))
		}
	}
	m.converge(checkLists)
	return m.fails
}

// keptSeeds are the seeds of schedules that failed: while changes that cancel each other out kept the revision
// of the list, without settled lists at entries that are cut off from the store, and without the correction of
// lists that an entry's own reads contradict.
var keptSeeds = []uint64{1235, 1789, 3650, 3907, 10347, 10982, 15600, 16836, 17587}

// runSchedules runs many schedules concurrently, and the kept ones, and returns the violations by seed.
func runSchedules(run func(seed uint64) string) map[uint64]string {
	var mu sync.Mutex
	var running sync.WaitGroup
	var next atomic.Uint64
	violations := make(map[uint64]string)
	for range 8 {
		running.Go(func() {
			for n := next.Add(1) - 1; n < *modelSchedules+uint64(len(keptSeeds)); n = next.Add(1) - 1 {
				seed := *modelSeed + n - uint64(len(keptSeeds))
				if n < uint64(len(keptSeeds)) {
					seed = keptSeeds[n]
				}
				if violation := run(seed); violation != "" {
					mu.Lock()
					violations[seed] = violation
					mu.Unlock()
				}
			}
		})
	}
	running.Wait()
	return violations
}

func noneEarlier(int) bool { return false }

// Guards against two lists of one version that differ, a newer list that lacks a change of an older one, and
// an entry without the store's list once the store is stable.
func TestListsAreTheStoresAtTheirRevision(t *testing.T) {
	for seed, violation := range runSchedules(func(seed uint64) string { return runModel(seed, noneEarlier, true) }) {
		t.Errorf("seed %d: %s", seed, violation)
	}
}

// Guards against a model that does not find the fault of pages that differ in age.
func TestModelFindsListsDatedByTheirNewestPage(t *testing.T) {
	violations := runSchedules(func(seed uint64) string { return runModel(seed, func(int) bool { return true }, true) })
	t.Logf("%d of %d schedules fail", len(violations), *modelSchedules)
	is.New(t).True(len(violations) > 0)
}

// Guards against a wrong list of an earlier build that outlives the instability in entries of this build.
func TestListsOfAnEarlierBuildAreCorrected(t *testing.T) {
	run := func(seed uint64) string {
		return runModel(seed, func(entry int) bool { return entry >= 2 && entry%2 == 0 }, false)
	}
	for seed, violation := range runSchedules(run) {
		t.Errorf("seed %d: %s", seed, violation)
	}
}
