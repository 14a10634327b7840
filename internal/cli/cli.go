// Package cli runs kong command lines with the exit codes that the programs share.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/balsamstall/balsamstall/internal/settings"
	"github.com/balsamstall/balsamstall/protocol/document"
)

// Exit codes of the programs.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command failed, or found an error at run time.
	ExitFailed = 1
	// ExitUsage means invalid usage or an invalid input file.
	ExitUsage = 2
)

// UsageError reports invalid usage that the command line grammar cannot detect.
type UsageError struct {
	Message string
}

// Error implements the error interface.
func (e *UsageError) Error() string { return e.Message }

// Output is the writer for the result of a command.
type Output struct {
	io.Writer
}

// JSON writes v as indented JSON.
func (o Output) JSON(v any) error {
	enc := json.NewEncoder(o)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// Run parses args according to grammar, runs the selected command and returns the exit code. The Run
// methods of commands may take a context.Context and an Output.
func Run(ctx context.Context, grammar any, name, description string, args []string, stdout, stderr io.Writer) int {
	exit := -1
	parser, err := kong.New(grammar,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(Output{stdout}),
	)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitFailed
	}
	command, err := parser.Parse(args)
	if exit >= 0 { // kong has printed the help.
		return exit
	}
	if err == nil {
		err = command.Run()
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
	}
	return ExitCode(err)
}

// ExitCode returns the exit code for the result of a command.
func ExitCode(err error) int {
	var (
		parseErr    *kong.ParseError
		usageErr    *UsageError
		settingsErr *settings.Error
		documentErr *document.Error
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &parseErr), errors.As(err, &usageErr), errors.As(err, &settingsErr), errors.As(err, &documentErr):
		return ExitUsage
	default:
		return ExitFailed
	}
}
