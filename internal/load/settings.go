package load

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/balsamstall/balsamstall/internal/settings"
)

// Settings are the entries, callers and workload of a run. The keys are those of test callers; a
// file with real keys must not be readable by others.
type Settings struct {
	Entries []Entry  `json:"entries"`
	Callers []Caller `json:"callers"`
	// Targets lists the stand-in targets, for outcome checks and faults. It may be empty.
	Targets []Target `json:"targets,omitempty"`
	// Workload lists the services that a run queries. The demo does not need it.
	Workload []Workload `json:"workload,omitempty"`
	// CapacityPerSecond is the number of requests per second that the targets can serve, for the
	// scenarios of the bench.
	CapacityPerSecond float64 `json:"capacity_per_second,omitempty"`
}

// Entry is an entry that serves callers.
type Entry struct {
	ID string `json:"id"`
	// Address is the caller address as IP:port.
	Address string `json:"address"`
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
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Control is the control address of the target's process as IP:port.
	Control string `json:"control"`
}

// Workload is the traffic of one service.
type Workload struct {
	Service string `json:"service"`
	// Callers lists the names of the callers that query the service, each equally often.
	Callers []string `json:"callers"`
	// Weight is the service's share of the traffic relative to the others.
	Weight float64 `json:"weight"`
	// DeadlineMS is the deadline of each request in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// ContractMS is the contracted latency in milliseconds. Answers within it that meet the
	// coverage rule count as goodput.
	ContractMS int64 `json:"contract_ms"`
	// MinRatio is the coverage rule of the contract: the minimum coverage ratio, from 0 to 1.
	MinRatio float64 `json:"min_ratio"`
	// AtMostOnce marks a service that needs permits.
	AtMostOnce bool `json:"at_most_once,omitempty"`
	// PopularShare is the fraction of the requests, from 0 to 1, that send one of 50 popular
	// queries. All other queries are distinct, and so are all queries of an at_most_once service.
	PopularShare float64 `json:"popular_share,omitempty"`
}

// Limits of the settings.
const (
	maxEntries    = 1_000
	maxCallers    = 10_000
	maxDeadlineMS = 600_000
	maxCapacity   = 1_000_000
)

// LoadSettings reads a settings file. Every error is a *settings.Error.
func LoadSettings(path string) (*Settings, error) {
	var s Settings
	if err := settings.Load(path, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check implements settings.Checker.
func (s *Settings) Check() []settings.Fault {
	var c settings.Checks
	c.Range("entries", int64(len(s.Entries)), 1, maxEntries)
	for i, e := range s.Entries {
		c.NonEmpty(fmt.Sprintf("entries[%d].id", i), e.ID)
		c.Address(fmt.Sprintf("entries[%d].address", i), e.Address)
	}
	c.Range("callers", int64(len(s.Callers)), 1, maxCallers)
	for i, caller := range s.Callers {
		c.NonEmpty(fmt.Sprintf("callers[%d].name", i), caller.Name)
		c.NonEmpty(fmt.Sprintf("callers[%d].workspace", i), caller.Workspace)
		c.NonEmpty(fmt.Sprintf("callers[%d].key", i), caller.Key)
	}
	for i, t := range s.Targets {
		c.NonEmpty(fmt.Sprintf("targets[%d].id", i), t.ID)
		c.NonEmpty(fmt.Sprintf("targets[%d].zone", i), t.Zone)
		c.Address(fmt.Sprintf("targets[%d].control", i), t.Control)
	}
	for i, w := range s.Workload {
		s.checkWorkload(&c, fmt.Sprintf("workload[%d].", i), w)
	}
	c.Range("capacity_per_second", int64(s.CapacityPerSecond), 0, maxCapacity)
	return c.Faults
}

func (s *Settings) checkWorkload(c *settings.Checks, path string, w Workload) {
	c.NonEmpty(path+"service", w.Service)
	c.Range(path+"callers", int64(len(w.Callers)), 1, maxCallers)
	for i, name := range w.Callers {
		if !slices.ContainsFunc(s.Callers, func(caller Caller) bool { return caller.Name == name }) {
			c.Add(fmt.Sprintf("%scallers[%d]", path, i), strconv.Quote(name), "the name of a caller of this file")
		}
	}
	if !(w.Weight > 0) {
		c.Add(path+"weight", strconv.FormatFloat(w.Weight, 'g', -1, 64), "a number above 0")
	}
	c.Range(path+"deadline_ms", w.DeadlineMS, 1, maxDeadlineMS)
	c.Range(path+"contract_ms", w.ContractMS, 1, maxDeadlineMS)
	checkRatio(c, path+"min_ratio", w.MinRatio)
	checkRatio(c, path+"popular_share", w.PopularShare)
}

func checkRatio(c *settings.Checks, field string, value float64) {
	if !(value >= 0 && value <= 1) {
		c.Add(field, strconv.FormatFloat(value, 'g', -1, 64), "a number from 0 to 1")
	}
}

// controlAddresses returns the distinct control addresses of the targets.
func (s *Settings) controlAddresses() []string {
	var out []string
	for _, t := range s.Targets {
		if !slices.Contains(out, t.Control) {
			out = append(out, t.Control)
		}
	}
	return out
}
