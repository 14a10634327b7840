package platform

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Fault names a command.
type Fault string

// Faults.
const (
	// FaultOutage fails every call in the way of Mode.
	FaultOutage Fault = "outage"
	// FaultStale answers from older versions.
	FaultStale Fault = "stale"
	// FaultHostsLag sets the age of the host list to LagMS.
	FaultHostsLag Fault = "hosts_lag"
	// FaultCut resets the calls of the given Entries.
	FaultCut Fault = "cut"
	// FaultRate sets the cap on calls a second.
	FaultRate Fault = "rate"
	// FaultClear removes every fault and restores the lag and the cap of the settings.
	FaultClear Fault = "clear"
)

// Mode is the way in which an outage shows.
type Mode string

// Modes of an outage.
const (
	// ModeUnavailable answers 503.
	ModeUnavailable Mode = "unavailable"
	// ModeReset resets the connection of each call.
	ModeReset Mode = "reset"
	// ModeHang never answers.
	ModeHang Mode = "hang"
	// ModeRefuse closes all connections and refuses new ones.
	ModeRefuse Mode = "refuse"
)

// Command is the body of POST /control/faults. Which fields apply depends on
// the fault.
type Command struct {
	Fault Fault `json:"fault"`
	// Off removes the fault.
	Off bool `json:"off,omitempty"`
	// DurationMS ends the fault after this time in milliseconds. Zero means
	// that it stays until it is removed.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// Mode is the way in which an outage shows. The default is "unavailable".
	Mode Mode `json:"mode,omitempty"`
	// Key restricts staleness to one document. Empty means all.
	Key string `json:"key,omitempty"`
	// Back is the number of versions that a stale replica is behind the version
	// at the time of the command (stale).
	Back uint64 `json:"back,omitempty"`
	// Fraction is the part of the calls that reach the stale replica, from 0 to
	// 1. Zero means all (stale).
	Fraction float64 `json:"fraction,omitempty"`
	// LagMS is the age of the host list in milliseconds (hosts_lag).
	LagMS int64 `json:"lag_ms,omitempty"`
	// Entries lists ids as sent in the header X-Balsam-Entry (cut).
	Entries []string `json:"entries,omitempty"`
	// CallsPerSecond is the cap (rate).
	CallsPerSecond int64 `json:"calls_per_second,omitempty"`
}

// rule is a fault in force.
type rule struct {
	Command
	// pinned holds the versions that a stale replica answers from.
	pinned map[string]uint64
	// expiry ends the fault, if it has a duration.
	expiry *time.Timer
}

var (
	faults = []Fault{FaultOutage, FaultStale, FaultHostsLag, FaultCut, FaultRate, FaultClear}
	modes  = []Mode{ModeUnavailable, ModeReset, ModeHang, ModeRefuse}
)

// maxDurationMS bounds the duration of a fault in milliseconds.
const maxDurationMS = 600_000

func (c *Command) check() error {
	switch {
	case !slices.Contains(faults, c.Fault):
		return invalid("fault", c.Fault, fmt.Sprintf("one of %q", faults))
	case c.DurationMS < 0 || c.DurationMS > maxDurationMS:
		return invalid("duration_ms", c.DurationMS, fmt.Sprintf("a number from 0 to %d", maxDurationMS))
	case c.Mode != "" && !slices.Contains(modes, c.Mode):
		return invalid("mode", c.Mode, fmt.Sprintf("one of %q", modes))
	case c.Fraction < 0 || c.Fraction > 1:
		return invalid("fraction", c.Fraction, "a number from 0 to 1")
	case c.LagMS < 0 || c.LagMS > maxLagMS:
		return invalid("lag_ms", c.LagMS, fmt.Sprintf("a number from 0 to %d", maxLagMS))
	case c.Fault == FaultCut && !c.Off && len(c.Entries) == 0:
		return invalid("entries", "[]", "at least one entry id")
	case c.Fault == FaultRate && !c.Off && (c.CallsPerSecond < 1 || c.CallsPerSecond > maxCallsPerSecond):
		return invalid("calls_per_second", c.CallsPerSecond, fmt.Sprintf("a number from 1 to %d", maxCallsPerSecond))
	}
	return nil
}

func invalid(field string, value any, allowed string) error {
	return status.New(status.InvalidArgument, "", "field %q: value %v: %s", field, value, allowed)
}

// Apply carries out a command. The error is a *status.Error with the code
// invalid_argument.
func (p *Platform) Apply(cmd Command) error {
	if err := cmd.check(); err != nil {
		return err
	}
	p.apply(cmd, nil)
	return nil
}

// apply carries out a checked command. An outage does not reset the connection
// keep, which may be nil.
func (p *Platform) apply(cmd Command, keep *tracked.Conn) {
	p.log.Info().Str("fault", string(cmd.Fault)).Bool("off", cmd.Off).Msg("command")
	switch {
	case cmd.Fault == FaultClear:
		for _, fault := range faults {
			p.remove(fault, nil)
		}
	case cmd.Off:
		p.remove(cmd.Fault, nil)
	default:
		p.remove(cmd.Fault, nil)
		p.add(cmd, keep)
	}
}

func (p *Platform) add(cmd Command, keep *tracked.Conn) {
	if cmd.Fault == FaultOutage && cmd.Mode == "" {
		cmd.Mode = ModeUnavailable
	}
	r := &rule{Command: cmd}
	p.mu.Lock()
	if cmd.Fault == FaultStale {
		r.pinned = p.pinnedVersions(cmd)
	}
	if cmd.Fault == FaultRate {
		p.setRate(cmd.CallsPerSecond)
	}
	p.rules[cmd.Fault] = r
	if cmd.DurationMS > 0 && !p.closed {
		r.expiry = time.AfterFunc(time.Duration(cmd.DurationMS)*time.Millisecond, func() { p.remove(cmd.Fault, r) })
	}
	p.wake()
	p.mu.Unlock()
	if cmd.Fault == FaultOutage && cmd.Mode == ModeRefuse {
		p.stopListening(keep)
	}
}

// remove ends a fault and undoes what it changed. With only set, it does so
// only when that rule is still in force.
func (p *Platform) remove(fault Fault, only *rule) {
	p.mu.Lock()
	r := p.rules[fault]
	if r == nil || only != nil && r != only {
		p.mu.Unlock()
		return
	}
	delete(p.rules, fault)
	if r.expiry != nil {
		r.expiry.Stop()
	}
	if fault == FaultRate {
		p.setRate(p.callsPerSecond)
	}
	p.wake()
	p.mu.Unlock()
	if fault == FaultOutage && r.Mode == ModeRefuse {
		p.relisten()
	}
}

// pinnedVersions returns the versions of a stale replica. It needs p.mu.
func (p *Platform) pinnedVersions(cmd Command) map[string]uint64 {
	pinned := make(map[string]uint64)
	for key, versions := range p.documents {
		oldest, newest := versions[0].Version, versions[len(versions)-1].Version
		pinned[key] = max(oldest, newest-min(cmd.Back, newest))
	}
	return pinned
}
