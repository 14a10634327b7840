// Command balsam-ctl checks sheets and asks entries for their state.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/internal/ctl"
)

const description = `Operators' commands of balsamstall.

Examples:
  balsam-ctl sheet check sheet.json                  # names every fault
  balsam-ctl sheet diff yesterday.json today.json    # says what changes
  balsam-ctl status --entry 127.0.0.1:17012          # key in BALSAM_ADMIN_KEY`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, &ctl.Commands{}, "balsam-ctl",
		description, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
