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

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, &ctl.Commands{}, "balsam-ctl",
		"Operators' commands of balsamstall.", os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
