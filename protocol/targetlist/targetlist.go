// Package targetlist defines the list of targets of relayed services, with the
// groups that they belong to. It changes with every start and stop of a target,
// far more often than the sheet.
package targetlist

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/balsamstall/balsamstall/protocol/document"
)

// Document is the published list.
type Document struct {
	// Revision rises with every change of the list.
	Revision uint64   `json:"revision"`
	Targets  []Target `json:"targets"`
}

// Target is one incarnation of a target.
type Target struct {
	// ID names the target. A restarted target may have the ID of its predecessor.
	ID string `json:"id"`
	// Started is the Unix time of its start in milliseconds, zero when unknown. ID and
	// Started together name the incarnation.
	Started int64  `json:"started,omitempty"`
	Group   string `json:"group"`
	// Address is IP:port. Another target may have had it before.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone  string `json:"zone"`
	Slots int    `json:"slots"`
	// Leaving is set for a target that must get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Cold is set while the target is slow after its start.
	Cold bool `json:"cold,omitempty"`
}

// Vanished counts the targets that are not leaving, and those of them that a later
// list no longer has.
func (d *Document) Vanished(later *Document) (gone, total int) {
	have := make(map[string]bool, len(later.Targets))
	for i := range later.Targets {
		have[later.Targets[i].ID] = true
	}
	for i := range d.Targets {
		if t := &d.Targets[i]; !t.Leaving {
			total++
			if !have[t.ID] {
				gone++
			}
		}
	}
	return gone, total
}

// maxSlots bounds the slots of one target.
const maxSlots = 10_000

// Parse decodes and checks a list. Every error is a *document.Error.
func Parse(data []byte) (*Document, error) {
	var d Document
	if err := document.Decode("targets", data, &d); err != nil {
		return nil, err
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Err returns the faults of the list, or nil.
func (d *Document) Err() error {
	if faults := d.Check(); len(faults) > 0 {
		return &document.Error{Kind: "targets", Faults: faults}
	}
	return nil
}

// Check returns every fault of the list.
func (d *Document) Check() []document.Fault {
	var c document.Checks
	if d.Revision == 0 {
		c.Add("revision", "0", "a number from 1")
	}
	seen := make(map[string]bool, len(d.Targets))
	for i := range d.Targets {
		d.Targets[i].Check(&c, fmt.Sprintf("targets[%d]", i), seen)
	}
	return c.Faults
}

// Check adds the faults of one target. seen holds the ids before it and may be nil.
func (t *Target) Check(c *document.Checks, path string, seen map[string]bool) {
	c.Name(path+".id", t.ID, seen)
	c.Name(path+".group", t.Group, nil)
	c.Name(path+".zone", t.Zone, nil)
	if address, err := netip.ParseAddrPort(t.Address); err != nil || address.Port() == 0 {
		c.Add(path+".address", strconv.Quote(t.Address), "an IP address and port, such as 127.0.0.1:7101")
	}
	c.Range(path+".slots", int64(t.Slots), 1, maxSlots)
}
