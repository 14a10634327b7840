package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
)

// StatusCommand is "balsam-ctl status".
type StatusCommand struct {
	AdminAddresses
	Details bool `help:"Also show peers, services and targets of each entry."`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*StatusCommand) Help() string {
	return "Examples:\n\n  balsam-ctl status --key-file admin.key --entry 127.0.0.1:17012,127.0.0.1:17022\n\n" +
		"  BALSAM_ADMIN_KEY=... balsam-ctl status --entry 127.0.0.1:17012 --details\n\n" +
		"The command fails if an entry does not answer; the other entries are still shown. " + exitCodes
}

// entryStatus is the JSON output of "status" for one entry.
type entryStatus struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *adminapi.Status `json:"status,omitempty"`
}

// Run prints the state of all entries that answer. It fails if one does not answer.
func (c *StatusCommand) Run(ctx context.Context, out cli.Output) error {
	key, err := c.key()
	if err != nil {
		return err
	}
	var (
		rows   []entryStatus
		failed error
	)
	for _, address := range c.Entries {
		row := entryStatus{Address: address, Status: new(adminapi.Status)}
		if err := c.get(ctx, address, adminapi.StatusPath, key, row.Status); err != nil {
			row.Status, row.Error = nil, err.Error()
			failed = errors.Join(failed, err)
		}
		rows = append(rows, row)
	}
	if c.JSON {
		return errors.Join(failed, out.JSON(map[string][]entryStatus{"entries": rows}))
	}
	return errors.Join(failed, c.writeTable(out, rows))
}

func (c *StatusCommand) writeTable(out io.Writer, rows []entryStatus) error {
	t := newTable(out)
	fmt.Fprintln(t, "ENTRY\tADDRESS\tZONE\tSTATE\tSHEET\tINDEX\tPOLICY\tPEERS\tIN FLIGHT\tQUEUED\tANSWERED\tREFUSED\tINCARNATION")
	for _, row := range rows {
		s := row.Status
		if s == nil {
			fmt.Fprintf(t, "-\t%s\t-\tno answer\t-\t-\t-\t-\t-\t-\t-\t-\t-\n", row.Address)
			continue
		}
		alive, total := 0, adminapi.Service{}
		for _, p := range s.Peers {
			if p.Alive {
				alive++
			}
		}
		for _, v := range s.Services {
			total.InFlight += v.InFlight
			total.Queued += v.Queued
			total.Answered += v.Answered
			total.Refused += v.Refused
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%d of %d\t%d\t%d\t%d\t%d\t%.8s\n", s.ID, row.Address, s.Zone, stateOf(s),
			s.SheetRevision, s.IndexRevision, s.PolicyMode, alive, len(s.Peers),
			total.InFlight, total.Queued, total.Answered, total.Refused, s.Incarnation)
	}
	if err := t.Flush(); err != nil || !c.Details {
		return err
	}
	for _, row := range rows {
		if row.Status != nil {
			if err := writeDetails(out, row.Status); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeDetails(out io.Writer, s *adminapi.Status) error {
	t := newTable(out)
	fmt.Fprintf(t, "\n%s\nPEER\tZONE\tADDRESS\tALIVE\tINCARNATION\n", s.ID)
	for _, p := range s.Peers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.8s\n", p.ID, p.Zone, p.Address, yesOrNo(p.Alive), p.Incarnation)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(t, "\nSERVICE\tIN FLIGHT\tQUEUED\tLIMIT\tANSWERED\tREFUSED")
	for _, v := range s.Services {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\n", v.Name, v.InFlight, v.Queued, v.Limit, v.Answered, v.Refused)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(t, "\nTARGET\tZONE\tIN FLIGHT\tEWMA MS\tLEAVING\tCONNECTIONS")
	for _, v := range s.Targets {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%s\t%d\n", v.ID, v.Zone, v.InFlight, v.EWMAMS, yesOrNo(v.Leaving), v.OpenConnections)
	}
	return t.Flush()
}

func stateOf(s *adminapi.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func yesOrNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }
