package replica

import (
	"math"
	"time"
)

// Stats holds what one entry knows about one target. Create it with NewStats.
type Stats struct {
	settings *Settings
	inflight inflight

	// latencySum and latencyWeight are the decayed sum of samples in seconds
	// and of their weights at sampledAt.
	latencySum, latencyWeight float64
	sampledAt                 time.Duration

	// failures is the decayed number of failures at failedAt.
	failures float64
	failedAt time.Duration
	inRow    int

	// repliedAt is the time of the last reply, meaningful when replied is set.
	repliedAt time.Duration
	replied   bool
	// accepted is the recent part of the attempts that were not refused, at acceptedAt.
	accepted   float64
	acceptedAt time.Duration
	// holdLength is zero for a target that is not held.
	holdLength, heldAt time.Duration
	probing            Token

	hintPenalty float64
	hintedAt    time.Duration
}

// acceptanceGain is the weight of the last attempt in the acceptance.
const acceptanceGain = 0.1

// optimism is the weight of an assumed latency of zero in the mean. As the
// samples of an unused target decay, its latency falls and it is tried again.
const optimism = 0.1

// NewStats returns the statistics of a target that was never used.
func NewStats(s *Settings, now time.Duration) *Stats {
	return &Stats{
		settings:      s,
		inflight:      newInflight(),
		latencySum:    s.InitialLatency.Seconds(),
		latencyWeight: 1,
		sampledAt:     now,
		failedAt:      now,
		hintPenalty:   1,
		accepted:      1,
	}
}

// Start records that an attempt is sent. The token is for Finish.
func (t *Stats) Start(now time.Duration) Token {
	token := t.inflight.add(now)
	if t.holdLength > 0 && now >= t.heldAt+t.holdLength && t.probing == (Token{}) {
		t.probing = token
	}
	return token
}

// Finish records the end of an attempt and returns its latency, from Start to
// now. It reports false, and records nothing, for a token that is not in
// flight, such as one that is finished twice.
func (t *Stats) Finish(token Token, now time.Duration, class Class) (latency time.Duration, ok bool) {
	start, ok := t.inflight.remove(token)
	if !ok {
		return 0, false
	}
	latency = max(now-start, 0)
	switch class {
	case Success:
		t.sample(now, latency)
		t.accept(now, 1)
		t.inRow, t.holdLength = 0, 0
		t.repliedAt, t.replied = now, true
	case Failure:
		// A fast failure says nothing good about the target's speed.
		t.sampleIfSlower(now, latency)
		t.fail(now)
		t.holdFor(start, now, t.settings.HoldMax)
	case Shed:
		t.accept(now, 0)
	case Canceled:
		t.sampleIfSlower(now, latency)
		if latency >= t.settings.UnansweredAfter && (!t.replied || t.repliedAt < start) {
			t.holdFor(start, now, t.settings.SilentHoldMax)
		}
	}
	if token == t.probing {
		t.probing = Token{}
	}
	return latency, true
}

// Forget drops what is known of the target's speed and failures, but the attempts in
// flight.
func (t *Stats) Forget(now time.Duration) {
	fresh := NewStats(t.settings, now)
	fresh.inflight, fresh.probing = t.inflight, t.probing
	*t = *fresh
}

// Acceptance returns the recent part of the attempts that the target did not refuse. What
// is known decays with FailureDecay.
func (t *Stats) Acceptance(now time.Duration) float64 {
	return 1 - (1-t.accepted)*decay(now-t.acceptedAt, t.settings.FailureDecay)
}

func (t *Stats) accept(now time.Duration, value float64) {
	a := t.Acceptance(now)
	t.accepted, t.acceptedAt = a+acceptanceGain*(value-a), now
}

// Report stores the target's own report. A later report replaces it.
func (t *Stats) Report(now time.Duration, h Hint) {
	penalty := 1.0
	if h.Slots > 0 {
		penalty = max(penalty, float64(h.InFlight)/float64(h.Slots))
	}
	if h.Unhealthy {
		penalty = t.settings.MaxHintPenalty
	}
	t.hintPenalty = min(penalty, t.settings.MaxHintPenalty)
	t.hintedAt = now
}

// InFlight returns the number of attempts in flight.
func (t *Stats) InFlight() int { return t.inflight.count }

// OldestAge returns the age of the oldest attempt in flight, or zero.
func (t *Stats) OldestAge(now time.Duration) time.Duration {
	start, ok := t.inflight.oldest()
	if !ok {
		return 0
	}
	return max(now-start, 0)
}

// Latency returns the recent latency: the mean of the samples, each weighted
// by exp(-age/LatencyDecay), and at least MinLatency.
func (t *Stats) Latency(now time.Duration) time.Duration {
	return time.Duration(t.latency(now) * float64(time.Second))
}

// Score judges the target. The age of the oldest attempt in flight counts as
// latency at once, so that a stalled target loses work before its first late
// reply.
func (t *Stats) Score(now time.Duration) Score {
	latency := max(t.latency(now), t.OldestAge(now).Seconds())
	cost := latency * float64(t.inflight.count+1)
	cost *= 1 + t.settings.FailurePenalty*t.recentFailures(now)
	if now < t.hintedAt+t.settings.HintExpiry {
		cost *= t.hintPenalty
	}
	return Score{Cost: cost, Held: t.held(now), Acceptance: t.Acceptance(now)}
}

func (t *Stats) latency(now time.Duration) float64 {
	d := decay(now-t.sampledAt, t.settings.LatencyDecay)
	mean := t.latencySum * d / (t.latencyWeight*d + optimism)
	return max(mean, t.settings.MinLatency.Seconds())
}

func (t *Stats) sample(now, latency time.Duration) {
	d := decay(now-t.sampledAt, t.settings.LatencyDecay)
	t.latencySum = t.latencySum*d + latency.Seconds()
	t.latencyWeight = t.latencyWeight*d + 1
	t.sampledAt = max(now, t.sampledAt)
}

func (t *Stats) sampleIfSlower(now, latency time.Duration) {
	if latency.Seconds() > t.latency(now) {
		t.sample(now, latency)
	}
}

func (t *Stats) recentFailures(now time.Duration) float64 {
	return t.failures * decay(now-t.failedAt, t.settings.FailureDecay)
}

func (t *Stats) fail(now time.Duration) {
	t.failures = t.recentFailures(now) + 1
	t.failedAt = max(now, t.failedAt)
}

// holdFor starts or doubles the hold after a failure, up to the given length. Attempts
// that were already in flight when the hold began do not lengthen it: one crash fails
// them all.
func (t *Stats) holdFor(start, now, most time.Duration) {
	t.inRow++
	switch {
	case t.holdLength > 0 && start < t.heldAt:
	case t.holdLength > 0:
		t.holdLength = max(t.holdLength, min(2*t.holdLength, most))
		t.heldAt = now
	case t.inRow >= t.settings.HoldAfter:
		t.holdLength, t.heldAt = t.settings.HoldMin, now
	}
}

func (t *Stats) held(now time.Duration) bool {
	if t.holdLength == 0 {
		return false
	}
	return t.probing != (Token{}) || now < t.heldAt+t.holdLength
}

// decay returns exp(-age/scale), and 1 for an age below zero.
func decay(age, scale time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(scale))
}
