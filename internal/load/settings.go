package load

import (
	"fmt"

	"github.com/balsamstall/balsamstall/internal/settings"
)

// Settings names the entries and callers of a load run. The keys are those of
// test callers; a settings file with real keys must not be readable by others.
type Settings struct {
	Entries []Entry  `json:"entries"`
	Callers []Caller `json:"callers"`
	// Targets lists the stand-in targets, for outcome checks and faults. It may be empty.
	Targets []Target `json:"targets,omitempty"`
}

// Entry is an entry that serves callers.
type Entry struct {
	ID string `json:"id"`
	// Address is the caller address as IP:port.
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
}

// Caller is a client of the entries.
type Caller struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	// Key is the bearer key.
	Key string `json:"key"`
}

// Target is a stand-in target that accepts control commands.
type Target struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// LoadSettings reads a settings file. Every error is a *settings.Error.
func LoadSettings(path string) (*Settings, error) {
	var s Settings
	if err := settings.Load(path, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check implements settings.Checker.
func (s *Settings) Check() []settings.Problem {
	var c settings.Checks
	c.Range("entries", int64(len(s.Entries)), 1, maxEntries)
	for i, e := range s.Entries {
		c.Name(fmt.Sprintf("entries[%d].id", i), e.ID)
		c.Address(fmt.Sprintf("entries[%d].address", i), e.Address)
	}
	c.Range("callers", int64(len(s.Callers)), 1, maxCallers)
	for i, caller := range s.Callers {
		c.Name(fmt.Sprintf("callers[%d].name", i), caller.Name)
		c.Name(fmt.Sprintf("callers[%d].workspace", i), caller.Workspace)
		c.Name(fmt.Sprintf("callers[%d].key", i), caller.Key)
	}
	for i, t := range s.Targets {
		c.Name(fmt.Sprintf("targets[%d].id", i), t.ID)
		c.Address(fmt.Sprintf("targets[%d].address", i), t.Address)
	}
	return c.Problems
}

// Bounds of the settings.
const (
	maxEntries = 1_000
	maxCallers = 10_000
)
