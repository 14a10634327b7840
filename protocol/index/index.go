// Package index defines the document that lists the available snapshots of each service's index and
// the targets that hold their shards.
package index

import "github.com/balsamstall/balsamstall/protocol/ids"

// Document lists the snapshots of all services.
type Document struct {
	// Revision increases with every change to the document.
	Revision uint64    `json:"revision"`
	Services []Service `json:"services"`
}

// Service lists the snapshots of one service.
type Service struct {
	Name      string     `json:"name"`
	Snapshots []Snapshot `json:"snapshots"`
}

// Snapshot is one version of a service's index.
type Snapshot struct {
	ids.Snapshot
	// Shards maps each shard number to the IDs of the targets that serve the shard.
	Shards [][]string `json:"shards"`
}

// FindService returns the service with the given name, or nil.
func (d *Document) FindService(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}
