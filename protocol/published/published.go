// Package published defines the data that a platform publishes under a single revision counter: the
// sheet, the registrations of targets and the evacuated zones, as a state and as changes.
package published

import (
	"cmp"
	"encoding/json"

	"github.com/balsamstall/balsamstall/protocol/targetlist"
)

// Sheet is a published sheet.
type Sheet struct {
	// Revision is the platform's revision at the last change of the sheet.
	Revision uint64
	// Value is the encoded sheet. It is empty if the published value cannot be translated into a sheet.
	Value json.RawMessage
	// Fault describes what Value lacks of the published value, or is nil.
	Fault error
}

// Page is a part of a read of all registrations, or of all evacuated zones. It shows the keys (IDs or zones)
// above After, up to the first key of the next page, as of one revision.
type Page struct {
	// After is the key after which the page begins. It is empty for the first page.
	After    string
	Revision uint64
}

// State is the result of a read of the published data, or the data after some changes.
type State struct {
	// Era counts the restores of the platform's store from a backup. A restore resets the revision
	// counter, so revisions of different eras cannot be compared. It is zero if unknown.
	Era uint64
	// ResumeRevision is the revision after which to watch for changes.
	ResumeRevision uint64
	Sheet          Sheet
	// Targets maps the IDs of registrations to their targets.
	Targets map[string]targetlist.Target
	// Pages lists the pages from which Targets was read, in the order of their IDs. Their revisions
	// differ if the registrations changed during the read, or if the pages of a stale read differ in age.
	Pages []Page
	// Evacuated holds the zones whose targets must get no requests. EvacuatedPages lists the pages from which
	// it was read, like Pages.
	Evacuated      map[string]bool
	EvacuatedPages []Page
}

// Changes holds the changes after a revision.
type Changes struct {
	// Era is the era of the store that ResumeRevision belongs to; see State.
	Era uint64
	// ResumeRevision is the revision after which to watch for further changes.
	ResumeRevision uint64
	// Sheet is the latest sheet, or nil if it did not change.
	Sheet *Sheet
	// Targets holds the changed registrations in the order of the changes.
	Targets []TargetChange
	// Evacuations holds the changes of evacuations in their order.
	Evacuations []EvacuationChange
	// Changed is set if anything changed, including data that the other fields do not hold.
	Changed bool
}

// TargetChange is a change of one registration.
type TargetChange struct {
	// ID is the ID of the registration: that which the target states for itself.
	ID string
	// Revision is the platform's revision at the change.
	Revision uint64
	// Target is the registered target. It is nil if the registration was removed or does not
	// describe a usable target.
	Target *targetlist.Target
}

// EvacuationChange is the start, the repetition or the end of the evacuation of one zone.
type EvacuationChange struct {
	Zone string
	// Name is the name under which the platform publishes the zone if that is not Zone.
	Name string
	// Revision is the platform's revision at the change.
	Revision uint64
	// Evacuated is false if the evacuation has ended.
	Evacuated bool
}

// Key returns the key of the change in the order of the pages.
func (c *EvacuationChange) Key() string { return cmp.Or(c.Name, c.Zone) }
