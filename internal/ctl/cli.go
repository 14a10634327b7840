package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const exitCodes = "Exit codes: 0 success, 1 the command failed, 2 invalid usage or input."

// Commands is the command line of balsam-ctl.
type Commands struct {
	Sheet  SheetCommands `cmd:"" help:"Check and compare sheets."`
	Status StatusCommand `cmd:"" help:"Show the state of entries."`
	Audit  AuditCommand  `cmd:"" help:"Show the audit trail of entries."`
	Drain  DrainCommand  `cmd:"" help:"Start a planned stop of one entry."`
	Query  QueryCommand  `cmd:"" help:"Send one search and show the answer and its coverage."`
	// Explain and Load read logs and send no request to an entry.
	Explain ExplainCommand `cmd:"" help:"Show from a log what was decided about a request."`
	Load    LoadCommand    `cmd:"" help:"Show from a log what requests and targets did over time."`
}

// SheetCommands is the command group "balsam-ctl sheet".
type SheetCommands struct {
	Check SheetCheckCommand `cmd:"" help:"Check a sheet, and an index against it."`
	Diff  SheetDiffCommand  `cmd:"" help:"Say what changes for operators when sheet B replaces sheet A."`
}

// jsonFlag is the --json flag of every command.
type jsonFlag struct {
	JSON bool `help:"Print JSON." name:"json"`
}

// AdminAddresses holds the flags of the commands that query the admin interface of entries.
type AdminAddresses struct {
	Entries []string      `help:"Admin addresses of entries as IP:port, separated by commas." name:"entry" required:"" env:"BALSAM_ADMIN" placeholder:"IP:PORT"`
	KeyFile string        `help:"File that holds the admin key. The default is the variable BALSAM_ADMIN_KEY." placeholder:"FILE"`
	Timeout time.Duration `help:"Longest wait for each entry." default:"5s"`
}

// key checks the flags and returns the admin key.
func (a *AdminAddresses) key() (string, error) {
	for _, address := range a.Entries {
		if err := checkAddress(address); err != nil {
			return "", err
		}
	}
	if err := checkTimeout(a.Timeout); err != nil {
		return "", err
	}
	return readKey(a.KeyFile, adminKeyVariable)
}

// get requests path from one entry and decodes the JSON answer into dst.
func (a *AdminAddresses) get(ctx context.Context, address, path, key string, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	data, err := call(ctx, http.MethodGet, address, path, key)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return status.Wrap(err, status.ReplyMismatch, "", "cannot decode the answer of %s%s", address, path)
	}
	return nil
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &cli.UsageError{Message: "address " + address + " must be an IP:port pair, such as 127.0.0.1:17012"}
	}
	return nil
}

func checkTimeout(d time.Duration) error {
	if d <= 0 {
		return &cli.UsageError{Message: fmt.Sprintf("--timeout %s must be above 0", d)}
	}
	return nil
}
