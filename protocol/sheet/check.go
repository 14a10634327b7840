package sheet

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/balsamstall/balsamstall/protocol/document"
)

// Fault describes one invalid value in a sheet.
type Fault = document.Fault

// Error reports all faults of a sheet.
type Error = document.Error

// MaxDeadlineMS is the maximum deadline that a sheet may set, in milliseconds.
const MaxDeadlineMS = 600_000

// MaxConnections is the maximum number of connections to a target that a sheet may allow.
const MaxConnections = 100_000

// Limits of other fields of a sheet.
const (
	maxSlots         = 10_000
	minPriority      = 1
	maxPriority      = 9
	maxWindowS       = 86_400
	maxConcurrency   = 100_000
	maxQueue         = 100_000
	maxFanout        = 10_000
	keyDigestAllowed = "a SHA-256 digest as 64 hexadecimal digits"
)

// Parse decodes and validates a sheet of at most document.MaxSize bytes. It rejects unknown fields.
// Every error is an *Error that lists the faults.
func Parse(data []byte) (*Sheet, error) { return parse(data, document.Decode) }

// ParseCompatible is like Parse, but ignores unknown fields. It is for sheets that entries translate from the
// platform's data: an entry of a later build may add fields.
func ParseCompatible(data []byte) (*Sheet, error) { return parse(data, document.DecodeCompatible) }

func parse(data []byte, decode func(kind string, data []byte, dst any) error) (*Sheet, error) {
	var s Sheet
	if err := decode("sheet", data, &s); err != nil {
		return nil, err
	}
	if faults := s.Check(); len(faults) > 0 {
		return nil, &Error{Kind: "sheet", Faults: faults}
	}
	return &s, nil
}

// Digest returns the SHA-256 digest of the compact form of a sheet.
func Digest(data []byte) [sha256.Size]byte { return document.Digest(data) }

// Check returns all faults of the sheet, in field order.
func (s *Sheet) Check() []Fault {
	var c document.Checks
	if s.Revision == 0 {
		c.Add("revision", "0", "a number from 1")
	}
	if _, err := time.Parse(time.DateOnly, s.Date); err != nil {
		c.Add("date", strconv.Quote(s.Date), "a date as YYYY-MM-DD")
	}
	services := make(map[string]bool, len(s.Services))
	for i := range s.Services {
		services[s.Services[i].Name] = true
	}
	workspaces := s.checkWorkspaces(&c)
	s.checkCallers(&c, workspaces, services)
	s.checkTargets(&c)
	groups := s.checkGroups(&c)
	seen := make(map[string]bool, len(s.Services))
	for i := range s.Services {
		s.Services[i].check(&c, fmt.Sprintf("services[%d]", i), seen, groups)
	}
	s.checkRoutes(&c)
	return c.Faults
}

func (s *Sheet) checkWorkspaces(c *document.Checks) map[string]bool {
	seen := make(map[string]bool, len(s.Workspaces))
	for i, w := range s.Workspaces {
		c.Name(fmt.Sprintf("workspaces[%d].name", i), w.Name, seen)
	}
	return seen
}

func (s *Sheet) checkCallers(c *document.Checks, workspaces, services map[string]bool) {
	names := make(map[string]bool, len(s.Callers))
	keys := make(map[string]bool, len(s.Callers))
	for i, caller := range s.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		c.Name(path+".name", caller.Name, names)
		c.InSet(path+".workspace", caller.Workspace, workspaces, "the name of a workspace of the sheet")
		if !document.IsDigest(caller.KeyDigest) {
			// The fault omits the value, which may be a key that was entered by mistake.
			c.Add(path+".key_digest", fmt.Sprintf("(%d characters)", len(caller.KeyDigest)), keyDigestAllowed)
		} else {
			digest := strings.ToLower(caller.KeyDigest)
			if keys[digest] {
				c.Add(path+".key_digest", strconv.Quote(caller.KeyDigest), "a digest that no other caller has")
			}
			keys[digest] = true
		}
		seenServices := make(map[string]bool, len(caller.Services))
		for j, name := range caller.Services {
			servicePath := fmt.Sprintf("%s.services[%d]", path, j)
			c.InSet(servicePath, name, services, "the name of a service of the sheet")
			if seenServices[name] {
				c.Add(servicePath, strconv.Quote(name), "a service that is listed once")
			}
			seenServices[name] = true
		}
	}
}

func (s *Sheet) checkTargets(c *document.Checks) {
	seen := make(map[string]bool, len(s.Targets))
	addresses := make(map[netip.AddrPort]bool, len(s.Targets))
	for i, t := range s.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		c.Name(path+".id", t.ID, seen)
		address, err := netip.ParseAddrPort(t.Address)
		switch {
		case err != nil || address.Port() == 0:
			c.Add(path+".address", strconv.Quote(t.Address), "an IP address and port, such as 127.0.0.1:7101")
		case addresses[address]:
			c.Add(path+".address", strconv.Quote(t.Address), "an address that no other target has")
		default:
			addresses[address] = true
		}
		c.Name(path+".zone", t.Zone, nil)
		c.Range(path+".slots", int64(t.Slots), 1, maxSlots)
		c.Range(path+".max_connections", int64(t.MaxConnections), 1, MaxConnections)
	}
}

func (s *Service) check(c *document.Checks, path string, seen, groups map[string]bool) {
	c.Name(path+".name", s.Name, seen)
	if s.Group != "" {
		c.Name(path+".group", s.Group, nil)
	}
	c.Range(path+".priority", int64(s.Priority), minPriority, maxPriority)
	c.Range(path+".latency.contract_ms", s.Latency.ContractMS, 1, MaxDeadlineMS)
	c.Range(path+".canary.max_wait_ms", s.Canary.MaxWaitMS, 0, MaxDeadlineMS)
	c.Range(path+".latency.max_deadline_ms", s.Latency.MaxDeadlineMS, 1, MaxDeadlineMS)
	if s.Latency.MaxDeadlineMS < s.Latency.ContractMS {
		c.Add(path+".latency.max_deadline_ms", strconv.FormatInt(s.Latency.MaxDeadlineMS, 10),
			fmt.Sprintf("at least contract_ms (%d)", s.Latency.ContractMS))
	}
	c.Ratio(path+".coverage.min_ratio", s.Coverage.MinRatio)
	s.checkRepeat(c, path)
	if s.Relay != nil {
		s.Relay.check(c, path+".relay", s.Repeat.Rule, groups)
	}
	c.Range(path+".limits.max_concurrency", int64(s.Limits.MaxConcurrency), 1, maxConcurrency)
	c.Range(path+".limits.max_queue", int64(s.Limits.MaxQueue), 0, maxQueue)
	c.Range(path+".limits.max_fanout", int64(s.Limits.MaxFanout), 1, maxFanout)
	c.Ratio(path+".hedge.budget_ratio", s.Hedge.BudgetRatio)
	if s.Repeat.Rule == AtMostOnce && s.Hedge.BudgetRatio != 0 {
		c.Add(path+".hedge.budget_ratio", strconv.FormatFloat(s.Hedge.BudgetRatio, 'g', -1, 64),
			"0, because requests of an at_most_once service are never hedged")
	}
}

func (s *Service) checkRepeat(c *document.Checks, path string) {
	switch s.Repeat.Rule {
	case Idempotent:
		if s.Repeat.WindowS != 0 {
			c.Add(path+".repeat.window_s", strconv.FormatInt(s.Repeat.WindowS, 10), "0 or absent for the rule idempotent")
		}
	case AtMostOnce:
		if s.Relay != nil && s.Repeat.WindowS == 0 {
			return // A relayed request is a single chain of attempts and needs no permit.
		}
		c.Range(path+".repeat.window_s", s.Repeat.WindowS, 1, maxWindowS)
	default:
		c.Add(path+".repeat.rule", strconv.Quote(string(s.Repeat.Rule)), fmt.Sprintf("one of %q", []RepeatRule{Idempotent, AtMostOnce}))
	}
}
