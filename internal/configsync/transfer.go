package configsync

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/balsamstall/balsamstall/coordination/delta"
	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/internal/configsync/documents"
	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const (
	// minCompressBytes is the size below which compression saves less than it costs. A delta of
	// one service has about 400 bytes.
	minCompressBytes = 1024
	// maxTransferBytes limits a value or delta after decompression. A delta may contain all
	// elements of a document and some framing for each.
	maxTransferBytes = 2 * document.MaxSize
	// maxTransfers limits the encoded replies cached for one document: one for each recent base,
	// and the full document with and without compression, before and after it is settled.
	maxTransfers = 2 * (documents.HistoryLength + 2)
)

// transferCache caches the encoded replies of the current documents, so that a document is diffed
// and compressed once instead of once for each peer.
type transferCache struct {
	mu sync.Mutex
	// byKey is guarded by mu.
	byKey map[string]*transferSet
}

// transferSet holds the encoded replies with one version of a document.
type transferSet struct {
	version revision.Version
	replies map[transferID]*transfer
}

// transferID identifies a reply among those with one version of a document.
type transferID struct {
	// base is the version that the delta refers to, or zero for the full document.
	base       revision.Version
	compressed bool
	settled    bool
}

// transfer is a reply that is encoded on first use.
type transfer struct {
	once  sync.Once
	reply *peerpb.FetchReply
}

// get returns the reply for the given version and id. It drops the cached replies with any other
// version of the document. If the cache is full, the returned reply is new and is not cached.
func (c *transferCache) get(key string, version revision.Version, id transferID) *transfer {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.byKey[key]
	if set == nil || set.version != version {
		if c.byKey == nil {
			c.byKey = make(map[string]*transferSet)
		}
		set = &transferSet{version: version, replies: make(map[transferID]*transfer)}
		c.byKey[key] = set
	}
	t := set.replies[id]
	if t == nil {
		t = &transfer{}
		if len(set.replies) < maxTransfers {
			set.replies[id] = t
		}
	}
	return t
}

// HandleFetch handles a Fetch call of a peer. It returns a delta from the caller's document if that
// is the current or a recent one of this entry, and the full document otherwise. Without a current
// document it returns an error with the code NotFound.
func (s *Syncer) HandleFetch(_ context.Context, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	doc := s.store.Current(in.Key)
	if doc == nil {
		return nil, status.New(status.NotFound, "", "no current document for key %.40q", in.Key)
	}
	id := transferID{compressed: in.AcceptCompressed, settled: doc.Settled}
	var base *documents.Document
	if digest, ok := revision.ParseDigest(in.HaveDigest); ok {
		if base = s.store.Find(in.Key, revision.Version{Era: in.HaveEra, Revision: in.HaveRevision, Digest: digest}); base != nil {
			id.base = base.Version
		}
	}
	t := s.transfers.get(in.Key, doc.Version, id)
	t.once.Do(func() { t.reply = encodeTransfer(in.Key, doc, base, id.compressed) })
	return t.reply, nil
}

// encodeTransfer returns the reply with doc, as a delta from base if that is smaller. base may be
// nil.
func encodeTransfer(key string, doc, base *documents.Document, compressed bool) *peerpb.FetchReply {
	reply := &peerpb.FetchReply{Key: key, Revision: doc.Version.Revision, Digest: doc.Version.Digest[:], Settled: doc.Settled}
	payload := doc.Content.Bytes()
	if base != nil {
		// Marshal fails only for strings with invalid UTF-8, and a delta has none.
		encoded, err := proto.Marshal(delta.Diff(base.Content, doc.Content))
		if err == nil && len(encoded) < len(payload) {
			payload = encoded
			reply.Delta = payload
		}
	}
	reply.Size = int64(len(payload))
	if compressed && len(payload) >= minCompressBytes {
		if deflated := deflate(payload); len(deflated) < len(payload) {
			payload, reply.Compressed = deflated, true
		}
	}
	if reply.Delta != nil {
		reply.Delta = payload
	} else {
		reply.Value = payload
	}
	return reply
}

// decodeTransfer returns the document of a reply. base is the document that the request referred
// to, or nil.
func decodeTransfer(base *documents.Document, reply *peerpb.FetchReply) (*delta.Document, error) {
	payload := reply.Value
	if len(reply.Delta) > 0 {
		payload = reply.Delta
	}
	if reply.Compressed {
		var err error
		if payload, err = inflate(payload); err != nil {
			return nil, err
		}
	}
	want, hasDigest := revision.ParseDigest(reply.Digest)
	if len(reply.Delta) == 0 {
		content, err := delta.New(payload)
		if err == nil && hasDigest && content.Digest() != want {
			err = status.New(status.RevisionConflict, "", "document has digest %s instead of %s", content.Digest(), want)
		}
		return content, err
	}
	if base == nil || !hasDigest {
		return nil, status.New(status.InvalidArgument, "", "delta without base or digest")
	}
	var change peerpb.Delta
	if err := proto.Unmarshal(payload, &change); err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "cannot decode delta")
	}
	return delta.Apply(base.Content, &change, want)
}

func deflate(data []byte) []byte {
	var out bytes.Buffer
	// The level is valid and writes to a Buffer do not fail, so no step can fail.
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return data
	}
	_, writeErr := w.Write(data)
	if closeErr := w.Close(); writeErr != nil || closeErr != nil {
		return data
	}
	return out.Bytes()
}

func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, maxTransferBytes+1))
	if err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "cannot decompress transfer")
	}
	if len(out) > maxTransferBytes {
		return nil, status.New(status.TooLarge, "", "transfer exceeds %d bytes", maxTransferBytes)
	}
	return out, nil
}
