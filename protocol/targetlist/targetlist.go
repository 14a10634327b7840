// Package targetlist defines the list of targets of relayed services, their groups and the evacuated zones. It
// changes whenever a target starts or stops, which is far more often than the sheet changes.
package targetlist

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/balsamstall/balsamstall/protocol/document"
)

// Document is the published list of targets.
type Document struct {
	// Era counts the restores of the platform's store from a backup, which reset its revisions.
	Era uint64 `json:"era,omitempty"`
	// Revision increases with every change to the list within an era.
	Revision uint64   `json:"revision"`
	Targets  []Target `json:"targets"`
	// Evacuated lists the zones whose targets must get no requests, sorted. Lists that earlier builds have read
	// from the platform lack it.
	Evacuated []string `json:"evacuated,omitempty"`
}

// IsEvacuated reports whether the targets of a zone must get no requests.
func (d *Document) IsEvacuated(zone string) bool { return slices.Contains(d.Evacuated, zone) }

// Accepts reports whether a target of the list may get new requests.
func (d *Document) Accepts(t *Target) bool { return !t.Leaving && !d.IsEvacuated(t.Zone) }

// Target is one incarnation of a target.
type Target struct {
	// ID identifies the target. A restarted target may reuse the ID of its predecessor.
	ID string `json:"id"`
	// Name is the ID that the target states for itself if that is not a valid ID, and empty otherwise. ID is
	// then derived from it.
	Name string `json:"name,omitempty"`
	// Started is the start time in milliseconds since the Unix epoch, or zero if unknown. ID and
	// Started together identify the incarnation.
	Started int64  `json:"started,omitempty"`
	Group   string `json:"group"`
	// Address is the target's IP:port. It may have belonged to another target before.
	Address string `json:"address"`
	// Zone is the target's availability zone.
	Zone  string `json:"zone"`
	Slots int    `json:"slots"`
	// Leaving is set if the target must not receive new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Cold is set while the target is warming up after its start and is slow.
	Cold bool `json:"cold,omitempty"`
}

// CountReturned returns the number of targets that are leaving in d and not leaving in later. A target does
// not stop leaving before it starts again. Both lists must be sorted by ID; others may be counted too low.
func (d *Document) CountReturned(later *Document) int {
	returned, next := 0, 0
	for i := range d.Targets {
		t := &d.Targets[i]
		for next < len(later.Targets) && later.Targets[next].ID < t.ID {
			next++
		}
		if next == len(later.Targets) {
			break
		}
		if l := &later.Targets[next]; t.Leaving && l.ID == t.ID && l.Started == t.Started && !l.Leaving {
			returned++
		}
	}
	return returned
}

// MaxSlots is the maximum number of slots of one target.
const MaxSlots = 10_000

// Parse decodes and validates a list. It ignores unknown fields, because only entries encode lists, and those
// of a later build may add fields. Every error is a *document.Error.
func Parse(data []byte) (*Document, error) {
	var d Document
	if err := document.DecodeCompatible("targets", data, &d); err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Validate returns the faults of the list as a *document.Error, or nil.
func (d *Document) Validate() error {
	if faults := d.Check(); len(faults) > 0 {
		return &document.Error{Kind: "targets", Faults: faults}
	}
	return nil
}

// Check returns all faults of the list.
func (d *Document) Check() []document.Fault {
	var c document.Checks
	if d.Revision == 0 {
		c.Add("revision", "0", "a number from 1")
	}
	seen := make(map[string]bool, len(d.Targets))
	for i := range d.Targets {
		d.Targets[i].Check(&c, fmt.Sprintf("targets[%d]", i), seen)
	}
	zones := make(map[string]bool, len(d.Evacuated))
	for i, zone := range d.Evacuated {
		c.Name(fmt.Sprintf("evacuated[%d]", i), zone, zones)
	}
	return c.Faults
}

// Check adds the faults of t to c. path is the path of t in the document. If seen is not nil, it
// holds the IDs of the preceding targets, and Check adds the ID of t.
func (t *Target) Check(c *document.Checks, path string, seen map[string]bool) {
	c.Name(path+".id", t.ID, seen)
	c.Name(path+".group", t.Group, nil)
	c.Name(path+".zone", t.Zone, nil)
	if address, err := netip.ParseAddrPort(t.Address); err != nil || address.Port() == 0 {
		c.Add(path+".address", strconv.Quote(t.Address), "an IP address and port, such as 127.0.0.1:7101")
	}
	c.Range(path+".slots", int64(t.Slots), 1, MaxSlots)
	if !validFieldValue(t.Name) {
		c.Add(path+".name", strconv.Quote(t.Name), "text without control characters, and without white space at its ends")
	}
}

// validFieldValue reports whether a header field conveys s unchanged.
func validFieldValue(s string) bool {
	return strings.Trim(s, " \t") == s && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == '\x7f' })
}
