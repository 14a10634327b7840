package target

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Fault names a command.
type Fault string

// Faults.
const (
	// FaultSlow multiplies the service time by Factor.
	FaultSlow Fault = "slow"
	// FaultDelay holds finished replies back for DelayMS, outside the slots.
	FaultDelay Fault = "delay"
	// FaultSilent makes the given fraction of the connections that are open now
	// stop replying for ever. New connections work.
	FaultSilent Fault = "silent"
	// FaultCrash crashes the target: now, or on each attempt with the given Query.
	FaultCrash Fault = "crash"
	// FaultShed refuses attempts as shed.
	FaultShed Fault = "shed"
	// FaultDrain refuses attempts as draining. Running attempts finish.
	FaultDrain Fault = "drain"
	// FaultResetBeforeRun resets the connection after the request has been read.
	// The attempt does not run.
	FaultResetBeforeRun Fault = "reset_before_run"
	// FaultResetAfterRun resets the connection when the attempt has run.
	FaultResetAfterRun Fault = "reset_after_run"
	// FaultNeverReply runs attempts without ever replying. They hold no slot
	// after their work.
	FaultNeverReply Fault = "never_reply"
	// FaultWrongReply sends replies of the given Kind.
	FaultWrongReply Fault = "wrong_reply"
	// FaultStatus makes GET /v1/status report the state of LagMS ago or the Report.
	FaultStatus Fault = "status"
	// FaultSnapshots replaces the snapshots on offer of the named Services.
	FaultSnapshots Fault = "snapshots"
	// FaultClear removes every fault. Snapshots and silent connections stay.
	FaultClear Fault = "clear"
)

// Command is the body of POST /control. Which fields apply depends on the fault.
type Command struct {
	// Target is the id of a target in the same process, "zone:" and a zone for
	// the targets there, "*" for all of them, or empty for the target that
	// receives the command.
	Target string `json:"target,omitempty"`
	Fault  Fault  `json:"fault"`
	// Off removes the fault.
	Off bool `json:"off,omitempty"`
	// DurationMS ends the fault after this time in milliseconds. Zero means
	// that it stays until it is removed.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// Count ends the fault after this number of affected attempts. Zero means
	// no limit.
	Count int64 `json:"count,omitempty"`
	// Fraction is the part of the attempts, or of the open connections, that
	// the fault affects, from 0 to 1. Zero means all.
	Fraction float64 `json:"fraction,omitempty"`
	// Query restricts the fault to attempts with this text. Empty means all.
	Query string `json:"query,omitempty"`
	// Factor multiplies service times (slow).
	Factor float64 `json:"factor,omitempty"`
	// DelayMS is the time before the reply in milliseconds (delay).
	DelayMS int64 `json:"delay_ms,omitempty"`
	// RestartMS is the time in milliseconds for which a crashed target refuses
	// connections (crash).
	RestartMS int64 `json:"restart_ms,omitempty"`
	// Kind is the kind of wrong reply (wrong_reply).
	Kind Kind `json:"kind,omitempty"`
	// Workspace owns the forged hit (wrong_reply, forged_hits). The default is "forged".
	Workspace string `json:"workspace,omitempty"`
	// Bytes is the padding of an oversized reply (wrong_reply, oversized). The
	// default is 16 MiB.
	Bytes int64 `json:"bytes,omitempty"`
	// LagMS is the age of the reported state in milliseconds (status).
	LagMS int64 `json:"lag_ms,omitempty"`
	// Report replaces the reported state (status).
	Report *Report `json:"report,omitempty"`
	// Services holds the snapshots by service (snapshots).
	Services map[string]Service `json:"services,omitempty"`
}

// Report is a state that a target claims to be in.
type Report struct {
	InFlight int  `json:"in_flight"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
}

// rule is a fault in force.
type rule struct {
	Command
	// until is the end of the fault. The zero value means that it stays.
	until time.Time
	// left is the number of attempts still to be affected when Count is set.
	left int64
}

// Apply carries out a command on this target, whatever its Target field says.
// The error is a *status.Error with the code invalid_argument.
func (t *Target) Apply(cmd Command) error {
	if err := cmd.check(); err != nil {
		return err
	}
	t.apply(cmd, nil)
	return nil
}

// apply carries out a checked command. The connection keep, which may be nil,
// neither turns silent nor is reset.
func (t *Target) apply(cmd Command, keep *tracked.Conn) {
	defer t.noteState()
	t.log.Info().Str("fault", string(cmd.Fault)).Bool("off", cmd.Off).Msg("command")
	switch {
	case cmd.Fault == FaultClear:
		t.clearFaults()
	case cmd.Off:
		t.removeRule(cmd.Fault)
	case cmd.Fault == FaultSilent:
		t.silence(cmd.Fraction, keep)
	case cmd.Fault == FaultSnapshots:
		for name, s := range cmd.Services {
			t.SetSnapshots(name, s.Snapshots)
		}
	case cmd.Fault == FaultCrash && cmd.Query == "":
		t.crash(time.Duration(cmd.RestartMS)*time.Millisecond, keep)
	default:
		t.addRule(cmd)
	}
}

func (t *Target) clearFaults() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.rules)
}

func (t *Target) removeRule(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rules, fault)
}

// addRule puts a fault in force. It replaces an earlier one of the same name.
func (t *Target) addRule(cmd Command) {
	r := &rule{Command: cmd, left: cmd.Count}
	if cmd.DurationMS > 0 {
		r.until = time.Now().Add(time.Duration(cmd.DurationMS) * time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rules[cmd.Fault] = r
}

// match returns the rule that affects an attempt with the given query, or nil,
// and charges the attempt to the rule's count. It needs t.mu.
func (t *Target) match(fault Fault, query string, now time.Time) *rule {
	r := t.rules[fault]
	switch {
	case r == nil,
		r.Query != "" && r.Query != query,
		r.Fraction > 0 && t.faultRNG.Float64() >= r.Fraction:
		return nil
	case !r.until.IsZero() && !now.Before(r.until):
		delete(t.rules, fault)
		return nil
	}
	if r.Count > 0 {
		r.left--
		if r.left <= 0 {
			delete(t.rules, fault)
		}
	}
	return r
}

// inForce reports whether a fault is in force. It needs t.mu.
func (t *Target) inForce(fault Fault, now time.Time) bool {
	r := t.rules[fault]
	return r != nil && (r.until.IsZero() || now.Before(r.until))
}

// affects is match with locking.
func (t *Target) affects(fault Fault, query string) *rule {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.match(fault, query, time.Now())
}

// faultSeed separates the draws of fault fractions from the service times.
const faultSeed = 0x9e3779b97f4a7c15

func newFaultRNG(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, faultSeed))
}

var faults = []Fault{
	FaultSlow, FaultDelay, FaultSilent, FaultCrash, FaultShed, FaultDrain,
	FaultResetBeforeRun, FaultResetAfterRun, FaultNeverReply, FaultWrongReply, FaultStatus, FaultSnapshots, FaultClear,
}

// maxFactor bounds the slow factor.
const maxFactor = 10_000

func (c *Command) check() error {
	switch {
	case !slices.Contains(faults, c.Fault):
		return invalid("fault", c.Fault, fmt.Sprintf("one of %q", faults))
	case c.DurationMS < 0 || c.DurationMS > maxDelayMS:
		return invalid("duration_ms", c.DurationMS, fmt.Sprintf("a number from 0 to %d", maxDelayMS))
	case c.Count < 0:
		return invalid("count", c.Count, "a number of at least 0")
	case c.Fraction < 0 || c.Fraction > 1:
		return invalid("fraction", c.Fraction, "a number from 0 to 1")
	case c.DelayMS < 0 || c.DelayMS > maxDelayMS:
		return invalid("delay_ms", c.DelayMS, fmt.Sprintf("a number from 0 to %d", maxDelayMS))
	case c.RestartMS < 0 || c.RestartMS > maxDelayMS:
		return invalid("restart_ms", c.RestartMS, fmt.Sprintf("a number from 0 to %d", maxDelayMS))
	case c.LagMS < 0 || c.LagMS > maxStatusLagMS:
		return invalid("lag_ms", c.LagMS, fmt.Sprintf("a number from 0 to %d", maxStatusLagMS))
	case c.Off && (c.Fault == FaultSilent || c.Fault == FaultSnapshots):
		return invalid("off", c.Off, "false for this fault")
	case c.Fault == FaultSlow && !c.Off && (c.Factor <= 0 || c.Factor > maxFactor):
		return invalid("factor", c.Factor, fmt.Sprintf("a number above 0, at most %d", maxFactor))
	case c.Fault == FaultWrongReply && !c.Off && !slices.Contains(kinds, c.Kind):
		return invalid("kind", c.Kind, fmt.Sprintf("one of %q", kinds))
	case c.Bytes < 0 || c.Bytes > maxOversizedBytes:
		return invalid("bytes", c.Bytes, fmt.Sprintf("a number from 0 to %d", maxOversizedBytes))
	case c.Fault == FaultSnapshots && len(c.Services) == 0:
		return invalid("services", "{}", "at least one service")
	}
	return nil
}

func invalid(field string, value any, allowed string) error {
	return status.New(status.InvalidArgument, "", "field %q: value %v: %s", field, value, allowed)
}
