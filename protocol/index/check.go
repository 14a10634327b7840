package index

import (
	"crypto/sha256"
	"fmt"
	"strconv"

	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/ids"
	"github.com/balsamstall/balsamstall/protocol/sheet"
)

// Fault describes one invalid value in an index document.
type Fault = document.Fault

// Error reports all faults of an index document.
type Error = document.Error

// Parse decodes and validates an index document of at most document.MaxSize bytes. It rejects
// unknown fields. Every error is an *Error that lists the faults. CheckAgainst validates the
// references to a sheet.
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

// Digest returns the SHA-256 digest of the compact form of an index document.
func Digest(data []byte) [sha256.Size]byte { return document.Digest(data) }

// Check returns the faults that can be detected without a sheet, in field order. A shard without
// targets is valid: responses report it as not searched.
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
		seenIDs := make(map[string]bool, len(targets))
		for l, id := range targets {
			c.Name(fmt.Sprintf("%s.shards[%d][%d]", path, k, l), id, seenIDs)
		}
	}
}

// CheckAgainst returns the inconsistencies with a sheet: unknown services, unknown targets and
// snapshots with more shards than the service's max_fanout. Entries accept a document with these
// faults, because the two documents change independently.
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
			shardsPath := fmt.Sprintf("%s.snapshots[%d].shards", path, j)
			if service != nil && len(snapshot.Shards) > service.Limits.MaxFanout {
				c.Add(shardsPath, fmt.Sprintf("%d shards", len(snapshot.Shards)),
					fmt.Sprintf("at most the service's max_fanout (%d)", service.Limits.MaxFanout))
			}
			for k, targetIDs := range snapshot.Shards {
				for l, id := range targetIDs {
					c.InSet(fmt.Sprintf("%s[%d][%d]", shardsPath, k, l), id, targets, "the id of a target of the sheet")
				}
			}
		}
	}
	return c.Faults
}
