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
	// Timeout bounds a call, not counting the wait of a watch. The default is 2 s; the platform
	// answers in milliseconds.
	Timeout time.Duration
	// KeepAlive configures the TCP keep-alive probes, which detect silent connections. The zero
	// value selects the defaults of package net.
	KeepAlive net.KeepAliveConfig
}

// Reader makes GET calls to an HTTP service that responds with JSON. It is safe for concurrent use.
type Reader struct {
	http      *khttp.Client
	transport *http.Transport
	header    http.Header
	timeout   time.Duration
}

// NewReader returns a reader of the service at address (IP:port). Its calls carry the header.
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
		khttp.WithTimeout(0), // Each call sets its own deadline.
		khttp.WithResponseDecoder(decodeReply),
		khttp.WithErrorDecoder(decodeError),
	)
	if err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "invalid platform address %q", address)
	}
	return &Reader{http: client, transport: transport, header: header, timeout: opts.Timeout}, nil
}

// Close closes the idle connections. All calls should have ended before.
func (r *Reader) Close() {
	// Without service discovery, the kratos client has nothing to close and returns nil.
	_ = r.http.Close()
	r.transport.CloseIdleConnections()
}

// Read calls path, which may have a query, and decodes a response of at most limit bytes into out.
// The call may take longer than the timeout by wait. Status 410 returns RevisionTooOld. The header is
// that of the response, also if the response is an error, and nil without a response.
func (r *Reader) Read(ctx context.Context, path string, wait time.Duration, limit int64, out any) (http.Header, error) {
	var header http.Header
	err := r.call(context.WithValue(ctx, headerKey{}, &header), path, wait, &jsonReply{out: out, limit: limit})
	return header, err
}

// headerKey is the context key of the *http.Header that receives the header of a response.
type headerKey struct{}

// recordHeader stores the header of a response for the caller of Read.
func recordHeader(ctx context.Context, res *http.Response) {
	if header, ok := ctx.Value(headerKey{}).(*http.Header); ok {
		*header = res.Header
	}
}

// jsonReply decodes a JSON response of at most limit bytes into out.
type jsonReply struct {
	out   any
	limit int64
}

func (r *jsonReply) decode(res *http.Response) error { return decodeJSON(res, r.limit, r.out) }

// call makes a GET call and decodes its response with reply.
func (r *Reader) call(ctx context.Context, path string, wait time.Duration, reply replyDecoder) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout+wait)
	defer cancel()
	header := r.header.Clone()
	err := r.http.Invoke(ctx, http.MethodGet, path, nil, reply, khttp.Header(&header))
	return asStatusError(ctx, err)
}

// asStatusError converts the error of a call to a *status.Error.
func asStatusError(ctx context.Context, err error) error {
	var known *status.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &known):
		return known
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return status.Wrap(err, status.DeadlineExceeded, "", "platform did not answer in time")
	case ctx.Err() != nil:
		return status.Wrap(err, status.Canceled, "", "platform call canceled")
	}
	return status.Wrap(err, status.ConnectionFailed, "", "platform call failed")
}

// replyDecoder decodes a response with status 2xx.
type replyDecoder interface {
	decode(res *http.Response) error
}

// decodeJSON decodes a body of at most limit bytes.
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

// decodeReply is the response decoder of the kratos client.
func decodeReply(_ context.Context, res *http.Response, out any) error {
	return out.(replyDecoder).decode(res)
}

// decodeError is the error decoder of the kratos client, which calls it for every response. It returns
// nil for a status of 2xx.
func decodeError(ctx context.Context, res *http.Response) error {
	recordHeader(ctx, res)
	if res.StatusCode >= 200 && res.StatusCode <= 299 {
		return nil
	}
	defer res.Body.Close()
	// Reading the rest of the body makes the connection reusable. Its content is not needed.
	_, _ = io.CopyN(io.Discard, res.Body, maxErrorBytes)
	err := status.New(codeFromHTTPStatus(res.StatusCode), "", "platform answered %s", res.Status)
	return err.WithRetryAfter(retryafter.Parse(res.Header, time.Now(), maxRetryAfter))
}

// codeFromHTTPStatus returns the status code for an HTTP status that is not 2xx.
func codeFromHTTPStatus(httpStatus int) status.Code {
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
