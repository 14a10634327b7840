package ctl

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/balsamstall/balsamstall/protocol/sheet"
)

// Change is one difference between two sheets.
type Change struct {
	// Subject is what changes, such as `service "vitrina-1"`.
	Subject string `json:"subject"`
	// Change describes the difference, such as `priority 2 -> 3`.
	Change string `json:"change"`
	// Effect describes the consequence while the new sheet is in force. It may be empty.
	Effect string `json:"effect,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	text := c.Subject + ": " + c.Change
	if c.Effect != "" {
		text += " (" + c.Effect + ")"
	}
	return text
}

// DiffSheets returns the changes that take effect when sheet b replaces sheet a.
func DiffSheets(a, b *sheet.Sheet) []Change {
	var d differ
	d.revision(a, b)
	if a.Date != b.Date {
		d.add("sheet", fmt.Sprintf("date %s -> %s", a.Date, b.Date), "")
	}
	visitPairs(a.Workspaces, b.Workspaces, func(w sheet.Workspace) string { return w.Name }, func(name string, before, after *sheet.Workspace) {
		d.presence("workspace", name, before != nil, after != nil, "", "its callers must be removed or moved to another workspace")
	})
	visitPairs(a.Callers, b.Callers, func(c sheet.Caller) string { return c.Name }, d.caller)
	visitPairs(a.Targets, b.Targets, func(t sheet.Target) string { return t.ID }, d.target)
	visitPairs(a.Services, b.Services, func(s sheet.Service) string { return s.Name }, d.service)
	return d.changes
}

// differ collects the changes between two sheets.
type differ struct {
	changes []Change
}

func (d *differ) add(subject, change, effect string) {
	d.changes = append(d.changes, Change{Subject: subject, Change: change, Effect: effect})
}

// presence records an added or removed item and reports whether both sheets contain it.
func (d *differ) presence(kind, name string, before, after bool, addedEffect, removedEffect string) bool {
	subject := fmt.Sprintf("%s %q", kind, name)
	switch {
	case !before:
		d.add(subject, "added", addedEffect)
	case !after:
		d.add(subject, "removed", removedEffect)
	}
	return before && after
}

func (d *differ) revision(a, b *sheet.Sheet) {
	change := fmt.Sprintf("revision %d -> %d", a.Revision, b.Revision)
	switch {
	case b.Revision > a.Revision:
		d.add("sheet", change, "")
	case b.Revision < a.Revision:
		d.add("sheet", change, "entries refuse it: the revision is lower than the one in force")
	case !reflect.DeepEqual(a, b):
		d.add("sheet", change, "entries refuse it: the revision is the same and the contents differ")
	}
}

func (d *differ) caller(name string, a, b *sheet.Caller) {
	if !d.presence("caller", name, a != nil, b != nil, "", "its key is refused") {
		return
	}
	subject := fmt.Sprintf("caller %q", name)
	if a.Workspace != b.Workspace {
		d.add(subject, fmt.Sprintf("workspace %q -> %q", a.Workspace, b.Workspace), "it sees only the private documents of the new workspace")
	}
	if !strings.EqualFold(a.KeyDigest, b.KeyDigest) {
		d.add(subject, "new key", "the old key is refused")
	}
	if granted := without(b.Services, a.Services); len(granted) > 0 {
		d.add(subject, "may query "+strings.Join(granted, ", "), "")
	}
	if revoked := without(a.Services, b.Services); len(revoked) > 0 {
		d.add(subject, "may no longer query "+strings.Join(revoked, ", "), "such requests are refused with permission_denied")
	}
}

func (d *differ) target(id string, a, b *sheet.Target) {
	if !d.presence("target", id, a != nil, b != nil, "it starts cold", "it gets no new attempts") {
		return
	}
	subject := fmt.Sprintf("target %q", id)
	d.stringField(subject, "address", a.Address, b.Address, "attempts go to the new address")
	d.stringField(subject, "zone", a.Zone, b.Zone, "")
	numberField(d, subject, "slots", a.Slots, b.Slots, "it runs more attempts at once", "it runs fewer attempts at once")
	numberField(d, subject, "max_connections", a.MaxConnections, b.MaxConnections,
		"each entry's share of connections grows", "each entry's share of connections shrinks")
}

func (d *differ) service(name string, a, b *sheet.Service) {
	if !d.presence("service", name, a != nil, b != nil, "", "its requests are refused with not_found") {
		return
	}
	subject := fmt.Sprintf("service %q", name)
	d.stringField(subject, "group", a.Group, b.Group, "")
	numberField(d, subject, "priority", a.Priority, b.Priority,
		"lower priority: shed earlier under overload", "higher priority: shed later under overload")
	numberField(d, subject, "latency.contract_ms", a.Latency.ContractMS, b.Latency.ContractMS, "looser contract", "tighter contract")
	numberField(d, subject, "latency.max_deadline_ms", a.Latency.MaxDeadlineMS, b.Latency.MaxDeadlineMS,
		"callers may wait longer", "longer deadlines of callers are reduced to the new limit")
	numberField(d, subject, "coverage.min_ratio", a.Coverage.MinRatio, b.Coverage.MinRatio,
		"more partial answers count as contract missed", "more partial answers count as contract met")
	d.repeat(subject, a.Repeat, b.Repeat)
	numberField(d, subject, "limits.max_concurrency", a.Limits.MaxConcurrency, b.Limits.MaxConcurrency,
		"each entry runs more requests at once", "each entry runs fewer requests at once")
	numberField(d, subject, "limits.max_queue", a.Limits.MaxQueue, b.Limits.MaxQueue,
		"more requests wait before further ones are refused", "fewer requests wait before further ones are refused")
	numberField(d, subject, "limits.max_fanout", a.Limits.MaxFanout, b.Limits.MaxFanout, "queries may search more shards", "queries may search fewer shards")
	numberField(d, subject, "hedge.budget_ratio", a.Hedge.BudgetRatio, b.Hedge.BudgetRatio, "more hedged attempts", "fewer hedged attempts")
}

func (d *differ) repeat(subject string, a, b sheet.Repeat) {
	if a.Rule != b.Rule {
		effect := "requests may be hedged and retried, so they may run more than once"
		if b.Rule == sheet.AtMostOnce {
			effect = "requests need a permit and run at most once; callers without permit support are refused"
		}
		d.stringField(subject, "repeat.rule", string(a.Rule), string(b.Rule), effect)
		return
	}
	numberField(d, subject, "repeat.window_s", a.WindowS, b.WindowS, "permits are valid for longer", "permits expire earlier")
}

// stringField records a changed text field.
func (d *differ) stringField(subject, field, a, b, effect string) {
	if a != b {
		d.add(subject, fmt.Sprintf("%s %q -> %q", field, a, b), effect)
	}
}

// numberField records a changed number with the effect of raising or lowering it.
func numberField[N cmp.Ordered](d *differ, subject, field string, a, b N, raisedEffect, loweredEffect string) {
	if a == b {
		return
	}
	effect := raisedEffect
	if b < a {
		effect = loweredEffect
	}
	d.add(subject, fmt.Sprintf("%s %v -> %v", field, a, b), effect)
}

// visitPairs calls visit once for each key in a or b with the elements that have this key, nil if
// there is none: first the keys of a in order, then those only in b.
func visitPairs[T any](a, b []T, key func(T) string, visit func(string, *T, *T)) {
	inB := make(map[string]*T, len(b))
	for i := range b {
		inB[key(b[i])] = &b[i]
	}
	inA := make(map[string]bool, len(a))
	for i := range a {
		k := key(a[i])
		inA[k] = true
		visit(k, &a[i], inB[k])
	}
	for i := range b {
		if k := key(b[i]); !inA[k] {
			visit(k, nil, &b[i])
		}
	}
}

// without returns the elements of a that are not in b.
func without(a, b []string) []string {
	var out []string
	for _, s := range a {
		if !slices.Contains(b, s) {
			out = append(out, s)
		}
	}
	return out
}
