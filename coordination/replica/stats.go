package replica

import (
	"math"
	"time"
)

// Stats holds the statistics of one target as seen by one entry. Create it with
// NewStats.
type Stats struct {
	settings *Settings
	inflight inflight

	// latencySum and latencyWeight are the decayed sums of the latency samples in
	// seconds and of their weights, as of sampledAt.
	latencySum, latencyWeight float64
	sampledAt                 time.Duration

	// failures is the decayed number of failures, as of failedAt.
	failures            float64
	failedAt            time.Duration
	consecutiveFailures int

	// repliedAt is the time of the last reply. It is valid only when replied is set.
	repliedAt time.Duration
	replied   bool
	// acceptance is the recent fraction of attempts that were not refused, as of
	// acceptanceAt.
	acceptance   float64
	acceptanceAt time.Duration
	// ejectionPeriod is zero for a target that is not ejected.
	ejectionPeriod, ejectedAt time.Duration
	probe                     Token

	statusPenalty float64
	statusAt      time.Duration

	load reportedLoad
}

// acceptanceGain is the weight of the latest attempt in the moving average of the
// acceptance.
const acceptanceGain = 0.1

// zeroLatencyWeight is the weight of an assumed sample of zero latency in the mean.
// As the samples of an unused target decay, its mean latency falls and it is tried
// again.
const zeroLatencyWeight = 0.1

// NewStats returns the statistics of a target without any attempts.
func NewStats(s *Settings, now time.Duration) *Stats {
	return &Stats{
		settings:      s,
		inflight:      newInflight(),
		latencySum:    s.InitialLatency.Seconds(),
		latencyWeight: 1,
		sampledAt:     now,
		failedAt:      now,
		statusPenalty: 1,
		acceptance:    1,
	}
}

// Start records that an attempt is sent and returns the token to pass to Finish. The
// first attempt after the ejection period is the probe.
func (t *Stats) Start(now time.Duration) Token {
	token := t.inflight.add(now)
	if t.ejectionPeriod > 0 && now >= t.ejectedAt+t.ejectionPeriod && t.probe == (Token{}) {
		t.probe = token
	}
	return token
}

// Finish records the end of an attempt and returns its latency, from Start to now.
// It reports false and records nothing for a token that is not in flight, such as
// one that was already finished.
func (t *Stats) Finish(token Token, now time.Duration, class Class) (latency time.Duration, ok bool) {
	start, ok := t.inflight.remove(token)
	if !ok {
		return 0, false
	}
	latency = max(now-start, 0)
	switch class {
	case Success:
		t.recordLatency(now, latency)
		t.recordAcceptance(now, 1)
		t.consecutiveFailures, t.ejectionPeriod = 0, 0
		t.repliedAt, t.replied = now, true
	case Failure:
		// A fast failure does not show that the target is fast.
		t.recordLatencyIfSlower(now, latency)
		t.recordFailure(now)
		t.eject(start, now, t.settings.MaxEjection)
	case Shed:
		t.recordAcceptance(now, 0)
	case Canceled:
		t.recordLatencyIfSlower(now, latency)
		if latency >= t.settings.UnansweredAfter && (!t.replied || t.repliedAt < start) {
			t.eject(start, now, t.settings.MaxUnansweredEjection)
		}
	}
	if token == t.probe {
		t.probe = Token{}
	}
	return latency, true
}

// Reset clears the statistics of the target and keeps its attempts in flight.
func (t *Stats) Reset(now time.Duration) {
	fresh := NewStats(t.settings, now)
	fresh.inflight, fresh.probe = t.inflight, t.probe
	*t = *fresh
}

// Acceptance returns the recent fraction of attempts that the target did not refuse.
// It returns to 1 with the time constant FailureDecay.
func (t *Stats) Acceptance(now time.Duration) float64 {
	return 1 - (1-t.acceptance)*decay(now-t.acceptanceAt, t.settings.FailureDecay)
}

func (t *Stats) recordAcceptance(now time.Duration, value float64) {
	a := t.Acceptance(now)
	t.acceptance, t.acceptanceAt = a+acceptanceGain*(value-a), now
}

// RecordStatus stores the status that the target reported. It replaces an earlier
// one.
func (t *Stats) RecordStatus(now time.Duration, s TargetStatus) {
	penalty := 1.0
	if s.Slots > 0 {
		penalty = max(penalty, float64(s.InFlight)/float64(s.Slots))
	}
	if s.Unhealthy {
		penalty = t.settings.MaxStatusPenalty
	}
	t.statusPenalty = min(penalty, t.settings.MaxStatusPenalty)
	t.statusAt = now
}

// InFlight returns the number of attempts in flight.
func (t *Stats) InFlight() int { return t.inflight.count }

// OldestAge returns the age of the oldest attempt in flight, or zero if there is none.
func (t *Stats) OldestAge(now time.Duration) time.Duration {
	start, ok := t.inflight.oldest()
	if !ok {
		return 0
	}
	return max(now-start, 0)
}

// Latency returns the mean of the latency samples, each weighted by
// exp(-age/LatencyDecay), and at least MinLatency.
func (t *Stats) Latency(now time.Duration) time.Duration {
	return time.Duration(t.latency(now) * float64(time.Second))
}

// Score rates the target. The age of the oldest attempt in flight counts as latency,
// so that a stalled target gets less work before its first late reply.
func (t *Stats) Score(now time.Duration) Score {
	latency := max(t.latency(now), t.OldestAge(now).Seconds())
	cost := latency * float64(t.inflight.count+1)
	cost *= 1 + t.settings.FailurePenalty*t.recentFailures(now)
	if now < t.statusAt+t.settings.StatusExpiry {
		cost *= t.statusPenalty
	}
	cost *= t.load.factor(now, t.settings)
	return Score{Cost: cost, Ejected: t.ejected(now), Acceptance: t.Acceptance(now)}
}

// latency returns the result of Latency in seconds.
func (t *Stats) latency(now time.Duration) float64 {
	d := decay(now-t.sampledAt, t.settings.LatencyDecay)
	mean := t.latencySum * d / (t.latencyWeight*d + zeroLatencyWeight)
	return max(mean, t.settings.MinLatency.Seconds())
}

func (t *Stats) recordLatency(now, latency time.Duration) {
	d := decay(now-t.sampledAt, t.settings.LatencyDecay)
	t.latencySum = t.latencySum*d + latency.Seconds()
	t.latencyWeight = t.latencyWeight*d + 1
	t.sampledAt = max(now, t.sampledAt)
}

func (t *Stats) recordLatencyIfSlower(now, latency time.Duration) {
	if latency.Seconds() > t.latency(now) {
		t.recordLatency(now, latency)
	}
}

func (t *Stats) recentFailures(now time.Duration) float64 {
	return t.failures * decay(now-t.failedAt, t.settings.FailureDecay)
}

func (t *Stats) recordFailure(now time.Duration) {
	t.failures = t.recentFailures(now) + 1
	t.failedAt = max(now, t.failedAt)
}

// eject records a failure of an attempt that began at start. It ejects the target or
// doubles its ejection period up to maxPeriod. Attempts that were already in flight
// when the ejection began do not extend it, because one crash fails them all.
func (t *Stats) eject(start, now, maxPeriod time.Duration) {
	t.consecutiveFailures++
	switch {
	case t.ejectionPeriod > 0 && start < t.ejectedAt:
	case t.ejectionPeriod > 0:
		t.ejectionPeriod = max(t.ejectionPeriod, min(2*t.ejectionPeriod, maxPeriod))
		t.ejectedAt = now
	case t.consecutiveFailures >= t.settings.EjectAfter:
		t.ejectionPeriod, t.ejectedAt = t.settings.MinEjection, now
	}
}

// ejected reports whether an ejection is in effect: during the ejection period and while
// the probe after it is in flight.
func (t *Stats) ejected(now time.Duration) bool {
	if t.ejectionPeriod == 0 {
		return false
	}
	return t.probe != (Token{}) || now < t.ejectedAt+t.ejectionPeriod
}

// decay returns exp(-age/scale), or 1 for a negative age.
func decay(age, scale time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(scale))
}
