// Package adminhttp serves the admin API: liveness, readiness, status, the audit trail,
// metrics, profiles and the start of a graceful shutdown.
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

// requestTimeout bounds the handling of one request. It leaves room for a CPU profile of 30 s.
const requestTimeout = 40 * time.Second

// Entry is the entry that the server reports on and drains.
type Entry interface {
	// Ready reports whether the entry accepts new requests.
	Ready() bool
	// Status returns the status as a value to encode as JSON.
	Status() any
	// Audit returns the audit trail as a value to encode as JSON.
	Audit() any
	// Drain starts a graceful shutdown, which the audit trail attributes to actor.
	Drain(actor string)
}

// NewServer returns a kratos server on lis. All requests but the health checks must carry the
// bearer key.
func NewServer(lis net.Listener, entry Entry, key string) *khttp.Server {
	srv := khttp.NewServer(khttp.Listener(lis), khttp.Timeout(requestTimeout))
	srv.ReadHeaderTimeout = 5 * time.Second
	srv.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, health{Status: "ok"})
	})
	srv.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !entry.Ready() {
			writeJSON(w, http.StatusServiceUnavailable, health{Status: "not ready"})
			return
		}
		writeJSON(w, http.StatusOK, health{Status: "ready"})
	})
	protected := func(path, method string, h http.HandlerFunc) {
		srv.HandleFunc(path, authenticate(key, method, h))
	}
	protected("/status", http.MethodGet, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, entry.Status())
	})
	protected("/audit", http.MethodGet, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, entry.Audit())
	})
	protected("/drain", http.MethodPost, func(w http.ResponseWriter, r *http.Request) {
		entry.Drain("operator at " + r.RemoteAddr)
		writeJSON(w, http.StatusAccepted, health{Status: "draining"})
	})
	protected("/debug/vars", http.MethodGet, expvar.Handler().ServeHTTP)
	protected("/debug/pprof/profile", http.MethodGet, pprof.Profile)
	protected("/debug/pprof/heap", http.MethodGet, pprof.Handler("heap").ServeHTTP)
	return srv
}

// NewMetricsServer returns a kratos server on lis that serves only metrics, without
// authentication.
func NewMetricsServer(lis net.Listener) *khttp.Server {
	srv := khttp.NewServer(khttp.Listener(lis), Endpoint(lis), khttp.Timeout(requestTimeout))
	srv.ReadHeaderTimeout = 5 * time.Second
	srv.HandleFunc("/debug/vars", expvar.Handler().ServeHTTP)
	return srv
}

// Endpoint sets the address that a server advertises. Without it kratos lists the network
// interfaces, which not every host permits.
func Endpoint(lis net.Listener) khttp.ServerOption {
	return khttp.Endpoint(&url.URL{Scheme: "http", Host: lis.Addr().String()})
}

// health is the JSON body of health checks, drain requests and errors.
type health struct {
	Status string `json:"status"`
	Error  string `json:"error,omitempty"`
}

// authenticate wraps next to require the bearer key and the HTTP method.
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
	// A failed write means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
