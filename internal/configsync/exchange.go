package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

const (
	// maxFacts bounds the facts of one kind in a message. Together with the
	// members a message stays below 10 KB.
	maxFacts = 64
	// newestFacts is the number of facts that every message carries; the rest
	// of maxFacts is chosen at random from the others.
	newestFacts = maxFacts / 2
	// maxMembersTaken bounds the members that are read from one message.
	maxMembersTaken = 128
	// zoneFanout is the number of entries of the own zone that are told at once of a cut.
	// Several entries find out by themselves, so that a zone of 294 is reached too.
	zoneFanout = 12
	// newcomerKnows is the number of live entries below which a caller counts as a
	// newcomer, which is told of all members at once. It needs the size of the fleet to
	// know its share of connections.
	newcomerKnows = 8
	// newcomerAge is the age of a process below which it is told of all members at once.
	// After a loss of power it hears of few at first, as those that it asks know few.
	newcomerAge = 2 * time.Second
	// startRounds is the number of the first exchanges, which follow each other after
	// startPause, so that the entries of a fleet that starts find each other within a
	// second.
	startRounds = 8
	startPause  = 150 * time.Millisecond
	// refreshPeers is the number of peers that Refresh asks.
	refreshPeers = 8
	// maxAnnounced bounds the peers that Announce calls.
	maxAnnounced = 64
	// jitterParts makes each pause between exchanges vary by a tenth.
	jitterParts = 10
)

// message returns what this entry tells a peer. News of members are left out of
// pushes: at 50,000 changes a day they would take a third of the 11 KB/s that an
// entry may use.
func (s *Syncer) message(members, newcomer bool) *peerpb.ExchangeRequest {
	var facts FactSet
	if s.deps.Facts != nil {
		facts = s.deps.Facts.Collect()
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.table.Self()
	m := &peerpb.ExchangeRequest{
		Entry:       self.ID,
		Incarnation: self.Incarnation[:],
		Zone:        self.Zone,
		Draining:    self.Draining || now.Before(s.yieldedUntil),
		Address:     self.Address,
		CutOff:      s.cutOff,
		UptimeMs:    now.Sub(s.started).Milliseconds(),
		Capacity:    self.Capacity,
		Quarantines: someFacts(s.rng, facts.Quarantines),
		Crashes:     someFacts(s.rng, facts.Crashes),
		Leaving:     someFacts(s.rng, facts.Leaving),
		Successions: someFacts(s.rng, facts.Successions),
		Failing:     someFacts(s.rng, facts.Failing),
	}
	for _, key := range s.cfg.Keys {
		if v := s.store.Version(key); !v.IsZero() {
			m.Documents = append(m.Documents, &peerpb.DocumentInfo{Key: key, Revision: v.Revision, Digest: v.Digest[:]})
		}
	}
	if !members {
		return m
	}
	sample := s.table.Sample
	if newcomer {
		sample = s.table.BootstrapSample
	}
	for _, k := range sample(now, s.rng) {
		m.Members = append(m.Members, &peerpb.Member{Entry: k.ID, Zone: k.Zone, Address: k.Address,
			Incarnation: k.Incarnation[:], Draining: k.Draining, AgeMs: now.Sub(k.LastSeen).Milliseconds(), Capacity: k.Capacity})
	}
	return m
}

// someFacts returns at most maxFacts: the first, and a random choice of the rest.
func someFacts[T any](rng *rand.Rand, facts []T) []T {
	if len(facts) <= maxFacts {
		return facts
	}
	chosen := make([]T, 0, maxFacts)
	chosen = append(chosen, facts[:newestFacts]...)
	rest := facts[newestFacts:]
	for _, i := range rng.Perm(len(rest))[:maxFacts-newestFacts] {
		chosen = append(chosen, rest[i])
	}
	return chosen
}

// told is what a peer told, in a request or a reply.
type told interface {
	GetEntry() string
	GetIncarnation() []byte
	GetZone() string
	GetAddress() string
	GetDraining() bool
	GetCutOff() bool
	GetUptimeMs() int64
	GetCapacity() uint32
	GetDocuments() []*peerpb.DocumentInfo
	GetMembers() []*peerpb.Member
	GetQuarantines() []*peerpb.Quarantine
	GetCrashes() []*peerpb.Crash
	GetLeaving() []*peerpb.Leaving
	GetSuccessions() []*peerpb.Succession
	GetFailing() []*peerpb.Failing
}

// learn takes over what a peer told. address is where the peer was called, or
// empty when it called.
func (s *Syncer) learn(m told, address string) {
	now := time.Now()
	sender := entryOf(m)
	if sender.Address == "" {
		sender.Address = address
	}
	s.mu.Lock()
	s.table.RecordAlive(now, now, sender)
	s.learnStart(now, time.Duration(m.GetUptimeMs())*time.Millisecond)
	if m.GetCutOff() && sender.Zone == s.cfg.Zone {
		s.zoneCutOff = now
	}
	for i, k := range m.GetMembers() {
		if i == maxMembersTaken {
			break
		}
		age := max(time.Duration(k.AgeMs)*time.Millisecond, time.Millisecond) // Only the sender itself is heard now.
		s.table.RecordAlive(now, now.Add(-age), entryOf(k))
	}
	s.mu.Unlock()
	for _, d := range m.GetDocuments() {
		s.learnDocument(sender, d)
	}
	if s.deps.Facts != nil {
		facts := FactSet{Quarantines: m.GetQuarantines(), Crashes: m.GetCrashes(), Leaving: m.GetLeaving(),
			Successions: m.GetSuccessions(), Failing: m.GetFailing()}
		s.deps.Facts.Receive(sender.ID, facts)
	}
}

// learnStart takes the age of a peer's process, zero when it tells none. The caller holds
// mu.
func (s *Syncer) learnStart(now time.Time, uptime time.Duration) {
	started := now.Add(-uptime)
	if uptime > 0 && (s.oldestPeer.IsZero() || started.Before(s.oldestPeer)) {
		s.oldestPeer = started
	}
}

// described is an entry in a message.
type described interface {
	GetEntry() string
	GetIncarnation() []byte
	GetZone() string
	GetAddress() string
	GetDraining() bool
	GetCapacity() uint32
}

func entryOf(m described) membership.Entry {
	e := membership.Entry{ID: m.GetEntry(), Zone: m.GetZone(), Address: m.GetAddress(), Draining: m.GetDraining(), Capacity: m.GetCapacity()}
	if len(m.GetIncarnation()) == ids.IncarnationSize {
		e.Incarnation = ids.Incarnation(m.GetIncarnation())
	}
	return e
}

// learnDocument compares a peer's version with the one in force.
func (s *Syncer) learnDocument(sender membership.Entry, d *peerpb.DocumentInfo) {
	queue := s.offers[d.Key]
	digest, ok := revision.ParseDigest(d.Digest)
	if queue == nil || !ok || sender.ID == s.cfg.Entry {
		return
	}
	version := revision.Version{Revision: d.Revision, Digest: digest}
	inForce := s.store.Version(d.Key)
	switch {
	case revision.Newer(inForce, version):
		if sender.Address != "" && !s.refusals.has(refusal{d.Key, version, true}) {
			queue.add(offer{entry: sender.ID, address: sender.Address, version: version})
		}
	case revision.Decide(inForce, version, true) == revision.Conflict:
		s.recordConflict(d.Key, version, "peer "+sender.ID)
	}
}

// HandleExchange implements peerpb.DRPCPeerServer. It does no I/O: newer
// documents are fetched afterwards.
func (s *Syncer) HandleExchange(_ context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	s.learn(in, "")
	// A caller that has documents and sends no members pushes; one that has
	// neither starts and needs to know the members.
	push := len(in.Members) == 0 && len(in.Documents) > 0
	newcomer := len(in.Members) < newcomerKnows || in.UptimeMs > 0 && in.UptimeMs < newcomerAge.Milliseconds()
	m := s.message(!push, newcomer)
	return &peerpb.ExchangeReply{Entry: m.Entry, Incarnation: m.Incarnation, Zone: m.Zone, Draining: m.Draining,
		Documents: m.Documents, Quarantines: m.Quarantines, Crashes: m.Crashes, Leaving: m.Leaving,
		Successions: m.Successions, Failing: m.Failing, CutOff: m.CutOff, UptimeMs: m.UptimeMs, Capacity: m.Capacity, Address: m.Address, Members: m.Members}, nil
}

// exchange tells a peer what this entry knows and learns what the peer knows. It
// reports whether the peer answered.
func (s *Syncer) exchange(ctx context.Context, peer membership.Entry, members bool) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	reply, err := s.deps.Peers.Exchange(ctx, peer.Address, s.message(members, false))
	if err == nil {
		s.learn(reply, peer.Address)
	}
	// Another entry may have the address by now.
	reached := err == nil && reply.Entry == peer.ID
	s.mu.Lock()
	if reached {
		s.table.RecordSuccess(peer.ID)
	} else {
		s.table.RecordFailure(time.Now(), peer.ID)
	}
	s.mu.Unlock()
	if !reached {
		s.deps.Log.Debug().Err(err).Str("peer", peer.ID).Str("address", peer.Address).Msg("exchange with a peer failed")
	}
	return reached
}

// exchangeRounds exchanges with a random peer every interval, and with some
// peers at once when there is news.
func (s *Syncer) exchangeRounds(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	start := func(peer membership.Entry, members bool) {
		select {
		case s.calls <- struct{}{}:
		default:
			return // Too many peers do not answer; the next rounds go on.
		}
		running.Go(func() {
			defer func() { <-s.calls }()
			s.exchange(ctx, peer, members)
		})
	}
	pause := time.NewTimer(0)
	defer pause.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.news:
			s.mu.Lock()
			peers := s.table.FanoutPeers(time.Now(), s.rng, s.cfg.PushFanout)
			s.mu.Unlock()
			for _, peer := range peers {
				start(peer, false)
			}
		case <-s.zoneNews:
			s.mu.Lock()
			peers := s.table.ZoneFanoutPeers(time.Now(), s.rng, zoneFanout)
			s.mu.Unlock()
			for _, peer := range peers {
				start(peer, false)
			}
		case <-pause.C:
			s.mu.Lock()
			peer, ok := s.table.NextPeer(time.Now(), s.rng)
			if round++; round%maintenanceRounds == 0 {
				s.table.Expire(time.Now())
			}
			s.mu.Unlock()
			if ok {
				start(peer, true)
			}
			next := s.cfg.ExchangeInterval
			if round < startRounds {
				next = min(next, startPause)
			}
			pause.Reset(s.random(next-next/jitterParts, next+next/jitterParts))
		}
	}
}

// exchangeWith exchanges with several peers at once and returns how many
// answered.
func (s *Syncer) exchangeWith(ctx context.Context, peers []membership.Entry) int {
	var running sync.WaitGroup
	answered := make(chan struct{}, len(peers))
	limit := make(chan struct{}, maxExchanges)
	for _, peer := range peers {
		limit <- struct{}{}
		running.Go(func() {
			defer func() { <-limit }()
			if s.exchange(ctx, peer, true) {
				answered <- struct{}{}
			}
		})
	}
	running.Wait()
	return len(answered)
}

// Refresh asks up to 8 peers for newer documents and puts them in force. It
// returns when they answered, or after the StartupTimeout. Run begins with it,
// because the platform may be stale; a process that was paused calls it before
// it goes on.
func (s *Syncer) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StartupTimeout)
	defer cancel()
	s.mu.Lock()
	peers := s.table.FanoutPeers(time.Now(), s.rng, refreshPeers)
	s.mu.Unlock()
	s.exchangeWith(ctx, peers)
	for _, key := range s.cfg.Keys {
		s.fetchOffers(ctx, key)
	}
}

// CatchUp asks the entry with the given id for newer documents. It does not wait.
func (s *Syncer) CatchUp(entry string) {
	s.mu.Lock()
	peer, ok := s.table.Entry(entry)
	s.mu.Unlock()
	if !ok || peer.Address == "" {
		return
	}
	select {
	case s.calls <- struct{}{}:
	default:
		return // Too many peers do not answer; the rounds go on.
	}
	go func() {
		defer func() { <-s.calls }()
		s.exchange(context.Background(), peer, false) // Bounded by CallTimeout.
	}()
}

// Announce tells the known peers, live ones first and at most 64, what this
// entry knows, and returns how many answered. A planned stop uses it to tell its
// successor to the others. It also tries peers that failed lately, because the
// entry has no later round.
func (s *Syncer) Announce(ctx context.Context) int {
	s.mu.Lock()
	members := s.table.Members(time.Now())
	s.mu.Unlock()
	var peers, others []membership.Entry
	for _, m := range members {
		switch {
		case m.Address == "":
		case m.Alive:
			peers = append(peers, m.Entry)
		default:
			others = append(others, m.Entry)
		}
	}
	peers = append(peers, others...)
	return s.exchangeWith(ctx, peers[:min(len(peers), maxAnnounced)])
}
