package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/balsamstall/balsamstall/protocol/retryafter"
	"github.com/balsamstall/balsamstall/protocol/status"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Options are the settings of a Client or Reader. Zero values select the defaults.
type Options struct {
	// Timeout bounds a call. A watch may take its waiting time longer. The
	// default is 2 s; the platform answers in milliseconds.
	Timeout time.Duration
	// KeepAlive sets the probes that find silent connections. The zero value selects
	// the defaults of package net.
	KeepAlive net.KeepAliveConfig
}

// Reader makes GET calls to an HTTP service that answers with JSON. It may be used
// by many goroutines.
type Reader struct {
	http      *khttp.Client
	transport *http.Transport
	header    http.Header
	timeout   time.Duration
}

// NewReader returns a reader of the service at address (IP:port). Its calls carry
// the header.
func NewReader(address string, header http.Header, opts Options) (*Reader, error) {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: opts.KeepAlive}).DialContext,
		MaxConnsPerHost: maxConnections,
		IdleConnTimeout: idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
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
	return &Reader{http: client, transport: transport, header: header, timeout: opts.Timeout}, nil
}

// Close closes the unused connections. Calls should have ended before.
func (r *Reader) Close() {
	// Without discovery, kratos' client has nothing to close and returns nil.
	_ = r.http.Close()
	r.transport.CloseIdleConnections()
}

// Read calls path, which may have a query, and decodes an answer of at most limit
// bytes. The call may take the extra time longer than the timeout. Status 410 is
// a RevisionTooOld.
func (r *Reader) Read(ctx context.Context, path string, extra time.Duration, limit int64, out any) error {
	return r.call(ctx, path, extra, &jsonReply{out: out, limit: limit})
}

type jsonReply struct {
	out   any
	limit int64
}

func (r *jsonReply) decode(res *http.Response) error { return decodeJSON(res, r.limit, r.out) }

func (r *Reader) call(ctx context.Context, path string, extra time.Duration, reply decoder) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout+extra)
	defer cancel()
	header := r.header.Clone()
	err := r.http.Invoke(ctx, http.MethodGet, path, nil, reply, khttp.Header(&header))
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
	return err.WithRetryAfter(retryafter.Parse(res.Header, time.Now(), maxRetryAfter))
}

func codeOf(httpStatus int) status.Code {
	switch {
	case httpStatus == http.StatusGone:
		return status.RevisionTooOld
	case httpStatus == http.StatusTooManyRequests:
		return status.RateLimited
	case httpStatus == http.StatusNotFound:
		return status.NotFound
	case httpStatus >= http.StatusInternalServerError:
		return status.Unavailable
	}
	return status.InvalidArgument
}
