// Package platformhttp reads the platform's configuration service and host list over kratos' HTTP
// transport. It has no writes, because the platform offers none to entries.
//
// Every error is a *status.Error without an outcome, because no query is involved: RateLimited
// (429) and Unavailable (503 and other 5xx) with the retry delay if the platform sends one,
// NotFound (404), RevisionTooOld (410), InvalidArgument (other 4xx), TooLarge, DeadlineExceeded,
// Canceled, ConnectionFailed, and Internal for a body that cannot be decoded.
package platformhttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// EntryHeader is the header that identifies the calling entry.
const EntryHeader = "X-Balsam-Entry"

const (
	// MaxValueBytes is the size of the largest value that the platform stores.
	MaxValueBytes = document.MaxValueSize
	// maxDocumentBytes bounds the body with a document: the value and the other fields.
	maxDocumentBytes = MaxValueBytes + 4<<10
	// maxHostListBytes bounds the host list. A host takes about 100 bytes, so this is enough for
	// about 160,000 hosts.
	maxHostListBytes = 16 << 20
	// maxErrorBytes bounds how much of an error's body is read to make the connection reusable.
	maxErrorBytes = 4 << 10
	// maxRetryAfter bounds the retry delay. A longer one from the platform would cut the entry
	// off from new documents.
	maxRetryAfter = 5 * time.Minute
	// maxConnections is enough for two watches, a poll and a request for the host list.
	maxConnections = 4
	dialTimeout    = time.Second
	// maxHeaderBytes bounds the header of a response, which has a few fields.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 90 * time.Second
)

// Defaults of Options.
const (
	// DefaultTimeout bounds a call, not counting the wait of a watch.
	DefaultTimeout = 2 * time.Second
)

// Client reads from the platform. It is safe for concurrent use.
type Client struct{ reader *Reader }

// New returns a client of the platform at address (IP:port). Its calls carry entryID in the header
// X-Balsam-Entry.
func New(address, entryID string, opts Options) (*Client, error) {
	reader, err := NewReader(address, http.Header{EntryHeader: {entryID}}, opts)
	if err != nil {
		return nil, err
	}
	return &Client{reader: reader}, nil
}

// Close closes the idle connections. All calls should have ended before.
func (c *Client) Close() { c.reader.Close() }

// Get returns the published document with the given key.
func (c *Client) Get(ctx context.Context, key string) (platformapi.Document, error) {
	reply := documentReply{}
	err := c.reader.call(ctx, platformapi.ConfigPath+url.PathEscape(key), 0, &reply)
	return reply.document, err
}

// Watch returns the document with the given key, and changed = true, as soon as its platform
// version exceeds afterVersion. It returns changed = false if that does not happen within wait.
func (c *Client) Watch(ctx context.Context, key string, afterVersion uint64, wait time.Duration) (doc platformapi.Document, changed bool, err error) {
	query := url.Values{
		"after":   {strconv.FormatUint(afterVersion, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	reply := documentReply{}
	err = c.reader.call(ctx, platformapi.WatchPath+url.PathEscape(key)+"?"+query.Encode(), wait, &reply)
	return reply.document, err == nil && !reply.noContent, err
}

// Hosts returns the platform's host list, which may be out of date.
func (c *Client) Hosts(ctx context.Context) ([]platformapi.Host, error) {
	reply := hostsReply{}
	err := c.reader.call(ctx, platformapi.HostsPath, 0, &reply)
	return reply.list.Hosts, err
}

// documentReply decodes a document, or the response without content that ends a watch.
type documentReply struct {
	document  platformapi.Document
	noContent bool
}

func (r *documentReply) decode(res *http.Response) error {
	if res.StatusCode == http.StatusNoContent {
		r.noContent = true
		return nil
	}
	if err := decodeJSON(res, maxDocumentBytes, &r.document); err != nil {
		return err
	}
	if len(r.document.Value) > MaxValueBytes {
		return status.New(status.TooLarge, "", "platform value has %d bytes, more than %d", len(r.document.Value), MaxValueBytes)
	}
	return nil
}

// hostsReply decodes the host list.
type hostsReply struct{ list platformapi.HostList }

func (r *hostsReply) decode(res *http.Response) error {
	return decodeJSON(res, maxHostListBytes, &r.list)
}
