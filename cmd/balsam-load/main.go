// Command balsam-load sends load to entries, checks every answer and reports latency, coverage and
// the extra load on targets.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/internal/load"
)

const description = `Sends load to balsam-entry processes and checks every answer.

Examples:
  balsam-load demo --settings examples/demo/load.json
  balsam-load run --settings examples/demo/load.json --help
  balsam-load bench --help`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, &load.Commands{}, "balsam-load",
		description, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
