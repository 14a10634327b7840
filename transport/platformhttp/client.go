// Package platformhttp reads the platform's configuration service and host
// list over kratos' HTTP transport. It only reads: the platform offers no
// writes to entries.
//
// Every error is a *status.Error without an outcome, because no query is
// involved: RateLimited (429) and Unavailable (503 and other 5xx) with the time
// to come back if the platform states one, NotFound (404), InvalidArgument
// (other 4xx), TooLarge, DeadlineExceeded, Canceled, ConnectionFailed, and
// Internal for a body that cannot be read.
package platformhttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// EntryHeader names the entry that makes a call.
const EntryHeader = "X-Balsam-Entry"

const (
	// MaxValueBytes is the largest value that the platform holds.
	MaxValueBytes = 1 << 20
	// maxDocumentBytes bounds the body with a document: the value and the
	// fields around it.
	maxDocumentBytes = MaxValueBytes + 4<<10
	// maxHostListBytes bounds the host list. A row takes about 100 bytes, so
	// this holds about 160,000 hosts.
	maxHostListBytes = 16 << 20
	// maxErrorBytes bounds what is read of an error's body, so that the
	// connection can be used again.
	maxErrorBytes = 4 << 10
	// maxRetryAfter bounds the time to come back. A larger figure from the
	// platform would cut the entry off from new documents.
	maxRetryAfter = 5 * time.Minute
	// maxConnections is enough for two watches, a poll and a host list.
	maxConnections = 4
	dialTimeout    = time.Second
	// maxHeaderBytes bounds the header of an answer, which holds a few fields.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 90 * time.Second
)

// Defaults of Options.
const (
	// DefaultTimeout bounds a call without a watch's waiting time.
	DefaultTimeout = 2 * time.Second
)

// Client reads from the platform. It may be used by many goroutines.
type Client struct{ reader *Reader }

// New returns a client of the platform at address (IP:port). Its calls carry
// entryID in the header X-Balsam-Entry.
func New(address, entryID string, opts Options) (*Client, error) {
	reader, err := NewReader(address, http.Header{EntryHeader: {entryID}}, opts)
	if err != nil {
		return nil, err
	}
	return &Client{reader: reader}, nil
}

// Close closes the unused connections. Calls should have ended before.
func (c *Client) Close() { c.reader.Close() }

// Get returns the published document with the given key.
func (c *Client) Get(ctx context.Context, key string) (platformapi.Document, error) {
	reply := documentReply{}
	err := c.reader.call(ctx, platformapi.ConfigPath+url.PathEscape(key), 0, &reply)
	return reply.document, err
}

// Watch returns the document with the given key as soon as its platform version
// is above after, and changed = true. It returns changed = false when none
// appeared within wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (doc platformapi.Document, changed bool, err error) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	reply := documentReply{}
	err = c.reader.call(ctx, platformapi.WatchPath+url.PathEscape(key)+"?"+query.Encode(), wait, &reply)
	return reply.document, err == nil && !reply.empty, err
}

// Hosts returns the platform's host list, which lags.
func (c *Client) Hosts(ctx context.Context) ([]platformapi.Host, error) {
	reply := hostsReply{}
	err := c.reader.call(ctx, platformapi.HostsPath, 0, &reply)
	return reply.list.Hosts, err
}

type documentReply struct {
	document platformapi.Document
	empty    bool
}

func (r *documentReply) decode(res *http.Response) error {
	if res.StatusCode == http.StatusNoContent {
		r.empty = true
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

type hostsReply struct{ list platformapi.HostList }

func (r *hostsReply) decode(res *http.Response) error {
	return decodeJSON(res, maxHostListBytes, &r.list)
}
