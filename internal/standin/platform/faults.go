package platform

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Fault is the name of a fault that a Command injects.
type Fault string

// Faults.
const (
	// FaultOutage fails every call as Mode says.
	FaultOutage Fault = "outage"
	// FaultStale answers calls with older versions of the documents, as a stale replica does.
	FaultStale Fault = "stale"
	// FaultHostsLag sets the age of the host list to LagMS.
	FaultHostsLag Fault = "hosts_lag"
	// FaultCut resets the connections of calls by the given Entries.
	FaultCut Fault = "cut"
	// FaultRate sets the limit on calls per second.
	FaultRate Fault = "rate"
	// FaultRestore restores the documents from a backup that lacks the newest Back versions. The
	// version counters continue from the backup, so versions are used again. It cannot be removed.
	FaultRestore Fault = "restore"
	// FaultClear removes every fault, which restores the lag and the rate limit of the settings.
	FaultClear Fault = "clear"
)

// Mode is the way in which an outage fails calls.
type Mode string

// Modes of an outage.
const (
	// ModeUnavailable answers with HTTP status 503.
	ModeUnavailable Mode = "unavailable"
	// ModeReset resets the connection of each call.
	ModeReset Mode = "reset"
	// ModeHang keeps the connection open and never answers.
	ModeHang Mode = "hang"
	// ModeRefuse closes all connections and refuses new ones.
	ModeRefuse Mode = "refuse"
)

// Command is the body of POST /control/faults. Which fields apply depends on the fault.
type Command struct {
	Fault Fault `json:"fault"`
	// Off removes the fault.
	Off bool `json:"off,omitempty"`
	// DurationMS is the time after which the fault ends, in milliseconds. Zero means that it lasts
	// until it is removed.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// Mode is the way in which an outage fails calls (outage). The default is "unavailable".
	Mode Mode `json:"mode,omitempty"`
	// Key restricts the fault to one document (stale, restore). Empty means all documents.
	Key string `json:"key,omitempty"`
	// Back is the number of versions by which the stale replica or the backup is behind the newest
	// version at the time of the command (stale, restore).
	Back uint64 `json:"back,omitempty"`
	// Fraction is the fraction of the calls that the stale replica answers, from 0 to 1 (stale). Zero
	// means all.
	Fraction float64 `json:"fraction,omitempty"`
	// LagMS is the age of the host list in milliseconds (hosts_lag).
	LagMS int64 `json:"lag_ms,omitempty"`
	// Entries lists the ids of the affected entries, as sent in the header X-Balsam-Entry (cut).
	Entries []string `json:"entries,omitempty"`
	// CallsPerSecond is the limit on the calls of all clients (rate).
	CallsPerSecond int64 `json:"calls_per_second,omitempty"`
}

// activeFault is an injected fault that has not ended.
type activeFault struct {
	Command
	// pinned holds the newest version that the stale replica has of each document, by key.
	pinned map[string]uint64
	// expiry removes the fault. It is nil if the fault has no duration.
	expiry *time.Timer
}

var (
	allFaults = []Fault{FaultOutage, FaultStale, FaultHostsLag, FaultCut, FaultRate, FaultRestore, FaultClear}
	allModes  = []Mode{ModeUnavailable, ModeReset, ModeHang, ModeRefuse}
)

// maxDurationMS is the longest duration of a fault in milliseconds.
const maxDurationMS = 600_000

func (c *Command) check() error {
	switch {
	case !slices.Contains(allFaults, c.Fault):
		return invalidField("fault", c.Fault, fmt.Sprintf("one of %q", allFaults))
	case c.DurationMS < 0 || c.DurationMS > maxDurationMS:
		return invalidField("duration_ms", c.DurationMS, fmt.Sprintf("a number from 0 to %d", maxDurationMS))
	case c.Mode != "" && !slices.Contains(allModes, c.Mode):
		return invalidField("mode", c.Mode, fmt.Sprintf("one of %q", allModes))
	case c.Fraction < 0 || c.Fraction > 1:
		return invalidField("fraction", c.Fraction, "a number from 0 to 1")
	case c.LagMS < 0 || c.LagMS > maxLagMS:
		return invalidField("lag_ms", c.LagMS, fmt.Sprintf("a number from 0 to %d", maxLagMS))
	case c.Fault == FaultCut && !c.Off && len(c.Entries) == 0:
		return invalidField("entries", "[]", "at least one entry id")
	case c.Fault == FaultRate && !c.Off && (c.CallsPerSecond < 1 || c.CallsPerSecond > maxCallsPerSecond):
		return invalidField("calls_per_second", c.CallsPerSecond, fmt.Sprintf("a number from 1 to %d", maxCallsPerSecond))
	}
	return nil
}

func invalidField(field string, value any, allowed string) error {
	return status.New(status.InvalidArgument, "", "field %q: value %v: %s", field, value, allowed)
}

// Apply executes a command. The error is a *status.Error with the code invalid_argument.
func (p *Platform) Apply(cmd Command) error {
	if err := cmd.check(); err != nil {
		return err
	}
	p.apply(cmd, nil)
	return nil
}

// apply executes a valid command. An outage does not reset the connection keep, which may be nil.
func (p *Platform) apply(cmd Command, keep *tracked.Conn) {
	p.log.Info().Str("fault", string(cmd.Fault)).Bool("off", cmd.Off).Msg("command")
	switch {
	case cmd.Fault == FaultClear:
		for _, fault := range allFaults {
			p.removeFault(fault, nil)
		}
	case cmd.Fault == FaultRestore:
		p.restore(cmd)
	case cmd.Off:
		p.removeFault(cmd.Fault, nil)
	default:
		p.removeFault(cmd.Fault, nil)
		p.addFault(cmd, keep)
	}
}

func (p *Platform) addFault(cmd Command, keep *tracked.Conn) {
	if cmd.Fault == FaultOutage && cmd.Mode == "" {
		cmd.Mode = ModeUnavailable
	}
	active := &activeFault{Command: cmd}
	p.mu.Lock()
	if cmd.Fault == FaultStale {
		active.pinned = p.pinnedVersions(cmd)
	}
	if cmd.Fault == FaultRate {
		p.setRateLimit(cmd.CallsPerSecond)
	}
	p.activeFaults[cmd.Fault] = active
	if cmd.DurationMS > 0 && !p.closed {
		active.expiry = time.AfterFunc(time.Duration(cmd.DurationMS)*time.Millisecond, func() { p.removeFault(cmd.Fault, active) })
	}
	p.notifyWatches()
	p.mu.Unlock()
	if cmd.Fault == FaultOutage && cmd.Mode == ModeRefuse {
		p.stopListening(keep)
	}
}

// restore drops the newest versions of documents. The oldest version of each stays.
func (p *Platform) restore(cmd Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, versions := range p.documents {
		if cmd.Key == "" || cmd.Key == key {
			kept := len(versions) - int(min(cmd.Back, uint64(len(versions)-1)))
			p.documents[key] = slices.Clone(versions[:kept])
		}
	}
	p.notifyWatches()
}

// removeFault ends a fault and undoes its changes. If expected is not nil, it does so only while
// expected is the active fault.
func (p *Platform) removeFault(fault Fault, expected *activeFault) {
	p.mu.Lock()
	active := p.activeFaults[fault]
	if active == nil || expected != nil && active != expected {
		p.mu.Unlock()
		return
	}
	delete(p.activeFaults, fault)
	if active.expiry != nil {
		active.expiry.Stop()
	}
	if fault == FaultRate {
		p.setRateLimit(p.callsPerSecond)
	}
	p.notifyWatches()
	p.mu.Unlock()
	if fault == FaultOutage && active.Mode == ModeRefuse {
		p.resumeListening()
	}
}

// pinnedVersions returns the versions of the documents that a stale replica has. p.mu must be held.
func (p *Platform) pinnedVersions(cmd Command) map[string]uint64 {
	pinned := make(map[string]uint64)
	for key, versions := range p.documents {
		oldest, newest := versions[0].Version, versions[len(versions)-1].Version
		pinned[key] = max(oldest, newest-min(cmd.Back, newest))
	}
	return pinned
}
