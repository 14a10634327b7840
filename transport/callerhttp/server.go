// Package callerhttp serves the search API to callers as JSON over kratos' HTTP transport.
package callerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"golang.org/x/net/netutil"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/sheet"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Limits of a caller's connection. They bound how long a slow or broken caller can hold the
// resources of an entry.
const (
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 16 << 10
	// ReadTimeout bounds the time to receive a whole request.
	ReadTimeout = 5 * time.Second
	// WriteTimeout bounds the time from the end of a request's header to the end of its reply.
	// It exceeds the longest deadline, so that no reply is cut off.
	WriteTimeout = sheet.MaxDeadlineMS*time.Millisecond + ReplyTimeout
	// ReplyTimeout bounds the sending of a reply to a caller that reads slowly.
	ReplyTimeout = 10 * time.Second
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout = 60 * time.Second
)

// Call is one search request. The Handler resolves its key to a caller.
type Call struct {
	// Key is the bearer key that the caller sent.
	Key string
	// Search is the decoded body.
	Search callerapi.SearchRequest
	// Arrival is the time at which the request's header had been read.
	Arrival time.Time
}

// Reply is a complete HTTP reply.
type Reply struct {
	// HTTPStatus is the status code.
	HTTPStatus int
	// Body is a callerapi.SearchResponse or a callerapi.ErrorResponse as JSON.
	Body []byte
	// RetryAfter is the recommended delay before a retry, zero for none.
	RetryAfter time.Duration
	// Close tells the caller to use another connection for its next request.
	Close bool
}

// Handler runs searches.
type Handler interface {
	// Authenticate returns an error if the bearer key belongs to no caller.
	Authenticate(key string) *status.Error
	// Search runs one call and always returns a reply.
	Search(ctx context.Context, call Call) Reply
	// Refuse builds the reply to a request that is refused before it runs.
	Refuse(err *status.Error) Reply
}

// Options are the limits of a server.
type Options struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxConnections bounds the open connections. Further ones wait to be accepted.
	MaxConnections int
}

// NewServer returns a kratos server on lis.
func NewServer(lis net.Listener, h Handler, opt Options) *khttp.Server {
	srv := khttp.NewServer(
		khttp.Listener(netutil.LimitListener(lis, opt.MaxConnections)),
		khttp.Timeout(WriteTimeout),
		khttp.NotFoundHandler(notFound(h)),
		khttp.MethodNotAllowedHandler(methodNotAllowed(h)),
	)
	srv.ReadHeaderTimeout = ReadTimeout
	srv.ReadTimeout = ReadTimeout
	srv.WriteTimeout = WriteTimeout
	srv.IdleTimeout = IdleTimeout
	srv.MaxHeaderBytes = MaxHeaderBytes
	srv.Route("/").POST(callerapi.SearchPath, func(c khttp.Context) error {
		serveSearch(c.Response(), c.Request(), h, opt.MaxBodyBytes)
		return nil
	})
	return srv
}

// maxEchoedPathRunes bounds the part of an unknown path that the error message repeats.
const maxEchoedPathRunes = 80

func notFound(h Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeReply(w, h.Refuse(status.New(status.NotFound, status.NotRun,
			"unknown path %.*q; searches go to %s", maxEchoedPathRunes, r.URL.Path, callerapi.SearchPath)))
	})
}

func methodNotAllowed(h Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply := h.Refuse(status.New(status.InvalidArgument, status.NotRun, "the method must be %s", http.MethodPost))
		reply.HTTPStatus = http.StatusMethodNotAllowed
		w.Header().Set("Allow", http.MethodPost)
		writeReply(w, reply)
	})
}

func serveSearch(w http.ResponseWriter, r *http.Request, h Handler, maxBody int64) {
	arrival := time.Now()
	body, err := readBody(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeReply(w, h.Refuse(err))
		return
	}
	// Parsing costs more than comparing a key, so the body of an unauthenticated request is not
	// parsed.
	key, err := authenticate(r, h)
	if err != nil {
		if mayContainPermit(body) { // An earlier request with the permit may have run.
			unknown := *err
			unknown.Outcome = status.Unknown
			err = &unknown
		}
		writeReply(w, h.Refuse(err))
		return
	}
	var search callerapi.SearchRequest
	if err := decodeBody(body, &search); err != nil {
		writeReply(w, h.Refuse(err))
		return
	}
	writeReply(w, h.Search(r.Context(), Call{Key: key, Search: search, Arrival: arrival}))
}

// authenticate returns the bearer key of a request, or an error if no caller has it.
func authenticate(r *http.Request, h Handler) (string, *status.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", status.New(status.Unauthenticated, status.NotRun, "the header Authorization: Bearer KEY is missing")
	}
	return key, h.Authenticate(key)
}

// mayContainPermit reports whether an unparsed body may have a permit field. A body with escapes
// counts, because a field name may be written with them.
func mayContainPermit(body []byte) bool {
	return bytes.Contains(bytes.ToLower(body), []byte("permit")) || bytes.IndexByte(body, '\\') >= 0
}

// readBody reads a body that http.MaxBytesReader limits.
func readBody(body io.Reader) ([]byte, *status.Error) {
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, status.New(status.TooLarge, status.NotRun, "the body exceeds %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, status.Wrap(err, status.InvalidArgument, status.NotRun, "the body did not arrive in full")
	}
	return data, nil
}

// decodeBody decodes a search request. Deep nesting, duplicate keys, unknown fields and trailing
// data are errors.
func decodeBody(data []byte, dst *callerapi.SearchRequest) *status.Error {
	if err := document.CheckDepth(data); err != nil {
		return status.Wrap(err, status.InvalidArgument, status.NotRun, "the body is not a valid search request: %v", err)
	}
	if path, ok := document.DuplicateKey(data); ok {
		return status.New(status.InvalidArgument, status.NotRun, "the body is not a valid search request: %s is given twice", path)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return status.Wrap(err, status.InvalidArgument, status.NotRun,
			"the body is not a valid search request: %s", document.DecodeFault(data, err))
	}
	if _, trailing := dec.Token(); trailing != io.EOF {
		return status.New(status.InvalidArgument, status.NotRun, "the body holds more than one JSON value")
	}
	return nil
}

func writeReply(w http.ResponseWriter, reply Reply) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	if reply.Close {
		header.Set("Connection", "close")
	}
	if reply.RetryAfter > 0 {
		// Retry-After is in whole seconds, rounded up; the body has milliseconds.
		seconds := int64((reply.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	// If the writer does not support deadlines, WriteTimeout still bounds the write.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(ReplyTimeout))
	w.WriteHeader(reply.HTTPStatus)
	// A failed write means that the caller closed the connection.
	_, _ = w.Write(reply.Body)
}
