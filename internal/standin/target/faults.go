package target

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/requestrate"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Fault is the name of a fault that a Command injects.
type Fault string

// Faults.
const (
	// FaultSlow multiplies the service time by Factor.
	FaultSlow Fault = "slow"
	// FaultDelay delays finished replies by DelayMS, after the attempt has released its slot.
	FaultDelay Fault = "delay"
	// FaultSilent makes the given Fraction of the connections that are open at the time of the command
	// silent for good. New connections work.
	FaultSilent Fault = "silent"
	// FaultCrash crashes the target, either immediately or on each attempt with the given Query.
	FaultCrash Fault = "crash"
	// FaultShed refuses attempts with the code shed.
	FaultShed Fault = "shed"
	// FaultLimit states a rate limit of PerSecond in replies and refusals, without enforcing it.
	FaultLimit Fault = "limit"
	// FaultDrain refuses attempts with the code draining. Running attempts continue.
	FaultDrain Fault = "drain"
	// FaultResetBeforeRun resets the connection after the request has been read. The attempt does not
	// run.
	FaultResetBeforeRun Fault = "reset_before_run"
	// FaultResetAfterRun resets the connection after the attempt has run.
	FaultResetAfterRun Fault = "reset_after_run"
	// FaultNeverReply runs attempts and never replies. They release their slots after the service time.
	FaultNeverReply Fault = "never_reply"
	// FaultWrongReply sends wrong replies of the given Kind.
	FaultWrongReply Fault = "wrong_reply"
	// FaultStatus makes GET /v1/status return the state of LagMS milliseconds ago, or the Report.
	FaultStatus Fault = "status"
	// FaultSnapshots replaces the available snapshots of the given Services.
	FaultSnapshots Fault = "snapshots"
	// FaultClear removes every fault. Snapshots and silent connections remain changed.
	FaultClear Fault = "clear"
)

// Command is the body of POST /control. Which fields apply depends on the fault.
type Command struct {
	// Target is the id of a target in the same process, "zone:" followed by a zone for the targets in
	// that zone, "*" for all targets, or empty for the target that receives the command.
	Target string `json:"target,omitempty"`
	Fault  Fault  `json:"fault"`
	// Off removes the fault.
	Off bool `json:"off,omitempty"`
	// DurationMS is the time after which the fault ends, in milliseconds. Zero means that it lasts
	// until it is removed.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// Count is the number of affected attempts after which the fault ends. Zero means no limit.
	Count int64 `json:"count,omitempty"`
	// Fraction is the fraction of the attempts, or of the open connections, that the fault affects,
	// from 0 to 1. Zero means all.
	Fraction float64 `json:"fraction,omitempty"`
	// Query restricts the fault to attempts with this query. Empty means all attempts.
	Query string `json:"query,omitempty"`
	// Factor multiplies service times (slow).
	Factor float64 `json:"factor,omitempty"`
	// PerSecond is the stated rate limit in requests per second (limit).
	PerSecond float64 `json:"per_second,omitempty"`
	// DelayMS is the delay of the reply in milliseconds (delay).
	DelayMS int64 `json:"delay_ms,omitempty"`
	// RestartMS is the time for which a crashed target refuses connections, in milliseconds (crash).
	RestartMS int64 `json:"restart_ms,omitempty"`
	// Kind is the kind of wrong reply (wrong_reply).
	Kind Kind `json:"kind,omitempty"`
	// Workspace is the workspace of the forged hit (wrong_reply, forged_hits). The default is "forged".
	Workspace string `json:"workspace,omitempty"`
	// Bytes is the size of the padding of an oversized reply (wrong_reply, oversized). The default is
	// 16 MiB.
	Bytes int64 `json:"bytes,omitempty"`
	// LagMS is the age of the reported state in milliseconds (status).
	LagMS int64 `json:"lag_ms,omitempty"`
	// Report replaces the reported state (status).
	Report *Report `json:"report,omitempty"`
	// Services holds the new snapshots by service (snapshots).
	Services map[string]Service `json:"services,omitempty"`
}

// Report is a state that a target reports instead of its own.
type Report struct {
	InFlight int  `json:"in_flight"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
}

// activeFault is an injected fault that has not been removed. It may have expired.
type activeFault struct {
	Command
	// until is the end of the fault. The zero value means that it has no duration.
	until time.Time
	// left is the number of attempts that the fault can still affect if Count is set.
	left int64
}

// Apply executes a command on this target, regardless of its Target field. The error is a
// *status.Error with the code invalid_argument.
func (t *Target) Apply(cmd Command) error {
	if err := cmd.check(); err != nil {
		return err
	}
	t.apply(cmd, nil)
	return nil
}

// apply executes a valid command. It neither silences nor resets the connection keep, which may be
// nil.
func (t *Target) apply(cmd Command, keep *tracked.Conn) {
	defer t.recordState()
	t.log.Info().Str("fault", string(cmd.Fault)).Bool("off", cmd.Off).Msg("command")
	switch {
	case cmd.Fault == FaultClear:
		t.clearFaults()
	case cmd.Off:
		t.removeFault(cmd.Fault)
	case cmd.Fault == FaultSilent:
		t.silence(cmd.Fraction, keep)
	case cmd.Fault == FaultSnapshots:
		for name, s := range cmd.Services {
			t.SetSnapshots(name, s.Snapshots)
		}
	case cmd.Fault == FaultCrash && cmd.Query == "":
		t.crash(time.Duration(cmd.RestartMS)*time.Millisecond, keep)
	default:
		t.addFault(cmd)
	}
}

func (t *Target) clearFaults() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.activeFaults)
}

func (t *Target) removeFault(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.activeFaults, fault)
}

// addFault adds an active fault. It replaces an earlier one of the same name.
func (t *Target) addFault(cmd Command) {
	active := &activeFault{Command: cmd, left: cmd.Count}
	if cmd.DurationMS > 0 {
		active.until = time.Now().Add(time.Duration(cmd.DurationMS) * time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeFaults[cmd.Fault] = active
}

// matchFaultLocked returns the active fault with the given name if it affects an attempt with the
// given query, and nil otherwise. It counts the attempt towards the fault's Count and removes a fault
// that has ended. t.mu must be held.
func (t *Target) matchFaultLocked(fault Fault, query string, now time.Time) *activeFault {
	active := t.activeFaults[fault]
	switch {
	case active == nil,
		active.Query != "" && active.Query != query,
		active.Fraction > 0 && t.faultRNG.Float64() >= active.Fraction:
		return nil
	case !active.until.IsZero() && !now.Before(active.until):
		delete(t.activeFaults, fault)
		return nil
	}
	if active.Count > 0 {
		active.left--
		if active.left <= 0 {
			delete(t.activeFaults, fault)
		}
	}
	return active
}

// isActive reports whether a fault is active. t.mu must be held.
func (t *Target) isActive(fault Fault, now time.Time) bool {
	active := t.activeFaults[fault]
	return active != nil && (active.until.IsZero() || now.Before(active.until))
}

// matchFault is like matchFaultLocked, but locks t.mu.
func (t *Target) matchFault(fault Fault, query string) *activeFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.matchFaultLocked(fault, query, time.Now())
}

// faultSeed makes the random choice of affected attempts independent of the service times.
const faultSeed = 0x9e3779b97f4a7c15

func newFaultRNG(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, faultSeed))
}

var allFaults = []Fault{
	FaultSlow, FaultDelay, FaultSilent, FaultCrash, FaultShed, FaultLimit, FaultDrain,
	FaultResetBeforeRun, FaultResetAfterRun, FaultNeverReply, FaultWrongReply, FaultStatus, FaultSnapshots, FaultClear,
}

// maxFactor is the largest Command.Factor.
const maxFactor = 10_000

func (c *Command) check() error {
	switch {
	case !slices.Contains(allFaults, c.Fault):
		return invalidField("fault", c.Fault, fmt.Sprintf("one of %q", allFaults))
	case c.DurationMS < 0 || c.DurationMS > maxDelayMS:
		return invalidField("duration_ms", c.DurationMS, fmt.Sprintf("a number from 0 to %d", maxDelayMS))
	case c.Count < 0:
		return invalidField("count", c.Count, "a number of at least 0")
	case c.Fraction < 0 || c.Fraction > 1:
		return invalidField("fraction", c.Fraction, "a number from 0 to 1")
	case c.DelayMS < 0 || c.DelayMS > maxDelayMS:
		return invalidField("delay_ms", c.DelayMS, fmt.Sprintf("a number from 0 to %d", maxDelayMS))
	case c.RestartMS < 0 || c.RestartMS > maxDelayMS:
		return invalidField("restart_ms", c.RestartMS, fmt.Sprintf("a number from 0 to %d", maxDelayMS))
	case c.LagMS < 0 || c.LagMS > maxStatusLagMS:
		return invalidField("lag_ms", c.LagMS, fmt.Sprintf("a number from 0 to %d", maxStatusLagMS))
	case c.Off && (c.Fault == FaultSilent || c.Fault == FaultSnapshots):
		return invalidField("off", c.Off, "false for this fault")
	case c.Fault == FaultSlow && !c.Off && (c.Factor <= 0 || c.Factor > maxFactor):
		return invalidField("factor", c.Factor, fmt.Sprintf("a number above 0, at most %d", maxFactor))
	case c.PerSecond < 0 || c.PerSecond > requestrate.MaxPerSecond:
		return invalidField("per_second", c.PerSecond, fmt.Sprintf("a number from 0 to %d", int(requestrate.MaxPerSecond)))
	case c.Fault == FaultWrongReply && !c.Off && !slices.Contains(allKinds, c.Kind):
		return invalidField("kind", c.Kind, fmt.Sprintf("one of %q", allKinds))
	case c.Bytes < 0 || c.Bytes > maxOversizedBytes:
		return invalidField("bytes", c.Bytes, fmt.Sprintf("a number from 0 to %d", maxOversizedBytes))
	case c.Fault == FaultSnapshots && len(c.Services) == 0:
		return invalidField("services", "{}", "at least one service")
	}
	return nil
}

func invalidField(field string, value any, allowed string) error {
	return status.New(status.InvalidArgument, "", "field %q: value %v: %s", field, value, allowed)
}
