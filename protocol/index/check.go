package index

import (
	"crypto/sha256"
	"fmt"
	"strconv"

	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/sheet"
)

// Fault is one fault of an index document.
type Fault = document.Fault

// Error lists every fault of an index document.
type Error = document.Error

// Parse decodes and checks an index document of at most document.MaxSize
// bytes. It refuses unknown fields. Every error is an *Error that lists the
// faults. Names are checked against a sheet by CheckAgainst.
func Parse(data []byte) (*Document, error) {
	var d Document
	if err := document.Decode("index", data, &d); err != nil {
		return nil, err
	}
	if faults := d.Check(); len(faults) > 0 {
		return nil, &Error{Kind: "index", Faults: faults}
	}
	return &d, nil
}

// Digest returns the SHA-256 digest of an index document in compact form.
func Digest(data []byte) [sha256.Size]byte { return document.Digest(data) }

// Check returns every fault that shows without a sheet, in the order of the
// fields. A shard may have no target; its searches are reported as not
// searched.
func (d *Document) Check() []Fault {
	var c document.Checks
	if d.Revision == 0 {
		c.Add("revision", "0", "a number from 1")
	}
	names := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		service := &d.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		c.Name(path+".name", service.Name, names)
		if len(service.Snapshots) == 0 {
			c.Add(path+".snapshots", "none", "at least one snapshot")
		}
		seen := make(map[ids.Snapshot]bool, len(service.Snapshots))
		for j := range service.Snapshots {
			service.Snapshots[j].check(&c, fmt.Sprintf("%s.snapshots[%d]", path, j), seen)
		}
	}
	return c.Faults
}

func (s *Snapshot) check(c *document.Checks, path string, seen map[ids.Snapshot]bool) {
	if s.IndexVersion == 0 {
		c.Add(path+".index_version", "0", "a number from 1")
	}
	if s.ShardMapEpoch == 0 {
		c.Add(path+".shard_map_epoch", "0", "a number from 1")
	}
	if seen[s.Snapshot] {
		c.Add(path, fmt.Sprintf("index_version %d with shard_map_epoch %d", s.IndexVersion, s.ShardMapEpoch),
			"a pair that the service lists once")
	}
	seen[s.Snapshot] = true
	if len(s.Shards) == 0 {
		c.Add(path+".shards", "none", "at least one shard")
	}
	for k, targets := range s.Shards {
		own := make(map[string]bool, len(targets))
		for l, id := range targets {
			c.Name(fmt.Sprintf("%s.shards[%d][%d]", path, k, l), id, own)
		}
	}
}

// CheckAgainst returns every fault that shows against a sheet: services and
// targets that the sheet does not have, and snapshots with more shards than
// the service's max_fanout. Entries do not refuse a document for these: the
// two documents change independently.
func (d *Document) CheckAgainst(s *sheet.Sheet) []Fault {
	var c document.Checks
	targets := make(map[string]bool, len(s.Targets))
	for i := range s.Targets {
		targets[s.Targets[i].ID] = true
	}
	for i := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		service := s.FindService(d.Services[i].Name)
		if service == nil {
			c.Add(path+".name", strconv.Quote(d.Services[i].Name), "the name of a service of the sheet")
		}
		for j, snapshot := range d.Services[i].Snapshots {
			at := fmt.Sprintf("%s.snapshots[%d].shards", path, j)
			if service != nil && len(snapshot.Shards) > service.Limits.MaxFanout {
				c.Add(at, fmt.Sprintf("%d shards", len(snapshot.Shards)),
					fmt.Sprintf("at most the service's max_fanout (%d)", service.Limits.MaxFanout))
			}
			for k, holders := range snapshot.Shards {
				for l, id := range holders {
					c.Known(fmt.Sprintf("%s[%d][%d]", at, k, l), id, targets, "the id of a target of the sheet")
				}
			}
		}
	}
	return c.Faults
}
