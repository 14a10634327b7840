package ctl

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/adminapi"
)

// Environment variables that hold keys. Keys are not accepted as arguments, because every user of
// the host can read the arguments of a process.
const (
	adminKeyVariable  = "BALSAM_ADMIN_KEY"
	callerKeyVariable = "BALSAM_CALLER_KEY"
)

// DrainCommand is "balsam-ctl drain".
type DrainCommand struct {
	Entry   string        `help:"Admin address of the entry as IP:port." required:"" placeholder:"IP:PORT"`
	KeyFile string        `help:"File that holds the admin key. The default is the variable BALSAM_ADMIN_KEY." placeholder:"FILE"`
	Timeout time.Duration `help:"Longest wait for the answer." default:"5s"`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*DrainCommand) Help() string {
	return "Example:\n\n  balsam-ctl drain --entry 127.0.0.1:17012 --key-file admin.key\n\n" +
		"The entry reports not ready, finishes its running requests, hands over its permits and exits. " +
		"The command returns when the entry has accepted the drain; follow the progress with `balsam-ctl status`. " + exitCodes
}

// Run asks the entry to drain.
func (c *DrainCommand) Run(ctx context.Context, out cli.Output) error {
	if err := checkAddress(c.Entry); err != nil {
		return err
	}
	if err := checkTimeout(c.Timeout); err != nil {
		return err
	}
	key, err := readKey(c.KeyFile, adminKeyVariable)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if _, err := call(ctx, http.MethodPost, c.Entry, adminapi.DrainPath, key); err != nil {
		return err
	}
	if c.JSON {
		return out.JSON(map[string]any{"entry": c.Entry, "accepted": true})
	}
	_, err = fmt.Fprintf(out, "%s accepted the drain request\n", c.Entry)
	return err
}

// readKey returns the key from a file, or from an environment variable if file is empty.
func readKey(file, variable string) (string, error) {
	key := os.Getenv(variable)
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return "", &cli.UsageError{Message: "cannot read the key file: " + err.Error()}
		}
		key = string(data)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return "", &cli.UsageError{Message: "no key given: set --key-file or " + variable}
	}
	return key, nil
}
