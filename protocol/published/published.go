// Package published defines what a platform publishes when all of it shares one
// revision: the sheet and the registrations of targets, as a state and as changes.
package published

import (
	"encoding/json"

	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// Sheet is a published sheet.
type Sheet struct {
	// Revision is the platform's revision at the sheet's last change.
	Revision uint64
	// Value is the encoded sheet, empty when Err is set.
	Value json.RawMessage
	// Err says why what was published cannot be translated to a sheet.
	Err error
}

// State is what a platform publishes at one time.
type State struct {
	// At is the revision after which changes are to be asked for.
	At    uint64
	Sheet Sheet
	// Targets holds the registered targets by ID.
	Targets map[string]targetlist.Target
	// TargetsAt is the revision at which Targets was read or changed last.
	TargetsAt uint64
}

// Changes are what changed after a revision.
type Changes struct {
	// At is the revision after which the next changes are to be asked for.
	At uint64
	// Sheet is the newest sheet, nil when it has not changed.
	Sheet *Sheet
	// Targets are the changes of registrations in their order.
	Targets []TargetChange
	// Any is set when anything changed, also what is neither sheet nor target.
	Any bool
}

// TargetChange is one changed registration.
type TargetChange struct {
	ID string
	// Target is the registered target, nil when the registration was removed or names
	// no target that can be used.
	Target *targetlist.Target
}
