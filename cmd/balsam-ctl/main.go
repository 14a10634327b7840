// Command balsam-ctl checks and compares sheets, shows the state of entries, drains and queries them,
// and analyzes their logs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/internal/ctl"
)

const description = `Operator commands for balsamstall.

Examples:
  balsam-ctl sheet check sheet.json                  # list all faults
  balsam-ctl sheet diff yesterday.json today.json    # list the changes
  balsam-ctl status --entry 127.0.0.1:17012          # key in BALSAM_ADMIN_KEY`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, &ctl.Commands{}, "balsam-ctl",
		description, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
