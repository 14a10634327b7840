package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamstall/balsamstall/coordination/membership"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

const (
	// maxFactsPerKind limits the facts of one kind in a message, so that a message including its
	// members stays below 10 KB.
	maxFactsPerKind = 64
	// newestFacts is the number of newest facts of each kind that every message carries. The rest
	// of maxFactsPerKind is selected at random from the others.
	newestFacts = maxFactsPerKind / 2
	// maxMembersRead limits the members that are read from one message.
	maxMembersRead = 128
	// zoneFanout is the number of entries of the own zone that are notified immediately that this
	// entry is partitioned. Several entries detect it themselves, so that even a zone of 294 entries is
	// reached.
	zoneFanout = 12
	// maxConcurrentCatchUps limits the concurrent calls of CatchUp.
	maxConcurrentCatchUps = 4
	// bootstrapMemberLimit is the number of live members below which a caller counts as
	// bootstrapping and receives a bootstrap sample of the members. It needs the size of the fleet
	// to compute its share of connections.
	bootstrapMemberLimit = 8
	// bootstrapUptimeLimit is the uptime below which a caller counts as bootstrapping whatever the
	// number of its members. After a power loss the entries that it asks know few members
	// themselves at first.
	bootstrapUptimeLimit = 2 * time.Second
	// startupRounds is the number of initial exchanges, which follow each other at startupInterval,
	// so that the entries of a starting fleet discover each other within a second.
	startupRounds   = 8
	startupInterval = 150 * time.Millisecond
	// refreshPeers is the maximum number of peers that Refresh asks.
	refreshPeers = 8
	// maxAnnouncePeers limits the peers that Announce calls.
	maxAnnouncePeers = 64
	// exchangeJitterDivisor randomizes each interval between exchanges by ±1/10.
	exchangeJitterDivisor = 10
)

// message returns the message that this entry sends to a peer. Pushes omit the members: at 50,000
// changes a day these would take a third of the 11 KB/s that an entry may use. bootstrap selects a
// larger sample of the members, for a peer that knows few.
func (s *Syncer) message(includeMembers, bootstrap bool) *peerpb.ExchangeRequest {
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
		CutOff:      s.partitioned,
		UptimeMs:    now.Sub(s.started).Milliseconds(),
		Capacity:    self.Capacity,
		Detached:    self.Detached,
		Quarantines: sampleFacts(s.rng, facts.Quarantines),
		Crashes:     sampleFacts(s.rng, facts.Crashes),
		Leaving:     sampleFacts(s.rng, facts.Leaving),
		Successions: sampleFacts(s.rng, facts.Successions),
		Failing:     sampleFacts(s.rng, facts.Failing),
		RateLimits:  sampleFacts(s.rng, facts.RateLimits),
	}
	m.Availability = s.availability.message(now)
	for _, key := range s.cfg.Keys {
		// Read before the version, which it would not cover if that was replaced in between.
		confirmed, refused := s.confirmedAge(key, now), s.confirmations.refusedVersion(key)
		if c := s.store.Claim(key); !c.Version.IsZero() {
			m.Documents = append(m.Documents, &peerpb.DocumentInfo{Key: key, Era: c.Version.Era, Revision: c.Version.Revision, Digest: c.Version.Digest[:], Settled: c.Settled,
				ConfirmedAgeMs: confirmed, Refused: proto.Uint64(refused)})
		}
	}
	if !includeMembers {
		return m
	}
	sample := s.table.Sample
	if bootstrap {
		sample = s.table.BootstrapSample
	}
	for _, member := range sample(now, s.rng) {
		m.Members = append(m.Members, &peerpb.Member{Entry: member.ID, Zone: member.Zone, Address: member.Address,
			Incarnation: member.Incarnation[:], Draining: member.Draining, AgeMs: now.Sub(member.LastSeen).Milliseconds(), Capacity: member.Capacity, Detached: member.Detached})
	}
	return m
}

// sampleFacts returns at most maxFactsPerKind facts: the first newestFacts and a random selection
// of the rest.
func sampleFacts[T any](rng *rand.Rand, facts []T) []T {
	if len(facts) <= maxFactsPerKind {
		return facts
	}
	chosen := make([]T, 0, maxFactsPerKind)
	chosen = append(chosen, facts[:newestFacts]...)
	rest := facts[newestFacts:]
	for _, i := range rng.Perm(len(rest))[:maxFactsPerKind-newestFacts] {
		chosen = append(chosen, rest[i])
	}
	return chosen
}

// exchangeMessage is a message from a peer, either a request or a reply.
type exchangeMessage interface {
	GetEntry() string
	GetIncarnation() []byte
	GetZone() string
	GetAddress() string
	GetDraining() bool
	GetCutOff() bool
	GetUptimeMs() int64
	GetCapacity() uint32
	GetDetached() bool
	GetAvailability() *peerpb.Availability
	GetDocuments() []*peerpb.DocumentInfo
	GetMembers() []*peerpb.Member
	GetQuarantines() []*peerpb.Quarantine
	GetCrashes() []*peerpb.Crash
	GetLeaving() []*peerpb.Leaving
	GetSuccessions() []*peerpb.Succession
	GetFailing() []*peerpb.Failing
	GetRateLimits() []*peerpb.RateLimit
}

// handleMessage processes a message from a peer, which was sent no earlier than sent, or zero if that is
// unknown. address is the address at which the peer was called, or empty if the peer is the caller.
func (s *Syncer) handleMessage(m exchangeMessage, address string, sent time.Time) {
	now := time.Now()
	sender := entryFrom(m)
	if sender.Address == "" {
		sender.Address = address
	}
	uptime := time.Duration(m.GetUptimeMs()) * time.Millisecond
	s.mu.Lock()
	s.table.RecordAlive(now, now, sender)
	s.recordPeerStart(now, uptime)
	if delay := s.delays.Estimate(now, sender.ID, sender.Incarnation, uptime); sent.Before(now.Add(-delay)) {
		sent = now.Add(-delay)
	}
	if m.GetCutOff() && sender.Zone == s.cfg.Zone {
		s.zonePartitionedAt = now
	}
	for i, member := range m.GetMembers() {
		if i == maxMembersRead {
			break
		}
		age := max(time.Duration(member.AgeMs)*time.Millisecond, time.Millisecond) // Only the sender itself counts as seen now.
		s.table.RecordAlive(now, now.Add(-age), entryFrom(member))
	}
	s.mu.Unlock()
	s.learnAvailability(m.GetAvailability(), sent, now)
	for _, d := range m.GetDocuments() {
		s.handleDocumentInfo(sender, d, sent)
	}
	if s.deps.Facts != nil {
		facts := FactSet{Quarantines: m.GetQuarantines(), Crashes: m.GetCrashes(), Leaving: m.GetLeaving(),
			Successions: m.GetSuccessions(), Failing: m.GetFailing(), RateLimits: m.GetRateLimits()}
		s.deps.Facts.Receive(sender.ID, facts)
	}
}

// recordPeerStart updates the oldest start time of a peer from the uptime of one, which is zero if
// not reported. The caller holds mu.
func (s *Syncer) recordPeerStart(now time.Time, uptime time.Duration) {
	started := now.Add(-uptime)
	if uptime > 0 && (s.oldestPeerStart.IsZero() || started.Before(s.oldestPeerStart)) {
		s.oldestPeerStart = started
	}
}

// entryInfo describes an entry in a message: the sender or a member.
type entryInfo interface {
	GetEntry() string
	GetIncarnation() []byte
	GetZone() string
	GetAddress() string
	GetDraining() bool
	GetCapacity() uint32
	GetDetached() bool
}

func entryFrom(m entryInfo) membership.Entry {
	e := membership.Entry{ID: m.GetEntry(), Zone: m.GetZone(), Address: m.GetAddress(), Draining: m.GetDraining(), Detached: m.GetDetached(), Capacity: m.GetCapacity()}
	if len(m.GetIncarnation()) == ids.IncarnationSize {
		e.Incarnation = ids.Incarnation(m.GetIncarnation())
	}
	return e
}

// handleDocumentInfo compares a peer's version of a document with the current one. A confirmation of a newer
// version counts once that is fetched.
func (s *Syncer) handleDocumentInfo(sender membership.Entry, d *peerpb.DocumentInfo, sent time.Time) {
	queue := s.offers[d.Key]
	digest, ok := revision.ParseDigest(d.Digest)
	if queue == nil || !ok || sender.ID == s.cfg.Entry {
		return
	}
	claim := revision.Claim{Version: revision.Version{Era: d.Era, Revision: d.Revision, Digest: digest}, Settled: d.Settled}
	switch decision := revision.DecideClaim(s.store.Claim(d.Key), claim, true); decision {
	case revision.Accept:
		if sender.Address != "" && !s.refusals.has(refusal{key: d.Key, version: claim.Version, faulty: true}) {
			queue.add(offer{entry: sender.ID, address: sender.Address, claim: claim, confirmedAt: s.confirmedBy(d, sent)})
		}
	case revision.Unchanged, revision.TooOld:
		if claim.Settled && decision == revision.Unchanged {
			s.store.Settle(d.Key, claim.Version)
		}
		s.confirmations.record(d.Key, s.confirmedBy(d, sent), peerActor(sender.ID))
	case revision.Conflict:
		s.recordConflict(d.Key, claim.Version, peerActor(sender.ID))
	}
}

// HandleExchange handles an Exchange call of a peer. It does no I/O: newer documents are fetched
// afterwards. The error is always nil.
func (s *Syncer) HandleExchange(_ context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	s.handleMessage(in, "", time.Time{}) // Its time on the way is estimated.
	// A message with documents and without members is a push. One with neither comes from an entry
	// that is starting and needs the members.
	push := len(in.Members) == 0 && len(in.Documents) > 0
	bootstrap := len(in.Members) < bootstrapMemberLimit || in.UptimeMs > 0 && in.UptimeMs < bootstrapUptimeLimit.Milliseconds()
	m := s.message(!push, bootstrap)
	return &peerpb.ExchangeReply{Entry: m.Entry, Incarnation: m.Incarnation, Zone: m.Zone, Draining: m.Draining,
		Documents: m.Documents, Quarantines: m.Quarantines, Crashes: m.Crashes, Leaving: m.Leaving,
		Successions: m.Successions, Failing: m.Failing, RateLimits: m.RateLimits, CutOff: m.CutOff, UptimeMs: m.UptimeMs, Capacity: m.Capacity, Detached: m.Detached, Address: m.Address, Members: m.Members, Availability: m.Availability}, nil
}

// exchange sends this entry's state to a peer and processes the state that the peer returns. It
// reports whether the peer answered.
func (s *Syncer) exchange(ctx context.Context, peer membership.Entry, includeMembers bool) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	began := time.Now()
	reply, err := s.deps.Peers.Exchange(ctx, peer.Address, s.message(includeMembers, false))
	if err == nil {
		s.handleMessage(reply, peer.Address, began)
	}
	// Another entry may use the address by now.
	reached := err == nil && reply.Entry == peer.ID
	s.mu.Lock()
	if reached {
		s.table.RecordSuccess(peer.ID)
	} else {
		s.table.RecordFailure(time.Now(), peer.ID)
	}
	s.mu.Unlock()
	if !reached {
		s.deps.Log.Debug().Err(err).Str("peer", peer.ID).Str("address", peer.Address).Msg("exchange with peer failed")
	}
	return reached
}

// exchangeLoop exchanges state with a random peer every interval, and pushes to several peers
// immediately when signaled.
func (s *Syncer) exchangeLoop(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	start := func(peer membership.Entry, includeMembers bool) {
		select {
		case s.callSlots <- struct{}{}:
		default:
			return // Too many calls are waiting for an answer; later rounds make up for this one.
		}
		running.Go(func() {
			defer func() { <-s.callSlots }()
			s.exchange(ctx, peer, includeMembers)
		})
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.peerSignal:
			s.mu.Lock()
			peers := s.table.FanoutPeers(time.Now(), s.rng, s.cfg.PushFanout)
			s.mu.Unlock()
			for _, peer := range peers {
				start(peer, false)
			}
		case <-s.zoneSignal:
			s.mu.Lock()
			peers := s.table.ZoneFanoutPeers(time.Now(), s.rng, zoneFanout)
			s.mu.Unlock()
			for _, peer := range peers {
				start(peer, false)
			}
		case <-timer.C:
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
			if round < startupRounds {
				next = min(next, startupInterval)
			}
			timer.Reset(s.randomDuration(next-next/exchangeJitterDivisor, next+next/exchangeJitterDivisor))
		}
	}
}

// exchangeAll exchanges state with several peers concurrently and returns the number of peers that
// answered.
func (s *Syncer) exchangeAll(ctx context.Context, peers []membership.Entry) int {
	var running sync.WaitGroup
	answered := make(chan struct{}, len(peers))
	limit := make(chan struct{}, maxConcurrentExchanges)
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

// Refresh asks up to 8 peers for newer documents and accepts them. It returns when the peers have
// answered, or after StartupTimeout. Run calls it first, because the platform may be stale; a
// process that was paused calls it before it resumes work.
func (s *Syncer) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StartupTimeout)
	defer cancel()
	// After a pause the ages of the confirmations are unknown.
	s.confirmations.forget()
	s.availability.forget()
	s.mu.Lock()
	peers := s.table.FanoutPeers(time.Now(), s.rng, refreshPeers)
	s.mu.Unlock()
	s.exchangeAll(ctx, peers)
	for _, key := range s.cfg.Keys {
		s.fetchOffers(ctx, key)
	}
}

// CatchUp asks the entry with the given id for newer documents. It does not wait for the answer. Its calls are
// limited apart from the other exchanges, whose calls to lost peers wait for CallTimeout.
func (s *Syncer) CatchUp(entry string) {
	s.mu.Lock()
	peer, ok := s.table.Entry(entry)
	s.mu.Unlock()
	if !ok || peer.Address == "" {
		return
	}
	select {
	case s.catchUpSlots <- struct{}{}:
	default:
		return // The calls that are waiting for an answer ask for newer documents too.
	}
	go func() {
		defer func() { <-s.catchUpSlots }()
		s.exchange(context.Background(), peer, false) // Limited by CallTimeout.
	}()
}

// Announce exchanges state with at most 64 known peers, live ones first, and returns the number of
// peers that answered. It is used in a graceful shutdown to announce the successor. It includes peers
// whose recent calls failed, because a stopping entry has no later exchange.
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
	return s.exchangeAll(ctx, peers[:min(len(peers), maxAnnouncePeers)])
}
