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
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
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
	idleTimeout    = 90 * time.Second
)

// Defaults of Options.
const (
	// DefaultTimeout bounds a call without a watch's waiting time.
	DefaultTimeout = 2 * time.Second
)

// Options are the settings of a Client. Zero values select the defaults.
type Options struct {
	// Timeout bounds a call. A watch may take its waiting time longer. The
	// default is 2 s; the platform answers in milliseconds.
	Timeout time.Duration
}

// Client reads from the platform. It may be used by many goroutines.
type Client struct {
	http      *khttp.Client
	transport *http.Transport
	entryID   string
	timeout   time.Duration
}

// New returns a client of the platform at address (IP:port). Its calls carry
// entryID in the header X-Balsam-Entry.
func New(address, entryID string, opts Options) (*Client, error) {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost: maxConnections,
		IdleConnTimeout: idleTimeout,
	}
	client, err := khttp.NewClient(context.Background(),
		khttp.WithEndpoint(address),
		khttp.WithTransport(transport),
		khttp.WithTimeout(0), // Each call has a deadline of its own.
		khttp.WithResponseDecoder(decodeReply),
		khttp.WithErrorDecoder(decodeError),
	)
	if err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "platform address %q", address)
	}
	return &Client{http: client, transport: transport, entryID: entryID, timeout: opts.Timeout}, nil
}

// Close closes the unused connections. Calls should have ended before.
func (c *Client) Close() {
	// Without discovery, kratos' client has nothing to close and returns nil.
	_ = c.http.Close()
	c.transport.CloseIdleConnections()
}

// Get returns the published document with the given key.
func (c *Client) Get(ctx context.Context, key string) (platformapi.Document, error) {
	reply := documentReply{}
	err := c.call(ctx, platformapi.ConfigPath+url.PathEscape(key), 0, &reply)
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
	err = c.call(ctx, platformapi.WatchPath+url.PathEscape(key)+"?"+query.Encode(), wait, &reply)
	return reply.document, err == nil && !reply.empty, err
}

// Hosts returns the platform's host list, which lags.
func (c *Client) Hosts(ctx context.Context) ([]platformapi.Host, error) {
	reply := hostsReply{}
	err := c.call(ctx, platformapi.HostsPath, 0, &reply)
	return reply.list.Hosts, err
}

func (c *Client) call(ctx context.Context, path string, extra time.Duration, reply decoder) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+extra)
	defer cancel()
	header := http.Header{EntryHeader: {c.entryID}}
	err := c.http.Invoke(ctx, http.MethodGet, path, nil, reply, khttp.Header(&header))
	return typed(ctx, err)
}

// typed returns err as a *status.Error.
func typed(ctx context.Context, err error) error {
	var known *status.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &known):
		return known
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return status.Wrap(err, status.DeadlineExceeded, "", "platform did not answer in time")
	case ctx.Err() != nil:
		return status.Wrap(err, status.Canceled, "", "platform call ended")
	}
	return status.Wrap(err, status.ConnectionFailed, "", "platform call failed")
}

// decoder reads the body of an answer with status 2xx.
type decoder interface {
	decode(res *http.Response) error
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

// decodeJSON reads at most limit bytes.
func decodeJSON(res *http.Response, limit int64, out any) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return status.New(status.TooLarge, "", "platform answer has more than %d bytes", limit)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return status.Wrap(err, status.Internal, "", "platform answer is not valid JSON")
	}
	return nil
}

func decodeReply(_ context.Context, res *http.Response, out any) error {
	return out.(decoder).decode(res)
}

// decodeError returns nil for a status of 2xx.
func decodeError(_ context.Context, res *http.Response) error {
	if res.StatusCode >= 200 && res.StatusCode <= 299 {
		return nil
	}
	defer res.Body.Close()
	// Reading the rest lets the connection be used again; what it says is not
	// needed.
	_, _ = io.CopyN(io.Discard, res.Body, maxErrorBytes)
	err := status.New(codeOf(res.StatusCode), "", "platform answered %s", res.Status)
	return err.WithRetryAfter(retryAfter(res.Header.Get("Retry-After"), time.Now()))
}

func codeOf(httpStatus int) status.Code {
	switch {
	case httpStatus == http.StatusTooManyRequests:
		return status.RateLimited
	case httpStatus == http.StatusNotFound:
		return status.NotFound
	case httpStatus >= http.StatusInternalServerError:
		return status.Unavailable
	}
	return status.InvalidArgument
}

// retryAfter parses the header Retry-After, seconds or a date, and bounds the
// result to 5 min. It returns 0 for anything else.
func retryAfter(value string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(value, 10, 32); err == nil {
		return min(time.Duration(seconds)*time.Second, maxRetryAfter)
	}
	if date, err := http.ParseTime(value); err == nil {
		return min(max(date.Sub(now), 0), maxRetryAfter)
	}
	return 0
}
