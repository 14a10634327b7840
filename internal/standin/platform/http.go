package platform

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// maxWaitMS is the longest wait of a watch in milliseconds.
const maxWaitMS = 60_000

// ErrorReply is the body of every reply with a status of 400 or above.
type ErrorReply struct {
	Code         status.Code `json:"code"`
	Message      string      `json:"message"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// Kinds of calls, as counted in Calls.ByKind.
const (
	KindConfig = "config"
	KindWatch  = "watch"
	KindHosts  = "hosts"
)

func (p *Platform) handler() http.Handler {
	mux := p.controlHandler()
	mux.HandleFunc("GET "+platformapi.ConfigPath+"{key}", p.apiHandler(KindConfig, p.getConfig))
	mux.HandleFunc("GET "+platformapi.WatchPath+"{key}", p.apiHandler(KindWatch, p.watch))
	mux.HandleFunc("GET "+platformapi.HostsPath, p.apiHandler(KindHosts, p.getHosts))
	return mux
}

func (p *Platform) getConfig(w http.ResponseWriter, r *http.Request) {
	doc, _ := p.newest(r.PathValue("key"), p.randomFraction())
	if doc == nil {
		sendError(w, status.New(status.NotFound, "", "key %q has no value", r.PathValue("key")))
		return
	}
	sendJSON(w, http.StatusOK, doc)
}

// randomFraction returns a random number from 0 to 1. A call uses a single one, so that the same
// replica serves it throughout.
func (p *Platform) randomFraction() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// newest returns the newest version of the document with the given key, or nil if there is none, and
// a channel that is closed when a document or a fault changes. The stale replica serves the call if
// draw is below the fraction of that fault.
func (p *Platform) newest(key string, draw float64) (*platformapi.Document, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.documents[key]
	maxVersion := uint64(math.MaxUint64)
	if stale := p.activeFaults[FaultStale]; stale != nil && (stale.Key == "" || stale.Key == key) && (stale.Fraction == 0 || draw < stale.Fraction) {
		maxVersion = stale.pinned[key]
	}
	for _, doc := range slices.Backward(versions) {
		if doc.Version <= maxVersion {
			return &doc, p.changed
		}
	}
	return nil, p.changed
}

// watch answers as soon as the document has a version above the parameter after.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, waitTime, statusErr := watchArguments(r)
	if statusErr != nil {
		sendError(w, statusErr)
		return
	}
	timer := time.NewTimer(waitTime)
	defer timer.Stop()
	draw := p.randomFraction()
	for {
		if mode := p.failureMode(r); mode != "" {
			p.failCall(w, r, mode)
			return
		}
		doc, changed := p.newest(r.PathValue("key"), draw)
		if doc != nil && doc.Version > after {
			sendJSON(w, http.StatusOK, doc)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-p.closing:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func watchArguments(r *http.Request) (after uint64, waitTime time.Duration, statusErr *status.Error) {
	query := r.URL.Query()
	var err error
	if text := query.Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, status.New(status.InvalidArgument, "", "after must be a decimal number")
		}
	}
	if text := query.Get("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > maxWaitMS {
			return 0, 0, status.New(status.InvalidArgument, "", "wait_ms must be a number from 0 to %d", maxWaitMS)
		}
		waitTime = time.Duration(ms) * time.Millisecond
	}
	return after, waitTime, nil
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	hosts := p.visibleHosts(time.Now())
	if hosts == nil {
		hosts = []platformapi.Host{}
	}
	sendJSON(w, http.StatusOK, platformapi.HostList{Hosts: hosts})
}

func decode(w http.ResponseWriter, r *http.Request, dst any) *status.Error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return status.Wrap(err, status.InvalidArgument, "", "the body is not valid")
	}
	return nil
}

func sendError(w http.ResponseWriter, err *status.Error) {
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((err.RetryAfter+time.Second-1)/time.Second)))
	}
	sendJSON(w, status.HTTPStatus(err.Code), ErrorReply{
		Code:         err.Code,
		Message:      err.Error(),
		RetryAfterMS: err.RetryAfter.Milliseconds(),
	})
}

func sendJSON(w http.ResponseWriter, code int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // All reply types can be encoded.
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(body) // An error means that the client has disconnected.
}
