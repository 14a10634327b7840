// Package index defines the document that tells which snapshots of each
// service's index are on offer and which targets hold their shards.
package index

import "github.com/balsamstall/balsamstall/protocol/ids"

// Document lists the snapshots of all services.
type Document struct {
	// Revision rises with every change of the document.
	Revision uint64    `json:"revision"`
	Services []Service `json:"services"`
}

// Service lists the snapshots of one service.
type Service struct {
	Name      string     `json:"name"`
	Snapshots []Snapshot `json:"snapshots"`
}

// Snapshot is one state of a service's index.
type Snapshot struct {
	ids.Snapshot
	// Shards holds, for each shard by number, the ids of the targets that
	// serve it.
	Shards [][]string `json:"shards"`
}

// Find returns the service with the given name, or nil.
func (d *Document) Find(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}
