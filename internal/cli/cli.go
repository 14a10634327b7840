// Package cli runs kong command lines with the exit codes that all tools share.
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

// Exit codes of the tools.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailed means that the command ran and failed, or found a fault at run time.
	ExitFailed = 1
	// ExitUsage means bad usage or a faulty input file.
	ExitUsage = 2
)

// UsageError reports bad usage that the command line grammar cannot express.
type UsageError struct {
	Message string
}

// Error implements the error interface.
func (e *UsageError) Error() string { return e.Message }

// Output is where a command prints its result.
type Output struct {
	io.Writer
}

// JSON prints v as indented JSON.
func (o Output) JSON(v any) error {
	enc := json.NewEncoder(o)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// Run parses args into grammar and runs the selected command. Commands may take
// a context.Context and an Output. The result is the exit code.
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
	if exit >= 0 { // --help was printed.
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
		parse    *kong.ParseError
		usage    *UsageError
		file     *settings.Error
		faultDoc *document.Error
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &parse), errors.As(err, &usage), errors.As(err, &file), errors.As(err, &faultDoc):
		return ExitUsage
	default:
		return ExitFailed
	}
}
