// Package adminhttp serves operators: liveness, readiness, status, the audit
// trail, metrics and the start of a planned stop.
package adminhttp

import (
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"net/url"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// requestTimeout bounds the handling of one request. It leaves room for a
// processor profile of 30 seconds.
const requestTimeout = 40 * time.Second

// Operator is the entry as operators see it.
type Operator interface {
	// Ready reports whether the entry takes new requests.
	Ready() bool
	// Status returns a value that encodes as the JSON status.
	Status() any
	// Audit returns a value that encodes as the JSON audit trail.
	Audit() any
	// Drain starts a planned stop.
	Drain(actor string)
}

// NewServer returns a kratos server on lis. Requests other than the health
// checks need the bearer key.
func NewServer(lis net.Listener, op Operator, key string) *khttp.Server {
	srv := khttp.NewServer(khttp.Listener(lis), khttp.Timeout(requestTimeout))
	srv.ReadHeaderTimeout = 5 * time.Second
	srv.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, health{Status: "ok"})
	})
	srv.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !op.Ready() {
			writeJSON(w, http.StatusServiceUnavailable, health{Status: "not ready"})
			return
		}
		writeJSON(w, http.StatusOK, health{Status: "ready"})
	})
	protected := func(path, method string, h http.HandlerFunc) {
		srv.HandleFunc(path, authenticate(key, method, h))
	}
	protected("/status", http.MethodGet, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, op.Status())
	})
	protected("/audit", http.MethodGet, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, op.Audit())
	})
	protected("/drain", http.MethodPost, func(w http.ResponseWriter, r *http.Request) {
		op.Drain("operator at " + r.RemoteAddr)
		writeJSON(w, http.StatusAccepted, health{Status: "draining"})
	})
	protected("/debug/vars", http.MethodGet, expvar.Handler().ServeHTTP)
	protected("/debug/pprof/profile", http.MethodGet, pprof.Profile)
	protected("/debug/pprof/heap", http.MethodGet, pprof.Handler("heap").ServeHTTP)
	return srv
}

// NewMetricsServer returns a kratos server on lis that serves metrics only, without
// a key.
func NewMetricsServer(lis net.Listener) *khttp.Server {
	srv := khttp.NewServer(khttp.Listener(lis), Endpoint(lis), khttp.Timeout(requestTimeout))
	srv.ReadHeaderTimeout = 5 * time.Second
	srv.HandleFunc("/debug/vars", expvar.Handler().ServeHTTP)
	return srv
}

// Endpoint states a server's own address. Without it kratos lists the network
// interfaces, which not every host allows.
func Endpoint(lis net.Listener) khttp.ServerOption {
	return khttp.Endpoint(&url.URL{Scheme: "http", Host: lis.Addr().String()})
}

type health struct {
	Status string `json:"status"`
	Error  string `json:"error,omitempty"`
}

func authenticate(key, method string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		got, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(got), []byte(key)) != 1 {
			writeJSON(w, http.StatusUnauthorized, health{Status: "refused", Error: "the bearer key is missing or wrong"})
			return
		}
		if r.Method != method {
			writeJSON(w, http.StatusMethodNotAllowed, health{Status: "refused", Error: "the method must be " + method})
			return
		}
		next(w, r)
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write means that the client went away.
	_ = json.NewEncoder(w).Encode(v)
}
