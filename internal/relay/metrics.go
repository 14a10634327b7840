package relay

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyUS and latencyDigits set the range and precision of the histograms: values up to
	// 1 min in microseconds, with two significant digits.
	maxLatencyUS  = int64(time.Minute / time.Microsecond)
	latencyDigits = 2
	// maxServiceHistograms limits the number of services with their own histogram of about 20 KB.
	// The other services share one histogram.
	maxServiceHistograms = 64
	// otherServices is the name of the shared histogram.
	otherServices = "other"
)

// Metrics counts the answers of a relay and measures their latency by service.
type Metrics struct {
	// Merged counts answers merged from several shards, Passed replies of one target, Refused errors
	// that guarantee that the request did not run, and Failed all other errors.
	Merged, Passed, Refused, Failed expvar.Int
	// Partial counts merged answers with missing shards.
	Partial expvar.Int
	// Forwarded counts requests that a home ran, FailedOffers the times that a home refused a request
	// or did not offer to run it in time, and Hosted requests that ran here for other entries.
	Forwarded, FailedOffers, Hosted expvar.Int
	// OutdatedSheet counts requests that found an older sheet here than a home has used for this entry.
	OutdatedSheet expvar.Int
	// Detoured counts requests that a peer ran because this entry reached no target.
	Detoured expvar.Int

	mu sync.Mutex
	// latency is guarded by mu.
	latency map[string]*hdrhistogram.Histogram
}

// observe records the latency of an answered request.
func (m *Metrics) observe(service string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latency[service]
	if h == nil {
		if m.latency == nil {
			m.latency = make(map[string]*hdrhistogram.Histogram)
		}
		if len(m.latency) >= maxServiceHistograms {
			service = otherServices
		}
		if h = m.latency[service]; h == nil {
			h = hdrhistogram.New(1, maxLatencyUS, latencyDigits)
			m.latency[service] = h
		}
	}
	// RecordValue cannot fail because the value is in range.
	_ = h.RecordValue(min(max(took.Microseconds(), 1), maxLatencyUS))
}

// quantiles is the JSON form of one latency histogram, in microseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// Publish exports the metrics at /debug/vars under "balsam_relay". It must be called at most once
// per process.
func (m *Metrics) Publish() {
	vars := expvar.NewMap("balsam_relay")
	vars.Set("merged_total", &m.Merged)
	vars.Set("passed_total", &m.Passed)
	vars.Set("refused_total", &m.Refused)
	vars.Set("failed_total", &m.Failed)
	vars.Set("partial_total", &m.Partial)
	vars.Set("forwarded_total", &m.Forwarded)
	vars.Set("detoured_total", &m.Detoured)
	vars.Set("outdated_sheet_total", &m.OutdatedSheet)
	vars.Set("unoffered_total", &m.FailedOffers)
	vars.Set("hosted_total", &m.Hosted)
	vars.Set("latency", expvar.Func(func() any { return m.snapshot() }))
}

// snapshot returns the latency quantiles by service.
func (m *Metrics) snapshot() map[string]quantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]quantiles, len(m.latency))
	for name, h := range m.latency {
		out[name] = quantiles{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max()}
	}
	return out
}
