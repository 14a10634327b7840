package ctl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
	"github.com/balsamstall/balsamstall/state/audit"
)

// AuditCommand is "balsam-ctl audit".
type AuditCommand struct {
	AdminAddresses
	Kind  []string      `help:"Only events of these kinds, separated by commas." placeholder:"KIND"`
	Actor string        `help:"Only events of this actor."`
	Match string        `help:"Only events whose detail contains this text." placeholder:"TEXT"`
	Since time.Duration `help:"Only events of this last period, such as 15m." placeholder:"DURATION"`
	Limit int           `help:"Only the newest N events after the other filters. 0 shows all." placeholder:"N"`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*AuditCommand) Help() string {
	return "Examples:\n\n  balsam-ctl audit --entry 127.0.0.1:17012 --kind document_accepted,document_refused\n\n" +
		"  balsam-ctl audit --entry 127.0.0.1:17012,127.0.0.1:17022 --since 15m --json\n\n" +
		"Kinds: " + kindNames() + ".\n\nEvents of several entries are merged by time. " + exitCodes
}

// kindNames returns the kinds of events as a comma-separated list.
func kindNames() string {
	var names []string
	for _, kind := range audit.Kinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// auditEvent is one event and the entry that recorded it.
type auditEvent struct {
	Entry string `json:"entry"`
	adminapi.Event
}

// Run prints the audit events of all entries that answer. It fails if one does not answer.
func (c *AuditCommand) Run(ctx context.Context, out cli.Output) error {
	key, err := c.key()
	if err != nil {
		return err
	}
	if err := c.check(); err != nil {
		return err
	}
	events := []auditEvent{}
	var failed error
	for _, address := range c.Entries {
		var trail adminapi.Audit
		failed = errors.Join(failed, c.get(ctx, address, adminapi.AuditPath, key, &trail))
		for _, e := range trail.Events {
			events = append(events, auditEvent{Entry: address, Event: e})
		}
	}
	events = c.filter(events, time.Now())
	if c.JSON {
		return errors.Join(failed, out.JSON(map[string][]auditEvent{"events": events}))
	}
	t := newTable(out)
	fmt.Fprintln(t, "TIME\tENTRY\tSEQUENCE\tKIND\tACTOR\tDETAIL")
	for _, e := range events {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\n", e.Time.UTC().Format(time.RFC3339), e.Entry, e.Sequence, e.Kind, e.Actor, e.Detail)
	}
	return errors.Join(failed, t.Flush())
}

// check checks the filter flags.
func (c *AuditCommand) check() error {
	if c.Limit < 0 || c.Since < 0 {
		return &cli.UsageError{Message: fmt.Sprintf("--limit %d and --since %s must not be negative", c.Limit, c.Since)}
	}
	for _, kind := range c.Kind {
		if !slices.Contains(audit.Kinds(), audit.Kind(kind)) {
			return &cli.UsageError{Message: fmt.Sprintf("--kind %q must be one of %q", kind, audit.Kinds())}
		}
	}
	return nil
}

// filter returns the events that match the flags, ordered by time. Events with the same time
// keep the order of the audit trails.
func (c *AuditCommand) filter(events []auditEvent, now time.Time) []auditEvent {
	events = slices.DeleteFunc(events, func(e auditEvent) bool {
		switch {
		case len(c.Kind) > 0 && !slices.Contains(c.Kind, e.Kind):
		case c.Actor != "" && c.Actor != e.Actor:
		case c.Match != "" && !strings.Contains(e.Detail, c.Match):
		case c.Since > 0 && e.Time.Before(now.Add(-c.Since)):
		default:
			return false
		}
		return true
	})
	slices.SortStableFunc(events, func(a, b auditEvent) int { return a.Time.Compare(b.Time) })
	if c.Limit > 0 && len(events) > c.Limit {
		events = events[len(events)-c.Limit:]
	}
	return events
}
