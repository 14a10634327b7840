// Package callerhttp serves the search API to callers as JSON over kratos' HTTP transport.
package callerhttp

import (
	"bytes"
	"context"
	"encoding/json"
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
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/bytebudget"
	"github.com/balsamstall/balsamstall/transport/adminhttp"
	"github.com/balsamstall/balsamstall/transport/bodyread"
	"github.com/balsamstall/balsamstall/transport/connlimit"
)

// Limits of a caller's connection. They bound how long a slow or broken caller can hold the
// resources of an entry.
const (
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 16 << 10
	// ReadTimeout bounds the time to receive a whole request, apart from the time that bodyread
	// allows for the bytes received.
	ReadTimeout = 5 * time.Second
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout = 60 * time.Second
)

// Call is one search request. The Handler resolves its key to a caller.
type Call struct {
	// Key is the bearer key that the caller sent.
	Key string
	// Search is the decoded body.
	Search callerapi.SearchRequest
	// Arrival is the time at which the request's header had been read or, without a stated deadline, the
	// whole request.
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
	// Budget counts the bytes held for callers. Nil selects one of the smallest size for this server
	// alone.
	Budget *bytebudget.Budget
}

// NewServer returns a kratos server on lis.
func NewServer(lis net.Listener, h Handler, opt Options) *khttp.Server {
	s := &server{handler: h, ingress: bodyread.NewIngress(opt.Budget), maxBodyBytes: opt.MaxBodyBytes}
	// The server's own timeouts bound idle connections and headers.
	unlimited := func() time.Duration { return 0 }
	lis = connlimit.NewListener(netutil.LimitListener(lis, opt.MaxConnections), connlimit.Limits{Idle: unlimited, Header: unlimited})
	srv := khttp.NewServer(
		khttp.Listener(lis),
		adminhttp.Endpoint(lis),
		khttp.Timeout(0), // The deadline of a request begins when its body has arrived.
		khttp.NotFoundHandler(http.HandlerFunc(s.notFound)),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(s.methodNotAllowed)),
	)
	srv.ReadHeaderTimeout = ReadTimeout
	srv.ReadTimeout = ReadTimeout
	srv.IdleTimeout = IdleTimeout
	srv.ConnState = connlimit.ConnState
	srv.MaxHeaderBytes = MaxHeaderBytes
	srv.Route("/").POST(callerapi.SearchPath, func(c khttp.Context) error {
		s.serveSearch(c.Response(), c.Request())
		return nil
	})
	return srv
}

// maxEchoedPathRunes bounds the part of an unknown path that the error message repeats.
const maxEchoedPathRunes = 80

// server serves the requests of one listener.
type server struct {
	handler      Handler
	ingress      *bodyread.Ingress
	maxBodyBytes int64
}

func (s *server) notFound(w http.ResponseWriter, r *http.Request) {
	s.writeReply(w, s.handler.Refuse(status.New(status.NotFound, status.NotRun,
		"unknown path %.*q; searches go to %s", maxEchoedPathRunes, r.URL.Path, callerapi.SearchPath)))
}

func (s *server) methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	reply := s.handler.Refuse(status.New(status.InvalidArgument, status.NotRun, "the method must be %s", http.MethodPost))
	reply.HTTPStatus = http.StatusMethodNotAllowed
	w.Header().Set("Allow", http.MethodPost)
	s.writeReply(w, reply)
}

func (s *server) serveSearch(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	incoming := s.ingress.Body(w, r)
	body, err := incoming.Read(s.maxBodyBytes, ReadTimeout)
	if err != nil {
		incoming.Refuse()
		reply := s.handler.Refuse(err)
		reply.Close = true
		s.writeReply(w, reply)
		return
	}
	reply := search(r, s.handler, body, arrival)
	incoming.Close()
	s.writeReply(w, reply)
}

// search runs a request whose body has arrived, and whose header arrived at the given time.
func search(r *http.Request, h Handler, body []byte, arrival time.Time) Reply {
	// Parsing costs more than comparing a key, so the body of an unauthenticated request is not
	// parsed.
	key, err := authenticate(r, h)
	if err != nil {
		if mayContainPermit(body) { // An earlier request with the permit may have run.
			unknown := *err
			unknown.Outcome = status.Unknown
			err = &unknown
		}
		return h.Refuse(err)
	}
	var search callerapi.SearchRequest
	if err := decodeBody(body, &search); err != nil {
		return h.Refuse(err)
	}
	if search.DeadlineMS == 0 {
		arrival = time.Now() // A slow caller that states no deadline is not refused for its slowness.
	}
	return h.Search(r.Context(), Call{Key: key, Search: search, Arrival: arrival})
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

func (s *server) writeReply(w http.ResponseWriter, reply Reply) {
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
	w.WriteHeader(reply.HTTPStatus)
	s.ingress.WriteResponse(w, reply.Body)
}
