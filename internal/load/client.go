package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Limits of a client.
const (
	// maxAnswerBytes limits the part of an answer's body that is read.
	maxAnswerBytes = 8 << 20
	// answerGrace is the time after its deadline that a caller waits before it counts the answer
	// as lost. It is long, so that a late answer on a busy host counts as late, not as lost.
	answerGrace = 10 * time.Second
	// dialTimeout limits the time to connect to an entry.
	dialTimeout = 2 * time.Second
	// maxIdleConnsPerEntry is the maximum number of idle connections kept to each entry.
	maxIdleConnsPerEntry = 512
)

// Client sends searches to entries over the caller API.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		DisableCompression:  true,
	}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Answer is the result of one search. Exactly one of Response, Refusal and Err is set.
type Answer struct {
	// HTTPStatus is the status code, or zero if no answer arrived.
	HTTPStatus int
	Response   *callerapi.SearchResponse
	// Refusal is the body of an answer with an HTTP status other than 200.
	Refusal *callerapi.ErrorResponse
	// Err is set if no readable answer arrived.
	Err error
}

// Outcome returns the outcome of the request as the caller knows it.
func (a *Answer) Outcome() status.Outcome {
	switch {
	case a.Response != nil:
		return a.Response.Outcome
	case a.Refusal != nil:
		return a.Refusal.Outcome
	default:
		return status.Unknown
	}
}

// Code returns the failure code, or the empty code for an answered search.
func (a *Answer) Code() status.Code {
	switch {
	case a.Response != nil:
		return ""
	case a.Refusal != nil:
		return a.Refusal.Code
	default:
		return status.CodeOf(a.Err)
	}
}

// RequestID returns the id that the entry assigned to the request, or "".
func (a *Answer) RequestID() string {
	switch {
	case a.Response != nil:
		return a.Response.RequestID
	case a.Refusal != nil:
		return a.Refusal.RequestID
	default:
		return ""
	}
}

// Search sends one search to the entry at address (IP:port) with a bearer key. It waits for the
// answer until 10 s after the request's deadline.
func (c *Client) Search(ctx context.Context, address, key string, request *callerapi.SearchRequest) Answer {
	if request.DeadlineMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(request.DeadlineMS)*time.Millisecond+answerGrace)
		defer cancel()
	}
	body, err := json.Marshal(request)
	if err != nil {
		return Answer{Err: status.Wrap(err, status.InvalidArgument, status.NotRun, "encode request")}
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+callerapi.SearchPath, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: status.Wrap(err, status.InvalidArgument, status.NotRun, "entry address %q", address)}
	}
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set("Authorization", "Bearer "+key)
	// net/http retries a POST on its own only if none of it was written.
	reply, err := c.http.Do(post)
	if err != nil {
		return Answer{Err: noAnswerError(ctx, err, address)}
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		return Answer{HTTPStatus: reply.StatusCode, Err: noAnswerError(ctx, err, address)}
	}
	return decodeAnswer(reply.StatusCode, data)
}

func noAnswerError(ctx context.Context, err error, address string) error {
	if ctx.Err() != nil {
		return status.Wrap(err, status.DeadlineExceeded, status.Unknown, "no answer from %s in time", address)
	}
	return status.Wrap(err, status.ConnectionFailed, status.Unknown, "no answer from %s", address)
}

func decodeAnswer(httpStatus int, data []byte) Answer {
	a := Answer{HTTPStatus: httpStatus}
	var err error
	if httpStatus == http.StatusOK {
		a.Response = new(callerapi.SearchResponse)
		err = json.Unmarshal(data, a.Response)
	} else {
		a.Refusal = new(callerapi.ErrorResponse)
		err = json.Unmarshal(data, a.Refusal)
	}
	if err != nil {
		return Answer{HTTPStatus: httpStatus, Err: status.Wrap(err, status.ReplyMismatch, status.Unknown,
			"answer with HTTP status %d is not readable", httpStatus)}
	}
	return a
}
