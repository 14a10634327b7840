package configsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
)

// maxOffers limits the peers that are recorded as sources of one document.
const maxOffers = 8

// offer is a peer that has a newer version of a document.
type offer struct {
	entry   string
	address string
	claim   revision.Claim
	// confirmedAt is the time at which the platform had no newer version, or zero if unknown.
	confirmedAt time.Time
}

// offerQueue holds the offers of newer documents of one key.
type offerQueue struct {
	// signal triggers offerLoop. It holds at most one pending signal.
	signal chan struct{}
	mu     sync.Mutex
	// offers is guarded by mu.
	offers []offer
}

// add records an offer in place of an earlier one from the same peer. If the queue is full, the
// offer with the lowest version is dropped.
func (q *offerQueue) add(o offer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.offers = slices.DeleteFunc(q.offers, func(old offer) bool { return old.address == o.address })
	q.offers = append(q.offers, o)
	if len(q.offers) > maxOffers {
		lowest := 0
		for i := range q.offers {
			if revision.Compare(q.offers[i].claim.Version, q.offers[lowest].claim.Version) < 0 {
				lowest = i
			}
		}
		q.offers = slices.Delete(q.offers, lowest, lowest+1)
	}
	signal(q.signal)
}

// take removes and returns the offer with the highest version that replaces current, or returns
// false if there is none. It drops the offers that no longer do.
func (q *offerQueue) take(current revision.Claim) (offer, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.offers = slices.DeleteFunc(q.offers, func(o offer) bool { return !o.claim.Replaces(current) })
	if len(q.offers) == 0 {
		return offer{}, false
	}
	best := 0
	for i := range q.offers {
		if revision.Compare(q.offers[i].claim.Version, q.offers[best].claim.Version) > 0 {
			best = i
		}
	}
	o := q.offers[best]
	q.offers = slices.Delete(q.offers, best, best+1)
	return o, true
}

// offerLoop fetches the documents that peers offer.
func (s *Syncer) offerLoop(ctx context.Context, key string) {
	queue := s.offers[key]
	for {
		s.fetchOffers(ctx, key)
		select {
		case <-ctx.Done():
			return
		case <-queue.signal:
		}
	}
}

// fetchOffers fetches the newest offered document, from another peer if one fails, until no offer
// is newer than the current document. A peer that failed repeats its offer with its next exchange.
func (s *Syncer) fetchOffers(ctx context.Context, key string) {
	for ctx.Err() == nil {
		o, ok := s.offers[key].take(s.store.Claim(key))
		if !ok {
			return
		}
		if s.refusals.has(refusal{key: key, version: o.claim.Version, faulty: true}) {
			continue
		}
		s.fetch(ctx, key, o)
	}
}

// fetch fetches a document from a peer. If the peer returns a delta that cannot be applied, it
// requests the full document.
func (s *Syncer) fetch(ctx context.Context, key string, o offer) {
	base := s.store.Current(key)
	in := &peerpb.FetchRequest{Key: key, AcceptCompressed: true}
	if base != nil {
		in.HaveEra, in.HaveRevision, in.HaveDigest = base.Version.Era, base.Version.Revision, base.Version.Digest[:]
	}
	content, reply, err := s.fetchOnce(ctx, o, in, base)
	if err != nil && reply != nil && len(reply.Delta) > 0 {
		s.deps.Log.Warn().Err(err).Str("peer", o.entry).Str("key", key).Msg("cannot apply delta; fetching the full document")
		content, reply, err = s.fetchOnce(ctx, o, &peerpb.FetchRequest{Key: key, AcceptCompressed: true}, nil)
	}
	switch {
	case err == nil:
		if covers(s.accept(key, content, origin{actor: peerActor(o.entry), readAt: time.Now(), settled: reply.Settled})) {
			s.confirmations.record(key, o.confirmedAt, peerActor(o.entry))
		}
	case reply != nil:
		s.refuseData(key, reply.Value, peerActor(o.entry), err)
	case ctx.Err() == nil:
		s.mu.Lock()
		s.table.RecordFailure(time.Now(), o.entry)
		s.mu.Unlock()
		s.deps.Log.Debug().Err(err).Str("peer", o.entry).Str("key", key).Msg("fetch from peer failed")
	}
}

// fetchOnce makes one fetch call and returns the decoded document. The reply is nil if the call
// failed.
func (s *Syncer) fetchOnce(ctx context.Context, o offer, in *peerpb.FetchRequest, base *documents.Document) (*delta.Document, *peerpb.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	reply, err := s.deps.Peers.Fetch(ctx, o.address, in)
	if err != nil {
		return nil, nil, err
	}
	content, err := decodeTransfer(base, reply)
	return content, reply, err
}
